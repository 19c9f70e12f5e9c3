package server_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	_ "github.com/apache/arrow-go/v18/arrow/flight/flightsql/driver"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
	"embershunt/simulated"
)

// longQuery runs for 3 s.
const longQuery = "SELECT 1 /* work_ms=3000 */"

func anyCancelled(s []simulated.AttemptRecord) bool {
	for _, x := range s {
		if x.Cancelled {
			return true
		}
	}
	return false
}

// A query whose client cancels or disconnects is cancelled on its node, a query whose ticket is never fetched reaches no node, and a
// query with too short a deadline fails without harm to later queries.
func TestAbandonedQueries(t *testing.T) {
	started := func(s []simulated.AttemptRecord) bool { return len(s) > 0 }
	cases := []struct {
		name  string
		leave func(r *rig, cancel func())
	}{
		{"cancels", func(_ *rig, cancel func()) { cancel() }},
		{"disconnects", func(r *rig, _ func()) { closeQuietly(r.client) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1, "")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			clientCtx, cancelClient := context.WithCancel(ctx)
			defer cancelClient()
			done := make(chan error, 1)
			go func() {
				_, err := r.query(clientCtx, longQuery)
				done <- err
			}()
			if err := r.nodes[0].Await(ctx, started); err != nil {
				t.Fatal(err)
			}
			c.leave(r, cancelClient)
			if err := r.nodes[0].Await(ctx, anyCancelled); err != nil {
				t.Error("the attempt was not cancelled on the node: ", err)
			}
			_ = awaitEnd(done) // its error does not matter: the client is gone
		})
	}
	t.Run("cancels with CancelFlightInfo", func(t *testing.T) {
		r := newRig(t, 1, "")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		info, err := r.client.Execute(ctx, longQuery)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() {
			reader, err := r.client.DoGet(ctx, info.Endpoint[0].Ticket)
			if err == nil {
				reader.Release()
			}
			done <- err
		}()
		if err := r.nodes[0].Await(ctx, started); err != nil {
			t.Fatal(err)
		}
		res, err := r.client.CancelFlightInfo(ctx, &flight.CancelFlightInfoRequest{Info: info})
		if err != nil || res.GetStatus() != flight.CancelStatusCancelling {
			t.Errorf("%v, %v", res, err)
		}
		if got := outcomeOf(<-done); got != "failed CLIENT_GONE" {
			t.Errorf("final answer %q", got)
		}
	})
	t.Run("never fetches its ticket", func(t *testing.T) {
		r := newRig(t, 1, "")
		for range 100 {
			if _, err := r.client.Execute(t.Context(), longQuery); err != nil {
				t.Fatal(err)
			}
		}
		if n := len(r.nodes[0].Attempts()); n != 0 {
			t.Errorf("the node saw %d attempts", n)
		}
	})
	t.Run("a deadline shorter than the network latency", func(t *testing.T) {
		r := newRig(t, 1, "")
		info, err := r.client.Execute(t.Context(), "SELECT 1")
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range []time.Duration{time.Nanosecond, 100 * time.Microsecond, time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			reader, err := r.client.DoGet(ctx, info.Endpoint[0].Ticket)
			if err == nil {
				reader.Release()
			}
			cancel()
			if err == nil {
				continue // the query was served within its deadline
			}
			if code := status.Code(err); code != codes.DeadlineExceeded && code != codes.ResourceExhausted {
				t.Errorf("%v: %v", d, err)
			}
		}
		if _, err := r.query(t.Context(), "SELECT 1"); err != nil {
			t.Error(err)
		}
	})
}

// callRaw calls a method with raw messages and reads the answer to its end.
func callRaw(ctx context.Context, conn *grpc.ClientConn, method string, messages ...[]byte) error {
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	if err != nil {
		return err
	}
	for _, m := range messages {
		if err := s.SendMsg(flightwire.NewFrame(m)); err != nil {
			break
		}
	}
	_ = s.CloseSend() // RecvMsg returns the error
	for {
		var f flightwire.Frame
		if err := s.RecvMsg(&f); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		f.Free()
	}
}

