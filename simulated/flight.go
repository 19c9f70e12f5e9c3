package simulated

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql/schema_ref"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

// hints are a statement's comment: /* work_ms=120 threads=1 rows=1000 row_bytes=0 memory_mb=0 fail=... */
type hints struct {
	work    time.Duration
	threads float64
	rows    int
	bytes   int
	memory  float64
	fail    string
}

func parseHints(statement string) hints {
	h := hints{work: time.Millisecond, threads: 1, rows: 1}
	_, rest, _ := strings.Cut(statement, "/*")
	body, _, _ := strings.Cut(rest, "*/")
	for _, word := range strings.Fields(body) {
		name, value, _ := strings.Cut(word, "=")
		x, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "work_ms":
			h.work = time.Duration(x * float64(time.Millisecond))
		case "threads":
			h.threads = x
		case "rows":
			h.rows = int(x)
		case "row_bytes":
			h.bytes = int(x)
		case "memory_mb":
			h.memory = x
		case "fail":
			h.fail = value
		}
	}
	return h
}

func isUpdate(statement string) bool {
	first, _, _ := strings.Cut(strings.TrimSpace(statement), " ")
	switch strings.ToUpper(first) {
	case "INSERT", "UPDATE", "DELETE", "CREATE", "DROP":
		return true
	}
	return false
}

var resultSchema = arrow.NewSchema([]arrow.Field{{Name: "node", Type: arrow.BinaryTypes.String},
	{Name: "row", Type: arrow.PrimitiveTypes.Int64}}, nil)

var wideSchema = arrow.NewSchema(append(resultSchema.Fields(),
	arrow.Field{Name: "payload", Type: arrow.BinaryTypes.Binary}), nil)

func schemaOf(h hints) *arrow.Schema {
	if h.bytes > 0 {
		return wideSchema
	}
	return resultSchema
}

// flightServer is a node's Flight SQL side.
type flightServer struct {
	arrowsql.BaseServer
	node *Node
	life *life
	ctx  context.Context // ends with the node's life
}

func (s *flightServer) info(d *flight.FlightDescriptor, ticket []byte, schema *arrow.Schema) *flight.FlightInfo {
	i := &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}}}
	if schema != nil {
		i.Schema = flight.SerializeSchema(schema, memory.DefaultAllocator)
	}
	return i
}

// GetFlightInfoStatement plans a statement; nothing runs yet.
func (s *flightServer) GetFlightInfoStatement(_ context.Context, q arrowsql.StatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.planned(d, q.GetQuery(), q.GetTransactionId())
}

// txMark separates a transaction's id from the statement, in tickets and handles.
const txMark = "\x00"

func (s *flightServer) planned(d *flight.FlightDescriptor, query string, tx []byte) (*flight.FlightInfo, error) {
	if len(tx) > 0 {
		if err := s.node.within(tx, query); err != nil {
			return nil, err
		}
		query = string(tx) + txMark + query
	}
	ticket, err := arrowsql.CreateStatementQueryTicket([]byte(query))
	if err != nil {
		return nil, err
	}
	return s.info(d, ticket, schemaOf(parseHints(query))), nil
}

// GetSchemaStatement tells a statement's schema.
func (s *flightServer) GetSchemaStatement(_ context.Context, q arrowsql.StatementQuery, _ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	return &flight.SchemaResult{Schema: flight.SerializeSchema(schemaOf(parseHints(q.GetQuery())), memory.DefaultAllocator)}, nil
}

// DoGetStatement runs a planned statement.
func (s *flightServer) DoGetStatement(ctx context.Context, t arrowsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return s.query(ctx, string(t.GetStatementHandle()))
}

func (s *flightServer) query(ctx context.Context, text string) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	if tx, statement, ok := strings.Cut(text, txMark); ok {
		if err := s.node.within([]byte(tx), statement); err != nil {
			return nil, nil, err
		}
		text = statement
	}
	h := parseHints(text)
	seen := s.node.note(ctx, text, false)
	if err := s.node.work(ctx, s.life, seen, h, nil); err != nil {
		return nil, nil, err
	}
	out := make(chan flight.StreamChunk)
	go s.rows(ctx, h, seen, out)
	return schemaOf(h), out, nil
}

