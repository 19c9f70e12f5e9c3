package classify

import (
	"strings"
	"testing"
)

func TestIsRead(t *testing.T) {
	cases := map[string]bool{
		"SELECT 1": true,
		"  select * from t where a = 'INSERT INTO'":    true,
		"(SELECT 1) UNION (SELECT 2)":                  true,
		"/* update */ SELECT 1 -- delete\n + 1":        true,
		"WITH x AS (SELECT 1) SELECT * FROM x":         true,
		`SELECT "delete", replace(a, 'b', 'c') FROM t`: true,
		"SHOW TABLES": true,
		"WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x": false,
		"SELECT * INTO t2 FROM t":                            false,
		"SELECT 1; DROP TABLE t":                             false,
		"SELECT * FROM t FOR UPDATE":                         false,
		"EXPLAIN ANALYZE DELETE FROM t":                      false,
		"INSERT INTO t VALUES (1)":                           false,
		"":                                                   false,
		"/* nothing */":                                      false,
		"SELECT 'open":                                       false,
		"SELECT /* open":                                     false,
		"SELECT /*! DELETE FROM t */ 1":                      false,
		`SELECT 'a\'; DELETE FROM t; --'`:                    false,
		"REPLACE INTO t VALUES (1)":                          false,
		"MAKE ME A SANDWICH":                                 false,
	}
	for s, want := range cases {
		if got := IsRead(s); got != want {
			t.Errorf("IsRead(%q) = %v", s, got)
		}
	}
}

func TestIsInsert(t *testing.T) {
	for statement, want := range map[string]bool{"INSERT INTO t VALUES": true, " /* c */ insert into t select 1;": true,
		"INSERT INTO t VALUES (1); DROP TABLE t": false, "SELECT 1": false, "": false, "INSERT INTO t VALUES ('x": false} {
		if got := IsInsert(statement); got != want {
			t.Errorf("IsInsert(%q) = %v", statement, got)
		}
	}
}

// FuzzStatement checks that no statement makes the scanner panic. It also guards against a read that hides the text after
// it, for example behind an unterminated quote: with a DELETE appended, the statement must not count as a read anymore.
// Statements with - or # are exempt, since a line comment at their end may hide the DELETE.
func FuzzStatement(f *testing.F) {
	f.Add("SELECT 'a' /* class=x */ FROM t -- c\n")
	f.Add("WITH a AS (SELECT 1) DELETE FROM t")
	f.Fuzz(func(t *testing.T, s string) {
		parseHints(s)
		firstTable(s)
		if IsRead(s) && IsRead(s+"; DELETE FROM t") && !strings.ContainsAny(s, "-#") {
			t.Errorf("IsRead(%q) stays true with an appended DELETE", s)
		}
	})
}