// A malformed call gets a status that names the fault, and other clients are served.
func TestMalformedCalls(t *testing.T) {
	r := newRig(t, 1, "")
	conn, err := grpc.NewClient("passthrough:///"+r.d.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(flightwire.Codec{})))
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	info, err := r.client.Execute(t.Context(), "SELECT 1")
	if err != nil {
		t.Fatal(err)
	}
	forged := append([]byte(nil), info.Endpoint[0].Ticket.Ticket...)
	forged[len(forged)-1] ^= 1
	ticket := func(b []byte) []byte { return flightwire.AppendBytes(nil, 1, b) }
	query := func(name, text string) []byte { return flightwire.Descriptor(flightwire.StatementCommand(name, text)) }
	action := func(name string, body []byte) []byte { return flightwire.Action{Type: name, Body: body}.Encode() }
	garbage := []byte{0xff, 0xff, 0xff, 0xff}
	cases := []struct {
		name, method string
		request      []byte
		code         codes.Code
		message      string // part of the status message
	}{
		{"garbage as descriptor", flightwire.MethodGetInfo, garbage, codes.InvalidArgument, "FlightDescriptor"},
		{"a path descriptor", flightwire.MethodGetInfo, []byte{8, 1}, codes.InvalidArgument, "type 1, allowed is 2"},
		{"garbage as command", flightwire.MethodGetInfo, flightwire.Descriptor(garbage), codes.InvalidArgument, "command"},
		{"an unknown command", flightwire.MethodGetInfo, query("CommandUnknown", "x"), codes.Unimplemented, "CommandUnknown"},
		{"an empty statement", flightwire.MethodGetInfo, query("CommandStatementQuery", ""), codes.InvalidArgument, "empty"},
		{"a statement that is not UTF-8", flightwire.MethodGetInfo, query("CommandStatementQuery", "SELECT '\xff'"), codes.InvalidArgument, "UTF-8"},
		{"a statement in a transaction", flightwire.MethodGetInfo, flightwire.Descriptor(flightwire.NewCommand("CommandStatementQuery",
			flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, "SELECT 1"), 2, "tx"))), codes.InvalidArgument, "not made by this service"},
		{"a forged ticket", flightwire.MethodDoGet, ticket(forged), codes.InvalidArgument, "not made by this service"},
		{"a ticket of garbage", flightwire.MethodDoGet, ticket(garbage), codes.InvalidArgument, "command"},
		{"a handle as ticket", flightwire.MethodDoGet, ticket(flightwire.StatementCommand("CommandPreparedStatementQuery", "x")), codes.InvalidArgument, "not known"},
		{"garbage to DoPut", flightwire.MethodDoPut, garbage, codes.InvalidArgument, "FlightData"},
		{"a bulk ingest", flightwire.MethodDoPut, flightwire.AppendBytes(nil, 1, query("CommandStatementIngest", "x")), codes.Unimplemented, "not served"},
		{"an unknown action", flightwire.MethodDoAction, action("UnknownAction", nil), codes.Unimplemented, "served are"},
		{"BeginTransaction without a body", flightwire.MethodDoAction, action("BeginTransaction", nil), codes.InvalidArgument, "command"},
		{"a forged handle", flightwire.MethodDoAction, action("ClosePreparedStatement",
			flightwire.StatementCommand("ActionClosePreparedStatementRequest", "x")), codes.InvalidArgument, "not made by this service"},
		{"DoExchange", "/" + flightwire.Service + "/DoExchange", nil, codes.Unimplemented, "DoExchange"},
		{"a hint that names an unknown class", flightwire.MethodDoPut, flightwire.AppendBytes(nil, 1,
			query("CommandStatementUpdate", "INSERT /* class=nobody */ 1")), codes.InvalidArgument, "lookup, report"},
		{"a message that is too large", flightwire.MethodGetInfo, make([]byte, 4<<20), codes.ResourceExhausted, "larger than max"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err := callRaw(ctx, conn, c.method, c.request)
			if status.Code(err) != c.code || !strings.Contains(err.Error(), c.message) {
				t.Errorf("got %v, want %v with %q", err, c.code, c.message)
			}
			if _, err := r.query(ctx, "SELECT 1"); err != nil {
				t.Errorf("another client was disturbed: %v", err)
			}
		})
	}
	t.Run("oversized headers", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(t.Context(), "x", strings.Repeat("h", 100<<10)), 5*time.Second)
		defer cancel()
		if err := callRaw(ctx, conn, flightwire.MethodGetInfo, query("CommandStatementQuery", "SELECT 1")); err == nil {
			t.Error("headers of 100 KiB were accepted")
		}
		if _, err := r.query(t.Context(), "SELECT 1"); err != nil {
			t.Errorf("another client was disturbed: %v", err)
		}
	})
	t.Run("a statement of 1 MB", func(t *testing.T) {
		if _, err := r.query(t.Context(), "SELECT '"+strings.Repeat("x", 1<<20)+"'"); err != nil {
			t.Error(err)
		}
	})
}

