package flightsql

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// sealedStatement is the content of tickets and prepared handles: all that any dispatcher with the same key needs to run the
// statement (docs/design-dispatcher.md compares this with starting the query at GetFlightInfo). Clients keep such tokens during an
// upgrade of the dispatchers, so the field numbers must not change.
type sealedStatement struct {
	user        string
	text        string
	serial      string   // identifies the ticket, so that its queries can be cancelled; "" in prepared handles
	params      [][]byte // bound parameters: FlightData messages
	transaction []byte   // token of the transaction in which it runs; nil: none
}

func (s sealedStatement) encode() []byte {
	b := flightwire.AppendBytes(nil, 1, s.user)
	b = flightwire.AppendBytes(b, 2, s.text)
	b = flightwire.AppendBytes(b, 3, s.serial)
	for _, p := range s.params {
		b = flightwire.AppendBytes(b, 4, p)
	}
	return flightwire.AppendBytes(b, 5, s.transaction)
}

func decodeStatement(b []byte) (sealedStatement, error) {
	fields, _, err := flightwire.Fields(b)
	if err != nil {
		return sealedStatement{}, malformed(err)
	}
	var s sealedStatement
	for _, f := range fields {
		switch f.Number {
		case 1:
			s.user = string(f.Value)
		case 2:
			s.text = string(f.Value)
		case 3:
			s.serial = string(f.Value)
		case 4:
			s.params = append(s.params, f.Value)
		case 5:
			s.transaction = f.Value
		}
	}
	return s, nil
}

// newSerial returns the serial number of a new ticket: 8 random bytes.
func newSerial() string {
	return string(binary.BigEndian.AppendUint64(nil, rand.Uint64()))
}

// encodeTransaction returns the content of a transaction's id: its user and where its state is. With it any dispatcher with the same
// key can continue the transaction, also this one after a restart (docs/design-session.md). Clients keep such ids during an
// upgrade, so the field numbers must not change.
func encodeTransaction(user string, s *frontend.StickySession) []byte {
	b := flightwire.AppendBytes(nil, 1, user)
	b = flightwire.AppendBytes(b, 2, s.ID)
	b = flightwire.AppendBytes(b, 3, s.Node)
	b = flightwire.AppendBytes(b, 4, s.Handle)
	b = flightwire.AppendBytes(b, 5, s.Tenant)
	if !s.Started.IsZero() {
		b = flightwire.AppendVarint(b, 6, uint64(s.Started.UnixMicro()))
	}
	return flightwire.AppendVarint(b, 7, uint64(s.Since.UnixMicro()))
}

func decodeTransaction(b []byte) (user string, s *frontend.StickySession, err error) {
	fields, varints, err := flightwire.Fields(b)
	if err != nil {
		return "", nil, malformed(err)
	}
	s = &frontend.StickySession{Since: time.UnixMicro(int64(varints[7]))}
	if v := varints[6]; v > 0 {
		s.Started = time.UnixMicro(int64(v))
	}
	for _, f := range fields {
		switch f.Number {
		case 1:
			user = string(f.Value)
		case 2:
			s.ID = string(f.Value)
		case 3:
			s.Node = string(f.Value)
		case 4:
			s.Handle = f.Value
		case 5:
			s.Tenant = string(f.Value)
		}
	}
	return user, s, nil
}

// openToken returns the payload of a sealed token. The error is a status: NotFound for an expired token, InvalidArgument for any
// other that cannot be opened.
func (f *Frontend) openToken(p seal.Purpose, token []byte) ([]byte, error) {
	b, err := f.options.Seal.Open(p, time.Now(), token)
	if errors.Is(err, seal.ErrExpired) {
		return nil, status.Errorf(codes.NotFound, "%v: ask for a new one", err)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return b, nil
}

// openStatement opens a ticket or prepared handle, which must have been made for the same user.
func (f *Frontend) openStatement(p seal.Purpose, c *caller, token []byte) (sealedStatement, error) {
	b, err := f.openToken(p, token)
	if err != nil {
		return sealedStatement{}, err
	}
	s, err := decodeStatement(b)
	if err == nil && s.user != c.user {
		return sealedStatement{}, status.Errorf(codes.PermissionDenied, "this %s was made for another user", p)
	}
	return s, err
}

// openTransaction opens a transaction's id, which must have been made for the same user. It returns nil for an empty id: the call
// belongs to no transaction.
func (f *Frontend) openTransaction(c *caller, token []byte) (*frontend.StickySession, error) {
	if len(token) == 0 {
		return nil, nil
	}
	b, err := f.openToken(seal.Transaction, token)
	if err != nil {
		return nil, err
	}
	user, s, err := decodeTransaction(b)
	if err == nil && user != c.user {
		return nil, status.Error(codes.PermissionDenied, "this transaction was begun by another user")
	}
	return s, err
}

// joinTransaction makes a query run in the transaction with this id; an empty id changes nothing.
func (f *Frontend) joinTransaction(c *caller, q *query, token []byte) error {
	s, err := f.openTransaction(c, token)
	if err != nil || s == nil {
		return err
	}
	q.transaction, q.call.TransactionHandle = s, s.Handle
	return nil
}

// openSavepoint opens a savepoint's id and returns its transaction and the node's handle of the savepoint.
func (f *Frontend) openSavepoint(c *caller, token []byte) (transaction *frontend.StickySession, handle []byte, err error) {
	b, err := f.openToken(seal.Savepoint, token)
	if err != nil {
		return nil, nil, err
	}
	if handle, err = flightwire.Field(b, 2); err != nil {
		return nil, nil, malformed(err)
	}
	inner, _ := flightwire.Field(b, 1) // field 2 was read, so the message is well formed
	transaction, err = f.openTransaction(c, inner)
	return transaction, handle, err
}
