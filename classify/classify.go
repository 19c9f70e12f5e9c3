// Package classify derives the traits of a query that the policy needs: class, tenant, cost, memory, order key and table
// group. Classification does no I/O and reads no clock: the result depends on the Table and the Facts only.
package classify

import (
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Facts holds what a frontend knows about a query before classification.
type Facts struct {
	User         string
	Header       func(name string) string // returns a call header, "" if absent; names are in lower case
	Option       func(name string) string // returns a session option, "" if absent
	Statement    string
	Command      string // name of the protocol's command, such as CommandGetTables
	Token        string // deduplication token of an INSERT, "" if absent
	DescribeOnly bool   // the statement is not executed, only its parameters or columns are described
}

// Traits holds the properties of a query that the policy decides by.
type Traits struct {
	Class       int           // index into Table.Classes, or a derived class from Table.Updates or Table.Keyed
	Tenant      int           // index into Table.Tenants; 0 if no rule or hint gives a tenant
	Cost        time.Duration // work summed over all threads; 0: unknown
	MemoryMB    float64       // 0: unknown
	Tables      int64         // hash of the table group; 0: none
	Key         int64         // hash of the order key, if HasKey
	HasKey      bool
	ClientRetry bool   // the client marked the query as a retry
	Rule        string // name of the rule that set the class; "" if none did
	Hinted      bool   // a hint comment or header set the class
}

// Rule sets traits of queries that match all of its conditions. An empty condition matches every query.
type Rule struct {
	Name      string
	User      *regexp.Regexp
	Header    string // name of a header that is present and matches Value
	Option    string // name of an option that is present and matches Value
	Value     *regexp.Regexp
	Statement *regexp.Regexp
	Command   *regexp.Regexp
	Class     int // index into Table.Classes; -1: the rule sets no class
	Tenant    int // index into Table.Tenants; -1: the rule sets no tenant
	Cost      time.Duration
	MemoryMB  float64
	Key       string // source of the order key: "user", "statement", "from", "header:NAME" or "option:NAME"; see sourceValue
	Tables    string // source of the table group, with the same values
}

// Table holds the complete configuration of the classification.
type Table struct {
	Rules   []Rule // each trait comes from the first matching rule that sets it
	Classes []string
	Tenants []string
	Updates []int // by class: the class of its updates
	Keyed   []int // by class: the class of its inserts with a deduplication token; nil or -1: they count as updates
	Default int   // class of queries that no hint or rule gives a class
	Hints   bool  // hint comments and headers may set traits; see hintNames
}

// describeCost is the cost of a query that only describes a statement and executes nothing.
const describeCost = time.Millisecond

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
	case f.DescribeOnly: // not ordered and nearly free, since nothing is executed
		out.Key, out.HasKey, out.Cost, out.MemoryMB = 0, false, describeCost, 0
	case f.Token != "" && t.Keyed != nil && t.Keyed[out.Class] >= 0 && IsInsert(f.Statement):
		out.Class = t.Keyed[out.Class]
	case !IsRead(f.Statement) && f.Statement != "":
		out.Class = t.Updates[out.Class]
	}
	return out, nil
}

// matches reports whether a query meets all conditions of the rule.
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

// apply sets the traits that hints and earlier rules have left unset.
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

// sourceValue returns the text that an order key or a table group is derived from, "" if there is none. The source "from"
// is the first table that the statement names.
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

// hashName returns the hash of a name: never 0, which means unset, and below 2^53 like the keys on the platform wire, which
// are JSON numbers.
func hashName(s string) int64 { return int64(xxhash.Sum64String(s)>>11) | 1 }
