package server_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// attemptsOf returns the records of all attempts that the nodes received for a statement.
func (r *rig) attemptsOf(statement string) (out []simulated.AttemptRecord) {
	for _, n := range r.nodes {
		for _, a := range n.Attempts() {
			if a.Statement == statement {
				out = append(out, a)
			}
		}
	}
	return out
}

// The outcome that a client receives, and how soon, for each kind of node failure. A query runs at most once, so that an update has no
// effect twice.
func TestNodeFailures(t *testing.T) {
	const read, write = "SELECT 1 /* rows=4000 */", "INSERT INTO t VALUES (1) /* rows=1 work_ms=5 */"
	all := func(f simulated.Faults) func(*rig) {
		return func(r *rig) {
			for _, n := range r.nodes {
				n.SetFaults(f)
			}
		}
	}
	first := func(f simulated.Faults) func(*rig) { return func(r *rig) { r.nodes[0].SetFaults(f) } }
	cases := []struct {
		name      string
		fault     func(*rig)
		statement string
		deadline  time.Duration
		want      []string      // outcomes, any of which is right
		within    time.Duration // longest time to the answer
		maxRuns   int           // of one query on all nodes
	}{
		{"all nodes hang", all(simulated.Faults{Hang: true}), read, 900 * time.Millisecond,
			[]string{"failed ATTEMPT_FAILED", "refused OVERLOADED"}, 900 * time.Millisecond, 0},
		{"one node hangs before its first frame", first(simulated.Faults{Hang: true}), read, 4 * time.Second,
			[]string{"served"}, 4 * time.Second, 1},
		{"all nodes stall after the first frame", all(simulated.Faults{StallAfterRows: 100}), read, time.Second,
			[]string{"failed DEADLINE"}, time.Second, 1},
		{"all nodes break off the stream", all(simulated.Faults{CutAfterRows: 100}), read, 4 * time.Second,
			[]string{"failed ANSWER_BROKEN"}, 2 * time.Second, 1},
		{"one node fails at once", first(simulated.Faults{FailShare: 1}), read, 4 * time.Second, []string{"served"}, 4 * time.Second, 1},
		{"one node rejects all queries", first(simulated.Faults{RejectQueries: true}), write, 4 * time.Second, []string{"served"},
			4 * time.Second, 1},
		{"one node has crashed", func(r *rig) { r.nodes[0].Crash() }, write, 4 * time.Second, []string{"served"}, 4 * time.Second, 1},
		{"the answer to an update is lost", all(simulated.Faults{LoseAnswers: true}), write, 900 * time.Millisecond,
			[]string{"failed ATTEMPT_FAILED"}, 900 * time.Millisecond, 1},
		{"an update fails", all(simulated.Faults{FailShare: 1}), write, 4 * time.Second,
			[]string{"failed ATTEMPT_FAILED"}, time.Second, 0},
		{"all nodes reject all queries", all(simulated.Faults{RejectQueries: true}), write, 900 * time.Millisecond,
			[]string{"refused OVERLOADED"}, 900 * time.Millisecond, 0},
		{"a statement that is in error", nil, "SELECT /* fail=no_such_table */ 1", 4 * time.Second,
			[]string{"failed STATEMENT"}, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			longestStall := watchStalls(t)
			r := newRig(t, 2, "")
			if c.fault != nil {
				c.fault(r)
			}
			for range 4 { // so that either node is likely to be chosen first
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				longestStall()
				begin := time.Now()
				var err error
				if c.statement == write {
					_, err = r.client.ExecuteUpdate(ctx, c.statement)
				} else {
					_, err = r.query(ctx, c.statement)
				}
				took := time.Since(begin)
				cancel()
				got := outcomeOf(err)
				if got == "failed DEADLINE" && slices.Contains(c.want, "failed ATTEMPT_FAILED") {
					if d := longestStall(); d >= deadlineGuard {
						t.Logf("the deadline expired before the attempt ended: this process was not scheduled for %v", d)
						continue
					}
				}
				if !slices.Contains(c.want, got) {
					t.Fatalf("outcome %q (%v), want one of %q", got, err, c.want)
				}
				if took > c.within {
					t.Errorf("answered after %v, want within %v", took, c.within)
				}
			}
			runs := 0
			for _, a := range r.attemptsOf(c.statement) {
				if a.Ran {
					runs++
				}
			}
			if runs > 4*c.maxRuns {
				t.Errorf("4 queries ran %d times in total, want at most %d times each", runs, c.maxRuns)
			}
		})
	}
}