// Prepared statements return schemas and run with parameters, their tickets work at any dispatcher with the same key, and the schemas
// of a statement are cached.
func TestPreparedStatements(t *testing.T) {
	key := strings.Repeat("ab", 32)
	r := newRig(t, 1, `, "keys": ["`+key+`"]`)
	other := newRig(t, 1, `, "keys": ["`+key+`"]`)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p, err := r.client.Prepare(ctx, "SELECT * FROM policy WHERE id = ?")
	if err != nil {
		t.Fatal(err)
	}
	if p.DatasetSchema() == nil || p.DatasetSchema().NumFields() != 2 || p.ParameterSchema().NumFields() != 1 {
		t.Fatalf("schemas %v, %v", p.DatasetSchema(), p.ParameterSchema())
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, p.ParameterSchema())
	b.Field(0).(*array.Int64Builder).AppendValues([]int64{1, 2, 3}, nil)
	params := b.NewRecordBatch()
	p.SetParameters(params)
	info, err := p.Execute(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// The ticket works at another dispatcher with the same key, and more than once.
	for range 2 {
		reader, err := other.client.DoGet(ctx, info.Endpoint[0].Ticket)
		if err != nil {
			t.Fatal(err)
		}
		rows := int64(0)
		for reader.Next() {
			rows += reader.RecordBatch().NumRows()
		}
		reader.Release()
		if rows != 3 { // the simulated node answers with one row for each row of parameters
			t.Errorf("%d rows, want 3", rows)
		}
	}
	u, err := r.client.Prepare(ctx, "INSERT INTO policy VALUES (?)")
	if err != nil {
		t.Fatal(err)
	}
	if s := u.DatasetSchema(); s != nil && s.NumFields() > 0 {
		t.Errorf("an update has the result schema %v", s)
	}
	u.SetParameters(params)
	if n, err := u.ExecuteUpdate(ctx); err != nil || n != 3 {
		t.Errorf("update: %d, %v", n, err)
	}
	if err := u.Close(ctx); err != nil {
		t.Error(err)
	}
	// The schemas of a statement are cached: preparing it again succeeds although the only node is gone.
	r.nodes[0].Crash()
	if _, err := r.client.Prepare(ctx, "INSERT INTO policy VALUES (?)"); err != nil {
		t.Error(err)
	}
}

// arrow-go's database/sql driver sends basic credentials with every call and runs queries as prepared statements.
func TestDatabaseSQLDriverWithAPassword(t *testing.T) {
	r := newRig(t, 1, `, "users": [{"name": "pobocka", "bcrypt": "`+hashOf(t, "geheim")+`"}]`)
	open := func(password string) *sql.DB {
		db, err := sql.Open("flightsql", fmt.Sprintf("flightsql://pobocka:%s@%s?timeout=5s", password, r.d.Address()))
		if err != nil {
			t.Fatal(err)
		}
		return db
	}
	db := open("geheim")
	defer closeQuietly(db)
	rows, err := db.QueryContext(t.Context(), "SELECT * FROM policy /* rows=4 */")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for rows.Next() {
		var node string
		var row int64
		if err := rows.Scan(&node, &row); err != nil || row != int64(n) {
			t.Fatalf("row %d: %d %v", n, row, err)
		}
		n++
	}
	if n != 4 || rows.Err() != nil {
		t.Errorf("%d rows, %v", n, rows.Err())
	}
	wrong := open("falsch")
	defer closeQuietly(wrong)
	if _, err := wrong.QueryContext(t.Context(), "SELECT 1"); err == nil || !strings.Contains(err.Error(), "password is wrong") {
		t.Errorf("a wrong password: %v", err)
	}
	// Handshake returns a token that later calls send in place of the password.
	ctx, err := r.client.Client.AuthenticateBasicToken(t.Context(), "pobocka", "geheim")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.query(ctx, "SELECT 1"); err != nil {
		t.Error(err)
	}
	if _, err := r.query(t.Context(), "SELECT 1"); status.Code(err) != codes.Unauthenticated {
		t.Errorf("a call without credentials: %v", err)
	}
}

// The calls that drivers make when they connect: metadata, the schema of a statement, and session options.
func TestDriverMetadataCalls(t *testing.T) {
	r := newRig(t, 1, `, "rules": [{"name": "by option", "option": "kind", "value": "^heavy$", "class": "report"}]`)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	count := func(info *flight.FlightInfo, err error) (rows int64) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		reader, err := r.client.DoGet(ctx, info.Endpoint[0].Ticket)
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Release()
		for reader.Next() {
			rows += reader.RecordBatch().NumRows()
		}
		return rows
	}
	metadataCalls := map[string]func() (*flight.FlightInfo, error){
		"GetSqlInfo": func() (*flight.FlightInfo, error) {
			return r.client.GetSqlInfo(ctx, []flightsql.SqlInfo{flightsql.SqlInfoFlightSqlServerName})
		},
		"GetCatalogs":     func() (*flight.FlightInfo, error) { return r.client.GetCatalogs(ctx) },
		"GetTableTypes":   func() (*flight.FlightInfo, error) { return r.client.GetTableTypes(ctx) },
		"GetDBSchemas":    func() (*flight.FlightInfo, error) { return r.client.GetDBSchemas(ctx, &flightsql.GetDBSchemasOpts{}) },
		"GetTables":       func() (*flight.FlightInfo, error) { return r.client.GetTables(ctx, &flightsql.GetTablesOpts{}) },
		"GetXdbcTypeInfo": func() (*flight.FlightInfo, error) { return r.client.GetXdbcTypeInfo(ctx, nil) },
	}
	for name, call := range metadataCalls {
		if n := count(call()); n != 1 {
			t.Errorf("%s: %d rows", name, n)
		}
	}
	s, err := r.client.GetExecuteSchema(ctx, "SELECT 1 /* row_bytes=9 */")
	if err != nil {
		t.Fatal(err)
	}
	schema, err := flight.DeserializeSchema(s.Schema, memory.DefaultAllocator)
	if err != nil || !schema.Equal(arrow.NewSchema(append(schema.Fields()[:2:2],
		arrow.Field{Name: "payload", Type: arrow.BinaryTypes.Binary}), nil)) {
		t.Errorf("schema %v, %v", schema, err)
	}
	checkSessionOptions(ctx, t, r)
}

