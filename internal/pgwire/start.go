package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
)

// Codes in a connection's first message: the protocol version of a start-up message, or the number that marks another request.
const (
	Version    = 3 << 16
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// Lengths of first messages, in bytes.
const (
	startHeaderBytes = 8     // length and code
	cancelBytes      = 16    // a CancelRequest: header, process number and secret
	maxStartBytes    = 10000 // a start-up message holds a few names
)

// Key identifies a session. A client gets it in BackendKeyData and sends it in a CancelRequest.
type Key struct{ Process, Secret uint32 }

// StartKind is the request that a connection's first message makes.
type StartKind int

// The kinds of first messages.
const (
	StartSession StartKind = iota // to start a session
	StartCancel                   // to cancel the query of the session with Start.Key
	StartTLS                      // for encryption, TLS or GSSAPI; the answer is one byte, 'N' where encryption is not supported
)

// Start is a connection's first message.
type Start struct {
	Kind   StartKind
	Key    Key               // set for StartCancel
	Params map[string]string // set for StartSession
}

// ReadStart reads a connection's first message.
func ReadStart(r *bufio.Reader) (Start, error) {
	var head [startHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Start{}, err
	}
	length, code := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if length < startHeaderBytes || length > maxStartBytes {
		return Start{}, malformed("first message of length %d; allowed: 8 to %d", int32(length), maxStartBytes)
	}
	switch code {
	case cancelCode:
		return readCancel(r, length)
	case sslCode, gssCode:
		if length != startHeaderBytes {
			return Start{}, malformed("encryption request of length %d; allowed: 8", length)
		}
		return Start{Kind: StartTLS}, nil
	case Version:
		body := make([]byte, length-startHeaderBytes)
		if _, err := io.ReadFull(r, body); err != nil {
			return Start{}, err
		}
		params, err := parseParameters(body)
		return Start{Kind: StartSession, Params: params}, err
	}
	return Start{}, malformed("protocol version %d.%d; supported: 3.0", code>>16, code&0xffff)
}

// readCancel reads the rest of a CancelRequest.
func readCancel(r *bufio.Reader, length uint32) (Start, error) {
	if length != cancelBytes {
		return Start{}, malformed("CancelRequest of length %d; allowed: 16", length)
	}
	var key [cancelBytes - startHeaderBytes]byte
	if _, err := io.ReadFull(r, key[:]); err != nil {
		return Start{}, err
	}
	return Start{Kind: StartCancel, Key: Key{binary.BigEndian.Uint32(key[:4]), binary.BigEndian.Uint32(key[4:])}}, nil
}

// parseParameters parses the parameter names and values of a start-up message; an empty name ends the list.
func parseParameters(body []byte) (map[string]string, error) {
	params := map[string]string{}
	for {
		name, rest, ok := bytes.Cut(body, []byte{0})
		if !ok {
			return nil, malformed("start-up parameters without a terminating zero byte")
		}
		if len(name) == 0 {
			if len(rest) > 0 {
				return nil, malformed("%d bytes after the end of the start-up parameters", len(rest))
			}
			return params, nil
		}
		value, rest, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			return nil, malformed("start-up parameter %q without a value", name)
		}
		params[string(name)] = string(value)
		body = rest
	}
}
