package policy

import "testing"

// Without any result of an attempt, the gateway itself must answer a request before its deadline, once only.
func TestOneFinalAnswerBeforeTheDeadline(t *testing.T) {
	for _, tt := range []struct {
		name      string
		endpoints int
		cancel    bool
		lateEnd   bool // the result of the attempt comes after the final answer
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
			if tt.lateEnd {
				for i := range actionsOf[Send](acts) {
					acts = append(acts, b.step(AttemptResult{ID: q.ID, Endpoint: "e0", Attempt: i, Code: Cancelled, Final: true})...)
				}
			}
			sent := len(actionsOf[Send](acts))
			acts = append(acts, b.runUntil(q.Deadline+5*sec)...)
			if n := finalAnswers(acts, q.ID); n != 1 || len(actionsOf[Send](acts)) != sent {
				t.Fatalf("%d final answers, %d sends after the deadline", n, len(actionsOf[Send](acts))-sent)
			}
		})
	}
}

// A request is retried only where a second execution does no harm: after a broken connection the first
// attempt may have run.
func TestNoEffectTwice(t *testing.T) {
	for _, tt := range []struct {
		name   string
		effect Effect
		scope  DedupScope
		code   Code
		wait   Micros // from the first send to its result
		again  int    // retries wanted
		sheds  bool   // Shed is allowed
		stays  bool   // retries must stay in the placement group of the first attempt
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
			s.Classes[0].Effect, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = tt.effect, tt.scope, sec
			s.Classes[0].LatencyObjective = 3 * sec
			s.CanCancel, s.AllowHedging = false, false
			b := newHarness(t, s, 6)
			for range 12 {
				b.now += 5 * sec
				retryAfterFirstAttempt(t, b, tt.code, tt.wait, tt.again, tt.sheds, tt.stays)
			}
		})
	}
}

// retryAfterFirstAttempt sends one request, ends its first attempt with the code after wait, and checks the
// number of retries, their endpoints and limits, and whether the request is shed in the end.
func retryAfterFirstAttempt(t *testing.T, b *harness, code Code, wait Micros, wanted int, mayShed, stays bool) {
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
		if until := a.StartBefore; stays &&
			until != b.g.ledger.requests[q.ID].firstMayHaveRun.sentAt+b.g.classes[0].DedupWindow ||
			!stays && until != 0 && b.g.classes[0].Effect != IdempotentByKey {
			t.Fatalf("StartBefore of the retry is %d", until)
		}
		if stays && b.g.endpoints.byID[a.Endpoint].PlacementGroup != b.g.endpoints.byID[first.Endpoint].PlacementGroup {
			t.Fatalf("retry outside the placement group of the first attempt: %v after %v", a, first)
		}
	}
	acts = append(acts, b.runUntil(q.Deadline)...)
	if r := actionsOf[Shed](acts); len(r) > 0 && !mayShed {
		t.Fatalf("request shed although its first attempt may have run: %v", r)
	}
	for i := range again { // ends the retries, so that no endpoint stays ejected as unresponsive
		b.step(AttemptResult{ID: q.ID, Attempt: 1 + i, Endpoint: again[i].Endpoint, Final: true, Latency: 100000})
	}
	for _, e := range b.g.endpoints.list { // the next request must find all endpoints healthy
		e.faultShare, e.ejected, e.slowStartSince = 0, false, 0
	}
}

// Without hedging and without cancel, a request has one attempt in flight at most.
func TestOneAttemptInFlightWithoutHedging(t *testing.T) {
	s := testSettings()
	s.AllowHedging, s.CanCancel = false, false
	b := newHarness(t, s, 4)
	q := b.request(1)
	acts := append(b.step(q), b.runUntil(q.Deadline+sec)...)
	if n := len(actionsOf[Send](acts)); n != 1 {
		t.Fatalf("%d attempts in flight at the same time, want 1", n)
	}
}

// An endpoint that is draining, removed or missing from a complete list gets no request that is
// not sticky to it.
func TestNoSendsToDrainingOrRemovedEndpoints(t *testing.T) {
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

// The work sent to a starting endpoint must stay below this gateway's share of the load at which it fails.
func TestSlowStartStaysWithinOwnShare(t *testing.T) {
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
		t.Fatalf("sent %.1f s of work to a starting endpoint, want more than 0 and at most %.1f s", work, budget)
	}
}

// Requests of one order key run one at a time and in order. After a broken connection the first attempt may
// still run, so the key pauses for OrderingGap.
func TestOrderKeyKeepsOrderAndPauses(t *testing.T) {
	s := testSettings()
	s.Classes[0].Ordered, s.OrderingGap = true, sec/2
	b := newHarness(t, s, 4)
	first, second := b.request(0), b.request(0)
	first.OrderKey, first.HasOrderKey, second.OrderKey, second.HasOrderKey = 5, true, 5, true
	sends := actionsOf[Send](b.step(first, second))
	if len(sends) != 1 || sends[0].ID != first.ID {
		t.Fatalf("want one Send, for the first request, got %v", sends)
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
		t.Fatalf("want one Send after the pause, for the second request, got %v", later)
	}
}

// Classes run only in their zones and on their kinds of machine, also when they are retried or their zone
// drains.
func TestPlacementByZoneAndKind(t *testing.T) {
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
				t.Fatalf("%v is outside the zones or kinds of its class", a)
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
			t.Fatalf("sent outside its zone while the zone drains: %v", a)
		}
	}
	if finalAnswers(acts, q.ID) != 1 {
		t.Fatal("want one final answer while the zone drains")
	}
}

// index returns the position of v in s, or -1.
func index(s []string, v string) int {
	for i := range s {
		if s[i] == v {
			return i
		}
	}
	return -1
}

// Retries stay within RetryBudgetFloor plus RetryBudgetRatio times the requests received in the window.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindow = 3, 0.1, 5*sec
	b := newHarness(t, s, 8)
	retries := 0
	for range 40 {
		b.now += 50000
		for _, a := range actionsOf[Send](b.step(b.request(0))) {
			for attempt := 0; attempt < 3; attempt++ { // every attempt fails at once
				again := actionsOf[Send](b.step(AttemptResult{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Code: Failed}))
				if len(again) == 0 {
					break
				}
				retries++
			}
		}
	}
	if limit := 3 + 4; retries == 0 || retries > limit {
		t.Fatalf("%d retries, want at least 1 and at most %d", retries, limit)
	}
}
