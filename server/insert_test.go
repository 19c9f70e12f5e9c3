package server_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go"
	"github.com/ClickHouse/ch-go/proto"
	clickhouse "github.com/ClickHouse/clickhouse-go/v2"
	"github.com/ClickHouse/clickhouse-go/v2/lib/driver"

	"embershunt/internal/native"
	"embershunt/simulated"
)

// insertNative executes an INSERT of the columns id and name with the given number of blocks, each of the given number of rows.
func insertNative(ctx context.Context, c *ch.Client, statement string, blocks, rows int, settings ...ch.Setting) error {
	var id proto.ColUInt64
	var name proto.ColStr
	fill := func() {
		for i := range rows {
			id.Append(uint64(i))
			name.Append(fmt.Sprintf("name-%d", i%7))
		}
	}
	fill()
	sent := 1
	return c.Do(ctx, ch.Query{Body: statement, Settings: settings, Input: proto.Input{{Name: "id", Data: &id}, {Name: "name", Data: &name}},
		OnInput: func(context.Context) error {
			id.Reset()
			name.Reset()
			if sent == blocks {
				return io.EOF
			}
			sent++
			fill()
			return nil
		}})
}

// Unmodified clients insert and select rows with each compression method. The dispatcher asks a node for the table's columns once and
// then answers from its cache, and no rows stay buffered.
func TestNativeCompressionBothWays(t *testing.T) {
	for name, compression := range map[string]ch.Compression{"disabled": ch.CompressionDisabled, "lz4": ch.CompressionLZ4,
		"lz4hc": ch.CompressionLZ4HC, "zstd": ch.CompressionZSTD, "none": ch.CompressionNone} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, "")
			c, err := ch.Dial(t.Context(), ch.Options{Address: r.d.NativeAddress(), User: "u", Compression: compression,
				Settings: []ch.Setting{{Key: "network_compression_method", Value: strings.ToUpper(strings.TrimSuffix(name, "hc"))}}})
			if err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(c)
			for range 2 {
				if err := insertNative(t.Context(), c, "INSERT INTO events (id, name) VALUES", 5, 700); err != nil {
					t.Fatal(err)
				}
				if n, err := selectNative(t.Context(), c, "SELECT * FROM policy /* rows=3000 */"); err != nil || n != 3000 {
					t.Fatalf("%d rows, %v", n, err)
				}
			}
			insertedRows, columnRequests := 0, 0
			for _, s := range r.attemptsOf("INSERT INTO events (id, name) VALUES") {
				if insertedRows += s.Rows; !s.Ran {
					columnRequests++
				}
			}
			if insertedRows != 7000 || columnRequests != 1 {
				t.Errorf("nodes inserted %d rows, want 7000, and were asked for the columns %d times, want 1", insertedRows, columnRequests)
			}
			closeQuietly(c)
			if b := r.bufferedInsertBytes(); b != 0 {
				t.Errorf("%d bytes are still buffered", b)
			}
		})
	}
}

// maxRetries bounds how often a rejected query is retried after the delay that its rejection names. The work of the nodes takes real
// time, so that on a busy machine they may still be full at the first retry.
const maxRetries = 5

// clickhouse-go works with batches, parameters, a pool of 50 connections and database/sql; ch-go with an external table.
func TestNativeClientFeatures(t *testing.T) {
	r := newRig(t, 2, "")
	options := func(m clickhouse.CompressionMethod) *clickhouse.Options {
		return &clickhouse.Options{Addr: []string{r.d.NativeAddress()}, MaxOpenConns: 50, MaxIdleConns: 50,
			Compression: &clickhouse.Compression{Method: m}, Settings: clickhouse.Settings{"max_execution_time": 10}}
	}
	var retries atomic.Int32
	for _, m := range []clickhouse.CompressionMethod{clickhouse.CompressionNone, clickhouse.CompressionLZ4, clickhouse.CompressionZSTD} {
		conn, err := clickhouse.Open(options(m))
		if err != nil {
			t.Fatal(err)
		}
		insertBatch(t, conn)
		var group sync.WaitGroup
		for range 50 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 4 {
					queryUntilServed(t, conn, &retries)
				}
			}()
		}
		group.Wait()
		closeQuietly(conn)
	}
	t.Logf("%d rejections of 600 queries, each served when retried after the delay that it was told", retries.Load())
	db := clickhouse.OpenDB(options(clickhouse.CompressionLZ4))
	defer closeQuietly(db)
	insertInTransaction(t, db)
	insertedRows := 0
	for _, s := range r.attemptsOf("INSERT INTO events (id, name) FORMAT Native") {
		insertedRows += s.Rows
	}
	if insertedRows != 3*2500+100 {
		t.Errorf("nodes inserted %d rows, want %d", insertedRows, 3*2500+100)
	}
	joinExternalTable(t, r)
}

