package classify

import (
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"
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

func TestClassify(t *testing.T) {
	table := &Table{Classes: []string{"lookup", "report"}, Tenants: []string{"motor", "travel"}, Hints: true,
		Updates: []int{2, 1, 2}, // what a lookup writes is a class of its own
		Rules: []Rule{
			{Name: "brokers", User: regexp.MustCompile("^broker-"), Class: -1, Tenant: 1},
			{Name: "sums", Statement: regexp.MustCompile(`(?i)group by`), Class: 1, Tenant: -1, Cost: time.Second, Tables: "from"},
			{Name: "by header", Header: "x-kind", Value: regexp.MustCompile("^r"), Class: 1, Tenant: -1},
			{Name: "keyed", Option: "policy", Class: -1, Tenant: -1, Key: "option:policy"},
		}}
	facts := func(user, statement string, headers ...string) Facts {
		get := func(kind string) func(string) string {
			return func(name string) string {
				for i := 0; i+1 < len(headers); i += 2 {
					if headers[i] == kind+name {
						return headers[i+1]
					}
				}
				return ""
			}
		}
		return Facts{User: user, Statement: statement, Header: get("h:"), Option: get("o:")}
	}
	cases := []struct {
		name string
		f    Facts
		want Traits
	}{
		{"the default", facts("u", "SELECT 1"), Traits{}},
		{"two rules together", facts("broker-7", "SELECT a FROM Policy GROUP BY a"),
			Traits{Class: 1, Tenant: 1, Cost: time.Second, Rule: "sums", Tables: number("policy")}},
		{"a header", facts("u", "SELECT 1", "h:x-kind", "rare"), Traits{Class: 1, Rule: "by header"}},
		{"a header that does not fit", facts("u", "SELECT 1", "h:x-kind", "often"), Traits{}},
		{"an option gives a key", facts("u", "SELECT 1", "o:policy", "P1"), Traits{Key: number("P1"), HasKey: true}},
		{"an update", facts("u", "DELETE FROM t"), Traits{Class: 2}},
		{"a hint goes before rules", facts("u", "SELECT a GROUP BY a /* class=lookup cost_ms=20 tenant=travel other=x */"),
			Traits{Tenant: 1, Cost: 20 * time.Millisecond, Hinted: true}},
		{"a hint header", facts("u", "SELECT 1", "h:embershunt-class", "report", "h:embershunt-memory-mb", "64"),
			Traits{Class: 1, MemoryMB: 64, Hinted: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := table.Classify(c.f)
			if err != nil {
				t.Fatal(err)
			}
			if c.want.Tables == 0 {
				got.Tables = 0
			}
			if got != c.want {
				t.Errorf("got  %+v\nwant %+v", got, c.want)
			}
		})
	}
	var bad *BadHintError
	if _, err := table.Classify(facts("u", "SELECT 1 /* class=nobody */")); !errors.As(err, &bad) || !strings.Contains(err.Error(), "lookup, report") {
		t.Errorf("a hint of no class: %v", err)
	}
	if _, err := table.Classify(facts("u", "SELECT 1 /* cost_ms=NaN */")); !errors.As(err, &bad) {
		t.Errorf("a cost that is no number: %v", err)
	}
}

// A statement that counts as a read holds no word that writes outside of quotes and comments; nothing panics.
func FuzzStatement(f *testing.F) {
	f.Add("SELECT 'a' /* class=x */ FROM t -- c\n")
	f.Add("WITH a AS (SELECT 1) DELETE FROM t")
	f.Fuzz(func(t *testing.T, s string) {
		Hint(s)
		firstTable(s)
		if IsRead(s) && IsRead(s+"; DELETE FROM t") && !strings.ContainsAny(s, "-#") {
			t.Errorf("%q hides what follows it", s)
		}
	})
}
