package flightsql

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/dispatch"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// getFlightInfo answers without a query: the ticket holds the statement or command, and DoGet starts the query.
func (f *Frontend) getFlightInfo(c *caller, request []byte) ([]byte, error) {
	cmd, err := describedCommand(request)
	if err != nil {
		return nil, err
	}
	switch cmd.Name {
	case "CommandStatementQuery":
		s, err := f.parseStatement(cmd, false)
		if err != nil {
			return nil, err
		}
		if _, err := f.openTransaction(c, s.Transaction); err != nil {
			return nil, err
		}
		return f.flightInfo(request, sealedStatement{user: c.user, text: string(s.Text), transaction: s.Transaction}), nil
	case "CommandPreparedStatementQuery":
		s, err := flightwire.ParseStatement(cmd.Body, true)
		if err != nil {
			return nil, malformed(err)
		}
		prepared, err := f.openStatement(seal.Prepared, c, s.Text)
		if err != nil {
			return nil, err
		}
		return f.flightInfo(request, prepared), nil
	case "CommandStatementSubstraitPlan":
		return nil, status.Error(codes.Unimplemented, "Substrait plans are not supported: send the statement as SQL")
	}
	if !isMetadata(cmd.Name) {
		return nil, errUnknownCommand(cmd)
	}
	return flightwire.FlightInfo(nil, request, cmd.Any, 0), nil
}

// flightInfo returns a FlightInfo whose ticket holds s with a new serial number.
func (f *Frontend) flightInfo(descriptor []byte, s sealedStatement) []byte {
	s.serial = newSerial()
	expires := time.Now().Add(f.intake.Settings().TicketTTL)
	ticket := f.options.Seal.Seal(seal.Ticket, expires, s.encode())
	return flightwire.FlightInfo(nil, descriptor, flightwire.StatementCommand("TicketStatementQuery", ticket),
		expires.Unix())
}

// describedCommand returns the command in a FlightDescriptor.
func describedCommand(descriptor []byte) (flightwire.Command, error) {
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

// parseStatement reads a command that holds a statement or, if handle is set, the handle of a prepared statement. Neither may be
// empty.
func (f *Frontend) parseStatement(cmd flightwire.Command, handle bool) (flightwire.Statement, error) {
	s, err := flightwire.ParseStatement(cmd.Body, handle)
	maxBytes := f.intake.Settings().MaxStatementBytes
	switch {
	case err != nil:
		return s, malformed(err)
	case !handle && len(s.Text) > maxBytes:
		return s, errStatementSize(len(s.Text), maxBytes)
	case len(s.Text) == 0:
		return s, status.Errorf(codes.InvalidArgument, "%s: field 1 is empty", cmd.Name)
	}
	return s, nil
}

// parseHandle opens the handle of a prepared statement in a command.
func (f *Frontend) parseHandle(c *caller, cmd flightwire.Command) (sealedStatement, error) {
	s, err := f.parseStatement(cmd, true)
	if err != nil {
		return sealedStatement{}, err
	}
	return f.openStatement(seal.Prepared, c, s.Text)
}

// doGet runs a query and streams its answer.
func (f *Frontend) doGet(stream grpc.ServerStream) error {
	c, request, err := f.receiveFirst(stream)
	if err != nil {
		return err
	}
	ticket, err := flightwire.Field(request, 1)
	if err != nil {
		return malformedMessage("Ticket", err)
	}
	cmd, err := flightwire.ParseCommand(ticket)
	if err != nil {
		return malformed(err)
	}
	q := query{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Get, Sink: streamSink{stream}}}
	switch {
	case cmd.Name == "TicketStatementQuery":
		if err := f.setTicket(c, &q, cmd); err != nil {
			return err
		}
	case cmd.Name == "CommandGetSqlInfo":
		return sendServerInfo(cmd, stream)
	case isMetadata(cmd.Name):
		q.call.Command = cmd.Any
	default:
		return status.Errorf(codes.InvalidArgument, "ticket: %s is not known here", cmd.Name)
	}
	_, err = f.executeServed(c, &q)
	return err
}

// setTicket sets the statement, parameters and transaction of a query from a ticket.
func (f *Frontend) setTicket(c *caller, q *query, cmd flightwire.Command) error {
	s, err := flightwire.ParseStatement(cmd.Body, true)
	if err != nil {
		return malformed(err)
	}
	ticket, err := f.openStatement(seal.Ticket, c, s.Text)
	if err != nil {
		return err
	}
	q.statement, q.serial = ticket.text, ticket.serial
	if err := f.joinTransaction(c, q, ticket.transaction); err != nil {
		return err
	}
	q.setStatement("CommandStatementQuery", ticket.text, ticket.params)
	return nil
}

// getSchema returns the schema of a statement's result, from a node or the cache.
func (f *Frontend) getSchema(c *caller, request []byte) ([]byte, error) {
	cmd, err := describedCommand(request)
	if err != nil {
		return nil, err
	}
	q := query{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Schema, Command: cmd.Any}}
	switch {
	case cmd.Name == "CommandStatementQuery":
		s, err := f.parseStatement(cmd, false)
		if err != nil {
			return nil, err
		}
		q.call.Command = flightwire.StatementCommand("CommandStatementQuery", s.Text)
	case cmd.Name == "CommandPreparedStatementQuery":
		prepared, err := f.parseHandle(c, cmd)
		if err != nil {
			return nil, err
		}
		q.call.Command = flightwire.StatementCommand("CommandStatementQuery", prepared.text)
	case !isMetadata(cmd.Name):
		return nil, errUnknownCommand(cmd)
	}
	return f.cachedAnswer(c, "schema\x00", q) // q.statement stays empty: GetSchema runs nothing, so it must not be classified as an update
}

// cachedAnswer returns a node's answer about a statement, from the cache unless it has expired there. The key contains the user,
// since the answer may depend on the user.
func (f *Frontend) cachedAnswer(c *caller, key string, q query) ([]byte, error) {
	key = c.user + "\x00" + key + string(q.call.Command)
	if b, ok := f.answerCache.Get(key, time.Now()); ok {
		return b, nil
	}
	outcome, err := f.execute(c, &q)
	if err != nil {
		return nil, err
	}
	if outcome.Kind != dispatch.Served {
		return nil, outcomeError(outcome)
	}
	b := outcome.Result.([]byte)
	f.answerCache.Put(key, b, time.Now())
	return b, nil
}
