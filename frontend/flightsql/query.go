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

// query is one query of a client, before it is submitted.
type query struct {
	call           *flightwire.Call
	statement      string                  // text by which the query is classified; "" where the command has none
	command        string                  // message name of the command, for classification too
	serial         string                  // of its ticket; "" where it has none
	transaction    *frontend.StickySession // in which it runs; nil: none
	boundary       *frontend.Statement     // set if it begins or ends a transaction or a savepoint; nil: any other query
	newTransaction *frontend.StickySession // set by execute if it began a transaction
}

// setStatement sets the statement that a query runs: with parameters to bind or, if params is nil, as the command of that name.
func (q *query) setStatement(command, text string, params [][]byte) {
	if params == nil {
		q.call.Command = statementCommand(command, text, q.transaction)
		return
	}
	q.call.Text, q.call.Params = text, params
}

// statementCommand builds the command of a statement, with the node's handle of its transaction if there is one.
func statementCommand(name, text string, transaction *frontend.StickySession) []byte {
	body := flightwire.AppendBytes(nil, 1, text)
	if transaction != nil {
		body = flightwire.AppendBytes(body, 2, transaction.Handle)
	}
	return flightwire.NewCommand(name, body)
}

// sessionStatement returns the query as a statement of its session; nil where it belongs to none.
func (q *query) sessionStatement() *frontend.Statement {
	if q.boundary == nil && q.transaction != nil {
		return &frontend.Statement{Kind: session.Plain, ReadOnly: classify.IsRead(q.statement), Token: q.transaction}
	}
	return q.boundary
}

// streamSink sends the frames of an answer to the client.
type streamSink struct{ stream grpc.ServerStream }

var _ flightwire.Sink = streamSink{}

// Frame implements flightwire.Sink.
func (s streamSink) Frame(f *flightwire.Frame) error { return s.stream.SendMsg(f) }

// execute submits a query and waits for its outcome. The error is a gRPC status, for a query without an outcome: its statement is too
// long, its hints are invalid, or its session rejected it or ended.
func (f *Frontend) execute(c *caller, q *query) (dispatch.Outcome, error) {
	if maxBytes := f.intake.Settings().MaxStatementBytes; len(q.statement) > maxBytes {
		return dispatch.Outcome{}, errStatementSize(len(q.statement), maxBytes)
	}
	call := f.intakeCall(c, q)
	id := ""
	call.OnReceived = func(received string) {
		id = received
		f.running.add(q.serial, id)
	}
	outcome, err := f.submit(c, q, call)
	f.running.remove(q.serial, id)
	var ended *frontend.SessionError
	if errors.As(err, &ended) {
		return outcome, sessionError(ended)
	}
	if err != nil {
		return outcome, status.Error(codes.InvalidArgument, err.Error())
	}
	return outcome, nil
}

// executeServed executes a query and returns an error for every outcome that is not served.
func (f *Frontend) executeServed(c *caller, q *query) (dispatch.Outcome, error) {
	outcome, err := f.execute(c, q)
	if err == nil {
		err = outcomeError(outcome)
	}
	return outcome, err
}

// intakeCall returns a query as a call for the intake, and adds the caller's forwarded headers to the query.
func (f *Frontend) intakeCall(c *caller, q *query) frontend.Call {
	f.loadOptions(c)
	call := frontend.Call{Protocol: nodelist.FlightSQL, Payload: q.call, Facts: classify.Facts{User: c.user, Header: c.header,
		Option: c.option, Statement: q.statement, Command: q.command}}
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

// submit submits a call, through Sessions where it belongs to a session, and waits for its outcome.
func (f *Frontend) submit(c *caller, q *query, call frontend.Call) (outcome dispatch.Outcome, err error) {
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
		// The header is advice, so an error is ignored: a header can be set only before the first message of the answer.
		_ = c.stream.SetHeader(metadata.Pairs(flightwire.HeaderDrainsIn, strconv.FormatInt(remaining.Milliseconds(), 10)))
	}
	outcome, q.newTransaction, err = f.options.Sessions.Execute(c.stream.Context(), call, *statement)
	return outcome, err
}
