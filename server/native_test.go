package server_test

import (
	"context"
	"database/sql"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go"
	"github.com/ClickHouse/ch-go/proto"
	clickhouse "github.com/ClickHouse/clickhouse-go/v2"

	"embershunt/simulated"
)

// native connects a ch-go client without compression.
func (r *rig) native(t testing.TB, user string) *ch.Client {
	t.Helper()
	c, err := ch.Dial(t.Context(), ch.Options{Address: r.d.NativeAddress(), User: user, Compression: ch.CompressionDisabled})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// selectNative executes a SELECT of the columns node and row and returns the number of rows.
func selectNative(ctx context.Context, c *ch.Client, statement string) (rows int, err error) {
	var node proto.ColStr
	var row proto.ColInt64
	err = c.Do(ctx, ch.Query{Body: statement, Result: proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}},
		OnResult: func(context.Context, proto.Block) error { rows += row.Rows(); return nil }})
	return rows, err
}

// Unmodified clients of the native protocol execute queries through the dispatcher.
func TestNativeClients(t *testing.T) {
	r := newRig(t, 2, "")
	c := r.native(t, "default")
	defer closeQuietly(c)
	for range 3 {
		if n, err := selectNative(t.Context(), c, "SELECT * FROM policy /* rows=3000 */"); err != nil || n != 3000 {
			t.Fatalf("ch-go: %d rows, %v", n, err)
		}
	}
	if err := c.Ping(t.Context()); err != nil {
		t.Error(err)
	}
	if err := c.Do(t.Context(), ch.Query{Body: "CREATE TABLE t (a UInt8) ENGINE = Memory"}); err != nil {
		t.Error("DDL: ", err)
	}
	err := c.Do(t.Context(), ch.Query{Body: "SELECT /* fail=no_such_table */ 1", Result: proto.Results{}})
	if e, ok := ch.AsException(err); !ok || e.Code != 62 || !strings.Contains(e.Message, "no_such_table") {
		t.Errorf("want the node's own Exception: %v", err)
	}
	db := clickhouse.OpenDB(&clickhouse.Options{Addr: []string{r.d.NativeAddress()}, Settings: clickhouse.Settings{"max_execution_time": 5}})
	defer closeQuietly(db)
	var node string
	var row int64
	if err := db.QueryRowContext(t.Context(), "SELECT node, row FROM policy /* rows=1 */").Scan(&node, &row); err != nil || !strings.HasPrefix(node, "node-") {
		t.Errorf("database/sql: %q, %v", node, err)
	}
	if err := db.QueryRowContext(t.Context(), "SELECT 1 /* rows=0 */").Scan(&node, &row); !errors.Is(err, sql.ErrNoRows) {
		t.Errorf("no rows: %v", err)
	}
	// The first client's connection still works after its failed query.
	if n, _ := selectNative(t.Context(), c, "SELECT 1 /* rows=1 */"); n != 1 {
		t.Errorf("the connection after a failed query: %d rows, want 1", n)
	}
}

