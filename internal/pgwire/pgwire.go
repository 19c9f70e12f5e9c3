// Package pgwire has the messages of the PostgreSQL wire protocol 3.0 that a dispatcher and its clients exchange: start-up, simple query,
// rows, errors, cancel (PostgreSQL documentation, "Frontend/Backend Protocol"). It is bounded and decides nothing: what to answer is up to
// the frontend.
package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// FormatError means that a peer sent what is malformed; nothing further on its connection can be read.
type FormatError struct{ What string }

// Error names what cannot be parsed.
func (e *FormatError) Error() string { return "pgwire: " + e.What }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// Types of a client's messages.
const (
	Query     = 'Q'
	Terminate = 'X'
)

// ErrTooLong means that a message is longer than allowed; its body has not been read.
var ErrTooLong = errors.New("pgwire: message too long")

// readChunkBytes is how much memory is allocated for a body before its bytes are there.
const readChunkBytes = 4 << 10

// ReadMessage reads one message of at most maxBytes into buf, which it returns grown as far as needed. Memory follows what was received,
// not the length that a client announces.
func ReadMessage(r *bufio.Reader, buf []byte, maxBytes int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf[:0], err
	}
	kind = head[0]
	length := int64(binary.BigEndian.Uint32(head[1:])) // with itself
	if length < 4 || length > 1<<31-1 {
		return kind, buf[:0], malformed("message of length %d", int32(length))
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

// Statement is the text of a Query's body.
func Statement(body []byte) (string, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", malformed("statement without its end")
	}
	if end != len(body)-1 {
		return "", malformed("%d bytes after the statement", len(body)-1-end)
	}
	return string(body[:end]), nil
}
