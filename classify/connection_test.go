package classify

import (
	"fmt"
	"testing"
	"unsafe"
)

func TestConnectionEffectOf(t *testing.T) {
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
		effect, name, options := ConnectionEffectOf(statement)
		if got := fmt.Sprint(int(effect), " ", name, " ", options); got != want {
			t.Errorf("%s: %q, want %q", statement, got, want)
		}
	}
}

// Guards against a name or option that keeps its statement in memory, however long, for as long as the connection lasts.
func TestConnectionEffectKeepsNoStatement(t *testing.T) {
	for _, statement := range []string{"USE warehouse", "SET max_threads = 8, format = csv", "CREATE TEMPORARY TABLE recent (n Int64)", "DROP TABLE a.b"} {
		_, name, options := ConnectionEffectOf(statement)
		kept := []string{name}
		for _, o := range options {
			kept = append(kept, o.Name, o.Value)
		}
		for _, text := range kept {
			if sharesMemory(text, statement) {
				t.Errorf("%q is a part of the memory of %q", text, statement)
			}
		}
	}
}

// sharesMemory reports whether part lies within the memory of whole.
func sharesMemory(part, whole string) bool {
	if part == "" {
		return false
	}
	at, begin := uintptr(unsafe.Pointer(unsafe.StringData(part))), uintptr(unsafe.Pointer(unsafe.StringData(whole)))
	return at >= begin && at < begin+uintptr(len(whole))
}
