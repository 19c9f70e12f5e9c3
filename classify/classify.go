// Package classify tells what a query is to the module: class, tenant, cost, memory, order key and group of tables. It
// is a decision module: rules and facts in, traits out; no I/O, no clock.
package classify

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Facts are what a front knows of a query.
type Facts struct {
	User      string
	Header    func(name string) string // a call header, "" where absent; names in lower case
	Option    func(name string) string // a session option, "" where absent
	Statement string
	Command   string // name of the protocol's command, such as CommandGetTables
	Token     string // by which nodes know a repeat of an INSERT, "" where absent
	Harmless  bool   // the statement is not to run: only what it takes or gives is asked for
}

// Traits are what the module is told.
type Traits struct {
	Class    int
	Tenant   int
	Cost     time.Duration // work of all threads; 0: unknown
	MemoryMB float64
	Tables   int64
	Key      int64
	HasKey   bool
	Retry    bool
	Rule     string // name of the rule that gave the class; "" where none did
	Hinted   bool   // a hint comment or header gave the class
}

// Rule gives traits to queries that meet all of its conditions. Empty conditions are met by every query.
type Rule struct {
	Name      string
	User      *regexp.Regexp
	Header    string // name; with Value a pattern for it
	Option    string // name; with Value a pattern for it
	Value     *regexp.Regexp
	Statement *regexp.Regexp
	Command   *regexp.Regexp
	Class     int // -1: the rule gives none
	Tenant    int // -1: the rule gives none
	Cost      time.Duration
	MemoryMB  float64
	Key       string // names what the order key comes from: "user", "header:NAME", "option:NAME", "statement"
	Tables    string // the same for the group of tables; "from": the first table that the statement names
}

// Table is a whole configuration of classes.
type Table struct {
	Rules   []Rule // the first that fits gives a trait, later ones give what it left open
	Classes []string
	Tenants []string
	Updates []int // for each class the one that its updates fall in
	Keyed   []int // for each class the one that its inserts with a token fall in; nil or -1: none, they are updates
	Default int
	Hints   bool // hint comments and headers may state class, cost, memory and key
}

// HeaderPrefix starts the call headers that state what a hint comment may: embershunt-class and so on.
const HeaderPrefix = "embershunt-"

// hintWords are the words of a hint.
var hintWords = []string{"class", "tenant", "cost_ms", "memory_mb", "key", "tables", "retry"}

// BadHintError tells that a hint cannot be used.
type BadHintError struct{ Word, Value, Allowed string }

func (e *BadHintError) Error() string {
	return fmt.Sprintf("hint %s=%q: allowed: %s", e.Word, e.Value, e.Allowed)
}

// harmlessCost is the work of a query that runs nothing.
const harmlessCost = time.Millisecond

// Classify gives a query its traits. It fails on hints that cannot be used.
func (t *Table) Classify(f Facts) (Traits, error) {
	out := Traits{Class: -1, Tenant: -1}
	if t.Hints {
		if err := t.hints(f, &out); err != nil {
			return Traits{}, err
		}
	}
	for i := range t.Rules {
		if r := &t.Rules[i]; r.fits(f) {
			r.give(f, &out)
		}
	}
	if out.Class < 0 {
		out.Class = t.Default
	}
	out.Tenant = max(out.Tenant, 0)
	switch {
	case f.Harmless: // in no order, and of next to no work
		out.Key, out.HasKey, out.Cost, out.MemoryMB = 0, false, harmlessCost, 0
	case f.Token != "" && t.Keyed != nil && t.Keyed[out.Class] >= 0 && IsInsert(f.Statement):
		out.Class = t.Keyed[out.Class]
	case !IsRead(f.Statement) && f.Statement != "":
		out.Class = t.Updates[out.Class]
	}
	return out, nil
}

func (r *Rule) fits(f Facts) bool {
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

// give fills what is still open.
func (r *Rule) give(f Facts, out *Traits) {
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
	if v := source(r.Key, f); !out.HasKey && v != "" {
		out.Key, out.HasKey = number(v), true
	}
	if v := source(r.Tables, f); out.Tables == 0 && v != "" {
		out.Tables = number(v)
	}
}

// source finds what a key is made from.
func source(from string, f Facts) string {
	kind, name, _ := strings.Cut(from, ":")
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

// number names a text; it is never 0 and below 2^53, as on the bench's wire.
func number(s string) int64 { return int64(xxhash.Sum64String(s)>>11) | 1 }

// hints reads the hint comment and the hint headers; a comment goes before a header.
func (t *Table) hints(f Facts, out *Traits) error {
	comment := Hint(f.Statement)
	for _, word := range hintWords {
		if v := comment[word]; v != "" {
			if err := t.hint(word, v, out); err != nil {
				return err
			}
		}
	}
	if f.Header == nil {
		return nil
	}
	for _, word := range hintWords {
		if v := f.Header(HeaderPrefix + strings.ReplaceAll(word, "_", "-")); v != "" {
			if err := t.hint(word, v, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Table) hint(word, value string, out *Traits) error {
	pick := func(names []string, into *int) error {
		for i, n := range names {
			if n == value {
				if *into < 0 {
					*into = i
				}
				return nil
			}
		}
		return &BadHintError{word, value, strings.Join(names, ", ")}
	}
	switch word {
	case "class":
		out.Hinted = true
		return pick(t.Classes, &out.Class)
	case "tenant":
		return pick(t.Tenants, &out.Tenant)
	case "cost_ms", "memory_mb":
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= 1e9) {
			return &BadHintError{word, value, "a number from 0 to 1e9"}
		}
		if word == "cost_ms" && out.Cost == 0 {
			out.Cost = time.Duration(v * float64(time.Millisecond))
		} else if word == "memory_mb" && out.MemoryMB == 0 {
			out.MemoryMB = v
		}
	case "key":
		if !out.HasKey {
			out.Key, out.HasKey = number(value), true
		}
	case "tables":
		if out.Tables == 0 {
			out.Tables = number(value)
		}
	case "retry":
		out.Retry = value == "1" || value == "true"
	}
	return nil
}