// checkSessionOptions sets and reads the options of a session and closes the session.
func checkSessionOptions(ctx context.Context, t *testing.T, r *rig) {
	t.Helper()
	// Session options are stored in the cookie, which any dispatcher with the key can read. The test passes the cookie on itself: the
	// client library's cookie jar stores cookies concurrently with the return of the call, and now and then not at all.
	option, err := flight.NewSessionOptionValue("heavy")
	if err != nil {
		t.Fatal(err)
	}
	var header metadata.MD
	if _, err := r.client.SetSessionOptions(ctx, &flight.SetSessionOptionsRequest{
		SessionOptions: map[string]*flight.SessionOptionValue{"kind": &option}}, grpc.Header(&header)); err != nil {
		t.Fatal(err)
	}
	cookie := cookieOf(t, header)
	inSession := metadata.AppendToOutgoingContext(ctx, "cookie", cookie.Name+"="+cookie.Value)
	got, err := r.client.GetSessionOptions(inSession, &flight.GetSessionOptionsRequest{})
	if err != nil || got.GetSessionOptions()["kind"].GetStringValue() != "heavy" {
		t.Errorf("session options %v, %v", got, err)
	}
	if _, err := r.client.CloseSession(inSession, &flight.CloseSessionRequest{}, grpc.Header(&header)); err != nil {
		t.Error(err)
	}
	if expired := cookieOf(t, header); expired.Name != cookie.Name || expired.MaxAge >= 0 {
		t.Errorf("the cookie of the closed session is not expired: %v", expired)
	}
	if got, err = r.client.GetSessionOptions(ctx, &flight.GetSessionOptionsRequest{}); err != nil || len(got.GetSessionOptions()) != 0 {
		t.Errorf("without a session: %v, %v", got, err)
	}
}

