package dispatch

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"embershunt/policy"
)

// effectOf is the effect of the cases whose class is not safe to repeat.
var effectOf = map[string]policy.Effect{"a repeat of what may have run is withheld": policy.NonIdempotent,
	"a second copy of what is out is withheld": policy.NonIdempotent, "what never ran is sent again": policy.NonIdempotent}

// What the ledger lets through and what it withholds, whatever the module says.
func TestLedgerGivesOneAnswer(t *testing.T) {
	send := policy.Send{ID: "q", Endpoint: "n1"}
	send2 := policy.Send{ID: "q", Endpoint: "n2"}
	type scriptedStep struct {
		at     Micros
		events []Event
		decide []policy.Action
	}
	ended := func(n int, c policy.Code) Event { return AttemptEnded{ID: "q", Number: n, Code: c} }
	cases := []struct {
		name   string
		steps  []scriptedStep
		want   string
		faults []FaultKind
	}{
		{"served by a clean end", []scriptedStep{{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, nil}},
			"send q/0 n1; answer q served ", nil},
		{"a second answer is withheld", []scriptedStep{
			{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, []policy.Action{policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q served ", []FaultKind{FaultUnknown}},
		{"a second answer while an attempt is out", []scriptedStep{
			{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultDoubleAnswer}},
		{"nothing leaves after the answer", []scriptedStep{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, send2}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultLateSend}},
		{"nothing leaves after the deadline", []scriptedStep{{100 * ms, nil, []policy.Action{send}}},
			"answer q failed DEADLINE", []FaultKind{FaultForgotten}},
		{"a forgotten query is failed at its deadline", []scriptedStep{{0, nil, []policy.Action{send}}, {100 * ms, nil, nil}},
			"send q/0 n1; answer q failed DEADLINE; cancel q/0", []FaultKind{FaultForgotten}},
		{"an end that comes twice", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Failed), ended(0, policy.Failed)}, nil}},
			"send q/0 n1", []FaultKind{FaultDoubleEnd}},
		{"an end that nobody waits for", []scriptedStep{{5, []Event{ended(3, policy.OK)}, nil}}, "", []FaultKind{FaultLateOutcome}},
		{"an id that comes twice", []scriptedStep{{5, []Event{QueryReceived{&Query{ID: "q", Client: clientTape{&tape{}, "q"}}}}, nil}},
			"", []FaultKind{FaultDoubleID}},
		{"the first to begin has the client", []scriptedStep{{0, nil, []policy.Action{send, send2}},
			{5, []Event{ResponseReady{"q", 1}, ResponseReady{"q", 0}}, nil}, {9, []Event{ended(0, policy.Cancelled)}, nil},
			{12, []Event{ended(1, policy.OK)}, nil}},
			"send q/0 n1; send q/1 n2; open q/1; cancel q/0; answer q served ", nil},
		{"no further attempt once an answer flows", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, []policy.Action{send2}}}, "send q/0 n1; open q/0", []FaultKind{FaultLateSend}},
		{"a repeat of what may have run is withheld", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.ConnectionReset)}, []policy.Action{send2}}}, "send q/0 n1", []FaultKind{FaultForbidden}},
		{"a second copy of what is out is withheld", []scriptedStep{{0, nil, []policy.Action{send}}, {5, nil, []policy.Action{send2}}},
			"send q/0 n1", []FaultKind{FaultForbidden}},
		{"a second attempt without hedging", []scriptedStep{{0, nil, []policy.Action{send}}, {5, nil, []policy.Action{send2}}},
			"send q/0 n1", []FaultKind{FaultForbidden}},
		{"what never ran is sent again", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Rejected)}, []policy.Action{send2}}}, "send q/0 n1; send q/1 n2", nil},
		{"a broken stream is failed at once", []scriptedStep{{0, nil, []policy.Action{send}}, {5, []Event{ResponseReady{"q", 0}}, nil},
			{9, []Event{ended(0, policy.ConnectionReset)}, nil}}, "send q/0 n1; open q/0; answer q failed ANSWER_BROKEN", nil},
		{"a stalled stream is cut off at the deadline, no fault", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, nil}, {100 * ms, nil, nil}},
			"send q/0 n1; open q/0; answer q failed DEADLINE; cancel q/0", nil},
		{"a statement that a node turns down is over", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{AttemptEnded{ID: "q", Code: policy.Failed, StatementRejected: true}}, nil}},
			"send q/0 n1; answer q failed STATEMENT", nil},
		{"a client that left", []scriptedStep{{0, nil, []policy.Action{send}}, {5, []Event{ClientDisconnected{"q"}}, nil}},
			"send q/0 n1; answer q failed CLIENT_GONE; cancel q/0", nil},
		{"a begin after the answer is called off, once", []scriptedStep{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}}},
			{5, []Event{ResponseReady{"q", 0}}, nil}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, s := &tape{}, &scripted{}
			core := newTestCore(s, log)
			core.classes = []policy.Class{{Effect: effectOf[c.name]}}
			core.hedging = c.name != "a second attempt without hedging"
			first := []Event{QueryReceived{log.query("q", 100*ms)}}
			for i, st := range c.steps {
				s.decide = func(Micros, []policy.Event) []policy.Action {
					out := st.decide
					st.decide = nil
					return out
				}
				in := st.events
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

// Whatever a faulty module says and in whatever order ends come in, each query gets exactly one answer, not after its
// deadline, and nothing is sent for it afterwards.
func TestOneAnswerWhateverTheModuleSays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		log, s := &tape{}, &scripted{}
		core := newTestCore(s, log)
		ids := []string{"a", "b", "c"}
		pick := func() string { return ids[rapid.IntRange(0, 2).Draw(r, "id")] }
		s.decide = func(Micros, []policy.Event) []policy.Action { return drawActions(r, pick) }
		now := Micros(0)
		for i, id := range ids {
			step(r, core, now, QueryReceived{log.query(id, Micros(10+10*i)*ms)})
		}
		for range rapid.IntRange(0, 20).Draw(r, "steps") {
			now += Micros(rapid.IntRange(0, 5).Draw(r, "after")) * ms
			step(r, core, now, drawEvents(r, pick)...)
		}
		step(r, core, 100*ms)
		for _, id := range ids {
			checkOneAnswer(r, log, id)
		}
	})
}

// drawActions are the actions of a faulty module: any, of any query.
func drawActions(r *rapid.T, pick func() string) (out []policy.Action) {
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

// drawEvents are events of attempts and clients in any order.
func drawEvents(r *rapid.T, pick func() string) (out []Event) {
	for range rapid.IntRange(0, 2).Draw(r, "events") {
		id, n := pick(), rapid.IntRange(0, 3).Draw(r, "n")
		switch rapid.IntRange(0, 3).Draw(r, "event") {
		case 0:
			out = append(out, ResponseReady{id, n})
		case 1, 2:
			out = append(out, AttemptEnded{ID: id, Number: n, Code: policy.Code(rapid.IntRange(0, 7).Draw(r, "code"))})
		case 3:
			out = append(out, ClientDisconnected{id})
		}
	}
	return out
}

// checkOneAnswer fails unless a query has exactly one answer and nothing was sent or opened for it afterwards.
func checkOneAnswer(r *rapid.T, log *tape, id string) {
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
