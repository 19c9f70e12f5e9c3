package flightsql

import (
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

// doPut runs an update, or binds the parameters of a prepared query.
func (f *Frontend) doPut(stream grpc.ServerStream) error {
	c, first, err := f.receiveFirst(stream)
	if err != nil {
		return err
	}
	descriptor, err := flightwire.Field(first, 1)
	if err != nil {
		return malformedMessage("FlightData", err)
	}
	cmd, err := describedCommand(descriptor)
	if err != nil {
		return err
	}
	q := query{command: cmd.Name, call: &flightwire.Call{Kind: flightwire.Update}}
	switch cmd.Name {
	case "CommandStatementUpdate":
		err = f.setUpdate(c, &q, cmd)
	case "CommandPreparedStatementUpdate":
		err = f.setPreparedUpdate(c, &q, cmd, first)
	case "CommandPreparedStatementQuery":
		return f.bindParams(c, cmd, first)
	default:
		err = status.Errorf(codes.Unimplemented, "DoPut of %s is not served here", cmd.Name)
	}
	if err != nil {
		return err
	}
	outcome, err := f.executeServed(c, &q)
	if err != nil {
		return err
	}
	return send(stream, outcome.Result.([]byte))
}

// setUpdate sets the statement and transaction of a query from a CommandStatementUpdate.
func (f *Frontend) setUpdate(c *caller, q *query, cmd flightwire.Command) error {
	s, err := f.parseStatement(cmd, false)
	if err != nil {
		return err
	}
	q.statement = string(s.Text)
	if err := f.joinTransaction(c, q, s.Transaction); err != nil {
		return err
	}
	q.setStatement("CommandStatementUpdate", q.statement, nil)
	return nil
}

// setPreparedUpdate sets the statement and transaction of a query from a prepared update, and its parameters from the messages that
// the client sends.
func (f *Frontend) setPreparedUpdate(c *caller, q *query, cmd flightwire.Command, first []byte) error {
	prepared, err := f.parseHandle(c, cmd)
	if err != nil {
		return err
	}
	params, err := f.receiveParams(c.stream, first)
	if err != nil {
		return err
	}
	q.statement = prepared.text
	if err := f.joinTransaction(c, q, prepared.transaction); err != nil {
		return err
	}
	q.setStatement("CommandStatementUpdate", prepared.text, params)
	return nil
}

// receiveParams receives the parameters of a prepared statement: all FlightData messages of a DoPut, of which the first also has the
// descriptor. It returns the messages without descriptors and leaves out empty ones; nil if no message has a header, which means that
// there are no parameters.
func (f *Frontend) receiveParams(stream grpc.ServerStream, first []byte) ([][]byte, error) {
	var params [][]byte
	size, hasHeader := 0, false
	for message := first; ; {
		param, header, err := withoutDescriptor(message)
		if err != nil {
			return nil, err
		}
		hasHeader = hasHeader || header
		maxBytes := f.intake.Settings().MaxParameterBytes // read for each message: the settings may change while the client sends
		if size += len(param); size > maxBytes {
			return nil, status.Errorf(codes.InvalidArgument, "parameters of more than %d bytes", maxBytes)
		}
		if len(param) > 0 {
			params = append(params, param)
		}
		message, err = receive(stream)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if !hasHeader {
		return nil, nil
	}
	return params, nil
}

// withoutDescriptor returns a FlightData message without its descriptor (field 1), and whether it has a header (field 2). Only
// length-delimited fields are kept; FlightData has no others.
func withoutDescriptor(message []byte) (rest []byte, hasHeader bool, err error) {
	fields, _, err := flightwire.Fields(message)
	if err != nil {
		return nil, false, malformed(err)
	}
	for _, field := range fields {
		if field.Number != 1 {
			rest = flightwire.AppendBytes(rest, field.Number, field.Value)
			hasHeader = hasHeader || field.Number == 2
		}
	}
	return rest, hasHeader, nil
}