// Faults of one node are hidden from the client by the other. When both nodes are faulty, the client gets the reason: with a deadline
// of 0.8 s within 0.9 s.
func TestNativeFaults(t *testing.T) {
	cases := []struct {
		name     string
		fault    simulated.Faults
		all      bool   // both nodes have the fault, otherwise node-0 alone
		deadline string // max_execution_time, in seconds
		want     string // part of the error; "": the query succeeds
	}{
		{"one rejects all queries", simulated.Faults{RejectQueries: true}, false, "4", ""},
		{"one fails fast", simulated.Faults{FailShare: 1}, false, "4", ""},
		{"all break off within a block", simulated.Faults{CutAfterRows: 100}, true, "4", "failed (ANSWER_BROKEN"},
		{"all stall during the answer", simulated.Faults{StallAfterRows: 100}, true, "0.8", "failed (DEADLINE"},
		{"all hang", simulated.Faults{Hang: true}, true, "0.8", "failed (ATTEMPT_FAILED"},
		{"all reject", simulated.Faults{RejectQueries: true}, true, "0.8", "refused (OVERLOADED"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stalled := watchStalls(t)
			r := newRig(t, 2, "")
			r.nodes[0].SetFaults(c.fault)
			if c.all {
				r.nodes[1].SetFaults(c.fault)
			}
			for range 3 {
				client := r.native(t, "u")
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				stalled()
				begin := time.Now()
				var node, payload proto.ColStr
				var row proto.ColInt64
				err := client.Do(ctx, ch.Query{Body: "SELECT * FROM policy /* rows=400 row_bytes=4000 */", Settings: []ch.Setting{{Key: "max_execution_time", Value: c.deadline}},
					Result:   proto.Results{{Name: "node", Data: &node}, {Name: "row", Data: &row}, {Name: "payload", Data: &payload}},
					OnResult: func(context.Context, proto.Block) error { return nil }})
				cancel()
				closeQuietly(client)
				if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) && c.want != "") {
					if c.want == "failed (ATTEMPT_FAILED" && err != nil && strings.Contains(err.Error(), "refused (OVERLOADED") {
						continue // also correct: no other node is available, and the query only reads, so that a rejection is safe
					}
					if c.want == "failed (ATTEMPT_FAILED" && err != nil && strings.Contains(err.Error(), "failed (DEADLINE") {
						if d := stalled(); d >= deadlineGuard {
							t.Logf("DEADLINE accepted: this process did not run for %v", d)
							continue
						}
					}
					t.Fatalf("%v, want %q", err, c.want)
				}
				if c.deadline == "0.8" && time.Since(begin) > 900*time.Millisecond {
					t.Errorf("answered after %v", time.Since(begin))
				}
			}
		})
	}
}

// A cancelled query is cancelled on its node, and other clients are served afterwards.
func TestAbandonedNativeQuery(t *testing.T) {
	r := newRig(t, 1, "")
	c := r.native(t, "u")
	defer closeQuietly(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := selectNative(ctx, c, "SELECT 1 /* work_ms=3000 */")
		done <- err
	}()
	if err := r.nodes[0].Await(t.Context(), func(s []simulated.AttemptRecord) bool { return len(s) == 1 }); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := r.nodes[0].Await(t.Context(), anyCancelled); err != nil {
		t.Error(err)
	}
	_ = awaitEnd(done) // its error does not matter: the client has cancelled
	next := r.native(t, "u")
	defer closeQuietly(next)
	if n, err := selectNative(t.Context(), next, "SELECT 1 /* rows=2 */"); err != nil || n != 2 {
		t.Errorf("the next client: %d, %v", n, err)
	}
}

// In a fleet of two protocols each query goes only to nodes that speak the protocol of its client. node-0 speaks Flight SQL only,
// node-1 the native protocol only, and node-2 both.
func TestAQueryStaysWithinItsProtocol(t *testing.T) {
	r := newRigWith(t, 3, func(rows string) string {
		parts := strings.Split(rows, "},")
		parts[0] = strings.Replace(parts[0], `"native"`, `"state": "", "started"`, 1)
		flightOnly, _, found := strings.Cut(parts[0], `, "state"`)
		if !found {
			t.Fatalf("no native address in %s", rows)
		}
		parts[0] = flightOnly
		parts[1] = strings.Replace(parts[1], `"address"`, `"address": "", "hall": "", "x"`, 1)
		start, end := strings.Index(parts[1], `, "x"`), strings.Index(parts[1], `, "native"`)
		parts[1] = parts[1][:start] + parts[1][end:] // removes the Flight SQL address
		return `{"list": [` + strings.Join(parts, "},") + `]}`
	}, "")
	c := r.native(t, "u")
	defer closeQuietly(c)
	for range 20 {
		if _, err := selectNative(t.Context(), c, "SELECT 1 /* rows=1 */ -- native"); err != nil {
			t.Fatal(err)
		}
		if _, err := r.query(t.Context(), "SELECT 1 -- flight"); err != nil {
			t.Fatal(err)
		}
	}
	families, err := r.d.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	endedAttempts := 0.0
	for _, f := range families {
		if f.GetName() != "embershunt_attempts_ended_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			endedAttempts += m.GetCounter().GetValue()
			for _, l := range m.GetLabel() {
				if l.GetName() == "code" && l.GetValue() != "ok" {
					t.Errorf("%v attempts ended as %s", m.GetCounter().GetValue(), l.GetValue())
				}
			}
		}
	}
	if endedAttempts != 40 { // one for each query: no attempt was wasted on a node of the other protocol
		t.Errorf("%v attempts, want 40", endedAttempts)
	}
}