// insertBatch inserts one batch of 2500 rows.
func insertBatch(t *testing.T, conn driver.Conn) {
	t.Helper()
	batch, err := conn.PrepareBatch(t.Context(), "INSERT INTO events (id, name)")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2500 {
		if err := batch.Append(uint64(i), "a name"); err != nil {
			t.Fatal(err)
		}
	}
	if err := batch.Send(); err != nil {
		t.Fatal(err)
	}
}

// queryUntilServed executes a query with a parameter. A rejection must name the delay before a retry and say that no attempt was made;
// the query is then retried after the delay.
func queryUntilServed(t *testing.T, conn driver.Conn, retries *atomic.Int32) {
	rows, err := conn.Query(clickhouse.Context(t.Context(), clickhouse.WithParameters(clickhouse.Parameters{"n": "7"})),
		"SELECT node, row FROM policy WHERE id = {n:UInt64} /* rows=20 work_ms=2 cost_ms=2 */")
	var rejection *clickhouse.Exception
	for tries := 0; errors.As(err, &rejection) && rejection.Code == 202 && tries < maxRetries; tries++ {
		retries.Add(1)
		_, ms, _ := strings.Cut(rejection.Message, "come back in ")
		wait, parseErr := time.ParseDuration(strings.Replace(ms, " ms", "ms", 1))
		if parseErr != nil || wait <= 0 || !strings.Contains(rejection.Message, "0 attempts") {
			t.Errorf("rejected with %q", rejection.Message)
			return
		}
		<-time.After(wait)
		rows, err = conn.Query(t.Context(), "SELECT node, row FROM policy /* rows=20 work_ms=2 cost_ms=2 */")
	}
	if err != nil {
		t.Error(err)
		return
	}
	n := 0
	for rows.Next() {
		n++
	}
	if closeQuietly(rows); n != 20 || rows.Err() != nil {
		t.Errorf("%d rows, %v", n, rows.Err())
	}
}

// insertInTransaction inserts 100 rows through a transaction of database/sql, which clickhouse-go sends as one batch.
func insertInTransaction(t *testing.T, db *sql.DB) {
	t.Helper()
	tx, err := db.Begin()
	if err != nil {
		t.Fatal(err)
	}
	s, err := tx.Prepare("INSERT INTO events (id, name)")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		if _, err := s.Exec(uint64(i), "x"); err != nil {
			t.Fatal(err)
		}
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
}

// joinExternalTable executes a query with an external table of 30 rows, which must reach the node.
func joinExternalTable(t *testing.T, r *rig) {
	t.Helper()
	c := r.native(t, "u")
	defer closeQuietly(c)
	var ids proto.ColUInt64
	for i := range 30 {
		ids.Append(uint64(i))
	}
	var node proto.ColStr
	var row proto.ColInt64
	const joined = "SELECT node, row FROM policy JOIN wanted USING id /* rows=1 */"
	if err := c.Do(t.Context(), ch.Query{Body: joined, ExternalTable: "wanted", ExternalData: proto.Input{{Name: "id", Data: &ids}},
		Result: proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}}}); err != nil {
		t.Fatal(err)
	}
	if got := r.attemptsOf(joined)[0].Tables; len(got) != 1 || got[0] != "wanted:30" {
		t.Errorf("the node received the external tables %q, want wanted:30", got)
	}
}

