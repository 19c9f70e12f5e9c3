package policy

import "testing"

// A sticky request goes to its endpoint and nowhere else, also while the endpoint drains, until the grace
// ends. If the endpoint cannot take the request any more, the request is shed at once.
func TestStickyRequests(t *testing.T) {
	drain := func(b *harness, id string, s EndpointState) {
		b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: s}}})
	}
	cases := []struct {
		name   string
		before func(b *harness)
		sticky string
		sent   bool
	}{
		{"healthy", func(*harness) {}, "e2", true},
		{"draining", func(b *harness) { drain(b, "e2", Draining); b.now += sec / 2 }, "e2", true},
		{"draining longer than the grace", func(b *harness) { drain(b, "e2", Draining); b.now += sec }, "e2", false},
		{"listed as draining again", func(b *harness) {
			drain(b, "e2", Draining)
			b.now += sec / 2
			drain(b, "e2", Draining)
			b.now += sec / 2
		}, "e2", false},
		{"removed", func(b *harness) { drain(b, "e2", Removed) }, "e2", false},
		{"unknown", func(*harness) {}, "nobody", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, testSettings(), 4)
			c.before(b)
			for range 20 {
				q := b.request(0)
				q.StickyTo = c.sticky
				acts := b.step(q)
				sends, sheds := actionsOf[Send](acts), actionsOf[Shed](acts)
				if c.sent && (len(sends) != 1 || sends[0].Endpoint != c.sticky) || !c.sent && (len(sends) > 0 || len(sheds) != 1) {
					t.Fatalf("sticky request to %s: %v", c.sticky, acts)
				}
				for _, s := range sends {
					b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
				}
			}
			if sends := actionsOf[Send](b.step(b.request(0))); len(sends) != 1 || c.name != "healthy" && sends[0].Endpoint == "e2" && c.sticky == "e2" {
				t.Errorf("request that is not sticky: %v", sends)
			}
		})
	}
}

// A request is sent only to endpoints that speak its protocol, also when none of them is healthy any more.
func TestProtocolIsKept(t *testing.T) {
	g, err := New(1, changeSettings(Class{Name: "plain", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 4e6}))
	if err != nil {
		t.Fatal(err)
	}
	now := Micros(1e9)
	g.Step(now, []Event{EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "both", Protocols: 3}, {ID: "one", Protocols: 1}, {ID: "old"}}}})
	for i := range 50 {
		id := string(rune('a' + i))
		now += 1e5
		for _, a := range g.Step(now, []Event{Request{ID: id, Cost: 1e4, Protocol: 2, Deadline: now + 4e6}}) {
			if s, ok := a.(Send); ok {
				if s.Endpoint != "both" {
					t.Fatalf("sent to %s", s.Endpoint)
				}
				g.Step(now, []Event{AttemptResult{ID: id, Endpoint: s.Endpoint, Code: OK, Final: true, Latency: 1e4}})
			}
		}
	}
	for _, a := range g.Step(now, []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: "both", Protocols: 3, State: Draining}}}, Request{ID: "z", Protocol: 2, Deadline: now + 4e6}}) {
		if s, ok := a.(Send); ok {
			t.Errorf("sent to %s, which does not speak the protocol", s.Endpoint)
		}
	}
}
