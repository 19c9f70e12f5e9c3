package policy

import (
	"slices"
	"testing"
)

func changeSettings(classes ...Class) Settings {
	return Settings{Peers: 1, MaxAttempts: 3, CanCancel: true, RetryBudgetFloor: 1, RetryBudgetWindow: 5e6, OrderingGap: 1e6, DrainGrace: 1e6,
		Kinds: []Kind{{Cores: 4, MemoryMB: 1000}}, Classes: classes, Tenants: []Tenant{{Name: "a", Quota: 5}, {Name: "b", Quota: 5}}}
}

// A change of settings keeps order, retry budget, drains, threads in flight and what was learned.
func TestChangeKeepsLedgers(t *testing.T) {
	plain := Class{Name: "plain", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6, Threads: 2}
	turns := Class{Name: "turns", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6, Ordered: true}
	more := Class{Name: "more", PriorityWeight: 5, LatencyObjective: 1e6, Deadline: 4e6}
	g, err := New(1, changeSettings(plain, turns))
	if err != nil {
		t.Fatal(err)
	}
	now := Micros(1e9)
	sent := func(acts []Action) (out []string) {
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				out = append(out, s.ID)
			}
		}
		return out
	}
	g.Step(now, []Event{EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "e1"}, {ID: "e2", State: Draining}}}})
	request := func(id string, class int) Request {
		return Request{ID: id, Class: class, Cost: 1e4, OrderKey: 7, HasOrderKey: true, Deadline: now + 4e6}
	}
	if got := sent(g.Step(now, []Event{request("p", 0), request("t1", 1), request("t2", 1)})); !slices.Equal(got, []string{"p", "t1"}) {
		t.Fatalf("sent %v", got)
	}
	// Classes swap places, one is new, "plain" takes one thread now; tenant "a" leaves.
	plain.Threads = 1
	s := changeSettings(turns, more, plain)
	s.Tenants = s.Tenants[1:]
	if err := g.Change(s, []int{1, -1, 0}, []int{1}); err != nil {
		t.Fatal(err)
	}
	if got := sent(g.Step(now+60_000, []Event{request("m", 1)})); !slices.Equal(got, []string{"m"}) {
		t.Errorf("after the change sent %v: the key must wait for t1, the new class must not", got)
	}
	if got := sent(g.Step(now+120_000, []Event{AttemptResult{ID: "t1", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}})); !slices.Equal(got, []string{"t2"}) {
		t.Errorf("after t1 sent %v, want t2", got)
	}
	// A retry after the change counts in the budget that was begun before it.
	if got := sent(g.Step(now+180_000, []Event{AttemptResult{ID: "p", Endpoint: "e1", Code: Rejected, Latency: 10000}})); !slices.Equal(got, []string{"p"}) {
		t.Errorf("after p was rejected sent %v", got)
	}
	if g.withinRetryBudget() {
		t.Error("the budget of one retry allows a second")
	}
	g.Step(now+240_000, []Event{AttemptResult{ID: "p", Attempt: 1, Endpoint: "e1", Code: OK, Final: true, Latency: 10000},
		AttemptResult{ID: "t2", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}, AttemptResult{ID: "m", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}})
	if n := g.threadsInFlight(); n != 0 {
		t.Errorf("%v threads are left in flight", n)
	}
	for _, e := range g.endpoints.list {
		if e.threads != 0 || len(e.attempts) != 0 {
			t.Errorf("%s has %v threads, %d attempts in flight", e.ID, e.threads, len(e.attempts))
		}
	}
	if g.endpoints.byID["e2"].State != Draining || g.classes[0].received != 2 || g.classes[2].received != 1 {
		t.Errorf("drain or learning lost: %v, %v, %v", g.endpoints.byID["e2"].State, g.classes[0].received, g.classes[2].received)
	}
}

func TestInvalidChangeHasNoEffect(t *testing.T) {
	plain := Class{Name: "plain", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6}
	g, err := New(1, changeSettings(plain))
	if err != nil {
		t.Fatal(err)
	}
	g.Step(1e9, []Event{EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "e1"}}}, Request{ID: "q", Deadline: 1e9 + 4e6}})
	fewer := changeSettings(plain)
	fewer.Kinds = nil
	for name, c := range map[string]struct {
		s       Settings
		classes []int
	}{
		"no classes":            {changeSettings(), nil},
		"an open class ends":    {changeSettings(plain), []int{-1}},
		"one continued twice":   {changeSettings(plain, plain), []int{0, 0}},
		"one that is not there": {changeSettings(plain), []int{3}},
		"a map too short":       {changeSettings(plain, plain), []int{0}},
		"a kind is gone":        {fewer, []int{0}},
	} {
		if err := g.Change(c.s, c.classes, []int{0, 1}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if len(g.classes) != 1 || g.ledger.requests["q"].class != &g.classes[0] || len(g.settings.Kinds) != 1 {
		t.Error("something changed")
	}
}
