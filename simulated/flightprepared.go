package simulated

import (
	"context"
	"fmt"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
)

// CreatePreparedStatement returns a handle that holds the statement's text, and the ID of its transaction if it has one.
func (s *flightServer) CreatePreparedStatement(_ context.Context, r arrowsql.ActionCreatePreparedStatementRequest) (arrowsql.ActionCreatePreparedStatementResult, error) {
	text := r.GetQuery()
	out := arrowsql.ActionCreatePreparedStatementResult{Handle: []byte(text)}
	if tx := r.GetTransactionId(); len(tx) > 0 {
		if err := s.node.useTransaction(tx, text); err != nil {
			return out, err
		}
		out.Handle = []byte(string(tx) + transactionSeparator + text)
	}
	if n := strings.Count(text, "?"); n > 0 {
		fields := make([]arrow.Field, n)
		for i := range fields {
			fields[i] = arrow.Field{Name: fmt.Sprintf("p%d", i+1), Type: arrow.PrimitiveTypes.Int64}
		}
		out.ParameterSchema = arrow.NewSchema(fields, nil)
	}
	if !isUpdate(text) {
		out.DatasetSchema = schemaOf(parseHints(text))
	}
	return out, nil
}

// ClosePreparedStatement does nothing, as the node keeps no state for a handle.
func (s *flightServer) ClosePreparedStatement(context.Context, arrowsql.ActionClosePreparedStatementRequest) error {
	return nil
}

// DoPutPreparedStatementQuery binds parameters. It returns a handle whose statement has a rows hint with the number of parameter
// rows, so that the result has as many rows.
func (s *flightServer) DoPutPreparedStatementQuery(_ context.Context, q arrowsql.PreparedStatementQuery, r flight.MessageReader, _ flight.MetadataWriter) ([]byte, error) {
	rows := 0
	for r.Next() {
		rows += int(r.RecordBatch().NumRows())
	}
	if r.Err() != nil {
		return nil, r.Err()
	}
	if tx, text, ok := strings.Cut(string(q.GetPreparedStatementHandle()), transactionSeparator); ok {
		return fmt.Appendf(nil, "%s%s/* rows=%d */ %s", tx, transactionSeparator, rows, text), nil
	}
	return fmt.Appendf(nil, "/* rows=%d */ %s", rows, q.GetPreparedStatementHandle()), nil
}

// GetFlightInfoPreparedStatement plans a prepared statement.
func (s *flightServer) GetFlightInfoPreparedStatement(_ context.Context, q arrowsql.PreparedStatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	tx, text, ok := strings.Cut(string(q.GetPreparedStatementHandle()), transactionSeparator)
	if !ok {
		tx, text = "", tx
	}
	return s.plan(d, text, []byte(tx))
}

// DoPutPreparedStatementUpdate runs a prepared update once and returns the number of its parameter rows.
func (s *flightServer) DoPutPreparedStatementUpdate(ctx context.Context, u arrowsql.PreparedStatementUpdate, r flight.MessageReader) (int64, error) {
	rows := int64(0)
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	tx, text, ok := strings.Cut(string(u.GetPreparedStatementHandle()), transactionSeparator)
	if !ok {
		tx, text = "", tx
	}
	_, err := s.update(ctx, text, []byte(tx))
	return rows, err
}
