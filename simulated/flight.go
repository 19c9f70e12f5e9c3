package simulated

import (
	"context"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

// flightServer serves Flight SQL calls for a process of a node.
type flightServer struct {
	arrowsql.BaseServer
	node    *Node
	process *process
	ctx     context.Context // ends with the process
}

// flightInfo returns the answer to a planning call: one endpoint with the ticket, and the schema unless it is nil.
func (s *flightServer) flightInfo(d *flight.FlightDescriptor, ticket []byte, schema *arrow.Schema) *flight.FlightInfo {
	i := &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}}}
	if schema != nil {
		i.Schema = flight.SerializeSchema(schema, memory.DefaultAllocator)
	}
	return i
}

// transactionSeparator separates a transaction's ID from the statement in tickets and prepared statement handles.
const transactionSeparator = "\x00"

// plan returns a ticket that holds a statement, and the transaction's ID unless tx is empty.
func (s *flightServer) plan(d *flight.FlightDescriptor, query string, tx []byte) (*flight.FlightInfo, error) {
	if len(tx) > 0 {
		if err := s.node.useTransaction(tx, query); err != nil {
			return nil, err
		}
		query = string(tx) + transactionSeparator + query
	}
	ticket, err := arrowsql.CreateStatementQueryTicket([]byte(query))
	if err != nil {
		return nil, err
	}
	return s.flightInfo(d, ticket, schemaOf(parseHints(query))), nil
}

// GetFlightInfoStatement plans a statement; nothing runs yet.
func (s *flightServer) GetFlightInfoStatement(_ context.Context, q arrowsql.StatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.plan(d, q.GetQuery(), q.GetTransactionId())
}

// GetSchemaStatement returns the schema of a statement's result.
func (s *flightServer) GetSchemaStatement(_ context.Context, q arrowsql.StatementQuery, _ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	return &flight.SchemaResult{Schema: flight.SerializeSchema(schemaOf(parseHints(q.GetQuery())), memory.DefaultAllocator)}, nil
}

// DoGetStatement runs a planned statement.
func (s *flightServer) DoGetStatement(ctx context.Context, t arrowsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return s.query(ctx, string(t.GetStatementHandle()))
}

// query runs the statement of a ticket and streams its result.
func (s *flightServer) query(ctx context.Context, text string) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	if tx, statement, ok := strings.Cut(text, transactionSeparator); ok {
		if err := s.node.useTransaction([]byte(tx), statement); err != nil {
			return nil, nil, err
		}
		text = statement
	}
	h := parseHints(text)
	attempt := s.node.recordAttempt(ctx, text, false)
	if err := s.node.runStatement(ctx, s.process, attempt, h, nil); err != nil {
		return nil, nil, err
	}
	out := make(chan flight.StreamChunk)
	go s.streamRows(ctx, h, attempt, out) // ends with the call
	return schemaOf(h), out, nil
}

// DoPutCommandStatementUpdate runs an update.
func (s *flightServer) DoPutCommandStatementUpdate(ctx context.Context, u arrowsql.StatementUpdate) (int64, error) {
	return s.update(ctx, u.GetQuery(), u.GetTransactionId())
}

// update runs an update, in a transaction unless tx is empty, and returns the number of rows in the statement's hints.
func (s *flightServer) update(ctx context.Context, text string, tx []byte) (int64, error) {
	if err := s.node.useTransaction(tx, text); err != nil {
		return 0, err
	}
	h, attempt := parseHints(text), s.node.recordAttempt(ctx, text, true)
	err := s.node.runStatement(ctx, s.process, attempt, h, nil)
	if attempt.Ran {
		s.node.recordWrite(tx, text)
	}
	return int64(h.rows), err
}

// actionServer adds to a Flight SQL server the actions that change a running query's priority and release a session.
type actionServer struct {
	flight.FlightServer
	node    *Node
	process *process
}

// DoAction implements flight.FlightServer.
func (s *actionServer) DoAction(a *flight.Action, stream flight.FlightService_DoActionServer) error {
	switch a.GetType() {
	case flightwire.ActionRelease:
		s.node.releaseSession(string(a.GetBody()))
		return nil
	case flightwire.ActionResources:
		return s.setPriority(a.GetBody())
	}
	return s.FlightServer.DoAction(a, stream)
}

// setPriority sets the priority of a running query. In body, field 1 is the query ID and field 2 the priority plus one.
func (s *actionServer) setPriority(body []byte) error {
	fields, varints, err := flightwire.Fields(body)
	if err != nil || len(fields) == 0 || varints[2] == 0 {
		return status.Error(codes.InvalidArgument, "embershunt.terms: fields 1 (query ID) and 2 (priority plus one) are required")
	}
	machine := s.process.machine
	machine.update(func() {
		for _, j := range machine.jobs {
			if j.id == string(fields[0].Value) {
				j.priority = int(varints[2]) - 1
			}
		}
	})
	s.node.change(func() {}) // wakes callers of Await that check the priority
	return nil
}
