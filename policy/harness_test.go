package policy

import (
	"fmt"
	"math"
	"testing"
)

const sec = Micros(1e6)

// testSettings returns the settings of one of two gateways, with two classes and one kind of machine.
func testSettings() Settings {
	return Settings{Peers: 2, OverQuotaWeight: 0.1, MaxAttempts: 3, MaxRetryAfter: 2 * sec, CanCancel: true,
		AllowHedging: true, ReportsByAnswer: true, HonorsGrants: true, HonorsPriority: true, MaxGrantShare: 0.5,
		SlowStartFloor: 0.3, SlowStartDuration: 10 * sec, OverloadMultiple: 2, OverloadDuration: 2 * sec, DrainGrace: sec, AnswerSlack: 20000,
		Kinds: []Kind{{Cores: 8, MemoryMB: 16000}},
		Classes: []Class{
			{Name: "light", PriorityWeight: 1, LatencyObjective: sec, ObjectiveStretch: 2, Deadline: 4 * sec, Threads: 1},
			{Name: "heavy", PriorityWeight: 10, LateWeight: 0.4, LatencyObjective: 3 * sec, ObjectiveStretch: 2, Deadline: 15 * sec, Threads: 4},
		}}
}

// harness drives one gateway by events and holds its clock.
type harness struct {
	t   *testing.T
	g   *Gateway
	now Micros
	ids int // requests created so far
}

// newHarness returns a harness whose gateway has the given number of endpoints of one kind in its list,
// two in each placement group.
func newHarness(t *testing.T, s Settings, endpoints int) *harness {
	t.Helper()
	g, err := New(7, s)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, g: g, now: 100 * sec}
	var rows []Endpoint
	for i := range endpoints {
		rows = append(rows, Endpoint{ID: fmt.Sprintf("e%d", i), PlacementGroup: i / 2})
	}
	b.step(EndpointUpdate{Complete: true, Endpoints: rows})
	return b
}

// step passes the events to the gateway at the current time.
func (b *harness) step(events ...Event) []Action { return b.g.Step(b.now, events) }

// request returns a new request of a class; its cost is 0.1 s in class 0 and 3 s in class 1.
func (b *harness) request(class int) Request {
	b.ids++
	c := b.g.settings.Classes[class]
	return Request{ID: fmt.Sprintf("q%d", b.ids), Class: class, Cost: 100000 * Micros(1+class*29), MemoryMB: 100,
		Deadline: b.now + c.Deadline}
}

// runUntil steps every 10 ms until end, without events, and returns all actions.
func (b *harness) runUntil(end Micros) (all []Action) {
	for b.now < end {
		b.now += 10000
		all = append(all, b.step()...)
	}
	return all
}

// actionsOf returns the actions of type T, in order.
func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

// finalAnswers counts the final answers (Shed or Fail) that the gateway gave to a request.
func finalAnswers(acts []Action, id string) (n int) {
	for _, a := range acts {
		switch a := a.(type) {
		case Shed:
			if a.ID == id {
				n++
			}
		case Fail:
			if a.ID == id {
				n++
			}
		}
	}
	return n
}

// newSparseHarness returns a harness for one of fifty gateways that do not gossip, so that it sees little of
// the traffic. The settings pass through edit, which may be nil.
func newSparseHarness(t *testing.T, endpoints int, edit func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	s.Peers, s.AllowHedging = 50, false
	if edit != nil {
		edit(&s)
	}
	return newHarness(t, s, endpoints)
}

// requireNear fails the test if got differs from want by more than a rounding error.
func requireNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