// A node drains while it runs queries and others are queued in the dispatcher. Queries are served or rejected, none is lost, and no attempt
// reaches the node after its drain grace.
func TestDrainWithQueriesInFlightAndQueued(t *testing.T) {
	for _, grace := range []string{"2s", "500ms"} {
		t.Run(grace, func(t *testing.T) {
			r := newRig(t, 1, `, "limits": {"drain_grace": "`+grace+`"}`)
			const n = 60 // more than the node has capacity for: some are queued
			done := make(chan string, n)
			for range n {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					_, err := r.query(ctx, "SELECT 1 /* work_ms=800 cost_ms=800 */")
					done <- outcomeOf(err)
				}()
			}
			if err := r.nodes[0].Await(t.Context(), func(a []simulated.AttemptRecord) bool { return len(a) >= 4 }); err != nil {
				t.Fatal(err)
			}
			drained := time.Now()
			r.listAllNodes(func(_ int, n *nodelist.Node) { n.State = policy.Draining })
			outcomes := map[string]int{}
			for range n {
				outcomes[<-done]++
			}
			if outcomes["served"] == 0 || outcomes["served"] == n || outcomes["served"]+outcomes["refused OVERLOADED"] != n {
				t.Errorf("outcomes: %v, want some queries served and all others rejected as OVERLOADED", outcomes)
			}
			limit, _ := time.ParseDuration(grace)
			for _, a := range r.nodes[0].Attempts() {
				if delay := a.At.Sub(drained); delay > limit {
					t.Errorf("an attempt reached the node %v after its drain began, want within %v", delay, limit)
				}
			}
		})
	}
}

// Without any node list, queries are rejected. Once there is one, it stays in use while the list service sends malformed lists or is down,
// and a later list replaces it.
func TestNodeListUnavailable(t *testing.T) {
	t.Run("from the start", func(t *testing.T) {
		longestStall := watchStalls(t)
		r := newRigWith(t, 1, func(string) string { return `{"eds": {"address": "127.0.0.1:1", "cluster": "nodes"}}` }, "")
		for {
			longestStall()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := r.query(ctx, "SELECT 1")
			cancel()
			if outcomeOf(err) == "refused OVERLOADED" {
				return
			}
			d := longestStall()
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) || d < deadlineGuard {
				t.Fatalf("outcome %q (%v), want OVERLOADED", outcomeOf(err), err)
			}
			t.Logf("the client's deadline expired first: this process was not scheduled for %v", d)
		}
	})
	t.Run("malformed, then unreachable, then back", func(t *testing.T) {
		c := simulated.NewControl("nodes")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		defer c.Stop()
		longestStall := watchStalls(t)
		r := newRigWith(t, 2, func(string) string { return `{"eds": {"address": "` + c.Address() + `", "cluster": "nodes"}}` }, "")
		rows := []simulated.ListedNode{{Name: "node-0", Address: r.nodes[0].Address}}
		c.SetEndpoints(rows, "")
		served := func(what string) {
			t.Helper()
			for {
				longestStall()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := r.query(ctx, "SELECT 1")
				cancel()
				if err == nil {
					return
				}
				// After a stall a connection may have exceeded its timeout of 250 ms, and the rejection is correct.
				if d := longestStall(); d < deadlineGuard {
					t.Errorf("%s: %v", what, err)
					return
				}
				t.Logf("%s, while this process was not scheduled: %v", what, err)
			}
		}
		served("with the first list")
		c.SetEndpoints(rows, "malformed")
		for len(c.Nacks()) == 0 { // until the dispatcher has rejected the list
			served("after a malformed list was sent")
		}
		c.Stop()
		served("while the list service is down")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		c.SetEndpoints([]simulated.ListedNode{{Name: "node-1", Address: r.nodes[1].Address}}, "")
		for begin := time.Now(); len(r.nodes[1].Attempts()) == 0; {
			served("until the new list is in force")
			if time.Since(begin) > 10*time.Second {
				t.Fatal("no query reached node-1 within 10 s of the new list")
			}
		}
	})
}

