package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"embershunt/policy"
)

const ms = Micros(1000)

// scripted is a decider that says what a test tells it to.
type scripted struct {
	say  func(now Micros, events []policy.Event) []policy.Action
	told []policy.Event
}

func (s *scripted) Step(now Micros, events []policy.Event) []policy.Action {
	s.told = append(s.told, events...)
	if s.say == nil {
		return nil
	}
	return s.say(now, events)
}

// Change takes everything.
func (s *scripted) Change(policy.Settings, []int, []int) error { return nil }

// Outstanding has nothing out.
func (s *scripted) Outstanding() (int, int, bool) { return 0, 0, false }

// tape is a fleet, an observer and a client that write down what they are asked.
type tape struct {
	lines  []string
	faults []FaultKind
	out    map[string]int // attempts sent and not ended
}

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
func (t *tape) StepCompleted(events, actions, held int)   {}
func (t *tape) client(id string) clientTape               { return clientTape{t, id} }
func (t *tape) query(id string, due Micros) *Query {
	return &Query{ID: id, Deadline: due, Client: t.client(id)}
}

type clientTape struct {
	t  *tape
	id string
}

func (c clientTape) Answer(v Outcome) {
	c.t.put("answer %s %s %s", c.id, v.Kind, v.Reason)
}

func newTestCore(s *scripted, t *tape) *Core {
	return &Core{gateway: s, fleet: t, observe: t, books: ledger{entries: map[string]*entry{}}}
}

// A client may leave in the very step that takes its query: the module, which is told of both, has sent it by then. Nothing
// leaves, no fault is seen, and the module is told that its attempt never ran: else it would stay on its books for ever.
func TestAClientThatLeavesAtOnce(t *testing.T) {
	s, tp := &scripted{}, &tape{}
	c := newTestCore(s, tp)
	s.say = func(now Micros, events []policy.Event) []policy.Action {
		if _, ok := events[0].(policy.Request); ok {
			return []policy.Action{policy.Resources{ID: "q"}, policy.Send{ID: "q", Endpoint: "n1"}}
		}
		return nil
	}
	if err := c.Step(1*ms, []Event{QueryReceived{tp.query("q", 50*ms)}, ClientDisconnected{"q"}}); err != nil {
		t.Fatal(err)
	}
	want := policy.AttemptResult{ID: "q", Endpoint: "n1", Code: policy.NeverSent, Final: true}
	if last := s.told[len(s.told)-1]; last != want {
		t.Errorf("the module is told %+v, want %+v", last, want)
	}
	if len(tp.faults) > 0 || len(tp.lines) != 1 || c.Tracked() != 0 {
		t.Errorf("faults %v, done %v, booked %d", tp.faults, tp.lines, c.Tracked())
	}
	s.say = func(Micros, []policy.Event) []policy.Action { return []policy.Action{policy.Shed{ID: "r"}} }
	c.Step(2*ms, []Event{QueryReceived{tp.query("r", 50*ms)}, ClientDisconnected{"r"}}) // given up in the step in which its client left
	if len(tp.faults) > 0 || len(tp.lines) != 2 {
		t.Errorf("faults %v, done %v", tp.faults, tp.lines)
	}
	if c.Step(3*ms, nil); len(tp.faults) != 1 { // and again later: that is one
		t.Errorf("faults %v", tp.faults)
	}
}

// effectOf is the effect of the cases whose class is not safe to repeat.
var effectOf = map[string]policy.Effect{"a repeat of what may have run is withheld": policy.NonIdempotent,
	"a second copy of what is out is withheld": policy.NonIdempotent, "what never ran is sent again": policy.NonIdempotent}

