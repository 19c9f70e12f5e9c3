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

// queryFields are the fields of the comment before a statement, and the statement. A name in quotes is that of the field in the comment.
type queryFields struct {
	trace          string        // the query's id, "trace"
	class          int           // "route"; index in policy.Settings.Classes, as tenant is in Tenants
	tenant         int           // "customer"; -1: none
	clientTimeout  time.Duration // how long the client waits for the answer, "patience" in milliseconds
	idempotencyKey string        // "nonce"; "": none
	workEstimate   time.Duration // CPU time, "weight" in milliseconds; 0: none
	memoryMB       float64       // "need_mb"; 0: none
	text           string        // the statement without the comment
}

// BadFieldError means that a field of a query's comment, the comment itself or the statement cannot be used.
type BadFieldError struct{ Field, Found, Allowed string }

// Error names the field, its value and what is allowed.
func (e *BadFieldError) Error() string {
	if e.Found == "" {
		return fmt.Sprintf("%s: missing; allowed: %s", e.Field, e.Allowed)
	}
	return fmt.Sprintf("%s: found %.40q; allowed: %s", e.Field, e.Found, e.Allowed)
}

const (
	// maxWorkMillis is the largest plausible work estimate, in milliseconds: eleven days on one core.
	maxWorkMillis = 1e9
	// maxClassDeadlines is the largest plausible client timeout, as a multiple of the class's deadline. The deadline itself would be too
	// low a bound: a client may start to count a little earlier.
	maxClassDeadlines = 2
	// maxMachineMemories is the largest plausible memory estimate, as a multiple of the largest machine's memory: estimates are rough.
	maxMachineMemories = 100
	// maxFields bounds the number of fields in a comment.
	maxFields = 32
	// traceDigits is the number of hexadecimal digits of a query's id.
	traceDigits = 16
)

// parseQuery parses a statement with its comment. An error is a *BadFieldError.
func parseQuery(statement string, s *policy.Settings) (queryFields, error) {
	q := queryFields{tenant: -1}
	fields, text, err := splitComment(statement)
	if err != nil {
		return q, err
	}
	if q.text = text; strings.TrimLeft(text, " \t\r\n;") == "" {
		return q, &BadFieldError{"statement", "", "a statement after the comment"}
	}
	if !utf8.ValidString(text) {
		return q, &BadFieldError{"statement", "bytes that are not UTF-8", "text in UTF-8"}
	}
	// What outlives the query is copied: a part of the statement's text would keep the whole text in memory.
	q.trace, q.idempotencyKey = strings.Clone(fields["trace"]), strings.Clone(fields["nonce"])
	if !isHex(q.trace, traceDigits) {
		return q, &BadFieldError{"trace", q.trace, "16 hex digits"}
	}
	if err := q.parseNames(fields, s); err != nil {
		return q, err
	}
	class := &s.Classes[q.class]
	if err := q.parseNumbers(fields, class, s); err != nil {
		return q, err
	}
	if q.idempotencyKey != "" && !lineproto.IsToken(q.idempotencyKey) || q.idempotencyKey == "" && class.Effect == policy.IdempotentByKey {
		return q, &BadFieldError{"nonce", q.idempotencyKey, "a key of 1 to 64 letters, digits, '-', '_' or '.'; required in keyed classes"}
	}
	return q, nil
}

// parseNames parses the fields that name a class or tenant of the settings.
func (q *queryFields) parseNames(fields map[string]string, s *policy.Settings) (err error) {
	q.class, err = parseName("route", fields["route"], len(s.Classes), func(i int) string { return s.Classes[i].Name })
	if err != nil {
		return err
	}
	if name, ok := fields["customer"]; ok {
		q.tenant, err = parseName("customer", name, len(s.Tenants), func(i int) string { return s.Tenants[i].Name })
	}
	return err
}

// parseNumbers parses the fields that are numbers.
func (q *queryFields) parseNumbers(fields map[string]string, class *policy.Class, s *policy.Settings) error {
	deadlineMillis := float64(class.Deadline) / 1e3
	timeoutMillis, err := parseNumber("patience", fields["patience"], 1, maxClassDeadlines*deadlineMillis)
	if err != nil {
		return err
	}
	q.clientTimeout = time.Duration(timeoutMillis * float64(time.Millisecond))
	if v, ok := fields["weight"]; ok {
		workMillis, err := parseNumber("weight", v, 0, maxWorkMillis)
		if err != nil {
			return err
		}
		q.workEstimate = time.Duration(workMillis * float64(time.Millisecond))
	}
	if v, ok := fields["need_mb"]; ok {
		if q.memoryMB, err = parseNumber("need_mb", v, 0, maxMemoryMB(s)); err != nil {
			return err
		}
	}
	return nil
}

// maxMemoryMB returns the largest memory estimate that is accepted.
func maxMemoryMB(s *policy.Settings) float64 {
	largest := 0.0
	for _, k := range s.Kinds {
		largest = max(largest, k.MemoryMB)
	}
	if largest == 0 {
		return math.MaxInt32
	}
	return largest * maxMachineMemories
}

// splitComment splits a statement into the fields of the comment at its start and the text after the comment.
func splitComment(statement string) (fields map[string]string, text string, err error) {
	body, ok := strings.CutPrefix(strings.TrimLeft(statement, " \t\r\n"), "/*")
	if !ok {
		return nil, "", &BadFieldError{"comment", "", "/* name=value,... */ before the statement"}
	}
	comment, text, ok := strings.Cut(body, "*/")
	if !ok {
		return nil, "", &BadFieldError{"comment", "", "a comment with */ at its end"}
	}
	fields = map[string]string{}
	for field := range strings.SplitSeq(comment, ",") {
		name, value, ok := strings.Cut(field, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		if _, twice := fields[name]; !ok || name == "" || twice || len(fields) == maxFields {
			return nil, "", &BadFieldError{"comment", field, "name=value, each name once"}
		}
		fields[name] = value
	}
	return fields, strings.TrimLeft(text, " \t\r\n"), nil
}

// isHex reports whether s consists of n hexadecimal digits.
func isHex(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// parseName returns the index i at which nameOf(i) is name, with i from 0 to n-1. The error names the field.
func parseName(field, name string, n int, nameOf func(int) string) (int, error) {
	var allowed []string
	for i := range n {
		if nameOf(i) == name && name != "" {
			return i, nil
		}
		allowed = append(allowed, nameOf(i))
	}
	return -1, &BadFieldError{field, name, strings.Join(allowed, ", ")}
}

// parseNumber parses a plain decimal number between two bounds; NaN, infinities, exponents and signs are not allowed. The error names the
// field.
func parseNumber(field, s string, minimum, maximum float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789.") != "" || !(v >= minimum && v <= maximum) {
		return 0, &BadFieldError{field, s, fmt.Sprintf("a number from %v to %v", minimum, maximum)}
	}
	return v, nil
}

// traits returns the traits by which the policy treats the query.
func (q *queryFields) traits() *classify.Traits {
	return &classify.Traits{Class: q.class, Tenant: q.tenant, Cost: q.workEstimate, MemoryMB: q.memoryMB, Tables: tableGroup(q.text)}
}
