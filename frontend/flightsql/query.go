package flightsql

import (
	"errors"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/classify"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/nodelist"
	"embershunt/session"
)

// query is one query as this frontend makes it.
type query struct {
	call           *flightwire.Call
	statement      string                  // for its classification; "" where the command has none
	command        string                  // name of the command
	serial         string                  // of the ticket; "" where it has none
	transaction    *frontend.StickySession // that it belongs to; nil: none
	boundary       *frontend.Statement     // of what begins, ends or divides a transaction; nil: anything else
	newTransaction *frontend.StickySession // set by execute where a transaction was begun
}

// setStatement makes a query run a statement: with parameters to bind, or else as the command of that name.
func (q *query) setStatement(command, text string, params [][]byte) {
	if params == nil {
		q.call.Command = statementCommand(command, text, q.transaction)
		return
	}
	q.call.Text, q.call.Params = text, params
}

// statementCommand is a statement's command, in the node's transaction where there is one.
func statementCommand(name, text string, transaction *frontend.StickySession) []byte {
	body := flightwire.AppendBytes(nil, 1, text)
	if transaction != nil {
		body = flightwire.AppendBytes(body, 2, transaction.Handle)
	}
	return flightwire.NewCommand(name, body)
}

// sessionStatement is what a query means to its session; nil where it belongs to none.
func (q *query) sessionStatement() *frontend.Statement {
	if q.boundary == nil && q.transaction != nil {
		return &frontend.Statement{Kind: session.Plain, ReadOnly: classify.IsRead(q.statement), Token: q.transaction}
	}
	return q.boundary
}

// frames sends an answer's frames to the client.
type frames struct{ stream grpc.ServerStream }

var _ flightwire.Sink = frames{}

// Frame implements flightwire.Sink.
func (s frames) Frame(f *flightwire.Frame) error { return s.stream.SendMsg(f) }

// execute submits a query and waits for its outcome. The error is a status, of a query that has no outcome.
func (f *Front) execute(c *caller, q *query) (dispatch.Outcome, error) {
	if maxBytes := f.intake.Tables().MaxStatement; len(q.statement) > maxBytes {
		return dispatch.Outcome{}, errStatementSize(len(q.statement), maxBytes)
	}
	call := f.intakeCall(c, q)
	id := ""
	call.OnReceived = func(received string) {
		id = received
		f.running.add(q.serial, id)
	}
	v, err := f.submit(c, q, call)
	f.running.remove(q.serial, id)
	var ended *frontend.SessionError
	if errors.As(err, &ended) {
		return v, sessionError(ended)
	}
	if err != nil {
		return v, status.Error(codes.InvalidArgument, err.Error())
	}
	return v, nil
}

// executeServed is execute with an error for every outcome that is not served.
func (f *Front) executeServed(c *caller, q *query) (dispatch.Outcome, error) {
	v, err := f.execute(c, q)
	if err == nil {
		err = outcomeError(v)
	}
	return v, err
}

// intakeCall is a query as the intake takes it.
func (f *Front) intakeCall(c *caller, q *query) frontend.Call {
	f.loadOptions(c)
	call := frontend.Call{Protocol: nodelist.FlightSQL, Work: q.call, Facts: classify.Facts{User: c.user, Header: c.header, Option: c.option,
		Statement: q.statement, Command: q.command}}
	if deadline, ok := c.stream.Context().Deadline(); ok {
		call.Remaining = max(time.Until(deadline), 1)
	}
	for _, name := range f.options.PassHeaders {
		for _, value := range c.headers.Get(name) {
			q.call.Headers = append(q.call.Headers, name, value)
		}
	}
	return call
}

// submit hands a call to the intake, through its session where it belongs to one.
func (f *Front) submit(c *caller, q *query, call frontend.Call) (v dispatch.Outcome, err error) {
	statement := q.sessionStatement()
	if statement == nil {
		return f.intake.Execute(c.stream.Context(), call)
	}
	id := statement.ID
	if statement.Token != nil {
		id = statement.Token.ID
	}
	q.call.Headers = append(q.call.Headers, flightwire.HeaderSession, id)
	statement.OnDraining = func(remaining time.Duration) {
		// The header is advice; it can be set only until the first message of the answer.
		_ = c.stream.SetHeader(metadata.Pairs(flightwire.HeaderDrainsIn, strconv.FormatInt(remaining.Milliseconds(), 10)))
	}
	v, q.newTransaction, err = f.options.Sessions.Execute(c.stream.Context(), call, *statement)
	return v, err
}
