package server_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go"

	"embershunt/internal/native"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// run executes a statement and returns its Exception, or nil.
func (c *rawNative) run(statement string) *native.Exception {
	c.t.Helper()
	c.ask(statement)
	return c.until(native.ServerEndOfStream).Exception
}

// awaitNoTables waits until no node holds a temporary table.
func (r *rig) awaitNoTables() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	for _, n := range r.nodes {
		if n.Await(ctx, func([]simulated.AttemptRecord) bool { return n.TemporaryTables() == 0 }) != nil {
			r.t.Errorf("%s still has %d temporary tables", n.Name, n.TemporaryTables())
		}
	}
}

// All statements on a client's temporary tables reach the node that holds them, other clients don't see them, and no node keeps a
// table after it is dropped or its client has disconnected.
func TestTemporaryTables(t *testing.T) {
	r := newRig(t, 3, "")
	c := r.rawNative(t)
	for range 5 {
		for _, s := range []string{"CREATE TEMPORARY TABLE tmp_a (id UInt64)", "INSERT INTO tmp_a SELECT 1", "SELECT * FROM tmp_a /* rows=2 */",
			"CREATE TEMPORARY TABLE tmp_b (id UInt64)", "SELECT * FROM tmp_b", "DROP TABLE tmp_a", "SELECT * FROM tmp_b", "DROP TEMPORARY TABLE tmp_b", "SELECT 1"} {
			if e := c.run(s); e != nil {
				t.Fatalf("%s: %v", s, e)
			}
		}
	}
	r.awaitNoTables()
	if _, withState, _ := r.d.Sessions().Status(); withState != 0 {
		t.Errorf("%d sessions still have state", withState)
	}
	if e := c.run("CREATE TEMPORARY TABLE tmp_c (id UInt64)"); e != nil {
		t.Fatal(e)
	}
	if e := r.rawNative(t).run("SELECT * FROM tmp_c"); e == nil || e.Code != 60 {
		t.Errorf("another client sees the table: %v", e)
	}
	closeQuietly(c)
	r.awaitNoTables()
	// An unmodified client inserts rows into a temporary table and reads them.
	client, err := ch.Dial(t.Context(), ch.Options{Address: r.d.NativeAddress(), User: "u", Compression: ch.CompressionLZ4})
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(client)
	if err := client.Do(t.Context(), ch.Query{Body: "CREATE TEMPORARY TABLE tmp_d (id UInt64, name String)"}); err != nil {
		t.Fatal(err)
	}
	if err := insertNative(t.Context(), client, "INSERT INTO tmp_d (id, name) VALUES", 2, 10); err != nil {
		t.Fatal(err)
	}
	if n, err := selectNative(t.Context(), client, "SELECT * FROM tmp_d /* rows=20 */"); err != nil || n != 20 {
		t.Errorf("%d rows, %v", n, err)
	}
}

// SET and USE apply to the client's own connection: the dispatcher answers them and sends the settings along with each later query.
// Statements that change connection state which cannot be replayed on another node are rejected.
func TestConnectionSettings(t *testing.T) {
	r := newRig(t, 2, "")
	c := r.rawNative(t)
	for s, message := range map[string]string{"SET max_execution_time = 0.2": "", "SET ROLE admin": "can neither be replayed", "BEGIN TRANSACTION": "can neither be replayed", "USE other": ""} {
		if e := c.run(s); message == "" && e != nil || message != "" && (e == nil || !strings.Contains(e.Message, message)) {
			t.Errorf("%s: %v, want %q", s, e, message)
		}
	}
	begin := time.Now()
	if e := c.run("SELECT 1 /* work_ms=3000 cost_ms=1 */"); e == nil || time.Since(begin) > time.Second {
		t.Errorf("max_execution_time = 0.2 had no effect: %v after %v", e, time.Since(begin))
	}
	other := r.rawNative(t)
	if e := other.run("SELECT 1 /* work_ms=400 */"); e != nil {
		t.Errorf("the setting applies to another client too: %v", e)
	}
}

// When a client's temporary tables are lost, the next statement fails with the reason, and the connection can be used again.
func TestLostTemporaryTables(t *testing.T) {
	cases := []struct {
		name    string
		config  string
		lose    func(r *rig, node int)
		message string
	}{
		{"the node drains", `, "limits": {"drain_grace": "150ms"}`, func(r *rig, node int) {
			var rows []nodelist.Node
			for i, n := range r.nodes {
				row := nodelist.Node{ID: n.Name, FlightSQLAddress: n.Address, NativeAddress: n.NativeAddress}
				if i == node {
					row.State = policy.Draining
				}
				rows = append(rows, row)
			}
			if err := r.d.Fleet().SetNodes(rows); err != nil {
				r.t.Error(err)
			}
			r.awaitNoTables()
		}, "failed (NODE_DRAINED)"},
		{"the connection to the node breaks", "", func(r *rig, node int) {
			r.nodes[node].Crash()
			if err := r.nodes[node].Start("", false); err != nil {
				r.t.Fatal(err)
			}
		}, "failed (STATE_GONE)"},
		{"idle for too long", `, "sessions": {"idle": "150ms"}`, func(r *rig, _ int) { r.awaitNoTables() }, "failed (SESSION_IDLE)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3, c.config)
			client := r.rawNative(t)
			if e := client.run("CREATE TEMPORARY TABLE tmp_a (id UInt64)"); e != nil {
				t.Fatal(e)
			}
			node := 0
			for i, n := range r.nodes {
				if n.TemporaryTables() > 0 {
					node = i
				}
			}
			c.lose(r, node)
			if e := client.run("SELECT * FROM tmp_a"); e == nil || !strings.Contains(e.Message, c.message) {
				t.Errorf("%v, want %q", e, c.message)
			}
			if e := client.run("SELECT 1"); e != nil {
				t.Errorf("the next statement: %v", e)
			}
			for _, n := range r.nodes {
				if m := n.SessionRecord().Misplaced; len(m) > 0 {
					t.Errorf("statements ran on a node that does not hold the tables: %q", m)
				}
			}
			if e := client.run("CREATE TEMPORARY TABLE tmp_a (id UInt64)"); e != nil {
				t.Errorf("a new temporary table: %v", e)
			}
		})
	}
}