// A client that does not read holds back its answer at the node (backpressure): the dispatcher does not buffer it. The whole answer
// arrives once the client reads.
func TestBackpressureFromSlowReader(t *testing.T) {
	r := newRig(t, 1, "")
	const rows, rowBytes = 64 << 10, 1 << 10 // 64 MB
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	info, err := r.client.Execute(ctx, "SELECT 1 /* class=report rows=65536 row_bytes=1024 */")
	if err != nil {
		t.Fatal(err)
	}
	reader, err := r.client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Release()
	// While the client does not read, the node can send no more than the flow control windows on the way hold.
	sent := func() int { return r.nodes[0].Attempts()[0].Rows }
	last, unchanged := -1, 0
	for unchanged < 20 { // 200 ms
		if now := sent(); now != last {
			last, unchanged = now, 0
		} else {
			unchanged++
		}
		<-time.After(10 * time.Millisecond)
	}
	if last*rowBytes > 8<<20 {
		t.Errorf("the node sent %d MB to a client that does not read, want at most 8", last*rowBytes>>20)
	}
	got := int64(0)
	for reader.Next() {
		got += reader.RecordBatch().NumRows()
	}
	if got != rows || reader.Err() != nil {
		t.Errorf("received %d rows of %d, %v", got, rows, reader.Err())
	}
}

// Of 10,000 queries at the same time, some are served and all others are rejected as OVERLOADED with a retry delay.
func TestTenThousandConcurrentQueries(t *testing.T) {
	r := newRig(t, 2, "")
	const n = 10000
	type result struct {
		outcome string
		took    time.Duration
	}
	done := make(chan result, n)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range n {
		go func() {
			begin := time.Now()
			_, err := r.query(ctx, "SELECT 1 /* work_ms=40 cost_ms=40 */")
			if status.Code(err) == codes.ResourceExhausted && !hasRetryDelay(err) {
				done <- result{"rejected without a retry delay", 0}
				return
			}
			done <- result{outcomeOf(err), time.Since(begin)}
		}()
	}
	outcomes := map[string]int{}
	var rejected []time.Duration // times to the rejection
	for range n {
		res := <-done
		if outcomes[res.outcome]++; res.outcome == "refused OVERLOADED" {
			rejected = append(rejected, res.took)
		}
	}
	slices.Sort(rejected)
	if len(rejected) > 0 {
		t.Logf("rejected: %d, half of them within %v, all within %v; served: %d", len(rejected), rejected[len(rejected)/2],
			rejected[len(rejected)-1], outcomes["served"])
	}
	if outcomes["served"] == 0 || outcomes["refused OVERLOADED"] == 0 || outcomes["served"]+outcomes["refused OVERLOADED"] != n {
		t.Errorf("outcomes: %v, want some queries served and all others rejected as OVERLOADED with a retry delay", outcomes)
	}
}

// A node crashes while a query runs on it: the query may have had its effect. A read is retried on another node, an update is not.
func TestNodeCrashDuringQuery(t *testing.T) {
	for _, c := range []struct{ statement, want string }{
		{"SELECT 1 /* work_ms=300 */", "served"},
		{"INSERT INTO t VALUES (1) /* work_ms=300 */", "failed ATTEMPT_FAILED"},
	} {
		t.Run(c.want, func(t *testing.T) {
			r := newRig(t, 2, "")
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			done := make(chan string, 1)
			go func() {
				var err error
				if c.want == "served" {
					_, err = r.query(ctx, c.statement)
				} else {
					_, err = r.client.ExecuteUpdate(ctx, c.statement)
				}
				done <- outcomeOf(err)
			}()
			r.awaitNodeWith(c.statement).Crash()
			if got := <-done; got != c.want {
				t.Errorf("outcome %q, want %q", got, c.want)
			}
			if n := len(r.attemptsOf(c.statement)); (n > 1) != (c.want == "served") {
				t.Errorf("nodes received %d attempts; only the read should be retried", n)
			}
		})
	}
}

// A changed priority reaches the node while the query runs.
func TestPriorityChangeOfRunningQuery(t *testing.T) {
	r := newRig(t, 1, "")
	done := make(chan error, 1)
	go func() {
		_, err := r.query(t.Context(), "SELECT 1 /* work_ms=400 */")
		done <- err
	}()
	if err := r.nodes[0].Await(t.Context(), func(a []simulated.AttemptRecord) bool { return len(a) == 1 }); err != nil {
		t.Fatal(err)
	}
	id := r.nodes[0].Attempts()[0].Query
	r.d.Fleet().SetResources(id, 64, 3)
	if err := r.nodes[0].Await(t.Context(), func([]simulated.AttemptRecord) bool {
		return r.nodes[0].Priority(id) == 3 || len(done) > 0
	}); err != nil {
		t.Fatal(err)
	}
	if len(done) > 0 {
		t.Fatal("the query ended before the node received its new priority")
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
