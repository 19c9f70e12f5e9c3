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

// run asks one statement and returns its Exception, if there is one.
func (c *rawNative) run(statement string) *native.Exception {
	c.t.Helper()
	c.ask(statement)
	return c.until(native.ServerEndOfStream).Exception
}

func (r *rig) awaitNoTables() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	for _, n := range r.nodes {
		if n.Await(ctx, func([]simulated.AttemptRecord) bool { return n.Temporary() == 0 }) != nil {
			r.t.Errorf("%s still has %d temporary tables", n.Name, n.Temporary())
		}
	}
}

// Temporary tables stay with one connection to one node; options and the database are replayed; nothing is left on pooled
// connections, and nothing on nodes when the client is gone.
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
	if _, held, _ := r.d.Sessions().Status(); held != 0 {
		t.Errorf("%d sessions are held", held)
	}
	if e := c.run("CREATE TEMPORARY TABLE tmp_c (id UInt64)"); e != nil {
		t.Fatal(e)
	}
	if e := r.rawNative(t).run("SELECT * FROM tmp_c"); e == nil || e.Code != 60 {
		t.Errorf("another client sees the table: %v", e)
	}
	closeQuietly(c)
	r.awaitNoTables()
	// Rows into a temporary table, with an unmodified client.
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

// What concerns the connection alone is answered here: options are replayed on every node, what cannot be is refused.
func TestOptionsOfAConnection(t *testing.T) {
	r := newRig(t, 2, "")
	c := r.rawNative(t)
	for s, says := range map[string]string{"SET max_execution_time = 0.2": "", "SET ROLE admin": "can neither be replayed", "BEGIN TRANSACTION": "can neither be replayed", "USE other": ""} {
		if e := c.run(s); says == "" && e != nil || says != "" && (e == nil || !strings.Contains(e.Message, says)) {
			t.Errorf("%s: %v, want %q", s, e, says)
		}
	}
	begin := time.Now()
	if e := c.run("SELECT 1 /* work_ms=3000 cost_ms=1 */"); e == nil || time.Since(begin) > time.Second {
		t.Errorf("the option that was set does not hold: %v after %v", e, time.Since(begin))
	}
	other := r.rawNative(t)
	if e := other.run("SELECT 1 /* work_ms=400 */"); e != nil {
		t.Errorf("another client has the option: %v", e)
	}
}

// Temporary tables that are lost: one clear failure, then the connection begins anew.
func TestTemporaryTablesThatAreLost(t *testing.T) {
	cases := []struct {
		name string
		more string
		lose func(r *rig, at int)
		says string
	}{
		{"the node drains", `, "limits": {"drain_grace": "150ms"}`, func(r *rig, at int) {
			var rows []nodelist.Node
			for i, n := range r.nodes {
				row := nodelist.Node{ID: n.Name, Address: n.Address, Native: n.Native}
				if i == at {
					row.State = policy.Draining
				}
				rows = append(rows, row)
			}
			if err := r.d.Fleet().SetNodes(rows); err != nil {
				r.t.Error(err)
			}
			r.awaitNoTables()
		}, "failed (NODE_DRAINED)"},
		{"its connection breaks", "", func(r *rig, at int) {
			r.nodes[at].Crash()
			if err := r.nodes[at].Start("", false); err != nil {
				r.t.Fatal(err)
			}
		}, "failed (STATE_GONE)"},
		{"idle for too long", `, "sessions": {"idle": "150ms"}`, func(r *rig, _ int) { r.awaitNoTables() }, "failed (SESSION_IDLE)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3, c.more)
			client := r.rawNative(t)
			if e := client.run("CREATE TEMPORARY TABLE tmp_a (id UInt64)"); e != nil {
				t.Fatal(e)
			}
			at := 0
			for i, n := range r.nodes {
				if n.Temporary() > 0 {
					at = i
				}
			}
			c.lose(r, at)
			if e := client.run("SELECT * FROM tmp_a"); e == nil || !strings.Contains(e.Message, c.says) {
				t.Errorf("%v, want %q", e, c.says)
			}
			if e := client.run("SELECT 1"); e != nil {
				t.Errorf("afterwards: %v", e)
			}
			for _, n := range r.nodes {
				if m := n.Tally().Misplaced; len(m) > 0 {
					t.Errorf("ran where the state was not: %q", m)
				}
			}
			if e := client.run("CREATE TEMPORARY TABLE tmp_a (id UInt64)"); e != nil {
				t.Errorf("begun again: %v", e)
			}
		})
	}
}