// An INSERT takes effect once, even when its first node does not answer. With a deduplication token the rows are sent to another node
// of the dedup scope as well. Without a token they are sent again only if the INSERT is known not to have run: the first node received
// none of its rows, or rejected it.
func TestInsertRetries(t *testing.T) {
	const statement = "INSERT INTO events (id, name) VALUES"
	cases := []struct {
		name        string
		fault       simulated.Faults // of node-0
		token       string
		want        string // part of the error; "": the INSERT succeeds
		minAttempts int    // that the nodes see; exactly 1 where the INSERT fails
	}{
		{"answer lost, with a token", simulated.Faults{LoseAnswers: true}, "t1", "", 2},
		{"answer lost, without a token", simulated.Faults{LoseAnswers: true}, "", "ATTEMPT_FAILED", 1},
		{"hangs before it receives a row", simulated.Faults{Hang: true}, "", "", 1},
		{"rejected", simulated.Faults{RejectQueries: true}, "", "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRigWith(t, 2, func(rows string) string { return `{"list": [` + rows + `]}` },
				`, "limits": {"attempts": 3}`)
			tokens := simulated.NewDedupTokens(time.Minute)
			for _, n := range r.nodes {
				n.ShareTokens(tokens)
			}
			client := r.native(t, "u")
			defer closeQuietly(client)
			if err := insertNative(t.Context(), client, statement, 1, 1); err != nil { // the columns are cached from now on
				t.Fatal(err)
			}
			hits := 0
			for range 20 { // until the dispatcher has sent an INSERT to the faulty node
				before := [2]int{}
				for i, n := range r.nodes {
					n.SetFaults(simulated.Faults{})
					before[i] = len(n.Attempts())
				}
				r.nodes[0].SetFaults(c.fault)
				settings := []ch.Setting{{Key: "max_execution_time", Value: "3"}}
				if c.token != "" {
					settings = append(settings, ch.Setting{Key: "insert_deduplication_token", Value: fmt.Sprint(c.token, hits, before)})
				}
				conn := r.native(t, "u")
				err := insertNative(t.Context(), conn, statement, 3, 10, settings...)
				closeQuietly(conn)
				after := r.nodes[0].Attempts()[before[0]:]
				if len(after) == 0 {
					continue
				}
				hits++
				if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
					t.Fatalf("%v, want %q", err, c.want)
				}
				seen, ran := r.attemptsSince(before[:])
				if ran != 1 || c.minAttempts == 2 && seen < 2 || c.want != "" && seen != 1 {
					t.Errorf("the INSERT ran %d times, want once, in %d attempts", ran, seen)
				}
				break
			}
			if hits == 0 {
				t.Error("the faulty node received no INSERT in 20 tries")
			}
		})
	}
}

// attemptsSince returns how many attempts the nodes have seen beyond the counts in before, one for each node, and how many of
// these ran.
func (r *rig) attemptsSince(before []int) (seen, ran int) {
	for i, n := range r.nodes {
		for _, s := range n.Attempts()[before[i]:] {
			if seen++; s.Ran {
				ran++
			}
		}
	}
	return seen, ran
}

