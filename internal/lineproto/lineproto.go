// Package lineproto has the line protocol between dispatchers and query nodes: commands with a request id, and answers in any order,
// whose bodies have a stated length. It is strict and bounded: what is malformed ends the connection.
//
//	command: VERB id [arguments] CR LF, and for GET the statement with a CR LF of its own
//	answer:  id kind name=value,... length CR LF body CR LF; "-" stands for no fields
package lineproto

import "fmt"

// Bounds of an answer, in bytes.
const (
	maxLineBytes   = 1024
	maxBodyBytes   = 6000  // of one page
	maxResultBytes = 48000 // of all pages
)

// FormatError means that a node sent what is malformed; nothing further on its connection can be read.
type FormatError struct{ What string }

// Error names what cannot be parsed.
func (e *FormatError) Error() string { return "lineproto: " + e.What }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// maxIDBytes bounds an id.
const maxIDBytes = 64

// IsToken reports whether a text may be an id: 1 to 64 letters, digits, '-', '_' or '.'.
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
