package postgres

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"embershunt/classify"
	"embershunt/internal/lineproto"
	"embershunt/policy"
)

// queryFields is what a client says of its query in the comment before it.
type queryFields struct {
	trace          string
	class          int
	tenant         int // -1: none was named
	clientTimeout  time.Duration
	idempotencyKey string
	workEstimate   time.Duration // 0: none was given
	memoryMB       float64       // 0: none was given
	text           string        // the statement less the comment
}

// BadFieldError tells that a field of a query's comment cannot be used.
type BadFieldError struct{ Field, Found, Allowed string }

func (e *BadFieldError) Error() string {
	if e.Found == "" {
		return fmt.Sprintf("%s: missing; allowed: %s", e.Field, e.Allowed)
	}
	return fmt.Sprintf("%s: found %.40q; allowed: %s", e.Field, e.Found, e.Allowed)
}

// maxWorkMillis bounds an estimate of work that can be meant, in milliseconds: eleven days on one core.
const maxWorkMillis = 1e9

// maxClassDeadlines bounds the time that a client can mean to wait, in times of its class's deadline: it may count from a little
// earlier than that does, so that the deadline itself is no bound.
const maxClassDeadlines = 2

// maxFields bounds the fields of a comment.
const maxFields = 32

// parseQuery takes a statement apart. The error is a *BadFieldError.
func parseQuery(statement string, s *policy.Settings) (queryFields, error) {
	a := queryFields{tenant: -1}
	fields, text, err := splitComment(statement)
	if err != nil {
		return a, err
	}
	if a.text = text; strings.TrimLeft(text, " \t\r\n;") == "" {
		return a, &BadFieldError{"statement", "", "a statement after the comment"}
	}
	if !utf8.ValidString(text) {
		return a, &BadFieldError{"statement", "bytes that are not UTF-8", "text in UTF-8"}
	}
	if a.trace = fields["trace"]; !isHex(a.trace, 16) {
		return a, &BadFieldError{"trace", a.trace, "16 hex digits"}
	}
	if a.class, err = parseName("route", fields["route"], len(s.Classes), func(i int) string { return s.Classes[i].Name }); err != nil {
		return a, err
	}
	if name, ok := fields["customer"]; ok {
		if a.tenant, err = parseName("customer", name, len(s.Tenants), func(i int) string { return s.Tenants[i].Name }); err != nil {
			return a, err
		}
	}
	class := &s.Classes[a.class]
	patience, err := parseNumber("patience", fields["patience"], 1, maxClassDeadlines*float64(class.Deadline)/1e3)
	if err != nil {
		return a, err
	}
	a.clientTimeout = time.Duration(patience * float64(time.Millisecond))
	if v, ok := fields["weight"]; ok {
		ms, err := parseNumber("weight", v, 0, maxWorkMillis)
		if err != nil {
			return a, err
		}
		a.workEstimate = time.Duration(ms * float64(time.Millisecond))
	}
	if v, ok := fields["need_mb"]; ok {
		if a.memoryMB, err = parseNumber("need_mb", v, 0, maxMemoryMB(s)); err != nil {
			return a, err
		}
	}
	a.idempotencyKey = fields["nonce"]
	if a.idempotencyKey != "" && !lineproto.Token(a.idempotencyKey) || a.idempotencyKey == "" && class.Effect == policy.IdempotentByKey {
		return a, &BadFieldError{"nonce", a.idempotencyKey, "a key of 1 to 64 letters and digits, in keyed classes"}
	}
	return a, nil
}

// maxMachineMemories bounds an estimate of memory that can be meant, in times of the largest machine: estimates are rough.
const maxMachineMemories = 100

func maxMemoryMB(s *policy.Settings) float64 {
	most := 0.0
	for _, k := range s.Kinds {
		most = max(most, k.MemoryMB)
	}
	if most == 0 {
		return math.MaxInt32
	}
	return most * maxMachineMemories
}

// splitComment takes the fields out of the comment that a statement starts with.
func splitComment(statement string) (map[string]string, string, error) {
	body, ok := strings.CutPrefix(strings.TrimLeft(statement, " \t\r\n"), "/*")
	if !ok {
		return nil, "", &BadFieldError{"comment", "", "/* name=value,... */ before the statement"}
	}
	inner, text, ok := strings.Cut(body, "*/")
	if !ok {
		return nil, "", &BadFieldError{"comment", "", "a comment that ends"}
	}
	fields := map[string]string{}
	for part := range strings.SplitSeq(inner, ",") {
		name, value, ok := strings.Cut(part, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		if _, twice := fields[name]; !ok || name == "" || twice || len(fields) == maxFields {
			return nil, "", &BadFieldError{"comment", part, "name=value, each name once"}
		}
		fields[name] = value
	}
	return fields, strings.TrimLeft(text, " \t\r\n"), nil
}

func isHex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	for i := range n {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

func parseName(field, name string, n int, of func(int) string) (int, error) {
	var all []string
	for i := range n {
		if of(i) == name && name != "" {
			return i, nil
		}
		all = append(all, of(i))
	}
	return -1, &BadFieldError{field, name, strings.Join(all, ", ")}
}

// parseNumber reads a plain decimal number; NaN, infinities, exponents and signs are none.
func parseNumber(field, s string, least, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789.") != "" || !(v >= least && v <= most) {
		return 0, &BadFieldError{field, s, fmt.Sprintf("a number from %v to %v", least, most)}
	}
	return v, nil
}

// traits are what the module is told.
func (a *queryFields) traits() *classify.Traits {
	return &classify.Traits{Class: a.class, Tenant: a.tenant, Cost: a.workEstimate, MemoryMB: a.memoryMB, Tables: tableGroup(a.text)}
}
