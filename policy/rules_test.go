package policy

import "testing"

func TestRuleOneAnswerBeforeTheDeadline(t *testing.T) {
	for _, tt := range []struct {
		name      string
		endpoints int
		cancel    bool
		closes    bool // the attempt's end comes after the answer
	}{
		{"no endpoint at all", 0, true, false},
		{"an endpoint that never answers", 1, true, true},
		{"the same without cancel", 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.CanCancel = tt.cancel
			b := newHarness(t, s, tt.endpoints)
			q := b.request(0)
			acts := b.step(q)
			acts = append(acts, b.runUntil(q.Deadline)...)
			if n := finalAnswers(acts, q.ID); n != 1 {
				t.Fatalf("%d final answers before the deadline", n)
			}
			if tt.closes {
				for i := range actionsOf[Send](acts) {
					acts = append(acts, b.step(AttemptResult{ID: q.ID, Endpoint: "e0", Attempt: i, Code: Cancelled, Final: true})...)
				}
			}
			sent := len(actionsOf[Send](acts))
			acts = append(acts, b.runUntil(q.Deadline+5*sec)...)
			if n := finalAnswers(acts, q.ID); n != 1 || len(actionsOf[Send](acts)) != sent {
				t.Fatalf("%d final answers, %d sends after the end", n, len(actionsOf[Send](acts))-sent)
			}
		})
	}
}

func TestRuleTwoNoEffectTwice(t *testing.T) {
	for _, tt := range []struct {
		name   string
		effect Effect
		group  DedupScope
		code   Code
		wait   Micros // before the result
		again  int    // retries wanted
		sheds  bool   // Shed is allowed
		stays  bool   // retries stay in the first one's placement group
	}{
		{"not idempotent, never ran", NonIdempotent, DedupFleet, ConnectionRefused, 1000, 1, true, false},
		{"not idempotent, may have run", NonIdempotent, DedupFleet, ConnectionReset, 1000, 0, false, false},
		{"by key in a placement group, may have run", IdempotentByKey, DedupPlacementGroup, ConnectionReset, 1000, 1, false, true},
		{"by key in a placement group, key forgotten", IdempotentByKey, DedupPlacementGroup, ConnectionReset, 3 * sec / 2, 0, false, true},
		{"by key everywhere, may have run", IdempotentByKey, DedupFleet, ConnectionReset, 1000, 1, true, false},
		{"idempotent, may have run", Idempotent, DedupFleet, ConnectionReset, 1000, 1, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.Classes[0].Effect, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = tt.effect, tt.group, sec
			s.Classes[0].LatencyObjective = 3 * sec
			s.CanCancel, s.AllowHedging = false, false
			b := newHarness(t, s, 6)
			for range 12 {
				b.now += 5 * sec
				playTwo(t, b, tt.code, tt.wait, tt.again, tt.sheds, tt.stays)
			}
		})
	}
}

// playTwo plays one request whose first attempt ends with a code.
func playTwo(t *testing.T, b *harness, code Code, wait Micros, wanted int, mayShed, stays bool) {
	t.Helper()
	q := b.request(0)
	first := actionsOf[Send](b.step(q))[0]
	b.now += wait
	acts := b.step(AttemptResult{ID: q.ID, Endpoint: first.Endpoint, Code: code})
	acts = append(acts, b.runUntil(b.now+sec/4)...)
	again := actionsOf[Send](acts)
	if len(again) != wanted {
		t.Fatalf("%d retries, want %d", len(again), wanted)
	}
	for _, a := range again {
		if until := a.StartBefore; stays && until != b.g.ledger.requests[q.ID].firstRan.sentAt+b.g.classes[0].DedupWindow || !stays && until != 0 && b.g.classes[0].Effect != IdempotentByKey {
			t.Fatalf("another attempt may begin until %d", until)
		}
		if stays && b.g.endpoints.byID[a.Endpoint].PlacementGroup != b.g.endpoints.byID[first.Endpoint].PlacementGroup {
			t.Fatalf("sent to another placement group: %v after %v", a, first)
		}
	}
	acts = append(acts, b.runUntil(q.Deadline)...)
	if r := actionsOf[Shed](acts); len(r) > 0 && !mayShed {
		t.Fatalf("shed although it may have run: %v", r)
	}
	for i := range again { // so that no endpoint stays ejected
		b.step(AttemptResult{ID: q.ID, Attempt: 1 + i, Endpoint: again[i].Endpoint, Final: true, Latency: 100000})
	}
	for _, e := range b.g.endpoints.list {
		e.faultShare, e.ejected, e.slowStartSince = 0, false, 0
	}
}

func TestRuleTwoNeverTwoAtOnce(t *testing.T) {
	s := testSettings()
	s.AllowHedging, s.CanCancel = false, false
	b := newHarness(t, s, 4)
	q := b.request(1)
	acts := append(b.step(q), b.runUntil(q.Deadline+sec)...)
	if n := len(actionsOf[Send](acts)); n != 1 {
		t.Fatalf("%d attempts in flight at once", n)
	}
}

