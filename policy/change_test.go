package policy

import (
	"slices"
	"testing"
)

func changeSettings(classes ...Class) Settings {
	return Settings{Peers: 1, MaxAttempts: 3, CanCancel: true, RetryBudgetFloor: 1, RetryBudgetWindow: 5e6, OrderingGap: 1e6, DrainGrace: 1e6,
		Kinds: []Kind{{Cores: 4, MemoryMB: 1000}}, Classes: classes, Tenants: []Tenant{{Name: "a", Quota: 5}, {Name: "b", Quota: 5}}}
}

// A change of settings keeps key order, retry budget, drains, attempts in flight and learned state.
func TestChangeKeepsLedgers(t *testing.T) {
	plain := Class{Name: "plain", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6, Threads: 2}
	ordered := Class{Name: "ordered", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6, Ordered: true}
	added := Class{Name: "added", PriorityWeight: 5, LatencyObjective: 1e6, Deadline: 4e6}
	g, err := New(1, changeSettings(plain, ordered))
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
	if got := sent(g.Step(now, []Event{request("p", 0), request("o1", 1), request("o2", 1)})); !slices.Equal(got, []string{"p", "o1"}) {
		t.Fatalf("before the change sent %v, want p and o1", got)
	}
	// Classes "plain" and "ordered" change places, "added" is new, "plain" has one thread now; tenant "a" is
	// removed.
	plain.Threads = 1
	s := changeSettings(ordered, added, plain)
	s.Tenants = s.Tenants[1:]
	if err := g.Change(s, []int{1, -1, 0}, []int{1}); err != nil {
		t.Fatal(err)
	}
	if got := sent(g.Step(now+60_000, []Event{request("n", 1)})); !slices.Equal(got, []string{"n"}) {
		t.Errorf("after the change sent %v: the key must wait for o1, the new class must not", got)
	}
	if got := sent(g.Step(now+120_000, []Event{AttemptResult{ID: "o1", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}})); !slices.Equal(got, []string{"o2"}) {
		t.Errorf("after o1 sent %v, want o2", got)
	}
	// A retry after the change still counts in the retry budget.
	if got := sent(g.Step(now+180_000, []Event{AttemptResult{ID: "p", Endpoint: "e1", Code: Rejected, Latency: 10000}})); !slices.Equal(got, []string{"p"}) {
		t.Errorf("after p was rejected sent %v", got)
	}
	if g.withinRetryBudget() {
		t.Error("the retry budget of one allows a second retry")
	}
	g.Step(now+240_000, []Event{AttemptResult{ID: "p", Attempt: 1, Endpoint: "e1", Code: OK, Final: true, Latency: 10000},
		AttemptResult{ID: "o2", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}, AttemptResult{ID: "n", Endpoint: "e1", Code: OK, Final: true, Latency: 10000}})
	if n := g.threadsInFlight(); n != 0 {
		t.Errorf("%v threads in flight, want 0", n)
	}
	for _, e := range g.endpoints.list {
		if e.threads != 0 || len(e.attempts) != 0 {
			t.Errorf("%s has %v threads and %d attempts in flight, want 0", e.ID, e.threads, len(e.attempts))
		}
	}
	if g.endpoints.byID["e2"].State != Draining || g.classes[0].received != 2 || g.classes[2].received != 1 {
		t.Errorf("e2 has state %v, want Draining; %v and %v requests of classes 0 and 2, want 2 and 1",
			g.endpoints.byID["e2"].State, g.classes[0].received, g.classes[2].received)
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
		"no classes":                       {changeSettings(), nil},
		"class with open requests removed": {changeSettings(plain), []int{-1}},
		"class continued twice":            {changeSettings(plain, plain), []int{0, 0}},
		"continued class does not exist":   {changeSettings(plain), []int{3}},
		"mapping too short":                {changeSettings(plain, plain), []int{0}},
		"kind removed":                     {fewer, []int{0}},
	} {
		if err := g.Change(c.s, c.classes, []int{0, 1}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if len(g.classes) != 1 || g.ledger.requests["q"].class != &g.classes[0] || len(g.settings.Kinds) != 1 {
		t.Error("a failed Change has changed the gateway")
	}
}
