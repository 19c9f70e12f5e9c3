package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"embershunt/policy"
)

const ms = Micros(1000)

// scriptedGateway is a gateway that records its events and returns the actions that a test's decide function returns.
type scriptedGateway struct {
	decide   func(now Micros, events []policy.Event) []policy.Action
	received []policy.Event
}

func (s *scriptedGateway) Step(now Micros, events []policy.Event) []policy.Action {
	s.received = append(s.received, events...)
	if s.decide == nil {
		return nil
	}
	return s.decide(now, events)
}

// Change implements gateway; it accepts every change.
func (s *scriptedGateway) Change(policy.Settings, []int, []int) error { return nil }

// Outstanding implements gateway; nothing is outstanding.
func (s *scriptedGateway) Outstanding() (int, int, bool) { return 0, 0, false }

// callRecorder is a Fleet and an Observer. It records the calls of the fleet and the answers of its clients as lines, and the
// kinds of the faults.
type callRecorder struct {
	lines  []string
	faults []FaultKind
}

var (
	_ Fleet    = (*callRecorder)(nil)
	_ Observer = (*callRecorder)(nil)
)

func (r *callRecorder) recordf(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}
func (r *callRecorder) Send(a Attempt)                            { r.recordf("send %s/%d %s", a.Query.ID, a.Number, a.Node) }
func (r *callRecorder) ForwardResponse(id string, n int)          { r.recordf("forward %s/%d", id, n) }
func (r *callRecorder) Cancel(id string, n int)                   { r.recordf("cancel %s/%d", id, n) }
func (r *callRecorder) SetResources(id string, _ float64, p int)  { r.recordf("resources %s %d", id, p) }
func (r *callRecorder) HealthCheck(node string)                   { r.recordf("health check %s", node) }
func (r *callRecorder) WatchEndpoints()                           {}
func (r *callRecorder) FetchEndpoints()                           {}
func (r *callRecorder) SendGossip(int, []byte)                    {}
func (r *callRecorder) QueryReceived(*Query)                      {}
func (r *callRecorder) Answered(*Query, Outcome, Micros)          {}
func (r *callRecorder) Sent(Attempt)                              {}
func (r *callRecorder) AttemptEnded(*Query, string, AttemptEnded) {}
func (r *callRecorder) Fault(f Fault)                             { r.faults = append(r.faults, f.Kind) }
func (r *callRecorder) SettingsChanged(uint64, policy.Settings)   {}
func (r *callRecorder) SettingsChangeDuration(Micros)             {}
func (r *callRecorder) LogLine(string)                            {}
func (r *callRecorder) StepCompleted(int, int, int)               {}
func (r *callRecorder) client(id string) recordingClient          { return recordingClient{r, id} }
func (r *callRecorder) query(id string, deadline Micros) *Query {
	return &Query{ID: id, Deadline: deadline, Client: r.client(id)}
}

// step calls c.Step and fails the test on an error.
func step(t interface {
	Helper()
	Fatal(...any)
}, c *Core, now Micros, events ...Event) {
	t.Helper()
	if err := c.Step(now, events); err != nil {
		t.Fatal(err)
	}
}

// recordingClient is a Client that records its answer in a callRecorder.
type recordingClient struct {
	recorder *callRecorder
	id       string
}

func (c recordingClient) Answer(outcome Outcome) {
	c.recorder.recordf("answer %s %s %s", c.id, outcome.Kind, outcome.Reason)
}

// newTestCore returns a core with a scripted gateway and recorded calls; hedging is allowed.
func newTestCore(s *scriptedGateway, calls *callRecorder) *Core {
	return &Core{gateway: s, fleet: calls, observer: calls, ledger: newLedger(), hedging: true}
}