// What the ledger lets through and what it withholds, whatever the module says.
func TestLedgerGivesOneAnswer(t *testing.T) {
	send := policy.Send{ID: "q", Endpoint: "n1"}
	send2 := policy.Send{ID: "q", Endpoint: "n2"}
	type step struct {
		at  Micros
		in  []Event
		say []policy.Action
	}
	ended := func(n int, c policy.Code) Event { return AttemptEnded{ID: "q", Number: n, Code: c} }
	cases := []struct {
		name   string
		steps  []step
		want   string
		faults []FaultKind
	}{
		{"served by a clean end", []step{{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, nil}},
			"send q/0 n1; answer q served ", nil},
		{"a second answer is withheld", []step{
			{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, []policy.Action{policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q served ", []FaultKind{FaultUnknown}},
		{"a second answer while an attempt is out", []step{
			{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultDoubleAnswer}},
		{"nothing leaves after the answer", []step{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, send2}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultLateSend}},
		{"nothing leaves after the deadline", []step{{100 * ms, nil, []policy.Action{send}}},
			"answer q failed DEADLINE", []FaultKind{FaultForgotten}},
		{"a forgotten query is failed at its deadline", []step{{0, nil, []policy.Action{send}}, {100 * ms, nil, nil}},
			"send q/0 n1; answer q failed DEADLINE; cancel q/0", []FaultKind{FaultForgotten}},
		{"an end that comes twice", []step{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Failed), ended(0, policy.Failed)}, nil}},
			"send q/0 n1", []FaultKind{FaultDoubleEnd}},
		{"an end that nobody waits for", []step{{5, []Event{ended(3, policy.OK)}, nil}}, "", []FaultKind{FaultLateOutcome}},
		{"an id that comes twice", []step{{5, []Event{QueryReceived{&Query{ID: "q", Client: clientTape{&tape{}, "q"}}}}, nil}},
			"", []FaultKind{FaultDoubleID}},
		{"the first to begin has the client", []step{{0, nil, []policy.Action{send, send2}},
			{5, []Event{ResponseReady{"q", 1}, ResponseReady{"q", 0}}, nil}, {9, []Event{ended(0, policy.Cancelled)}, nil},
			{12, []Event{ended(1, policy.OK)}, nil}},
			"send q/0 n1; send q/1 n2; open q/1; cancel q/0; answer q served ", nil},
		{"no further attempt once an answer flows", []step{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, []policy.Action{send2}}}, "send q/0 n1; open q/0", []FaultKind{FaultLateSend}},
		{"a repeat of what may have run is withheld", []step{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.ConnectionReset)}, []policy.Action{send2}}}, "send q/0 n1", []FaultKind{FaultForbidden}},
		{"a second copy of what is out is withheld", []step{{0, nil, []policy.Action{send}}, {5, nil, []policy.Action{send2}}},
			"send q/0 n1", []FaultKind{FaultForbidden}},
		{"what never ran is sent again", []step{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Rejected)}, []policy.Action{send2}}}, "send q/0 n1; send q/1 n2", nil},
		{"a broken stream is failed at once", []step{{0, nil, []policy.Action{send}}, {5, []Event{ResponseReady{"q", 0}}, nil},
			{9, []Event{ended(0, policy.ConnectionReset)}, nil}}, "send q/0 n1; open q/0; answer q failed ANSWER_BROKEN", nil},
		{"a stalled stream is cut off at the deadline, no fault", []step{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, nil}, {100 * ms, nil, nil}},
			"send q/0 n1; open q/0; answer q failed DEADLINE; cancel q/0", nil},
		{"a statement that a node turns down is over", []step{{0, nil, []policy.Action{send}},
			{5, []Event{AttemptEnded{ID: "q", Code: policy.Failed, Rejected: true}}, nil}},
			"send q/0 n1; answer q failed STATEMENT", nil},
		{"a client that left", []step{{0, nil, []policy.Action{send}}, {5, []Event{ClientDisconnected{"q"}}, nil}},
			"send q/0 n1; answer q failed CLIENT_GONE; cancel q/0", nil},
		{"a begin after the answer is called off, once", []step{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}}},
			{5, []Event{ResponseReady{"q", 0}}, nil}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, s := &tape{}, &scripted{}
			core := newTestCore(s, log)
			core.classes = []policy.Class{{Effect: effectOf[c.name]}}
			first := []Event{QueryReceived{log.query("q", 100*ms)}}
			for i, st := range c.steps {
				s.say = func(Micros, []policy.Event) []policy.Action {
					out := st.say
					st.say = nil
					return out
				}
				in := st.in
				if i == 0 {
					in = append(first, in...)
				}
				if err := core.Step(st.at, in); err != nil {
					t.Fatal(err)
				}
			}
			if got := strings.Join(log.lines, "; "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if !slices.Equal(log.faults, c.faults) {
				t.Errorf("faults %v, want %v", log.faults, c.faults)
			}
		})
	}
}

