package flightwire

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

// Methods of arrow.flight.protocol.FlightService (Flight.proto).
const (
	Service           = "arrow.flight.protocol.FlightService"
	MethodHandshake   = "/" + Service + "/Handshake"
	MethodGetInfo     = "/" + Service + "/GetFlightInfo"
	MethodGetSchema   = "/" + Service + "/GetSchema"
	MethodDoGet       = "/" + Service + "/DoGet"
	MethodDoPut       = "/" + Service + "/DoPut"
	MethodDoAction    = "/" + Service + "/DoAction"
	MethodListActions = "/" + Service + "/ListActions"
)

// typePrefix is the prefix of the type URL of every Flight SQL command (FlightSql.proto wraps them in google.protobuf.Any).
const typePrefix = "type.googleapis.com/arrow.flight.protocol.sql."

// Bytes is a length-delimited field of a message.
type Bytes struct {
	Number int
	Value  []byte
}

// Fields returns the length-delimited fields of a message in order, and its varints by field number, of which the last
// value counts. Fields of other wire types are skipped. The values point into b.
func Fields(b []byte) (fields []Bytes, varints map[int]uint64, err error) {
	size := len(b)
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, nil, fmt.Errorf("tag at byte %d: %w", size-len(b), protowire.ParseError(n))
		}
		offset := size - len(b)
		b = b[n:]
		switch typ {
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return nil, nil, fmt.Errorf("field %d at byte %d: %w", num, offset, protowire.ParseError(n))
			}
			fields, b = append(fields, Bytes{int(num), v}), b[n:]
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, nil, fmt.Errorf("field %d at byte %d: %w", num, offset, protowire.ParseError(n))
			}
			if varints == nil {
				varints = map[int]uint64{}
			}
			varints[int(num)], b = v, b[n:]
		default:
			n := protowire.ConsumeFieldValue(num, typ, b)
			if n < 0 {
				return nil, nil, fmt.Errorf("field %d at byte %d: %w", num, offset, protowire.ParseError(n))
			}
			b = b[n:]
		}
	}
	return fields, varints, nil
}

// Field returns the last value of a length-delimited field, as protobuf reads a singular field; nil if it is absent.
func Field(b []byte, number int) ([]byte, error) {
	fields, _, err := Fields(b)
	if err != nil {
		return nil, err
	}
	var v []byte
	for _, f := range fields {
		if f.Number == number {
			v = f.Value
		}
	}
	return v, nil
}

// AppendBytes appends a length-delimited field; an empty value is left out, as in proto3.
func AppendBytes[T ~string | ~[]byte](b []byte, number int, v T) []byte {
	if len(v) == 0 {
		return b
	}
	b = protowire.AppendTag(b, protowire.Number(number), protowire.BytesType)
	return protowire.AppendBytes(b, []byte(v))
}