// rows makes the answer's batches, with the faults that strike in the middle.
func (s *flightServer) rows(ctx context.Context, h hints, seen *Seen, out chan<- flight.StreamChunk) {
	defer close(out)
	each := 1024
	if h.bytes > 0 {
		each = max(1, min(each, (256<<10)/h.bytes))
	}
	for sent := 0; sent < h.rows; {
		f := s.node.faults()
		n := min(each, h.rows-sent)
		for _, stop := range []int{f.StallRow, f.CutRow} {
			if stop > sent {
				n = min(n, stop-sent)
			}
		}
		if f.StallRow > 0 && sent >= f.StallRow {
			select {
			case <-ctx.Done():
			case <-s.ctx.Done():
			}
			return
		}
		if f.CutRow > 0 && sent >= f.CutRow {
			select {
			case out <- flight.StreamChunk{Err: status.Error(codes.Unavailable, "cut off")}:
			case <-ctx.Done():
			}
			return
		}
		select {
		case out <- flight.StreamChunk{Data: batch(s.node.Name, h, sent, n)}:
		case <-ctx.Done():
			return
		}
		sent += n
		s.node.mark(func() { seen.Rows = sent })
	}
}

func batch(node string, h hints, from, n int) arrow.RecordBatch {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schemaOf(h))
	defer b.Release()
	for i := range n {
		b.Field(0).(*array.StringBuilder).Append(node)
		b.Field(1).(*array.Int64Builder).Append(int64(from + i))
		if h.bytes > 0 {
			b.Field(2).(*array.BinaryBuilder).Append(make([]byte, h.bytes))
		}
	}
	return b.NewRecordBatch()
}

// DoPutCommandStatementUpdate runs an update.
func (s *flightServer) DoPutCommandStatementUpdate(ctx context.Context, u arrowsql.StatementUpdate) (int64, error) {
	return s.update(ctx, u.GetQuery(), u.GetTransactionId())
}

func (s *flightServer) update(ctx context.Context, text string, tx []byte) (int64, error) {
	if err := s.node.within(tx, text); err != nil {
		return 0, err
	}
	h, seen := parseHints(text), s.node.note(ctx, text, true)
	err := s.node.work(ctx, s.life, seen, h, nil)
	if seen.Ran {
		s.node.wrote(tx, text)
	}
	return int64(h.rows), err
}

// CreatePreparedStatement gives a handle that holds the statement itself.
func (s *flightServer) CreatePreparedStatement(_ context.Context, r arrowsql.ActionCreatePreparedStatementRequest) (arrowsql.ActionCreatePreparedStatementResult, error) {
	text := r.GetQuery()
	out := arrowsql.ActionCreatePreparedStatementResult{Handle: []byte(text)}
	if tx := r.GetTransactionId(); len(tx) > 0 {
		if err := s.node.within(tx, text); err != nil {
			return out, err
		}
		out.Handle = []byte(string(tx) + txMark + text)
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

// ClosePreparedStatement lets go of a handle.
func (s *flightServer) ClosePreparedStatement(context.Context, arrowsql.ActionClosePreparedStatementRequest) error {
	return nil
}

// DoPutPreparedStatementQuery binds parameters: their count of rows goes into the handle, as rows of the answer.
func (s *flightServer) DoPutPreparedStatementQuery(_ context.Context, q arrowsql.PreparedStatementQuery, r flight.MessageReader, _ flight.MetadataWriter) ([]byte, error) {
	rows := 0
	for r.Next() {
		rows += int(r.RecordBatch().NumRows())
	}
	if r.Err() != nil {
		return nil, r.Err()
	}
	if tx, text, ok := strings.Cut(string(q.GetPreparedStatementHandle()), txMark); ok {
		return fmt.Appendf(nil, "%s%s/* rows=%d */ %s", tx, txMark, rows, text), nil
	}
	return fmt.Appendf(nil, "/* rows=%d */ %s", rows, q.GetPreparedStatementHandle()), nil
}

// GetFlightInfoPreparedStatement plans a prepared statement.
func (s *flightServer) GetFlightInfoPreparedStatement(_ context.Context, q arrowsql.PreparedStatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	tx, text, ok := strings.Cut(string(q.GetPreparedStatementHandle()), txMark)
	if !ok {
		tx, text = "", tx
	}
	return s.planned(d, text, []byte(tx))
}

// DoPutPreparedStatementUpdate runs a prepared update with its parameters.
func (s *flightServer) DoPutPreparedStatementUpdate(ctx context.Context, u arrowsql.PreparedStatementUpdate, r flight.MessageReader) (int64, error) {
	rows := int64(0)
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	tx, text, ok := strings.Cut(string(u.GetPreparedStatementHandle()), txMark)
	if !ok {
		tx, text = "", tx
	}
	_, err := s.update(ctx, text, []byte(tx))
	return rows, err
}

// one is a metadata answer of a single text column.
func one(schema *arrow.Schema, rows ...string) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for _, r := range rows {
		for i := range schema.NumFields() {
			b.Field(i).(*array.StringBuilder).Append(r)
		}
	}
	out := make(chan flight.StreamChunk, 1)
	out <- flight.StreamChunk{Data: b.NewRecordBatch()}
	close(out)
	return schema, out, nil
}

// GetFlightInfoCatalogs and the others answer what a driver asks when it connects.
func (s *flightServer) GetFlightInfoCatalogs(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.info(d, d.Cmd, nil), nil
}

// DoGetCatalogs names one catalog.
func (s *flightServer) DoGetCatalogs(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return one(catalogs, "main")
}

// GetFlightInfoTableTypes plans the list of table types.
func (s *flightServer) GetFlightInfoTableTypes(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.info(d, d.Cmd, nil), nil
}

// DoGetTableTypes names one table type.
func (s *flightServer) DoGetTableTypes(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return one(tableTypes, "TABLE")
}

// GetFlightInfoSchemas plans the list of schemas.
func (s *flightServer) GetFlightInfoSchemas(_ context.Context, _ arrowsql.GetDBSchemas, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.info(d, d.Cmd, nil), nil
}

// DoGetDBSchemas names one schema.
func (s *flightServer) DoGetDBSchemas(context.Context, arrowsql.GetDBSchemas) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return one(schema_ref.DBSchemas, "main")
}