func TestAPanicFailsAllThatIsHeldAndEndsTheCore(t *testing.T) {
	log, s := &tape{}, &scripted{}
	core := newTestCore(s, log)
	if err := core.Step(0, []Event{QueryReceived{log.query("a", 9*ms)}, QueryReceived{log.query("b", 5*ms)}}); err != nil {
		t.Fatal(err)
	}
	s.say = func(Micros, []policy.Event) []policy.Action { panic("no such class") }
	err := core.Step(ms, nil)
	var p *PanicError
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "no such class") || len(p.Stack) == 0 {
		t.Fatalf("error %v", err)
	}
	if got := strings.Join(log.lines, "; "); got != "answer b failed DISPATCHER_FAULT; answer a failed DISPATCHER_FAULT" {
		t.Error(got)
	}
	if core.Pending() != 0 {
		t.Errorf("%d still held", core.Pending())
	}
	// One that stood behind a change in the same step had not come to the books: it is answered too.
	log, s = &tape{}, &scripted{say: func(Micros, []policy.Event) []policy.Action { panic("no such class") }}
	core = newTestCore(s, log)
	core.Step(0, []Event{QueryReceived{log.query("c", 9*ms)}, Change{Version: 1, Done: func(error) {}}, QueryReceived{log.query("d", 9*ms)}})
	if got := strings.Join(log.lines, "; "); got != "answer c failed DISPATCHER_FAULT; answer d failed DISPATCHER_FAULT" {
		t.Error(got)
	}
}

func TestTurnedAwayBeforeTheModule(t *testing.T) {
	log, s := &tape{}, &scripted{}
	core := newTestCore(s, log)
	core.most = 1
	core.Step(0, []Event{QueryReceived{log.query("a", 9*ms)}, QueryReceived{log.query("b", 9*ms)}})
	core.Drain()
	core.Step(1, []Event{QueryReceived{log.query("c", 9*ms)}})
	if got := strings.Join(log.lines, "; "); got != "answer b refused DISPATCHER_FULL; answer c refused DISPATCHER_STOPS" {
		t.Error(got)
	}
	if len(s.told) != 1 {
		t.Errorf("the module was told %v", s.told)
	}
}

// Whatever a faulty module says and in whatever order ends come in, each query gets exactly one answer, not after its
// deadline, and nothing is sent for it afterwards.
func TestOneAnswerWhateverTheModuleSays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		log, s := &tape{}, &scripted{}
		core := newTestCore(s, log)
		ids := []string{"a", "b", "c"}
		pick := func() string { return ids[rapid.IntRange(0, 2).Draw(r, "id")] }
		s.say = func(Micros, []policy.Event) (out []policy.Action) {
			for range rapid.IntRange(0, 3).Draw(r, "actions") {
				switch id := pick(); rapid.IntRange(0, 5).Draw(r, "action") {
				case 0, 1:
					out = append(out, policy.Send{ID: id, Endpoint: "n"})
				case 2:
					out = append(out, policy.Shed{ID: id})
				case 3:
					out = append(out, policy.Fail{ID: id})
				case 4:
					out = append(out, policy.Cancel{ID: id, Attempt: rapid.IntRange(0, 3).Draw(r, "n")})
				case 5:
					out = append(out, policy.Resources{ID: id, Priority: 1})
				}
			}
			return out
		}
		now := Micros(0)
		for i, id := range ids {
			core.Step(now, []Event{QueryReceived{log.query(id, Micros(10+10*i)*ms)}})
		}
		for range rapid.IntRange(0, 20).Draw(r, "steps") {
			now += Micros(rapid.IntRange(0, 5).Draw(r, "after")) * ms
			var in []Event
			for range rapid.IntRange(0, 2).Draw(r, "events") {
				id, n := pick(), rapid.IntRange(0, 3).Draw(r, "n")
				switch rapid.IntRange(0, 3).Draw(r, "event") {
				case 0:
					in = append(in, ResponseReady{id, n})
				case 1, 2:
					in = append(in, AttemptEnded{ID: id, Number: n, Code: policy.Code(rapid.IntRange(0, 7).Draw(r, "code"))})
				case 3:
					in = append(in, ClientDisconnected{id})
				}
			}
			if err := core.Step(now, in); err != nil {
				r.Fatal(err)
			}
		}
		core.Step(100*ms, nil)
		for _, id := range ids {
			answers, after := 0, false
			for _, l := range log.lines {
				switch {
				case strings.HasPrefix(l, "answer "+id+" "):
					answers++
					after = true
				case after && (strings.HasPrefix(l, "send "+id+"/") || strings.HasPrefix(l, "open "+id+"/")):
					r.Fatalf("after the answer: %s", l)
				}
			}
			if answers != 1 {
				r.Fatalf("%s has %d answers: %v", id, answers, log.lines)
			}
		}
	})
}

