package flightsql

import (
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
	"embershunt/session"
)

// beginTransaction begins a transaction on a node that the dispatcher chooses. All later statements of the transaction go to that node.
func (f *Frontend) beginTransaction(c *caller, body []byte) ([]byte, error) {
	if f.options.Sessions == nil {
		return nil, status.Error(codes.Unimplemented, "transactions are not served here")
	}
	const name = "ActionBeginTransactionRequest"
	if _, err := parseAction(body, name); err != nil {
		return nil, err
	}
	q := actionQuery("BeginTransaction", name, nil)
	q.statement = "BEGIN"
	q.boundary = &frontend.Statement{Kind: session.Begin, ID: frontend.NewSessionID(), Handle: resultHandle}
	// The node's timeout applies if this dispatcher fails. It is half as long again as the dispatcher's own, so that a dispatcher that
	// runs ends the transaction first.
	if f.options.TransactionIdleTimeout > 0 {
		q.call.Headers = append(q.call.Headers, flightwire.HeaderIdle,
			strconv.FormatInt((f.options.TransactionIdleTimeout+f.options.TransactionIdleTimeout/2).Milliseconds(), 10))
	}
	if _, err := f.executeServed(c, q); err != nil {
		return nil, err
	}
	token := f.options.Seal.Seal(seal.Transaction, time.Now().Add(f.options.TransactionMaxAge), encodeTransaction(c.user, q.newTransaction))
	return flightwire.StatementCommand("ActionBeginTransactionResult", token), nil
}

// endTransaction commits a transaction or rolls it back. A commit is sent once. If its answer is lost, it is not known whether the
// commit happened, and the error says so.
func (f *Frontend) endTransaction(c *caller, body []byte) ([]byte, error) {
	const name = "ActionEndTransactionRequest"
	token, end, err := parseEnd(body, name)
	if err != nil {
		return nil, err
	}
	transaction, err := f.openTransaction(c, token)
	if err != nil {
		return nil, err
	}
	kind, text := session.Commit, "COMMIT"
	if end == flightwire.EndRollback {
		kind, text = session.Rollback, "ROLLBACK"
	}
	q := actionQuery("EndTransaction", name, flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, transaction.Handle), 2, end))
	q.statement = text
	q.boundary = &frontend.Statement{Kind: kind, Token: transaction}
	_, err = f.executeServed(c, q)
	return nil, err
}

// beginSavepoint sets a savepoint. The savepoint's id seals the transaction's id and the node's handle of the savepoint.
func (f *Frontend) beginSavepoint(c *caller, body []byte) ([]byte, error) {
	const name = "ActionBeginSavepointRequest"
	cmd, err := parseAction(body, name)
	if err != nil {
		return nil, err
	}
	token, err := flightwire.Field(cmd.Body, 1)
	if err != nil {
		return nil, malformed(err)
	}
	transaction, err := f.openTransaction(c, token)
	if err != nil {
		return nil, err
	}
	if transaction == nil {
		return nil, status.Error(codes.InvalidArgument, "ActionBeginSavepointRequest: field 1 (transaction_id) is empty")
	}
	label, _ := flightwire.Field(cmd.Body, 2) // field 1 was read, so the message is well formed
	q := actionQuery("BeginSavepoint", name, flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, transaction.Handle), 2, label))
	q.statement = "SAVEPOINT"
	q.boundary = &frontend.Statement{Kind: session.Plain, Token: transaction}
	outcome, err := f.executeServed(c, q)
	if err != nil {
		return nil, err
	}
	inner := flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, token), 2, resultHandle(outcome))
	savepoint := f.options.Seal.Seal(seal.Savepoint, time.Now().Add(f.options.TransactionMaxAge), inner)
	return flightwire.StatementCommand("ActionBeginSavepointResult", savepoint), nil
}

// endSavepoint releases a savepoint or rolls back to it.
func (f *Frontend) endSavepoint(c *caller, body []byte) ([]byte, error) {
	const name = "ActionEndSavepointRequest"
	token, end, err := parseEnd(body, name)
	if err != nil {
		return nil, err
	}
	transaction, handle, err := f.openSavepoint(c, token)
	if err != nil {
		return nil, err
	}
	q := actionQuery("EndSavepoint", name, flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, handle), 2, end))
	q.statement = "ROLLBACK TO"
	q.boundary = &frontend.Statement{Kind: session.Plain, Token: transaction}
	_, err = f.executeServed(c, q)
	return nil, err
}

// actionQuery returns a query that runs an action on a node. name is the name of the action's message, request its encoded content.
func actionQuery(action, name string, request []byte) *query {
	return &query{command: name, call: &flightwire.Call{Kind: flightwire.DoAction,
		Action: flightwire.Action{Type: action, Body: flightwire.NewCommand(name, request)}}}
}

// resultHandle returns the node's handle of the transaction or savepoint that it began: field 1 of its
// ActionBeginTransactionResult or ActionBeginSavepointResult; nil if that cannot be read.
func resultHandle(outcome dispatch.Outcome) []byte {
	b, _ := outcome.Result.([]byte)
	c, err := flightwire.ParseCommand(b)
	if err != nil {
		return nil
	}
	h, _ := flightwire.Field(c.Body, 1) // nil on an error
	return h
}

// parseEnd reads a request that ends a transaction or savepoint. Field 1 is its token, field 2 is flightwire.EndCommit or EndRollback.
func parseEnd(body []byte, name string) (token []byte, end uint64, err error) {
	cmd, err := parseAction(body, name)
	if err != nil {
		return nil, 0, err
	}
	_, varints, err := flightwire.Fields(cmd.Body)
	if err != nil {
		return nil, 0, malformed(err)
	}
	if token, err = flightwire.Field(cmd.Body, 1); err != nil || len(token) == 0 {
		return nil, 0, status.Errorf(codes.InvalidArgument, "%s: field 1 is empty", name)
	}
	if end = varints[2]; end != flightwire.EndCommit && end != flightwire.EndRollback {
		return nil, 0, status.Errorf(codes.InvalidArgument, "%s: field 2 is %d, allowed are 1 and 2", name, end)
	}
	return token, end, nil
}