// A keyed update over Flight SQL whose answer was lost is retried on another node of its dedup scope, where it is dropped as a
// duplicate; it is not sent outside of the scope.
func TestKeyedUpdatesOverFlightSQL(t *testing.T) {
	for _, group := range []string{"all", "hall"} {
		t.Run(group, func(t *testing.T) {
			r := newRigWith(t, 2, func(rows string) string {
				parts := strings.Split(rows, "},")
				parts[0] = strings.Replace(parts[0], `"name"`, `"hall": "a", "name"`, 1)
				parts[1] = strings.Replace(parts[1], `"name"`, `"hall": "b", "name"`, 1)
				return `{"list": [` + strings.Join(parts, "},") + `]}`
			}, `, "halls": ["a", "b"], "limits": {"attempts": 3}`, fmt.Sprintf(`{"name": "load", "aim": "3s", "late_worth": 0.5,
				"deadline": "4s", "updates": "keyed", "window": "1m", "group": %q},`, group))
			sharedTokens := simulated.NewDedupTokens(time.Minute)
			for _, n := range r.nodes {
				if n.ShareTokens(sharedTokens); group == "hall" {
					n.ShareTokens(simulated.NewDedupTokens(time.Minute))
				}
				n.SetFaults(simulated.Faults{LoseAnswers: true})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			statement := "INSERT INTO t VALUES (1) /* class=load work_ms=5 cost_ms=5 rows=1 */"
			done := make(chan error, 1)
			go func() {
				_, err := r.client.ExecuteUpdate(ctx, statement)
				done <- err
			}()
			first := r.awaitNodeWith(statement)
			for _, n := range r.nodes {
				if n != first {
					n.SetFaults(simulated.Faults{})
				}
			}
			err := <-done
			ran, deduplicated := 0, 0
			for _, s := range r.attemptsOf(statement) {
				if s.Ran {
					ran++
				}
				if s.Deduplicated {
					deduplicated++
				}
			}
			if group == "all" && (err != nil || ran != 1 || deduplicated < 1) {
				t.Errorf("%v, ran %d times, deduplicated %d times, want success and a duplicate dropped", err, ran, deduplicated)
			}
			if group == "hall" && (err == nil || ran != 1) {
				t.Errorf("%v, ran %d times, want a failure after one run", err, ran)
			}
		})
	}
}

// bufferedInsertBytes waits until all clients have disconnected and returns how many bytes of clients' rows are still buffered.
func (r *rig) bufferedInsertBytes() int64 {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	if err := r.d.NativeFrontend().AwaitConns(ctx, 0); err != nil {
		r.t.Errorf("%d client connections are still open", r.d.NativeFrontend().Conns())
	}
	b, _, _ := r.d.NativeFrontend().BufferedInserts()
	return b
}

// rawNative is a native client whose packets a test sends and reads one by one.
type rawNative struct {
	t testing.TB
	net.Conn
	r *native.Reader
}

// rawNative connects a client and completes the handshake. Reads and writes fail 10 s after that.
func (r *rig) rawNative(t testing.TB) *rawNative {
	t.Helper()
	conn, err := net.Dial("tcp", r.d.NativeAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	c := &rawNative{t, conn, native.NewReader(conn, 1<<20)}
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	c.send(native.Hello{Name: "raw", Major: 1, Revision: native.NewestRevision, User: "u"}.Encode())
	s, err := c.r.ReadServerHello()
	if err != nil {
		t.Fatal(err)
	}
	if s.Revision >= native.AddendumFrom {
		c.send(native.AppendString(nil, ""))
	}
	return c
}

// send writes to the dispatcher and ignores errors: the dispatcher may have closed the connection, and tests check what it answered.
func (c *rawNative) send(data []byte) { _, _ = c.Write(data) }

// ask sends a query without external tables.
func (c *rawNative) ask(statement string, settings ...native.Setting) {
	q := native.Query{ID: "q", Info: []byte{0}, Stage: 2, Text: statement, Settings: settings}
	c.send(append(q.Encode(native.NewestRevision), native.EmptyDataPacket()...))
}

// until reads packets up to the first with the code, Exception or EndOfStream, and returns it.
func (c *rawNative) until(code uint64) native.Packet {
	c.t.Helper()
	for {
		p, err := c.r.ReadServerPacket(native.NewestRevision)
		if err != nil {
			c.t.Fatal(err)
		}
		if p.Code == code || p.Code == native.ServerException || p.Code == native.ServerEndOfStream {
			return p
		}
	}
}

// block returns a Data packet of a client with the columns id and name of the simulated table; size is the length of each name in bytes.
func block(t testing.TB, rows int, size int) []byte {
	var id proto.ColUInt64
	var name proto.ColStr
	for range rows {
		id.Append(1)
		name.Append(strings.Repeat("x", size))
	}
	var b proto.Buffer
	b.PutUVarInt(native.ClientData)
	b.PutString("")
	input := proto.Input{{Name: "id", Data: &id}, {Name: "name", Data: &name}}
	if err := (proto.Block{Rows: rows, Columns: 2, Info: proto.BlockInfo{BucketNum: -1}}).EncodeBlock(&b, native.NewestRevision, input); err != nil {
		t.Fatal(err)
	}
	return b.Buf
}

// An INSERT whose client stalls, disconnects, cancels or sends malformed packets reaches no node, and none of its rows stay buffered.
func TestInsertsBrokenByClients(t *testing.T) {
	const statement = "INSERT INTO events (id, name) VALUES"
	cases := []struct {
		name    string
		act     func(c *rawNative)
		code    int32 // of the Exception; 0: none is expected
		message string
	}{
		{"the client stalls", func(c *rawNative) { c.send(block(c.t, 5, 10)) }, 159, "CLIENT_STALLED"},
		{"the client disconnects", func(c *rawNative) { c.send(block(c.t, 5, 10)[:40]); closeQuietly(c) }, 0, ""},
		{"the client cancels", func(c *rawNative) {
			c.send(block(c.t, 5, 10))
			c.send([]byte{native.ClientCancel})
			if p := c.until(native.ServerEndOfStream); p.Code != native.ServerEndOfStream {
				c.t.Errorf("packet %d, %v", p.Code, p.Exception)
			}
			c.ask("SELECT 1 /* rows=2 */") // on the same connection
			if p := c.until(native.ServerEndOfStream); p.Code != native.ServerEndOfStream {
				c.t.Errorf("the next query: packet %d, %v", p.Code, p.Exception)
			}
		}, 0, ""},
		{"more than max_insert_bytes", func(c *rawNative) {
			for range 30 {
				c.send(block(c.t, 10, 1000))
			}
		}, 241, "QUERY_TOO_LARGE"},
		{"a broken block", func(c *rawNative) { c.send([]byte{native.ClientData, 0, 9, 9}) }, 101, "field of block info"},
		{"a query among the rows", func(c *rawNative) { c.ask("SELECT 1") }, 101, "among the rows"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1, `, "front": {"max_insert_bytes": 100000, "held_insert_bytes": 1000000}`)
			raw := r.rawNative(t)
			raw.ask(statement, native.Setting{Name: "max_execution_time", Value: "0.4"})
			if p := raw.until(native.ServerData); p.Block.Columns != 2 || p.Block.Rows != 0 {
				t.Fatalf("the columns: %+v, %v", p.Block, p.Exception)
			}
			c.act(raw)
			if c.code != 0 {
				if p := raw.until(native.ServerException); p.Exception == nil || p.Exception.Code != c.code || !strings.Contains(p.Exception.Message, c.message) {
					t.Errorf("%v, want %d with %q", p.Exception, c.code, c.message)
				}
			}
			closeQuietly(raw)
			next := r.native(t, "u")
			defer closeQuietly(next)
			if err := insertNative(t.Context(), next, statement, 1, 3); err != nil {
				t.Error("the next client: ", err)
			}
			ran := 0
			for _, s := range r.attemptsOf(statement) {
				if s.Ran {
					ran++
				}
			}
			closeQuietly(next)
			if b := r.bufferedInsertBytes(); ran != 1 || b != 0 {
				t.Errorf("%d inserts ran, want 1, that of the next client; %d bytes are still buffered", ran, b)
			}
		})
	}
}

