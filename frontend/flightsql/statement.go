package flightsql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/dispatch"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// sealed is what tickets and prepared handles hold: all that is needed to run the statement at any dispatcher with
// the same key (docs/design-dispatcher.md weighs this against a query that starts at GetFlightInfo).
type sealed struct {
	user   string
	text   string
	serial string // tells the tickets apart, for cancels
	params [][]byte
	tx     []byte // token of the transaction that it belongs to
}

func (s sealed) encode() []byte {
	b := flightwire.AppendBytes(nil, 1, s.user)
	b = flightwire.AppendBytes(b, 2, s.text)
	b = flightwire.AppendBytes(b, 3, s.serial)
	for _, p := range s.params {
		b = flightwire.AppendBytes(b, 4, p)
	}
	return flightwire.AppendBytes(b, 5, s.tx)
}

func decodeSealed(b []byte) (sealed, error) {
	fields, _, err := flightwire.Fields(b)
	if err != nil {
		return sealed{}, malformed(err)
	}
	var s sealed
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
			s.tx = f.Value
		}
	}
	return s, nil
}

func newSerial() string {
	return string(binary.BigEndian.AppendUint64(nil, rand.Uint64()))
}

// unseal opens a ticket or handle that was made for this user.
func (f *Front) unseal(p seal.Purpose, c *caller, token []byte) (sealed, error) {
	b, err := f.open(p, token)
	if err != nil {
		return sealed{}, err
	}
	s, err := decodeSealed(b)
	if err == nil && s.user != c.user {
		return sealed{}, status.Errorf(codes.PermissionDenied, "this %s was made for another user", p)
	}
	return s, err
}

// getFlightInfo answers at once, without a query: the ticket holds the statement, and the query begins with DoGet.
func (f *Front) getFlightInfo(c *caller, request []byte) ([]byte, error) {
	cmd, err := f.described(request)
	if err != nil {
		return nil, err
	}
	switch cmd.Name {
	case "CommandStatementQuery":
		s, err := f.statement(cmd, false)
		if err != nil {
			return nil, err
		}
		if _, err := f.transaction(c, s.Transaction); err != nil {
			return nil, err
		}
		return f.info(request, sealed{user: c.user, text: string(s.Text), tx: s.Transaction}), nil
	case "CommandPreparedStatementQuery":
		s, err := flightwire.ParseStatement(cmd.Body, true)
		if err != nil {
			return nil, malformed(err)
		}
		p, err := f.unseal(seal.Prepared, c, s.Text)
		if err != nil {
			return nil, err
		}
		return f.info(request, p), nil
	case "CommandStatementSubstraitPlan":
		return nil, status.Error(codes.Unimplemented, "Substrait plans are not taken: send the statement as SQL")
	}
	if !isMetadata(cmd.Name) {
		return nil, status.Errorf(codes.Unimplemented, "%s is not known here", cmd.Name)
	}
	return flightwire.FlightInfo(nil, request, cmd.Any, 0), nil
}

// info is a FlightInfo whose ticket holds s.
func (f *Front) info(descriptor []byte, s sealed) []byte {
	s.serial = newSerial()
	expires := time.Now().Add(f.desk.Tables().TicketLife)
	ticket := f.opt.Seal.Seal(seal.Ticket, expires, s.encode())
	return flightwire.FlightInfo(nil, descriptor, flightwire.StatementCommand("TicketStatementQuery", ticket),
		expires.Unix())
}

// described reads the command in a FlightDescriptor.
func (f *Front) described(descriptor []byte) (flightwire.Command, error) {
	b, err := flightwire.ParseDescriptor(descriptor)
	if err != nil {
		return flightwire.Command{}, malformed(err)
	}
	cmd, err := flightwire.ParseCommand(b)
	if err != nil {
		return cmd, malformed(err)
	}
	return cmd, nil
}

// statement reads a command that holds a statement.
func (f *Front) statement(cmd flightwire.Command, handle bool) (flightwire.Statement, error) {
	s, err := flightwire.ParseStatement(cmd.Body, handle)
	switch {
	case err != nil:
		return s, malformed(err)
	case !handle && len(s.Text) > f.desk.Tables().MaxStatement:
		return s, status.Errorf(codes.InvalidArgument, "statement of %d bytes, allowed are %d", len(s.Text),
			f.desk.Tables().MaxStatement)
	case len(s.Text) == 0:
		return s, status.Errorf(codes.InvalidArgument, "%s: field 1 is empty", cmd.Name)
	}
	return s, nil
}

// doGet runs a query and streams its answer.
func (f *Front) doGet(stream grpc.ServerStream) error {
	c, request, err := f.opened(stream)
	if err != nil {
		return err
	}
	ticket, err := flightwire.Field(request, 1)
	if err != nil {
		return malformed(fmt.Errorf("Ticket: %w", err))
	}
	cmd, err := flightwire.ParseCommand(ticket)
	if err != nil {
		return malformed(err)
	}
	w := work{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Get, Sink: frames{stream}}}
	switch {
	case cmd.Name == "TicketStatementQuery":
		s, err := flightwire.ParseStatement(cmd.Body, true)
		if err != nil {
			return malformed(err)
		}
		p, err := f.unseal(seal.Ticket, c, s.Text)
		if err != nil {
			return err
		}
		w.statement, w.serial = p.text, p.serial
		if err := f.within(c, &w, p.tx); err != nil {
			return err
		}
		if p.params == nil {
			w.call.Command = statementIn("CommandStatementQuery", p.text, w.tx)
		} else {
			w.call.Text, w.call.Params = p.text, p.params
		}
	case cmd.Name == "CommandGetSqlInfo":
		return f.sqlInfo(cmd, stream)
	case isMetadata(cmd.Name):
		w.call.Command = cmd.Any
	default:
		return status.Errorf(codes.InvalidArgument, "ticket: %s is not known here", cmd.Name)
	}
	v, err := f.ask(c, &w)
	if err != nil {
		return err
	}
	return verdictError(v)
}