// BenchmarkStep is the cost of one query through core and module: taken, sent, begun, ended.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{8, 34, 76} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			log := &quiet{}
			core, err := NewCore(1, policy.Settings{Peers: 1, MaxAttempts: 3, CanCancel: true, HonorsPriority: true,
				ReportsByAnswer: true, Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16384}},
				Classes: []policy.Class{{Name: "lookup", PriorityWeight: 1, LatencyObjective: 750 * ms, Deadline: 4000 * ms}}}, log, log)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			rows := make([]policy.Endpoint, nodes)
			for i := range rows {
				rows[i].ID = fmt.Sprintf("node-%d", i)
			}
			core.Step(now, []Event{PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: rows}}})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("q%d", i)
				log.node = ""
				core.Step(now, []Event{QueryReceived{&Query{ID: id, Cost: 20 * ms, Deadline: now + 4000*ms, Client: log}}})
				now += 100
				core.Step(now, []Event{ResponseReady{id, 0}})
				now += 100
				core.Step(now, []Event{AttemptEnded{ID: id, Code: policy.OK, Latency: 200, Load: &policy.Load{Util: 0.3, InFlight: -1, Queue: -1, Memory: -1, Disk: -1}}})
				now += 800
			}
			if log.served != b.N {
				b.Fatalf("%d of %d served", log.served, b.N)
			}
		})
	}
}

// quiet is a tape that keeps nothing but a count.
type quiet struct {
	tape
	node   string
	served int
}

func (q *quiet) Send(a Attempt)                    { q.node = a.Node }
func (q *quiet) ForwardResponse(string, int)       {}
func (q *quiet) Cancel(string, int)                {}
func (q *quiet) SetResources(string, float64, int) {}
func (q *quiet) Answer(v Outcome) {
	if v.Kind == Served {
		q.served++
	}
}

// A query that was classified by an older version gets the numbers in force; one whose class is gone is refused.
func TestChangeBetweenSteps(t *testing.T) {
	log := &tape{}
	settings := func(classes ...string) policy.Settings {
		s := policy.Settings{Peers: 1, MaxAttempts: 1, Kinds: []policy.Kind{{Cores: 8}}}
		for _, c := range classes {
			s.Classes = append(s.Classes, policy.Class{Name: c, PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 1000 * ms})
		}
		return s
	}
	core, err := NewCore(1, settings("lookup", "report"), log, log)
	if err != nil {
		t.Fatal(err)
	}
	var errs []error
	change := func(v uint64, s policy.Settings) Event {
		return Change{v, s, func(err error) { errs = append(errs, err) }}
	}
	query := func(id string, version uint64, class int) Event {
		q := log.query(id, 2000*ms)
		q.Version, q.Class, q.Cost = version, class, ms
		return QueryReceived{q}
	}
	now := Micros(1e9)
	step := func(in ...Event) {
		t.Helper()
		now += ms
		for _, e := range in {
			if q, ok := e.(QueryReceived); ok {
				q.Query.Deadline += now
			}
		}
		if err := core.Step(now, in); err != nil {
			t.Fatal(err)
		}
	}
	step(PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "n"}}}}, query("a", 0, 1))
	step(change(1, settings("report", "load")), query("b", 0, 0), query("c", 0, 1), query("d", 1, 1))
	if got := core.InFlight(); got["report"] != 2 || got["load"] != 1 {
		t.Errorf("in flight: %v", got)
	}
	step(change(2, settings("load")), change(1, settings("load")))
	if errs[0] != nil || errs[1] == nil || errs[2] == nil {
		t.Errorf("the changes ended with %v; want taken, refused for its queries in flight, refused for its number", errs)
	}
	step(AttemptEnded{ID: "a", Code: policy.OK}, AttemptEnded{ID: "c", Code: policy.OK}, change(3, settings("load")))
	if errs[3] != nil {
		t.Errorf("with nothing of the class in flight: %v", errs[3])
	}
	want := "send a/0 n; answer b refused CLASS_GONE; send c/0 n; send d/0 n; answer a served ; answer c served "
	if got := strings.Join(log.lines, "; "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// BenchmarkChange is the pause of the loop while settings change, by the queries in flight.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("inflight=%d", n), func(b *testing.B) {
			log := &quiet{}
			s := policy.Settings{Peers: 1, MaxAttempts: 3, Kinds: []policy.Kind{{Cores: 100000}}, Classes: []policy.Class{
				{Name: "lookup", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}, {Name: "report", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}}}
			core, err := NewCore(1, s, log, log)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			core.Step(now, []Event{PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "n"}}}}})
			for i := range n {
				core.Step(now, []Event{QueryReceived{&Query{ID: fmt.Sprint(i), Class: i % 2, Cost: 1e3, Deadline: now + 60e6, Client: log}}})
			}
			if core.Pending() != n {
				b.Fatalf("%d held", core.Pending())
			}
			version := uint64(0)
			for b.Loop() {
				version++
				s.Classes[0], s.Classes[1] = s.Classes[1], s.Classes[0]
				if err := core.change(0, Change{Version: version, Settings: s}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
