package backend

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/native"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// eventRecorder keeps what a fleet has seen.
type eventRecorder struct{ events chan dispatch.Event }

func (t eventRecorder) Post(ev dispatch.Event) { t.events <- ev }

// discardSink takes an answer.
type discardSink struct{}

func (s *discardSink) Pass([]byte, bool) error { return nil }

// runNativeAttempt sends one attempt to one node and returns what was seen of it, up to its end.
func runNativeAttempt(t *testing.T, address string, call native.Call, until time.Duration) (notes []policy.Progress, end dispatch.AttemptEnded) {
	t.Helper()
	clock := dispatch.NewClock()
	f := New(Options{Clock: clock, ConnectTimeout: 200 * time.Millisecond})
	tp := eventRecorder{make(chan dispatch.Event, 10000)}
	f.Bind(tp)
	defer f.Close()
	if err := f.SetNodes([]nodelist.Node{{ID: "n", Native: address}}); err != nil {
		t.Fatal(err)
	}
	call.Revision, call.Sink = native.Newest, &discardSink{}
	call.Query.ID, call.Query.Info, call.Query.Stage = "q", []byte{0}, 2
	call.Tables = native.EndOfData()
	now := clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q", Work: &call, Deadline: now + 1e7}, Node: "n", Deadline: now + until.Microseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			t.Fatal("no end in 5 s")
		case ev := <-tp.events:
			switch ev := ev.(type) {
			case dispatch.ResponseReady:
				f.ForwardResponse(ev.ID, ev.Number)
			case dispatch.AttemptEnded:
				return notes, ev
			case dispatch.PolicyEvent:
				if p, ok := ev.Event.(policy.Progress); ok {
					notes = append(notes, p)
				}
			}
		}
	}
}

// Every way in which an attempt over the native protocol ends, with care for what may have run.
func TestEndsOfNativeAttempts(t *testing.T) {
	const insert = "INSERT INTO events (id, name) VALUES"
	rows := [][]byte{native.EndOfData()}
	cases := []struct {
		name     string
		fault    simulated.Faults
		down     bool
		text     string
		data     [][]byte
		code     policy.Code
		rejected bool
	}{
		{"an answer", simulated.Faults{}, false, "SELECT 1 /* rows=10 */", nil, policy.OK, false},
		{"no connection", simulated.Faults{}, true, "SELECT 1", nil, policy.ConnectionRefused, false},
		{"turned away", simulated.Faults{Full: true}, false, "SELECT 1", nil, policy.Rejected, false},
		{"failed", simulated.Faults{Fail: 1}, false, "SELECT 1", nil, policy.Failed, false},
		{"a wrong statement", simulated.Faults{}, false, "SELECT 1 /* fail=no */", nil, policy.Failed, true},
		{"silent", simulated.Faults{Hang: true}, false, "SELECT 1", nil, policy.TimedOut, false},
		{"an update without an answer", simulated.Faults{Lost: true}, false, "CREATE TABLE t", nil, policy.TimedOut, false},
		{"a cut answer", simulated.Faults{CutRow: 5}, false, "SELECT 1 /* rows=10 */", nil, policy.ConnectionReset, false},
		{"rows taken", simulated.Faults{}, false, insert, rows, policy.OK, false},
		{"silent before it took a row: never ran", simulated.Faults{Hang: true}, false, insert, rows, policy.ConnectionRefused, false},
		{"rows taken and no answer", simulated.Faults{Lost: true}, false, insert, rows, policy.TimedOut, false},
		{"rows taken and failed", simulated.Faults{Fail: 1}, false, insert, rows, policy.Failed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := simulated.NewNode("n", simulated.Model{}, 1)
			if err := n.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			defer n.Die()
			n.Set(c.fault)
			if c.down {
				n.Die()
			}
			_, end := runNativeAttempt(t, n.Native, native.Call{Query: native.Query{Text: c.text}, Data: c.data}, 300*time.Millisecond)
			if c.text == insert && c.fault.Hang { // told well before the attempt's own time-out would have been
				_, end = runNativeAttempt(t, n.Native, native.Call{Query: native.Query{Text: c.text}, Data: c.data}, 4*time.Second)
				if end.Latency > 2e6 {
					t.Errorf("told after %d us", end.Latency)
				}
			}
			if end.Code != c.code || end.Rejected != c.rejected {
				t.Errorf("code %d, rejected %v, want %d, %v (%v)", end.Code, end.Rejected, c.code, c.rejected, end.Err)
			}
		})
	}
}

// What a node tells of a query's course and cost comes to the module.
func TestNativeNodesTellProgressAndCost(t *testing.T) {
	n := simulated.NewNode("n", simulated.Model{}, 1)
	if err := n.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer n.Die()
	notes, end := runNativeAttempt(t, n.Native, native.Call{Query: native.Query{Text: "SELECT 1 /* rows=10 work_ms=600 memory_mb=50 */"}}, 4*time.Second)
	if end.Code != policy.OK || end.WorkMicros != 600000 || end.NeededMB != 50 {
		t.Errorf("code %d, work %d us, memory %v MB, want 600000 and 50", end.Code, end.WorkMicros, end.NeededMB)
	}
	if len(notes) < 3 || len(notes) > 8 {
		t.Errorf("%d notes, want one each 100 ms", len(notes))
	}
	for i, p := range notes {
		if p.ID != "q" || p.Endpoint != "n" || p.Kind != policy.FractionDone || p.Value <= 0 || p.Value > 1 || i > 0 && p.Value < notes[i-1].Value {
			t.Errorf("note %d: %+v", i, p)
		}
	}
}

// A node that breaks off while rows are written to it ends the attempt, and the writer with it.
func TestANodeThatLeavesDuringAnUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan struct{})
	defer func() { <-done }()
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := native.NewReader(conn, 1<<20)
		r.ReadHello()
		conn.Write(native.Server{Name: "n", Revision: native.Newest}.Encode())
		r.ReadAddendum(native.Newest)
		r.ReadClient()
		r.ReadQuery(native.Newest)
		conn.Write([]byte{native.ServerData, 0, 0, 0, 0}) // no columns at all will do here
		io.CopyN(io.Discard, conn, 1<<20)
		conn.Close()
	}()
	large := make([]byte, 32<<20)
	_, end := runNativeAttempt(t, l.Addr().String(), native.Call{Query: native.Query{Text: "INSERT INTO t VALUES"}, Data: [][]byte{large}}, 4*time.Second)
	if end.Code != policy.ConnectionReset {
		t.Errorf("code %d, want that the connection broke (%v)", end.Code, end.Err)
	}
}

// A node's start is the same by the dispatcher's clock in every list that tells it: another one would be a restart.
func TestAStartIsReckonedOnce(t *testing.T) {
	f := New(Options{Clock: dispatch.NewClock()})
	tp := eventRecorder{make(chan dispatch.Event, 100)}
	f.Bind(tp)
	defer f.Close()
	started := time.Now().Add(-time.Minute)
	seen := map[policy.Micros]bool{}
	for range 50 {
		if err := f.SetNodes([]nodelist.Node{{ID: "n", Address: "127.0.0.1:1", Started: started}}); err != nil {
			t.Fatal(err)
		}
		seen[(<-tp.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started] = true
	}
	if len(seen) != 1 {
		t.Errorf("one start, told as %d", len(seen))
	}
	f.SetNodes([]nodelist.Node{{ID: "n", Address: "127.0.0.1:1", Started: started.Add(time.Second)}})
	if at := (<-tp.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started; seen[at] {
		t.Error("another start is told as the old one")
	}
}
