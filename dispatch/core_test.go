package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"embershunt/policy"
)

const ms = Micros(1000)

// scripted is a decision module that returns the actions of its test.
type scripted struct {
	decide   func(now Micros, events []policy.Event) []policy.Action
	received []policy.Event
}

func (s *scripted) Step(now Micros, events []policy.Event) []policy.Action {
	s.received = append(s.received, events...)
	if s.decide == nil {
		return nil
	}
	return s.decide(now, events)
}

// Change accepts every change.
func (s *scripted) Change(policy.Settings, []int, []int) error { return nil }

// Outstanding is nothing.
func (s *scripted) Outstanding() (int, int, bool) { return 0, 0, false }

// tape is a fleet, an observer and a client that record their calls.
type tape struct {
	lines  []string
	faults []FaultKind
}

var (
	_ Fleet    = (*tape)(nil)
	_ Observer = (*tape)(nil)
)

func (t *tape) put(format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf(format, args...))
}
func (t *tape) Send(a Attempt)                            { t.put("send %s/%d %s", a.Query.ID, a.Number, a.Node) }
func (t *tape) ForwardResponse(id string, n int)          { t.put("open %s/%d", id, n) }
func (t *tape) Cancel(id string, n int)                   { t.put("cancel %s/%d", id, n) }
func (t *tape) SetResources(id string, _ float64, p int)  { t.put("terms %s %d", id, p) }
func (t *tape) HealthCheck(node string)                   { t.put("probe %s", node) }
func (t *tape) WatchEndpoints()                           {}
func (t *tape) FetchEndpoints()                           {}
func (t *tape) SendGossip(int, []byte)                    {}
func (t *tape) QueryReceived(*Query)                      {}
func (t *tape) Answered(*Query, Outcome, Micros)          {}
func (t *tape) Sent(Attempt)                              {}
func (t *tape) AttemptEnded(*Query, string, AttemptEnded) {}
func (t *tape) Fault(f Fault)                             { t.faults = append(t.faults, f.Kind) }
func (t *tape) Changed(uint64, policy.Settings)           {}
func (t *tape) Paused(Micros)                             {}
func (t *tape) LogLine(string)                            {}
func (t *tape) StepCompleted(int, int, int)               {}
func (t *tape) client(id string) clientTape               { return clientTape{t, id} }
func (t *tape) query(id string, due Micros) *Query {
	return &Query{ID: id, Deadline: due, Client: t.client(id)}
}

// step steps a core that must not fail.
func step(t interface {
	Helper()
	Fatal(...any)
}, c *Core, now Micros, events ...Event) {
	t.Helper()
	if err := c.Step(now, events); err != nil {
		t.Fatal(err)
	}
}

type clientTape struct {
	t  *tape
	id string
}

func (c clientTape) Answer(v Outcome) {
	c.t.put("answer %s %s %s", c.id, v.Kind, v.Reason)
}

func newTestCore(s *scripted, t *tape) *Core {
	return &Core{gateway: s, fleet: t, observer: t, ledger: newLedger(), hedging: true}
}

// A client may leave in the very step that takes its query: the module, which is told of both, has sent it by then. Nothing
// leaves, no fault is seen, and the module is told that its attempt never ran: else it would count it for ever.
func TestClientDisconnectsInTheStepOfItsQuery(t *testing.T) {
	s, tp := &scripted{}, &tape{}
	c := newTestCore(s, tp)
	s.decide = func(_ Micros, events []policy.Event) []policy.Action {
		if _, ok := events[0].(policy.Request); ok {
			return []policy.Action{policy.Resources{ID: "q"}, policy.Send{ID: "q", Endpoint: "n1"}}
		}
		return nil
	}
	step(t, c, 1*ms, QueryReceived{tp.query("q", 50*ms)}, ClientDisconnected{"q"})
	want := policy.AttemptResult{ID: "q", Endpoint: "n1", Code: policy.NeverSent, Final: true}
	if last := s.received[len(s.received)-1]; last != want {
		t.Errorf("the module is told %+v, want %+v", last, want)
	}
	if len(tp.faults) > 0 || len(tp.lines) != 1 || c.Tracked() != 0 {
		t.Errorf("faults %v, done %v, tracked %d", tp.faults, tp.lines, c.Tracked())
	}
	s.decide = func(Micros, []policy.Event) []policy.Action { return []policy.Action{policy.Shed{ID: "r"}} }
	step(t, c, 2*ms, QueryReceived{tp.query("r", 50*ms)}, ClientDisconnected{"r"}) // given up in the step in which its client left
	if len(tp.faults) > 0 || len(tp.lines) != 2 {
		t.Errorf("faults %v, done %v", tp.faults, tp.lines)
	}
	if step(t, c, 3*ms); len(tp.faults) != 1 { // and again later: that is one
		t.Errorf("faults %v", tp.faults)
	}
}

func TestAPanicFailsAllThatIsHeldAndEndsTheCore(t *testing.T) {
	log, s := &tape{}, &scripted{}
	core := newTestCore(s, log)
	if err := core.Step(0, []Event{QueryReceived{log.query("a", 9*ms)}, QueryReceived{log.query("b", 5*ms)}}); err != nil {
		t.Fatal(err)
	}
	s.decide = func(Micros, []policy.Event) []policy.Action { panic("no such class") }
	err := core.Step(ms, nil)
	var p *PanicError
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "no such class") || len(p.Stack) == 0 {
		t.Fatalf("error %v", err)
	}
	if got := strings.Join(log.lines, "; "); got != "answer b failed DISPATCHER_FAULT; answer a failed DISPATCHER_FAULT" {
		t.Error(got)
	}
	if core.Unanswered() != 0 {
		t.Errorf("%d still held", core.Unanswered())
	}
	// One that stood behind a change in the same step had no entry yet: it is answered too.
	log, s = &tape{}, &scripted{decide: func(Micros, []policy.Event) []policy.Action { panic("no such class") }}
	core = newTestCore(s, log)
	if err := core.Step(0, []Event{QueryReceived{log.query("c", 9*ms)}, Change{Serial: 1, Done: func(error) {}}, QueryReceived{log.query("d", 9*ms)}}); !errors.As(err, &p) {
		t.Errorf("error %v", err)
	}
	if got := strings.Join(log.lines, "; "); got != "answer c failed DISPATCHER_FAULT; answer d failed DISPATCHER_FAULT" {
		t.Error(got)
	}
}

func TestRejectedBeforeTheGateway(t *testing.T) {
	log, s := &tape{}, &scripted{}
	core := newTestCore(s, log)
	core.maxInFlight = 1
	step(t, core, 0, QueryReceived{log.query("a", 9*ms)}, QueryReceived{log.query("b", 9*ms)})
	core.Drain()
	step(t, core, 1, QueryReceived{log.query("c", 9*ms)})
	if got := strings.Join(log.lines, "; "); got != "answer b refused DISPATCHER_FULL; answer c refused DISPATCHER_STOPS" {
		t.Error(got)
	}
	if len(s.received) != 1 {
		t.Errorf("the module was told %v", s.received)
	}
}
