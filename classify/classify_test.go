package classify

import (
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"
)

func TestClassify(t *testing.T) {
	table := &Table{Classes: []string{"lookup", "report"}, Tenants: []string{"motor", "travel"}, Hints: true,
		Updates: []int{2, 1, 2}, // updates of "lookup" have a class of their own
		Rules: []Rule{
			{Name: "brokers", User: regexp.MustCompile("^broker-"), Class: -1, Tenant: 1},
			{Name: "sums", Statement: regexp.MustCompile(`(?i)group by`), Class: 1, Tenant: -1, Cost: time.Second, Tables: "from"},
			{Name: "by header", Header: "x-kind", Value: regexp.MustCompile("^r"), Class: 1, Tenant: -1},
			{Name: "with a key", Option: "policy", Class: -1, Tenant: -1, Key: "option:policy"},
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
		{"default class", facts("u", "SELECT 1"), Traits{}},
		{"traits of two rules", facts("broker-7", "SELECT a FROM Policy GROUP BY a"),
			Traits{Class: 1, Tenant: 1, Cost: time.Second, Rule: "sums", Tables: hashName("policy")}},
		{"a header", facts("u", "SELECT 1", "h:x-kind", "rare"), Traits{Class: 1, Rule: "by header"}},
		{"a header that does not match", facts("u", "SELECT 1", "h:x-kind", "often"), Traits{}},
		{"order key from an option", facts("u", "SELECT 1", "o:policy", "P1"), Traits{Key: hashName("P1"), HasKey: true}},
		{"an update", facts("u", "DELETE FROM t"), Traits{Class: 2}},
		{"a hint takes precedence over rules", facts("u", "SELECT a GROUP BY a /* class=lookup cost_ms=20 tenant=travel other=x */"),
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
	if _, err := table.Classify(facts("u", "SELECT 1 /* class=nobody */")); !errors.As(err, &bad) ||
		!strings.Contains(err.Error(), "lookup, report") {
		t.Errorf("a hint with an unknown class: %v", err)
	}
	if _, err := table.Classify(facts("u", "SELECT 1 /* cost_ms=NaN */")); !errors.As(err, &bad) {
		t.Errorf("a hint whose cost is NaN: %v", err)
	}
}
