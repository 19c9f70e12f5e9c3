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

// NoMemoryError means that the caller had no memory for a message's body; the body has been read and dropped.
type NoMemoryError struct{ BodyBytes int }

// Error tells the length of the message.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("pgwire: no memory for a message of %d bytes", e.BodyBytes)
}

// readChunkBytes is how many bytes are allocated first for a body. The rest is allocated only when those have arrived.
const readChunkBytes = 4 << 10

// ReadMessage reads one message whose body has at most maxBytes. It overwrites buf with the body and returns it, reallocated if it is too
// small. Of the length that a peer announces, little is allocated before the first part of the body has arrived.
func ReadMessage(r *bufio.Reader, buf []byte, maxBytes int) (kind byte, body []byte, err error) {
	return ReadMessageReserved(r, buf, maxBytes, func(int) bool { return true })
}

// ReadMessageReserved reads a message as ReadMessage does. Before it allocates a buffer it calls reserve with the buffer's size in bytes, which
// takes the place of the size before. If reserve returns false, the error is a *NoMemoryError.
func ReadMessageReserved(r *bufio.Reader, buf []byte, maxBytes int, reserve func(bytes int) bool) (kind byte, body []byte, err error) {
	kind, length, err := readHeader(r, maxBytes)
	if err != nil {
		return kind, buf[:0], err
	}
	body = buf[:0]
	for len(body) < length {
		at := len(body)
		if at == cap(body) {
			size := length
			if at == 0 {
				size = min(length, readChunkBytes)
			}
			if !reserve(size) {
				if err := discard(r, length-at); err != nil {
					return kind, nil, err
				}
				return kind, nil, &NoMemoryError{BodyBytes: length}
			}
			body = append(make([]byte, 0, size), body...)
		}
		body = body[:min(length, cap(body))]
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return kind, body[:at], unexpectedEOF(err)
		}
	}
	return kind, body, nil
}

// SkipMessage reads one message whose body has at most maxBytes, without keeping the body.
func SkipMessage(r *bufio.Reader, maxBytes int) (kind byte, err error) {
	kind, length, err := readHeader(r, maxBytes)
	if err != nil {
		return kind, err
	}
	return kind, discard(r, length)
}

// readHeader reads the type of a message and the length of its body, which has at most maxBytes.
func readHeader(r *bufio.Reader, maxBytes int) (kind byte, bodyBytes int, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, err
	}
	kind = head[0]
	length := int64(binary.BigEndian.Uint32(head[1:])) // includes its own 4 bytes
	if length < 4 || length > 1<<31-1 {
		return kind, 0, malformed("message of type %q with length %d", kind, int32(length))
	}
	if bodyBytes = int(length) - 4; bodyBytes > maxBytes {
		return kind, 0, ErrTooLong
	}
	return kind, bodyBytes, nil
}

// discard reads n bytes of a body and drops them.
func discard(r *bufio.Reader, n int) error {
	_, err := r.Discard(n)
	return unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF, which means that the connection ended between two messages, by io.ErrUnexpectedEOF, which means that it
// ended within one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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