// GetFlightInfoTables plans the list of tables.
func (s *flightServer) GetFlightInfoTables(_ context.Context, _ arrowsql.GetTables, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.info(d, d.Cmd, nil), nil
}

// DoGetTables names one table.
func (s *flightServer) DoGetTables(context.Context, arrowsql.GetTables) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return one(schema_ref.Tables, "policy")
}

// GetFlightInfoXdbcTypeInfo plans the list of types.
func (s *flightServer) GetFlightInfoXdbcTypeInfo(_ context.Context, _ arrowsql.GetXdbcTypeInfo, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.info(d, d.Cmd, nil), nil
}

// DoGetXdbcTypeInfo names one type, without its other columns.
func (s *flightServer) DoGetXdbcTypeInfo(context.Context, arrowsql.GetXdbcTypeInfo) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return one(arrow.NewSchema([]arrow.Field{{Name: "type_name", Type: arrow.BinaryTypes.String}}, nil), "BIGINT")
}

var (
	catalogs   = arrow.NewSchema([]arrow.Field{{Name: "catalog_name", Type: arrow.BinaryTypes.String}}, nil)
	tableTypes = arrow.NewSchema([]arrow.Field{{Name: "table_type", Type: arrow.BinaryTypes.String}}, nil)
)

// termsServer adds the action that changes the priority of what runs.
type termsServer struct {
	flight.FlightServer
	node *Node
	life *life
}

// DoAction implements flight.FlightServer.
func (t *termsServer) DoAction(a *flight.Action, s flight.FlightService_DoActionServer) error {
	if a.GetType() == flightwire.ActionRelease {
		t.node.releaseSession(string(a.GetBody()))
		return nil
	}
	if a.GetType() != flightwire.ActionTerms {
		return t.FlightServer.DoAction(a, s)
	}
	fields, varints, err := flightwire.Fields(a.GetBody())
	if err != nil || len(fields) == 0 || varints[2] == 0 {
		return status.Error(codes.InvalidArgument, "embershunt.terms: wanted are fields 1 and 2")
	}
	t.life.machine.do(func() {
		for _, j := range t.life.machine.jobs {
			if j.id == string(fields[0].Value) {
				j.priority = int(varints[2]) - 1
			}
		}
	})
	t.node.mark(func() {})
	return nil
}
