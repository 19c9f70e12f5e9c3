// Package pgwire reads and writes the messages of the PostgreSQL wire protocol 3.0 that a dispatcher and its clients exchange: start-up,
// simple query, rows, errors and cancel (PostgreSQL documentation, "Frontend/Backend Protocol"). The length of every message is bounded.
// Package frontend/postgres decides what to answer.
package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// FormatError means that a peer sent a malformed message; nothing after it on the connection can be read.
type FormatError struct{ Detail string }

// Error describes the malformed message.
func (e *FormatError) Error() string { return "pgwire: " + e.Detail }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// Types of the messages that a client sends.
const (
	Query     = 'Q'
	Terminate = 'X'
)

// ErrTooLong means that a message's body is longer than the caller allows; the body has not been read.
var ErrTooLong = errors.New("pgwire: message too long")

// readChunkBytes is how many bytes ReadMessage allocates at most ahead of the part of a body that has arrived.
const readChunkBytes = 4 << 10

// ReadMessage reads one message whose body has at most maxBytes. It overwrites buf with the body and returns it, reallocated if it is too
// small. Memory grows with the bytes received, not with the length that the peer announces.
func ReadMessage(r *bufio.Reader, buf []byte, maxBytes int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf[:0], err
	}
	kind = head[0]
	length := int64(binary.BigEndian.Uint32(head[1:])) // includes its own 4 bytes
	if length < 4 || length > 1<<31-1 {
		return kind, buf[:0], malformed("message of type %q with length %d", kind, int32(length))
	}
	remaining := int(length) - 4
	if remaining > maxBytes {
		return kind, buf[:0], ErrTooLong
	}
	body = buf[:0]
	for remaining > 0 {
		n := min(remaining, readChunkBytes)
		at := len(body)
		if cap(body) < at+n {
			body = append(body, make([]byte, n)...)
		}
		body = body[:at+n]
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return kind, body[:at], err
		}
		remaining -= n
	}
	return kind, body, nil
}

// Statement returns the statement in the body of a Query message, without its terminating zero byte.
func Statement(body []byte) (string, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", malformed("statement without a terminating zero byte")
	}
	if end != len(body)-1 {
		return "", malformed("%d bytes after the end of the statement", len(body)-1-end)
	}
	return string(body[:end]), nil
}