// When held_insert_bytes is exhausted, an INSERT that needs more is rejected with a retry delay, and the INSERT whose rows are buffered
// completes.
func TestInsertBufferLimit(t *testing.T) {
	r := newRig(t, 1, `, "front": {"max_insert_bytes": 60000, "held_insert_bytes": 80000}`)
	const statement = "INSERT INTO events (id, name) VALUES"
	first, second := r.rawNative(t), r.rawNative(t)
	for _, c := range []*rawNative{first, second} {
		c.ask(statement)
		c.until(native.ServerData)
	}
	first.send(block(t, 50, 1000))
	first.send([]byte{native.ClientPing})
	if p := first.until(native.ServerPong); p.Code != native.ServerPong { // its rows are buffered now
		t.Fatal(p.Code, p.Exception)
	}
	second.send(block(t, 30, 1000))
	if p := second.until(native.ServerException); p.Exception == nil || p.Exception.Code != 202 || !strings.Contains(p.Exception.Message, "come back in") {
		t.Errorf("the INSERT beyond the limit: %v", p.Exception)
	}
	first.send(native.EmptyDataPacket())
	if p := first.until(native.ServerEndOfStream); p.Code != native.ServerEndOfStream {
		t.Errorf("the INSERT whose rows were buffered: %v", p.Exception)
	}
}
