package config

import (
	"fmt"
	"strings"

	"embershunt/classify"
)

// buildRules validates the rules and compiles them for the classification.
func (c *Config) buildRules(v validator) {
	names := make([]string, len(c.File.Rules))
	for i := range c.File.Rules {
		rule := &c.File.Rules[i]
		names[i] = rule.Name
		c.Classes.Rules = append(c.Classes.Rules, rule.compile(v, fmt.Sprintf("rules[%d]", i), &c.Classes))
	}
	v.unique("rules", names)
}

// compile validates and compiles one rule; at is its path. Classes and tenants are looked up in the table.
func (r *Rule) compile(v validator, at string, table *classify.Table) classify.Rule {
	built := classify.Rule{
		Name:      r.Name,
		User:      v.pattern(at+".user", r.User),
		Header:    strings.ToLower(r.Header),
		Option:    r.Option,
		Value:     v.pattern(at+".value", r.Value),
		Statement: v.pattern(at+".statement", r.Statement),
		Command:   v.pattern(at+".command", r.Command),
		Class:     -1,
		Tenant:    -1,
		Cost:      r.Cost.D(),
		MemoryMB:  r.MemoryMB,
		Key:       r.Key,
		Tables:    r.Tables,
	}
	if r.Class != "" {
		built.Class = v.indexOf(at+".class", r.Class, table.Classes)
	}
	if r.Tenant != "" {
		built.Tenant = v.indexOf(at+".tenant", r.Tenant, table.Tenants)
	}
	if r.Value != "" && (r.Header == "") == (r.Option == "") {
		v.addViolation(at+".value", "a pattern", "together with either header or option")
	}
	validateSource(v, at+".key", r.Key)
	validateSource(v, at+".tables", r.Tables)
	v.duration(at+".cost", r.Cost, 0, maxDuration)
	v.inRange(at+".memory_mb", r.MemoryMB, 0, 1e9)
	return built
}

// validateSource checks the source of an order key or a table group: a part of the call, or the name of a header or option.
func validateSource(v validator, path, source string) {
	kind, name, named := strings.Cut(source, ":")
	switch {
	case source == "":
	case !named && (kind == "user" || kind == "statement" || kind == "from"):
	case named && name != "" && (kind == "header" || kind == "option"):
	default:
		v.addViolation(path, quoted(source), "user, statement, from, header:NAME, option:NAME")
	}
}