// TestClientDisconnectsInSameStepAsReceipt covers a client that disconnects in the step that receives its query. The gateway sees
// both events only after the query has been closed, and may still send an attempt. The attempt must be withheld without a fault,
// and be reported to the gateway as never sent: otherwise the gateway would count it as in flight for ever.
func TestClientDisconnectsInSameStepAsReceipt(t *testing.T) {
	s, calls := &scriptedGateway{}, &callRecorder{}
	c := newTestCore(s, calls)
	s.decide = func(_ Micros, events []policy.Event) []policy.Action {
		if _, ok := events[0].(policy.Request); ok {
			return []policy.Action{policy.Resources{ID: "q"}, policy.Send{ID: "q", Endpoint: "n1"}}
		}
		return nil
	}
	step(t, c, 1*ms, QueryReceived{calls.query("q", 50*ms)}, ClientDisconnected{"q"})
	want := policy.AttemptResult{ID: "q", Endpoint: "n1", Code: policy.NeverSent, Final: true}
	if last := s.received[len(s.received)-1]; last != want {
		t.Errorf("the gateway received %+v, want %+v", last, want)
	}
	if len(calls.faults) > 0 || len(calls.lines) != 1 || c.Tracked() != 0 {
		t.Errorf("faults %v, calls %v, tracked %d", calls.faults, calls.lines, c.Tracked())
	}
	s.decide = func(Micros, []policy.Event) []policy.Action { return []policy.Action{policy.Shed{ID: "r"}} }
	step(t, c, 2*ms, QueryReceived{calls.query("r", 50*ms)}, ClientDisconnected{"r"}) // shed in the step in which its client disconnects
	if len(calls.faults) > 0 || len(calls.lines) != 2 {
		t.Errorf("faults %v, calls %v", calls.faults, calls.lines)
	}
	if step(t, c, 3*ms); len(calls.faults) != 1 { // shedding the query in a later step is a fault
		t.Errorf("faults %v", calls.faults)
	}
}

// TestPanicFailsAllPendingQueries checks that a panic of the gateway is returned as a PanicError and that every query is answered.
func TestPanicFailsAllPendingQueries(t *testing.T) {
	calls, s := &callRecorder{}, &scriptedGateway{}
	core := newTestCore(s, calls)
	if err := core.Step(0, []Event{QueryReceived{calls.query("a", 9*ms)}, QueryReceived{calls.query("b", 5*ms)}}); err != nil {
		t.Fatal(err)
	}
	s.decide = func(Micros, []policy.Event) []policy.Action { panic("no such class") }
	err := core.Step(ms, nil)
	var p *PanicError
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "no such class") || len(p.Stack) == 0 {
		t.Fatalf("error %v", err)
	}
	if got := strings.Join(calls.lines, "; "); got != "answer b failed DISPATCHER_FAULT; answer a failed DISPATCHER_FAULT" {
		t.Error(got)
	}
	if core.Unanswered() != 0 {
		t.Errorf("%d queries still unanswered", core.Unanswered())
	}
	// The core steps the gateway with query c before it applies the settings change, and the gateway panics in that step. The core has not
	// yet handled query d, which follows the change, so d has no entry in the ledger: it must be answered too.
	calls, s = &callRecorder{}, &scriptedGateway{decide: func(Micros, []policy.Event) []policy.Action { panic("no such class") }}
	core = newTestCore(s, calls)
	if err := core.Step(0, []Event{QueryReceived{calls.query("c", 9*ms)}, SettingsChange{Version: 1, Done: func(error) {}},
		QueryReceived{calls.query("d", 9*ms)}}); !errors.As(err, &p) {
		t.Errorf("error %v", err)
	}
	if got := strings.Join(calls.lines, "; "); got != "answer c failed DISPATCHER_FAULT; answer d failed DISPATCHER_FAULT" {
		t.Error(got)
	}
}

func TestRejectedBeforeTheGateway(t *testing.T) {
	calls, s := &callRecorder{}, &scriptedGateway{}
	core := newTestCore(s, calls)
	core.maxInFlight = 1
	step(t, core, 0, QueryReceived{calls.query("a", 9*ms)}, QueryReceived{calls.query("b", 9*ms)})
	core.Drain()
	step(t, core, 1, QueryReceived{calls.query("c", 9*ms)})
	if got := strings.Join(calls.lines, "; "); got != "answer b refused DISPATCHER_FULL; answer c refused DISPATCHER_STOPS" {
		t.Error(got)
	}
	if len(s.received) != 1 {
		t.Errorf("the gateway received %v", s.received)
	}
}