// AppendVarint appends a varint field; zero is left out, as in proto3.
func AppendVarint(b []byte, number int, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, protowire.Number(number), protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// Command is a Flight SQL command, or the body of an action, unpacked from its Any.
type Command struct {
	Name string // message name, such as CommandStatementQuery
	Body []byte // the message, encoded
	Any  []byte // the whole Any, as received
}

// ParseCommand unpacks a google.protobuf.Any that holds a Flight SQL message.
func ParseCommand(b []byte) (Command, error) {
	fields, _, err := Fields(b)
	if err != nil {
		return Command{}, fmt.Errorf("command: %w", err)
	}
	c := Command{Any: b}
	url := ""
	for _, f := range fields {
		switch f.Number {
		case 1:
			url = string(f.Value)
		case 2:
			c.Body = f.Value
		}
	}
	if len(url) <= len(typePrefix) || url[:len(typePrefix)] != typePrefix {
		if len(url) > 80 {
			url = url[:80] + "..."
		}
		return Command{}, fmt.Errorf("command: type %q, allowed are those that start with %q", url, typePrefix)
	}
	c.Name = url[len(typePrefix):]
	return c, nil
}

// NewCommand packs an encoded message into an Any.
func NewCommand(name string, body []byte) []byte {
	return AppendBytes(AppendBytes(nil, 1, typePrefix+name), 2, body)
}

// Statement is the content of the messages with a statement (CommandStatementQuery, CommandStatementUpdate,
// ActionCreatePreparedStatementRequest) or with a handle, which has the same field number (CommandPreparedStatementQuery,
// CommandPreparedStatementUpdate, ActionClosePreparedStatementRequest, TicketStatementQuery).
type Statement struct {
	Text        []byte // field 1: the statement or the handle
	Transaction []byte // field 2: the transaction's id; nil: none
}

// ParseStatement reads the body of a command with a statement or, if handle is set, a handle. A statement must be UTF-8;
// a handle may be any bytes.
func ParseStatement(body []byte, handle bool) (Statement, error) {
	fields, _, err := Fields(body)
	if err != nil {
		return Statement{}, err
	}
	var s Statement
	for _, f := range fields {
		switch f.Number {
		case 1:
			s.Text = f.Value
		case 2:
			s.Transaction = f.Value
		}
	}
	if !handle && !utf8.Valid(s.Text) {
		return Statement{}, fmt.Errorf("field 1 (query): not UTF-8")
	}
	return s, nil
}

// StatementCommand builds a command that holds a statement or a handle, without a transaction.
func StatementCommand[T ~string | ~[]byte](name string, text T) []byte {
	return NewCommand(name, AppendBytes(nil, 1, text))
}

// Descriptor builds a FlightDescriptor of type CMD.
func Descriptor(cmd []byte) []byte {
	return AppendBytes(AppendVarint(nil, 1, 2), 2, cmd)
}

// ParseDescriptor returns the command of a FlightDescriptor, which must be of type CMD: Flight SQL uses no other.
func ParseDescriptor(b []byte) ([]byte, error) {
	fields, varints, err := Fields(b)
	if err != nil {
		return nil, fmt.Errorf("FlightDescriptor: %w", err)
	}
	if varints[1] != 2 {
		return nil, fmt.Errorf("FlightDescriptor: type %d, allowed is 2 (CMD)", varints[1])
	}
	for _, f := range fields {
		if f.Number == 2 {
			return f.Value, nil
		}
	}
	return nil, nil
}

// FirstTicket returns the ticket of the first endpoint of a FlightInfo, and the number of its endpoints.
func FirstTicket(info []byte) (ticket []byte, endpoints int, err error) {
	fields, _, err := Fields(info)
	if err != nil {
		return nil, 0, fmt.Errorf("FlightInfo: %w", err)
	}
	for _, f := range fields {
		if f.Number != 3 {
			continue
		}
		if endpoints++; endpoints == 1 {
			if ticket, err = Field(f.Value, 1); err == nil {
				ticket, err = Field(ticket, 1)
			}
			if err != nil {
				return nil, 0, fmt.Errorf("FlightInfo: endpoint: %w", err)
			}
		}
	}
	return ticket, endpoints, nil
}

// FlightInfo builds a FlightInfo with one endpoint. The endpoint has no location: the ticket is redeemed at the service
// that returned the FlightInfo. schema is an encapsulated IPC message or empty; the total records and bytes are -1, which
// means unknown. expires is in Unix seconds; 0 leaves the expiration out.
func FlightInfo(schema, descriptor, ticket []byte, expires int64) []byte {
	endpoint := AppendBytes(nil, 1, AppendBytes(nil, 1, ticket))
	if expires > 0 {
		endpoint = AppendBytes(endpoint, 3, AppendVarint(nil, 1, uint64(expires)))
	}
	b := AppendBytes(nil, 1, schema)
	b = AppendBytes(b, 2, descriptor)
	b = AppendBytes(b, 3, endpoint)
	b = AppendVarint(b, 4, ^uint64(0))
	return AppendVarint(b, 5, ^uint64(0))
}

// Action is a DoAction request.
type Action struct {
	Type string
	Body []byte
}

// ParseAction reads an Action message.
func ParseAction(b []byte) (Action, error) {
	fields, _, err := Fields(b)
	if err != nil {
		return Action{}, fmt.Errorf("Action: %w", err)
	}
	var a Action
	for _, f := range fields {
		switch f.Number {
		case 1:
			a.Type = string(f.Value)
		case 2:
			a.Body = f.Value
		}
	}
	return a, nil
}

// Encode returns the encoded Action message.
func (a Action) Encode() []byte { return AppendBytes(AppendBytes(nil, 1, a.Type), 2, a.Body) }

// Uint32s returns the values of a repeated uint32 field, packed or not.
func Uint32s(b []byte, number int) ([]uint32, error) {
	var out []uint32
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		b = b[n:]
		if int(num) == number && typ == protowire.BytesType {
			packed, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return nil, protowire.ParseError(n)
			}
			b = b[n:]
			for len(packed) > 0 {
				v, n := protowire.ConsumeVarint(packed)
				if n < 0 {
					return nil, protowire.ParseError(n)
				}
				out, packed = append(out, uint32(v)), packed[n:]
			}
			continue
		}
		if int(num) == number && typ == protowire.VarintType {
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, protowire.ParseError(n)
			}
			out, b = append(out, uint32(v)), b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
			return nil, protowire.ParseError(n)
		}
		b = b[n:]
	}
	return out, nil
}