// doPut runs an update, or binds the parameters of a prepared query.
func (f *Front) doPut(stream grpc.ServerStream) error {
	c, first, err := f.opened(stream)
	if err != nil {
		return err
	}
	descriptor, err := flightwire.Field(first, 1)
	if err != nil {
		return malformed(fmt.Errorf("FlightData: %w", err))
	}
	cmd, err := f.described(descriptor)
	if err != nil {
		return err
	}
	w := work{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Update}}
	switch cmd.Name {
	case "CommandStatementUpdate":
		s, err := f.statement(cmd, false)
		if err != nil {
			return err
		}
		w.statement = string(s.Text)
		if err := f.within(c, &w, s.Transaction); err != nil {
			return err
		}
		w.call.Command = statementIn("CommandStatementUpdate", w.statement, w.tx)
	case "CommandPreparedStatementUpdate", "CommandPreparedStatementQuery":
		s, err := f.statement(cmd, true)
		if err != nil {
			return err
		}
		p, err := f.unseal(seal.Prepared, c, s.Text)
		if err != nil {
			return err
		}
		params, err := f.params(first, stream)
		if err != nil {
			return err
		}
		if cmd.Name == "CommandPreparedStatementQuery" {
			return f.bound(p, params, stream)
		}
		w.statement = p.text
		if err := f.within(c, &w, p.tx); err != nil {
			return err
		}
		if params == nil {
			w.call.Command = statementIn("CommandStatementUpdate", p.text, w.tx)
		} else {
			w.call.Text, w.call.Params = p.text, params
		}
	default:
		return status.Errorf(codes.Unimplemented, "DoPut of %s is not served here", cmd.Name)
	}
	v, err := f.ask(c, &w)
	if err == nil {
		err = verdictError(v)
	}
	if err != nil {
		return err
	}
	return stream.SendMsg(flightwire.NewFrame(v.Result.([]byte)))
}

// params reads the parameters that follow a descriptor: FlightData messages, kept as they are but for the descriptor.
// nil means that there are none.
func (f *Front) params(first []byte, stream grpc.ServerStream) ([][]byte, error) {
	var out [][]byte
	size, header := 0, false
	for message := first; ; {
		fields, _, err := flightwire.Fields(message)
		if err != nil {
			return nil, malformed(err)
		}
		var kept []byte
		for _, field := range fields {
			if field.Number != 1 {
				kept = flightwire.AppendBytes(kept, field.Number, field.Value)
				header = header || field.Number == 2
			}
		}
		if size += len(kept); size > f.desk.Tables().MaxParams {
			return nil, status.Errorf(codes.InvalidArgument, "parameters of more than %d bytes", f.desk.Tables().MaxParams)
		}
		if len(kept) > 0 {
			out = append(out, kept)
		}
		message, err = receive(stream)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if !header {
		return nil, nil
	}
	return out, nil
}

// bound answers with a handle that holds the parameters (DoPutPreparedStatementResult).
func (f *Front) bound(p sealed, params [][]byte, stream grpc.ServerStream) error {
	p.params = params
	handle := f.opt.Seal.Seal(seal.Prepared, time.Now().Add(f.desk.Tables().PreparedLife), p.encode())
	result := flightwire.AppendBytes(nil, 1, handle)
	return stream.SendMsg(flightwire.NewFrame(flightwire.AppendBytes(nil, 1, result)))
}

// getSchema asks a node for the schema of a statement, or takes it from the cache.
func (f *Front) getSchema(c *caller, request []byte) ([]byte, error) {
	cmd, err := f.described(request)
	if err != nil {
		return nil, err
	}
	w := work{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Schema, Command: cmd.Any}}
	switch {
	case cmd.Name == "CommandStatementQuery":
		s, err := f.statement(cmd, false)
		if err != nil {
			return nil, err
		}
		w.call.Command = flightwire.StatementCommand("CommandStatementQuery", s.Text)
	case cmd.Name == "CommandPreparedStatementQuery":
		s, err := f.statement(cmd, true)
		if err != nil {
			return nil, err
		}
		p, err := f.unseal(seal.Prepared, c, s.Text)
		if err != nil {
			return nil, err
		}
		w.call.Command = flightwire.StatementCommand("CommandStatementQuery", p.text)
	case !isMetadata(cmd.Name):
		return nil, status.Errorf(codes.Unimplemented, "%s is not known here", cmd.Name)
	}
	return f.cached(c, "schema\x00", w) // a schema runs nothing, so the statement says nothing of the effect
}

// cached asks what a node says of a statement, unless it said so of late. The key holds the user, since what a node
// tells may depend on it.
func (f *Front) cached(c *caller, key string, w work) ([]byte, error) {
	key = c.user + "\x00" + key + string(w.call.Command)
	if b, ok := f.schemas.Get(key, time.Now()); ok {
		return b, nil
	}
	v, err := f.ask(c, &w)
	if err != nil {
		return nil, err
	}
	if v.Kind != dispatch.Served {
		return nil, verdictError(v)
	}
	b := v.Result.([]byte)
	f.schemas.Put(key, b, time.Now())
	return b, nil
}
