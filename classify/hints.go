package classify

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// HeaderPrefix is the prefix of the call headers that carry hints, such as embershunt-class. They are the same hints as in
// a hint comment, with "-" in place of "_".
const HeaderPrefix = "embershunt-"

// hintNames lists the hints that a comment or a header may give.
var hintNames = []string{"class", "tenant", "cost_ms", "memory_mb", "key", "tables", "retry"}

// BadHintError reports a hint with an invalid value.
type BadHintError struct{ Name, Value, Allowed string }

// Error returns the hint, its value and the allowed values.
func (e *BadHintError) Error() string {
	return fmt.Sprintf("hint %s=%q: allowed: %s", e.Name, e.Value, e.Allowed)
}

// parseHints returns the hints of a statement: the words of the form name=value in its first block comment. Other words
// and names are ignored.
func parseHints(statement string) map[string]string {
	if !strings.Contains(statement, "/*") {
		return nil
	}
	s := scanner{text: statement}
	for s.hint == "" {
		if kind, _ := s.next(); kind == tokenEnd || kind == tokenInvalid {
			break
		}
	}
	var out map[string]string
	for _, word := range strings.Fields(s.hint) {
		name, value, ok := strings.Cut(word, "=")
		if !ok || !slices.Contains(hintNames, name) {
			continue
		}
		if out == nil {
			out = map[string]string{}
		}
		out[name] = value
	}
	return out
}

// applyHints applies the hint comment and then the hint headers. A header does not change a trait that the comment has set,
// except retry, where the header wins.
func (t *Table) applyHints(f Facts, out *Traits) error {
	comment := parseHints(f.Statement)
	if err := t.applyHintsFrom(func(name string) string { return comment[name] }, out); err != nil {
		return err
	}
	if f.Header == nil {
		return nil
	}
	return t.applyHintsFrom(func(name string) string { return f.Header(HeaderPrefix + strings.ReplaceAll(name, "_", "-")) }, out)
}

// applyHintsFrom applies the hints of one source. The function value returns "" for a hint that the source does not have.
func (t *Table) applyHintsFrom(value func(name string) string, out *Traits) error {
	for _, name := range hintNames {
		if v := value(name); v != "" {
			if err := t.applyHint(name, v, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyHint sets the trait of one hint, unless an earlier hint has set it; retry is always set.
func (t *Table) applyHint(name, value string, out *Traits) error {
	switch name {
	case "class":
		out.Hinted = true
		return setIndexByName(name, value, t.Classes, &out.Class)
	case "tenant":
		return setIndexByName(name, value, t.Tenants, &out.Tenant)
	case "cost_ms", "memory_mb":
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !inRange(v, 0, 1e9) {
			return &BadHintError{name, value, "a number from 0 to 1e9"}
		}
		if name == "cost_ms" && out.Cost == 0 {
			out.Cost = time.Duration(v * float64(time.Millisecond))
		} else if name == "memory_mb" && out.MemoryMB == 0 {
			out.MemoryMB = v
		}
	case "key":
		if !out.HasKey {
			out.Key, out.HasKey = hashName(value), true
		}
	case "tables":
		if out.Tables == 0 {
			out.Tables = hashName(value)
		}
	case "retry":
		out.ClientRetry = value == "1" || value == "true"
	}
	return nil
}

// setIndexByName sets index to the position of value in names, unless index is set already. An unknown value is an error in
// both cases.
func setIndexByName(name, value string, names []string, index *int) error {
	i := slices.Index(names, value)
	if i < 0 {
		return &BadHintError{name, value, strings.Join(names, ", ")}
	}
	if *index < 0 {
		*index = i
	}
	return nil
}

// inRange reports whether v is between low and high, both included; it is false for NaN.
func inRange(v, low, high float64) bool { return v >= low && v <= high }