func TestRuleThreeDrainsAreKept(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b := newHarness(t, testSettings(), 2)
		b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e0", State: state}}})
		for range 100 {
			b.now += 20000
			for _, s := range actionsOf[Send](b.step(b.request(0))) {
				if s.Endpoint == "e0" {
					t.Fatalf("sent to an endpoint in state %d", state)
				}
			}
		}
	}
	b := newHarness(t, testSettings(), 2)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "e1"}}})
	for range 50 {
		b.now += 20000
		for _, s := range actionsOf[Send](b.step(b.request(0))) {
			if s.Endpoint == "e0" {
				t.Fatal("sent to an endpoint missing from the complete list")
			}
		}
	}
}

func TestRuleFourSlowStartKeepsOurShare(t *testing.T) {
	s := testSettings()
	b := newHarness(t, s, 0)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "cold", Started: b.now}}})
	var work float64
	for range 380 {
		b.now += 5000
		for _, s := range actionsOf[Send](b.step(b.request(0))) {
			work += 0.1
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	budget := s.OverloadMultiple * s.SlowStartFloor * 0.85 * 8 * 2 / 2 // multiple × capacity × duration, for one of two gateways
	if work == 0 || work > budget {
		t.Fatalf("sent %.1f s of work to a starting endpoint, our share is %.1f s", work, budget)
	}
}

func TestRuleFiveOrderOfAKey(t *testing.T) {
	s := testSettings()
	s.Classes[0].Ordered, s.OrderingGap = true, sec/2
	b := newHarness(t, s, 4)
	first, second := b.request(0), b.request(0)
	first.OrderKey, first.HasOrderKey, second.OrderKey, second.HasOrderKey = 5, true, 5, true
	sends := actionsOf[Send](b.step(first, second))
	if len(sends) != 1 || sends[0].ID != first.ID {
		t.Fatalf("want the first request alone, got %v", sends)
	}
	b.now += 100000
	acts := b.step(AttemptResult{ID: first.ID, Endpoint: sends[0].Endpoint, Code: ConnectionReset, Final: true})
	acts = append(acts, b.runUntil(b.now+sec/2-20000)...)
	if n := len(actionsOf[Send](acts)); n != 0 {
		t.Fatalf("%d sends while the key is paused", n)
	}
	b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e9"}}})
	third := b.request(0)
	third.OrderKey, third.HasOrderKey = 5, true
	b.step(third)
	later := actionsOf[Send](b.runUntil(b.now + sec/10))
	if len(later) != 1 || later[0].ID != second.ID {
		t.Fatalf("want the second request after the pause, got %v", later)
	}
}

func TestRuleSixPlacement(t *testing.T) {
	s := testSettings()
	s.Classes[0].Zones = []int{1}
	s.Kinds = append(s.Kinds, Kind{Cores: 8})
	s.Classes[1].Kinds = []int{1}
	b := newHarness(t, s, 0)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "a", Zone: 0}, {ID: "b", Zone: 1}, {ID: "c", Zone: 0, Kind: 1}}})
	want := []string{"b", "c"}
	for i := range 100 {
		b.now += 50000
		for _, a := range actionsOf[Send](b.step(b.request(i % 2))) {
			if (a.ID != "" && a.Endpoint != want[0] && a.Endpoint != want[1]) || b.g.ledger.requests[a.ID].Class != index(want, a.Endpoint) {
				t.Fatalf("%v breaks placement", a)
			}
			code := OK
			if i%3 == 0 {
				code = Failed
			}
			b.step(AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Code: code, Final: code == OK, Latency: 1000})
		}
	}
	q := b.request(0)
	b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "b", Zone: 1, State: Draining}}})
	acts := append(b.step(q), b.runUntil(q.Deadline)...)
	for _, a := range actionsOf[Send](acts) {
		if a.ID == q.ID {
			t.Fatalf("sent outside its zone when that drains: %v", a)
		}
	}
	if finalAnswers(acts, q.ID) != 1 {
		t.Fatal("no final answer")
	}
}

func index(s []string, v string) int {
	for i := range s {
		if s[i] == v {
			return i
		}
	}
	return -1
}

func TestRuleSevenRetryBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindow = 3, 0.1, 5*sec
	b := newHarness(t, s, 8)
	retries := 0
	for range 40 {
		b.now += 50000
		for _, a := range actionsOf[Send](b.step(b.request(0))) {
			for at := 0; at < 3; at++ { // every attempt fails at once
				again := actionsOf[Send](b.step(AttemptResult{ID: a.ID, Attempt: at, Endpoint: a.Endpoint, Code: Failed}))
				if len(again) == 0 {
					break
				}
				retries++
			}
		}
	}
	if limit := 3 + 4; retries == 0 || retries > limit {
		t.Fatalf("%d retries, at most %d allowed", retries, limit)
	}
}
