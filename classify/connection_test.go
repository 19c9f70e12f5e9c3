package classify

import (
	"fmt"
	"testing"
)

func TestWhatStatementsLeaveOnAConnection(t *testing.T) {
	for statement, want := range map[string]string{
		"SELECT 1":                           "0  []",
		"set max_threads = 8":                "1  [{max_threads 8}]",
		"SET a=1, b = 'x,y' , c=-2.5;":       "1  [{a 1} {b x,y} {c -2.5}]",
		"SET ROLE admin":                     "5  []",
		"SET a":                              "5  []",
		"USE `db`":                           "2 db []",
		"create temporary table T (a UInt8)": "3 t []",
		"CREATE TEMPORARY TABLE IF NOT EXISTS x.t":                "3 x.t []",
		"/* h */ CREATE OR REPLACE TEMPORARY TABLE t AS SELECT 1": "3 t []",
		"CREATE TEMPORARY VIEW v":                                 "5  []",
		"CREATE TABLE t":                                          "0  []",
		"DROP TABLE IF EXISTS `T`":                                "4 t []",
		"DROP TEMPORARY TABLE t":                                  "4 t []",
		"DROP DATABASE d":                                         "0  []",
		"BEGIN TRANSACTION":                                       "5  []",
	} {
		kind, name, options := OnConnection(statement)
		if got := fmt.Sprint(int(kind), " ", name, " ", options); got != want {
			t.Errorf("%s: %q, want %q", statement, got, want)
		}
	}
	for statement, want := range map[string]bool{"INSERT INTO t VALUES": true, " /* c */ insert into t select 1;": true, "INSERT INTO t VALUES (1); DROP TABLE t": false,
		"SELECT 1": false, "": false, "INSERT INTO t VALUES ('x": false} {
		if got := IsInsert(statement); got != want {
			t.Errorf("IsInsert(%s) is %v", statement, got)
		}
	}
}
