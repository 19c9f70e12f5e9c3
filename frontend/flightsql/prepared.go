package flightsql

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
)

// createPrepared returns the schemas of a statement, which a node reports in a query or the cache holds, and a sealed handle that
// is bound to no node.
func (f *Frontend) createPrepared(c *caller, body []byte) ([]byte, error) {
	cmd, err := parseAction(body, "ActionCreatePreparedStatementRequest")
	if err != nil {
		return nil, err
	}
	s, err := f.parseStatement(cmd, false)
	if err != nil {
		return nil, err
	}
	if _, err := f.openTransaction(c, s.Transaction); err != nil {
		return nil, err
	}
	text := string(s.Text)
	described, err := f.cachedAnswer(c, "prepare\x00"+text, query{command: cmd.Name,
		call: &flightwire.Call{Kind: flightwire.Prepare, Text: text}})
	if err != nil {
		return nil, err
	}
	fields, varints, err := flightwire.Fields(described)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "what the node says of the statement cannot be read: %v", err)
	}
	result := flightwire.AppendBytes(nil, 1, f.sealPrepared(sealedStatement{user: c.user, text: text, transaction: s.Transaction}))
	for _, field := range fields { // dataset schema and parameter schema, as the node reported them
		if field.Number == 2 || field.Number == 3 {
			result = flightwire.AppendBytes(result, field.Number, field.Value)
		}
	}
	result = flightwire.AppendVarint(result, 4, varints[4])
	return flightwire.NewCommand("ActionCreatePreparedStatementResult", result), nil
}

// sealPrepared returns the handle of a prepared statement.
func (f *Frontend) sealPrepared(s sealedStatement) []byte {
	return f.options.Seal.Seal(seal.Prepared, time.Now().Add(f.intake.Settings().PreparedTTL), s.encode())
}

// closePrepared only checks the handle: the dispatcher keeps no state of a prepared statement that could be closed.
func (f *Frontend) closePrepared(c *caller, body []byte) ([]byte, error) {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return nil, malformed(err)
	}
	s, err := flightwire.ParseStatement(cmd.Body, true)
	if err != nil {
		return nil, malformed(err)
	}
	_, err = f.openStatement(seal.Prepared, c, s.Text)
	return nil, err
}

// bindParams receives the parameters of a prepared query and answers with a new handle that holds them
// (DoPutPreparedStatementResult).
func (f *Frontend) bindParams(c *caller, cmd flightwire.Command, first []byte) error {
	prepared, err := f.parseHandle(c, cmd)
	if err != nil {
		return err
	}
	if prepared.params, err = f.receiveParams(c.stream, first); err != nil {
		return err
	}
	result := flightwire.AppendBytes(nil, 1, f.sealPrepared(prepared))
	return send(c.stream, flightwire.AppendBytes(nil, 1, result))
}
