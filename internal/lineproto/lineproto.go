// Package lineproto implements the line protocol between dispatchers and query nodes: a dispatcher sends commands with a request id, a node
// sends answers in any order, and a statement or body follows its stated length. The length of an answer is bounded, and a malformed answer
// ends the connection.
//
//	command: VERB id [arguments] CR LF, and for GET the statement with a CR LF of its own
//	answer:  id kind name=value,... length CR LF body CR LF; "-" stands for no fields
package lineproto

import "fmt"

// Bounds of an answer, in bytes.
const (
	maxLineBytes   = 1024  // with CR LF
	maxBodyBytes   = 6000  // of one page
	maxResultBytes = 48000 // of all pages
)

// FormatError means that a node sent a malformed answer; nothing after it on the connection can be read.
type FormatError struct{ Detail string }

// Error describes the malformed answer.
func (e *FormatError) Error() string { return "lineproto: " + e.Detail }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// maxIDBytes bounds an id or an idempotency key.
const maxIDBytes = 64

// IsToken reports whether s may be an id or an idempotency key: 1 to 64 letters, digits, '-', '_' or '.'.
func IsToken(s string) bool {
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return true
}

func isTokenByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.'
}
