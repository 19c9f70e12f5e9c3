package dispatch

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"embershunt/policy"
)

// effectOf maps the names of cases to the effect of their query's class; other cases have the zero value.
var effectOf = map[string]policy.Effect{"retry of a non-idempotent query that may have run is withheld": policy.NonIdempotent,
	"second attempt of a non-idempotent query in flight is withheld": policy.NonIdempotent,
	"non-idempotent query that never ran is retried":                 policy.NonIdempotent}

// TestLedgerGivesOneAnswer checks which actions of a scripted gateway the ledger carries out, which it withholds, and which faults
// it records.
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
		{"successful end serves the query", []scriptedStep{{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, nil}},
			"send q/0 n1; answer q served ", nil},
		{"second answer to a closed query is withheld", []scriptedStep{
			{0, nil, []policy.Action{send}}, {5, []Event{ended(0, policy.OK)}, []policy.Action{policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q served ", []FaultKind{FaultUnknownQuery}},
		{"second answer while an attempt is in flight is withheld", []scriptedStep{
			{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, policy.Shed{ID: "q"}}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultDoubleAnswer}},
		{"send after the answer is withheld", []scriptedStep{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}, send2}}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", []FaultKind{FaultLateSend}},
		{"send after the deadline is withheld", []scriptedStep{{100 * ms, nil, []policy.Action{send}}},
			"answer q failed DEADLINE", []FaultKind{FaultForgotten}},
		{"query that the gateway never answers fails at its deadline", []scriptedStep{
			{0, nil, []policy.Action{send}}, {100 * ms, nil, nil}},
			"send q/0 n1; answer q failed DEADLINE; cancel q/0", []FaultKind{FaultForgotten}},
		{"attempt ends twice", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Failed), ended(0, policy.Failed)}, nil}},
			"send q/0 n1", []FaultKind{FaultDoubleEnd}},
		{"end of an unknown attempt", []scriptedStep{{5, []Event{ended(3, policy.OK)}, nil}}, "", []FaultKind{FaultUnknownAttempt}},
		{"query id already in use", []scriptedStep{
			{5, []Event{QueryReceived{&Query{ID: "q", Client: recordingClient{&callRecorder{}, "q"}}}}, nil}},
			"", []FaultKind{FaultDoubleID}},
		{"first response is forwarded and the other attempt cancelled", []scriptedStep{{0, nil, []policy.Action{send, send2}},
			{5, []Event{ResponseReady{"q", 1}, ResponseReady{"q", 0}}, nil}, {9, []Event{ended(0, policy.Cancelled)}, nil},
			{12, []Event{ended(1, policy.OK)}, nil}},
			"send q/0 n1; send q/1 n2; forward q/1; cancel q/0; answer q served ", nil},
		{"send while a response is forwarded is withheld", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, []policy.Action{send2}}}, "send q/0 n1; forward q/0", []FaultKind{FaultLateSend}},
		{"retry of a non-idempotent query that may have run is withheld", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.ConnectionReset)}, []policy.Action{send2}}}, "send q/0 n1", []FaultKind{FaultForbidden}},
		{"second attempt of a non-idempotent query in flight is withheld", []scriptedStep{
			{0, nil, []policy.Action{send}}, {5, nil, []policy.Action{send2}}},
			"send q/0 n1", []FaultKind{FaultForbidden}},
		{"second attempt without hedging is withheld", []scriptedStep{{0, nil, []policy.Action{send}}, {5, nil, []policy.Action{send2}}},
			"send q/0 n1", []FaultKind{FaultForbidden}},
		{"non-idempotent query that never ran is retried", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ended(0, policy.Rejected)}, []policy.Action{send2}}}, "send q/0 n1; send q/1 n2", nil},
		{"connection reset while forwarding fails the query", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, nil},
			{9, []Event{ended(0, policy.ConnectionReset)}, nil}}, "send q/0 n1; forward q/0; answer q failed ANSWER_BROKEN", nil},
		{"stalled response is cut off at the deadline without a fault", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{ResponseReady{"q", 0}}, nil}, {100 * ms, nil, nil}},
			"send q/0 n1; forward q/0; answer q failed DEADLINE; cancel q/0", nil},
		{"statement error fails the query", []scriptedStep{{0, nil, []policy.Action{send}},
			{5, []Event{AttemptEnded{ID: "q", Code: policy.Failed, StatementRejected: true}}, nil}},
			"send q/0 n1; answer q failed STATEMENT", nil},
		{"client disconnects", []scriptedStep{{0, nil, []policy.Action{send}}, {5, []Event{ClientDisconnected{"q"}}, nil}},
			"send q/0 n1; answer q failed CLIENT_GONE; cancel q/0", nil},
		{"response after the answer is cancelled once", []scriptedStep{{0, nil, []policy.Action{send, policy.Fail{ID: "q"}}},
			{5, []Event{ResponseReady{"q", 0}}, nil}},
			"send q/0 n1; answer q failed ATTEMPT_FAILED; cancel q/0", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls, s := &callRecorder{}, &scriptedGateway{}
			core := newTestCore(s, calls)
			core.classes = []policy.Class{{Effect: effectOf[c.name]}}
			core.hedging = c.name != "second attempt without hedging is withheld"
			first := []Event{QueryReceived{calls.query("q", 100*ms)}}
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
			if got := strings.Join(calls.lines, "; "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if !slices.Equal(calls.faults, c.faults) {
				t.Errorf("faults %v, want %v", calls.faults, c.faults)
			}
		})
	}
}

// TestOneAnswerWithFaultyGateway checks that each query gets exactly one answer and that nothing is sent or forwarded for it
// afterwards, for random actions of a faulty gateway and random events of attempts and clients.
func TestOneAnswerWithFaultyGateway(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		calls, s := &callRecorder{}, &scriptedGateway{}
		core := newTestCore(s, calls)
		ids := []string{"a", "b", "c"}
		pick := func() string { return ids[rapid.IntRange(0, 2).Draw(r, "id")] }
		s.decide = func(Micros, []policy.Event) []policy.Action { return drawActions(r, pick) }
		now := Micros(0)
		for i, id := range ids {
			step(r, core, now, QueryReceived{calls.query(id, Micros(10+10*i)*ms)})
		}
		for range rapid.IntRange(0, 20).Draw(r, "steps") {
			now += Micros(rapid.IntRange(0, 5).Draw(r, "after")) * ms
			step(r, core, now, drawEvents(r, pick)...)
		}
		step(r, core, 100*ms)
		for _, id := range ids {
			checkOneAnswer(r, calls, id)
		}
	})
}

// drawActions draws the actions of a faulty gateway: any actions on any queries.
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

// drawEvents draws events of attempts and clients in any order.
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

// checkOneAnswer fails unless a query has exactly one answer and nothing was sent or forwarded for it afterwards.
func checkOneAnswer(r *rapid.T, calls *callRecorder, id string) {
	answers, answered := 0, false
	for _, line := range calls.lines {
		switch {
		case strings.HasPrefix(line, "answer "+id+" "):
			answers++
			answered = true
		case answered && (strings.HasPrefix(line, "send "+id+"/") || strings.HasPrefix(line, "forward "+id+"/")):
			r.Fatalf("call after the answer: %s", line)
		}
	}
	if answers != 1 {
		r.Fatalf("%s has %d answers: %v", id, answers, calls.lines)
	}
}
