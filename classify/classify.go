// Package classify derives the traits of a query that the decision module needs: class, tenant, cost, memory, order key
// and group of tables. It is free of I/O and clocks: rules and facts in, traits out.
package classify

import (
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Facts are what a frontend knows of a query.
type Facts struct {
	User         string
	Header       func(name string) string // a call header, "" where absent; names in lower case
	Option       func(name string) string // a session option, "" where absent
	Statement    string
	Command      string // name of the protocol's command, such as CommandGetTables
	Token        string // deduplication token of an INSERT, "" where absent
	DescribeOnly bool   // the statement is not run: only its parameters or columns are described
}

// Traits are the properties of a query that decisions depend on.
type Traits struct {
	Class    int           // index into Table.Classes or above, see Table.Updates
	Tenant   int           // index into Table.Tenants
	Cost     time.Duration // work of all threads; 0: unknown
	MemoryMB float64       // 0: unknown
	Tables   int64         // group of tables; 0: none
	Key      int64         // order key, if HasKey
	HasKey   bool
	Retry    bool   // the client says that the query is a retry
	Rule     string // name of the rule that gave the class; "" where none did
	Hinted   bool   // a hint comment or header gave the class
}

// Rule gives traits to queries that meet all of its conditions. An empty condition is met by every query.
type Rule struct {
	Name      string
	User      *regexp.Regexp
	Header    string // name of a header that is present and matches Value
	Option    string // name of an option that is present and matches Value
	Value     *regexp.Regexp
	Statement *regexp.Regexp
	Command   *regexp.Regexp
	Class     int // -1: the rule gives none
	Tenant    int // -1: the rule gives none
	Cost      time.Duration
	MemoryMB  float64
	Key       string // source of the order key: "user", "header:NAME", "option:NAME", "statement"
	Tables    string // source of the group of tables: the same, or "from" for the first table that the statement names
}

// Table is the complete configuration of classification.
type Table struct {
	Rules   []Rule // the first that matches gives a trait, later ones give those still open
	Classes []string
	Tenants []string
	Updates []int // for each class that of its updates
	Keyed   []int // for each class that of its inserts with a token; nil or -1: none, they are updates
	Default int   // class of queries without one
	Hints   bool  // hint comments and headers may state class, cost, memory and key
}

// harmlessCost is the cost of a query that runs nothing.
const harmlessCost = time.Millisecond

// Classify derives the traits of a query. The error is a *BadHintError.
func (t *Table) Classify(f Facts) (Traits, error) {
	out := Traits{Class: -1, Tenant: -1}
	if t.Hints {
		if err := t.applyHints(f, &out); err != nil {
			return Traits{}, err
		}
	}
	for i := range t.Rules {
		if r := &t.Rules[i]; r.matches(f) {
			r.apply(f, &out)
		}
	}
	if out.Class < 0 {
		out.Class = t.Default
	}
	out.Tenant = max(out.Tenant, 0)
	switch {
	case f.DescribeOnly: // unordered, and of next to no cost
		out.Key, out.HasKey, out.Cost, out.MemoryMB = 0, false, harmlessCost, 0
	case f.Token != "" && t.Keyed != nil && t.Keyed[out.Class] >= 0 && IsInsert(f.Statement):
		out.Class = t.Keyed[out.Class]
	case !IsRead(f.Statement) && f.Statement != "":
		out.Class = t.Updates[out.Class]
	}
	return out, nil
}

// matches tells whether a query meets all conditions.
func (r *Rule) matches(f Facts) bool {
	if r.User != nil && !r.User.MatchString(f.User) || r.Statement != nil && !r.Statement.MatchString(f.Statement) ||
		r.Command != nil && !r.Command.MatchString(f.Command) {
		return false
	}
	for _, c := range []struct {
		name string
		get  func(string) string
	}{{r.Header, f.Header}, {r.Option, f.Option}} {
		if c.name == "" {
			continue
		}
		v := c.get(c.name)
		if v == "" || r.Value != nil && !r.Value.MatchString(v) {
			return false
		}
	}
	return true
}

// apply sets the traits that are still open.
func (r *Rule) apply(f Facts, out *Traits) {
	if out.Class < 0 && r.Class >= 0 {
		out.Class, out.Rule = r.Class, r.Name
	}
	if out.Tenant < 0 {
		out.Tenant = r.Tenant
	}
	if out.Cost == 0 {
		out.Cost = r.Cost
	}
	if out.MemoryMB == 0 {
		out.MemoryMB = r.MemoryMB
	}
	if v := sourceValue(r.Key, f); !out.HasKey && v != "" {
		out.Key, out.HasKey = hashName(v), true
	}
	if v := sourceValue(r.Tables, f); out.Tables == 0 && v != "" {
		out.Tables = hashName(v)
	}
}

// sourceValue is the text that an order key or a group of tables is derived from; "" where there is none.
func sourceValue(source string, f Facts) string {
	kind, name, _ := strings.Cut(source, ":")
	switch kind {
	case "user":
		return f.User
	case "statement":
		return f.Statement
	case "header":
		return f.Header(name)
	case "option":
		return f.Option(name)
	case "from":
		return firstTable(f.Statement)
	}
	return ""
}

// hashName is the number of a name: never 0, and below 2^53, as on the bench's wire.
func hashName(s string) int64 { return int64(xxhash.Sum64String(s)>>11) | 1 }
