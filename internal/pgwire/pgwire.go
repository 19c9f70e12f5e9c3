// Package pgwire has the frames of the PostgreSQL wire protocol 3.0 that a dispatcher and its clients exchange: start-up,
// simple query, rows, errors, cancel. It is bounded and keeps no policy: what to answer is the front's affair.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Codes that stand in place of a protocol's version in a first message.
const (
	Version    = 3 << 16
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// startMost bounds a start-up message, in bytes: it holds a few names.
const startMost = 10000

// FormatError tells that a peer sent what cannot be read; nothing further on its connection can be.
type FormatError struct{ What string }

func (e *FormatError) Error() string { return "pgwire: " + e.What }

func malformed(format string, args ...any) error { return &FormatError{fmt.Sprintf(format, args...)} }

// Key names a session for a CancelRequest.
type Key struct{ Process, Secret uint32 }

// StartKind says what a first message asks for.
type StartKind int

// The kinds of first message.
const (
	StartSession StartKind = iota
	StartCancel            // Key names whose query is to be called off
	StartTLS               // the answer is one byte, 'N' where there is none
)

// Start is a first message.
type Start struct {
	Kind   StartKind
	Key    Key
	Params map[string]string
}

// ReadStart reads a connection's first message.
func ReadStart(r *bufio.Reader) (Start, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Start{}, err
	}
	length, code := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if length < 8 || length > startMost {
		return Start{}, malformed("first message of length %d, allowed are 8 to %d", int32(length), startMost)
	}
	switch code {
	case cancelCode:
		var key [8]byte
		if length != 16 {
			return Start{}, malformed("cancel request of length %d, allowed is 16", length)
		}
		if _, err := io.ReadFull(r, key[:]); err != nil {
			return Start{}, err
		}
		return Start{Kind: StartCancel, Key: Key{binary.BigEndian.Uint32(key[:4]), binary.BigEndian.Uint32(key[4:])}}, nil
	case sslCode, gssCode:
		if length != 8 {
			return Start{}, malformed("encryption request of length %d, allowed is 8", length)
		}
		return Start{Kind: StartTLS}, nil
	case Version:
	default:
		return Start{}, malformed("protocol version %d.%d, allowed is 3.0", code>>16, code&0xffff)
	}
	body := make([]byte, length-8)
	if _, err := io.ReadFull(r, body); err != nil {
		return Start{}, err
	}
	params, err := parameters(body)
	return Start{Kind: StartSession, Params: params}, err
}

func parameters(body []byte) (map[string]string, error) {
	params := map[string]string{}
	text := func() (string, bool) {
		for i, c := range body {
			if c == 0 {
				s := string(body[:i])
				body = body[i+1:]
				return s, true
			}
		}
		return "", false
	}
	for {
		name, ok := text()
		if !ok {
			return nil, malformed("start-up parameters without their end")
		}
		if name == "" {
			if len(body) > 0 {
				return nil, malformed("%d bytes after the start-up parameters", len(body))
			}
			return params, nil
		}
		value, ok := text()
		if !ok {
			return nil, malformed("start-up parameter %q without a value", name)
		}
		params[name] = value
	}
}

// Types of a client's messages.
const (
	Query     = 'Q'
	Terminate = 'X'
)

// ErrTooLong tells that a message is longer than allowed; its body has not been read.
var ErrTooLong = errors.New("pgwire: message too long")

// chunk is how much of a body is made room for before its bytes are there.
const chunk = 4 << 10

// ReadMessage reads one message of at most most bytes into buf, which it returns grown as far as needed. Memory follows
// what has come, not what a length announces.
func ReadMessage(r *bufio.Reader, buf []byte, most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf[:0], err
	}
	length := int64(binary.BigEndian.Uint32(head[1:]))
	if length < 4 || length > 1<<31-1 {
		return head[0], buf[:0], malformed("message of length %d", int32(length))
	}
	left := int(length) - 4
	if left > most {
		return head[0], buf[:0], ErrTooLong
	}
	body = buf[:0]
	for left > 0 {
		n := min(left, chunk)
		at := len(body)
		if cap(body) < at+n {
			body = append(body, make([]byte, n)...)
		}
		body = body[:at+n]
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return head[0], body[:at], err
		}
		left -= n
	}
	return head[0], body, nil
}

// Statement takes the text of a Query's body.
func Statement(body []byte) (string, error) {
	for i, c := range body {
		if c == 0 {
			if i != len(body)-1 {
				return "", malformed("%d bytes after the statement", len(body)-1-i)
			}
			return string(body[:i]), nil
		}
	}
	return "", malformed("statement without its end")
}

// message appends one message, whose body put writes.
func message(b []byte, kind byte, put func([]byte) []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	at := len(b) - 4
	b = put(b)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func text(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendWelcome appends all that follows a start-up message: no password, a few parameters, the key, ready.
func AppendWelcome(b []byte, k Key) []byte {
	b = message(b, 'R', func(b []byte) []byte { return binary.BigEndian.AppendUint32(b, 0) })
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		b = message(b, 'S', func(b []byte) []byte { return text(text(b, p[0]), p[1]) })
	}
	b = message(b, 'K', func(b []byte) []byte {
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, k.Process), k.Secret)
	})
	return AppendReady(b)
}

// AppendReady appends ReadyForQuery, outside of a transaction.
func AppendReady(b []byte) []byte {
	return message(b, 'Z', func(b []byte) []byte { return append(b, 'I') })
}

// AppendEmpty appends EmptyQueryResponse.
func AppendEmpty(b []byte) []byte { return message(b, 'I', func(b []byte) []byte { return b }) }

// textType is the type of text columns.
const textType = 25

// AppendColumns appends the description of text columns.
func AppendColumns(b []byte, names ...string) []byte {
	return message(b, 'T', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint16(b, uint16(len(names)))
		for _, name := range names {
			b = text(b, name)
			b = binary.BigEndian.AppendUint32(b, 0) // no table
			b = binary.BigEndian.AppendUint16(b, 0) // no column of it
			b = binary.BigEndian.AppendUint32(b, textType)
			b = binary.BigEndian.AppendUint16(b, 0xffff) // any size
			b = binary.BigEndian.AppendUint32(b, 0xffffffff)
			b = binary.BigEndian.AppendUint16(b, 0) // as text
		}
		return b
	})
}

// AppendRow appends one row.
func AppendRow(b []byte, columns ...[]byte) []byte {
	return message(b, 'D', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint16(b, uint16(len(columns)))
		for _, c := range columns {
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(c))), c...)
		}
		return b
	})
}

// AppendComplete appends CommandComplete.
func AppendComplete(b []byte, tag string) []byte {
	return message(b, 'C', func(b []byte) []byte { return text(b, tag) })
}

// Severities of an error.
const (
	Error = "ERROR"
	Fatal = "FATAL" // the session ends with it
)

// AppendError appends an ErrorResponse; code is a SQLSTATE.
func AppendError(b []byte, severity, code, words string) []byte {
	return message(b, 'E', func(b []byte) []byte {
		for _, f := range []struct {
			kind byte
			text string
		}{{'S', severity}, {'V', severity}, {'C', code}, {'M', words}} {
			b = text(append(b, f.kind), f.text)
		}
		return append(b, 0)
	})
}
