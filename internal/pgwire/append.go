package pgwire

import "encoding/binary"

// AppendStartupResponse appends the answer to a start-up message: AuthenticationOk (no password is asked for), a ParameterStatus for each
// of a few parameters, BackendKeyData with the session's key, and ReadyForQuery.
func AppendStartupResponse(b []byte, k Key) []byte {
	b = appendMessage(b, 'R', func(b []byte) []byte { return binary.BigEndian.AppendUint32(b, 0) })
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		b = appendMessage(b, 'S', func(b []byte) []byte { return appendString(appendString(b, p[0]), p[1]) })
	}
	b = appendMessage(b, 'K', func(b []byte) []byte {
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, k.Process), k.Secret)
	})
	return AppendReady(b)
}

// AppendReady appends ReadyForQuery with the status "idle, not in a transaction".
func AppendReady(b []byte) []byte {
	return appendMessage(b, 'Z', func(b []byte) []byte { return append(b, 'I') })
}

// AppendEmpty appends EmptyQueryResponse.
func AppendEmpty(b []byte) []byte {
	return appendMessage(b, 'I', func(b []byte) []byte { return b })
}

// Values of the fields that RowDescription has for each column.
const (
	textTypeOID   = 25
	variableSize  = 0xffff     // -1
	noModifier    = 0xffffffff // -1
	noTable       = 0
	noTableColumn = 0
	textFormat    = 0
)

// AppendColumns appends RowDescription for columns of type text.
func AppendColumns(b []byte, names ...string) []byte {
	return appendMessage(b, 'T', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint16(b, uint16(len(names)))
		for _, name := range names {
			b = appendString(b, name)
			b = binary.BigEndian.AppendUint32(b, noTable)
			b = binary.BigEndian.AppendUint16(b, noTableColumn)
			b = binary.BigEndian.AppendUint32(b, textTypeOID)
			b = binary.BigEndian.AppendUint16(b, variableSize)
			b = binary.BigEndian.AppendUint32(b, noModifier)
			b = binary.BigEndian.AppendUint16(b, textFormat)
		}
		return b
	})
}

// AppendRow appends DataRow. A nil column is sent as an empty text, not as NULL.
func AppendRow(b []byte, columns ...[]byte) []byte {
	return appendMessage(b, 'D', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint16(b, uint16(len(columns)))
		for _, c := range columns {
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(c))), c...)
		}
		return b
	})
}

// AppendComplete appends CommandComplete.
func AppendComplete(b []byte, tag string) []byte {
	return appendMessage(b, 'C', func(b []byte) []byte { return appendString(b, tag) })
}

// Severities of an error.
const (
	Error = "ERROR"
	Fatal = "FATAL" // the session ends after this error
)

// AppendError appends ErrorResponse; code is a SQLSTATE.
func AppendError(b []byte, severity, code, message string) []byte {
	return appendMessage(b, 'E', func(b []byte) []byte {
		for _, f := range []struct {
			kind byte
			text string
		}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}} {
			b = appendString(append(b, f.kind), f.text)
		}
		return append(b, 0)
	})
}

// appendMessage appends one message; appendBody appends its body. The length is filled in afterwards.
func appendMessage(b []byte, kind byte, appendBody func([]byte) []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	lengthAt := len(b) - 4
	b = appendBody(b)
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendString appends a string and its terminating zero byte.
func appendString(b []byte, s string) []byte { return append(append(b, s...), 0) }