// cookieOf returns the only cookie in the headers of an answer.
func cookieOf(t *testing.T, header metadata.MD) *http.Cookie {
	t.Helper()
	lines := header.Get("set-cookie")
	if len(lines) != 1 {
		t.Fatalf("cookies: %q", lines)
	}
	cookie, err := http.ParseSetCookie(lines[0])
	if err != nil {
		t.Fatal(err)
	}
	return cookie
}

// A dispatcher that drains reports NOT_SERVING, rejects new queries, and ends without an error once the query in flight is answered.
func TestDispatcherDrain(t *testing.T) {
	r := newRig(t, 1, "")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan string, 1)
	go func() {
		_, err := r.query(ctx, "SELECT 1 /* work_ms=400 */")
		done <- outcomeOf(err)
	}()
	if err := r.nodes[0].Await(ctx, func(s []simulated.AttemptRecord) bool { return len(s) == 1 }); err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient("passthrough:///"+r.d.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	watch, err := healthpb.NewHealthClient(conn).Watch(ctx, &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if s, err := watch.Recv(); err != nil || s.GetStatus() != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("health at first: %v, %v", s, err)
	}
	r.d.Drain()
	if s, err := watch.Recv(); err != nil || s.GetStatus() != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health while draining: %v, %v", s, err)
	}
	if _, err := r.query(ctx, "SELECT 2"); outcomeOf(err) != "refused DISPATCHER_STOPS" {
		t.Errorf("a new query: %v", err)
	}
	if got := <-done; got != "served" {
		t.Errorf("the query in flight: %q", got)
	}
	if err := <-r.ended; err != nil {
		t.Errorf("Run: %v", err)
	}
	r.ended <- nil // for the cleanup of the rig
}

// A dispatcher is killed under load: its attempts are cancelled on the node, its clients get errors, and a dispatcher started at the same
// address serves queries.
func TestRestartAfterKill(t *testing.T) {
	r := newRig(t, 1, "")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 10)
	for range 10 {
		go func() {
			_, err := r.query(ctx, longQuery)
			done <- err
		}()
	}
	if err := r.nodes[0].Await(ctx, func(s []simulated.AttemptRecord) bool { return len(s) >= 5 }); err != nil {
		t.Fatal(err)
	}
	for r.pendingQueries() < 10 { // a query that arrives later would be served by the next dispatcher: clients wait for a connection
		if ctx.Err() != nil {
			t.Fatalf("%v queries are pending, want 10", r.pendingQueries())
		}
		time.Sleep(time.Millisecond)
	}
	address := r.d.Address()
	r.d.Kill()
	r.cancel()
	_ = awaitEnd(r.ended) // its error does not matter: it was killed
	r.ended <- nil        // for the cleanup of the rig
	if err := r.nodes[0].Await(ctx, func(s []simulated.AttemptRecord) bool {
		for _, x := range s {
			if !x.Cancelled && !x.Ran {
				return false
			}
		}
		return true
	}); err != nil {
		t.Error("attempts were not cancelled on the node: ", err)
	}
	for range 10 {
		if err := <-done; err == nil {
			t.Error("a query was served by the killed dispatcher")
		}
	}
	r.start(address)
	if _, err := r.query(ctx, "SELECT 1"); err != nil {
		t.Errorf("the restarted dispatcher: %v", err)
	}
}

// pendingQueries returns the metric of queries that have no answer yet.
func (r *rig) pendingQueries() float64 {
	r.t.Helper()
	families, err := r.d.Registry().Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "embershunt_held_queries" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	r.t.Fatal("no metric embershunt_held_queries")
	return 0
}
