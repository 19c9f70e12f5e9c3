package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/native"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"

	"golang.org/x/sync/errgroup"
)

// discardSink discards an answer.
type discardSink struct{}

// Forward implements native.Sink.
func (s *discardSink) Forward([]byte, bool) error { return nil }

// runNativeAttempt sends one attempt to a node, and returns its progress reports and its end.
func runNativeAttempt(t *testing.T, address string, call native.Call, timeout time.Duration) (progress []policy.Progress, end dispatch.AttemptEnded) {
	t.Helper()
	clock := dispatch.NewClock()
	f := New(Options{Clock: clock, ConnectTimeout: 200 * time.Millisecond})
	recorder := eventRecorder{make(chan dispatch.Event, 10000)}
	f.Bind(recorder)
	defer closeFleet(t, f)
	if err := f.SetNodes([]nodelist.Node{{ID: "n", NativeAddress: address}}); err != nil {
		t.Fatal(err)
	}
	call.Revision, call.Sink = native.NewestRevision, &discardSink{}
	call.Query.ID, call.Query.Info, call.Query.Stage = "q", []byte{0}, 2
	call.Tables = native.EmptyDataPacket()
	now := clock.Now()
	f.Send(dispatch.Attempt{Query: &dispatch.Query{ID: "q", Payload: &call, Deadline: now + 1e7},
		Node: "n", Deadline: now + timeout.Microseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			t.Fatal("the attempt did not end within 5 s")
		case ev := <-recorder.events:
			switch ev := ev.(type) {
			case dispatch.ResponseReady:
				f.ForwardResponse(ev.ID, ev.Number)
			case dispatch.AttemptEnded:
				return progress, ev
			case dispatch.PolicyEvent:
				if p, ok := ev.Event.(policy.Progress); ok {
					progress = append(progress, p)
				}
			}
		}
	}
}

// Each way in which an attempt over the native protocol can end has the right outcome. A query counts as not run only if that is proved:
// a wrong outcome would let a retry repeat its effect.
func TestNativeAttemptOutcomes(t *testing.T) {
	const insert = "INSERT INTO events (id, name) VALUES"
	rows := [][]byte{native.EmptyDataPacket()}
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
		{"rejected by a full node", simulated.Faults{RejectQueries: true}, false, "SELECT 1", nil, policy.Rejected, false},
		{"failed", simulated.Faults{FailShare: 1}, false, "SELECT 1", nil, policy.Failed, false},
		{"a rejected statement", simulated.Faults{}, false, "SELECT 1 /* fail=no */", nil, policy.Failed, true},
		{"no answer", simulated.Faults{Hang: true}, false, "SELECT 1", nil, policy.TimedOut, false},
		{"an update without an answer", simulated.Faults{LoseAnswers: true}, false, "CREATE TABLE t", nil, policy.TimedOut, false},
		{"a truncated answer", simulated.Faults{CutAfterRows: 5}, false, "SELECT 1 /* rows=10 */", nil, policy.ConnectionReset, false},
		{"an INSERT", simulated.Faults{}, false, insert, rows, policy.OK, false},
		{"an INSERT without a sample block: never ran", simulated.Faults{Hang: true}, false, insert, rows, policy.ConnectionRefused, false},
		{"an INSERT without an answer", simulated.Faults{LoseAnswers: true}, false, insert, rows, policy.TimedOut, false},
		{"an INSERT that failed", simulated.Faults{FailShare: 1}, false, insert, rows, policy.Failed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := simulated.NewNode("n", simulated.MachineModel{}, 1)
			if err := n.Start("127.0.0.1:0", false); err != nil {
				t.Fatal(err)
			}
			defer n.Crash()
			n.SetFaults(c.fault)
			if c.down {
				n.Crash()
			}
			_, end := runNativeAttempt(t, n.NativeAddress, native.Call{Query: native.Query{Text: c.text}, Data: c.data},
				300*time.Millisecond)
			if c.text == insert && c.fault.Hang { // must be reported well before the attempt's own timeout
				_, end = runNativeAttempt(t, n.NativeAddress, native.Call{Query: native.Query{Text: c.text}, Data: c.data}, 4*time.Second)
				if end.Latency > 2e6 {
					t.Errorf("the missing sample block was reported after %d us, want at most 2 s", end.Latency)
				}
			}
			if end.Code != c.code || end.StatementRejected != c.rejected {
				t.Errorf("code %d, rejected %v, want %d, %v (%v)", end.Code, end.StatementRejected, c.code, c.rejected, end.Err)
			}
		})
	}
}

// A node's reports of a query's progress and cost reach the policy.
func TestNativeProgressAndCost(t *testing.T) {
	n := simulated.NewNode("n", simulated.MachineModel{}, 1)
	if err := n.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer n.Crash()
	progress, end := runNativeAttempt(t, n.NativeAddress,
		native.Call{Query: native.Query{Text: "SELECT 1 /* rows=10 work_ms=600 memory_mb=50 */"}}, 4*time.Second)
	if end.Code != policy.OK || end.WorkMicros != 600000 || end.NeededMB != 50 {
		t.Errorf("code %d, work %d us, memory %v MB, want 600000 and 50", end.Code, end.WorkMicros, end.NeededMB)
	}
	if len(progress) < 3 || len(progress) > 8 {
		t.Errorf("%d progress reports, want one each 100 ms", len(progress))
	}
	for i, p := range progress {
		if p.ID != "q" || p.Endpoint != "n" || p.Kind != policy.FractionDone || p.Value <= 0 || p.Value > 1 || i > 0 && p.Value < progress[i-1].Value {
			t.Errorf("report %d: %+v", i, p)
		}
	}
}

// A node that closes the connection while the rows of an INSERT are written to it ends the attempt and the goroutine that writes.
func TestNodeClosesDuringAnUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(t, l)
	var group errgroup.Group
	defer func() {
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}()
	group.Go(func() error { return acceptPartOfUpload(l, 1<<20) })
	large := make([]byte, 32<<20)
	_, end := runNativeAttempt(t, l.Addr().String(), native.Call{Query: native.Query{Text: "INSERT INTO t VALUES"}, Data: [][]byte{large}}, 4*time.Second)
	if end.Code != policy.ConnectionReset {
		t.Errorf("code %d, want %d for a broken connection (%v)", end.Code, policy.ConnectionReset, end.Err)
	}
}

// acceptPartOfUpload serves one connection as a node that closes it after reading the given number of bytes of an INSERT's rows.
func acceptPartOfUpload(l net.Listener, bytes int64) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	r := native.NewReader(conn, 1<<20)
	noColumns := []byte{native.ServerData, 0, 0, 0, 0} // a sample block without columns suffices
	for _, step := range []func() error{
		func() error { _, err := r.ReadHello(); return err },
		func() error {
			_, err := conn.Write(native.ServerInfo{Name: "n", Revision: native.NewestRevision}.Encode())
			return err
		},
		func() error { return r.ReadAddendum(native.NewestRevision) },
		func() error { _, err := r.ReadClientPacketCode(); return err },
		func() error { _, err := r.ReadQuery(native.NewestRevision); return err },
		func() error { _, err := conn.Write(noColumns); return err },
		func() error { _, err := io.CopyN(io.Discard, conn, bytes); return err },
	} {
		if err := step(); err != nil {
			return errors.Join(err, conn.Close())
		}
	}
	return conn.Close()
}
