package policy

import "testing"

func TestRuleOneAnswerBeforeTheDeadline(t *testing.T) {
	for _, tt := range []struct {
		name    string
		engines int
		cancel  bool
		closes  bool // the attempt's end comes after the answer
	}{
		{"no engine at all", 0, true, false},
		{"an engine that never answers", 1, true, true},
		{"the same without cancel", 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.CanCancel = tt.cancel
			b := newBench(t, s, tt.engines)
			q := b.request(0)
			acts := b.step(q)
			acts = append(acts, b.until(q.Deadline)...)
			if n := finals(acts, q.ID); n != 1 {
				t.Fatalf("%d final answers before the deadline", n)
			}
			if tt.closes {
				for i := range only[Send](acts) {
					acts = append(acts, b.step(AttemptResult{ID: q.ID, Endpoint: "e0", Attempt: i, Code: Cancelled, Final: true})...)
				}
			}
			sent := len(only[Send](acts))
			acts = append(acts, b.until(q.Deadline+5*sec)...)
			if n := finals(acts, q.ID); n != 1 || len(only[Send](acts)) != sent {
				t.Fatalf("%d final answers, %d sends after the end", n, len(only[Send](acts))-sent)
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
		wait   Micros // before the outcome
		again  int    // further sends wanted
		refuse bool   // a refusal is allowed
		stays  bool   // further sends stay in the first one's cell
	}{
		{"unsafe, never ran", NonIdempotent, DedupFleet, ConnectionRefused, 1000, 1, true, false},
		{"unsafe, may have run", NonIdempotent, DedupFleet, ConnectionReset, 1000, 0, false, false},
		{"keyed in a cell, may have run", IdempotentByKey, DedupPlacementGroup, ConnectionReset, 1000, 1, false, true},
		{"keyed in a cell, forgotten", IdempotentByKey, DedupPlacementGroup, ConnectionReset, 3 * sec / 2, 0, false, true},
		{"keyed everywhere, may have run", IdempotentByKey, DedupFleet, ConnectionReset, 1000, 1, true, false},
		{"safe, may have run", Idempotent, DedupFleet, ConnectionReset, 1000, 1, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.Classes[0].Effect, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = tt.effect, tt.group, sec
			s.Classes[0].LatencyObjective = 3 * sec
			s.CanCancel, s.AllowHedging = false, false
			b := newBench(t, s, 6)
			for range 12 {
				b.now += 5 * sec
				playTwo(t, b, tt.code, tt.wait, tt.again, tt.refuse, tt.stays)
			}
		})
	}
}

// playTwo plays one request whose first attempt ends with a code.
func playTwo(t *testing.T, b *bench, code Code, wait Micros, wanted int, refuse, stays bool) {
	t.Helper()
	q := b.request(0)
	first := only[Send](b.step(q))[0]
	b.now += wait
	acts := b.step(AttemptResult{ID: q.ID, Endpoint: first.Endpoint, Code: code})
	acts = append(acts, b.until(b.now+sec/4)...)
	again := only[Send](acts)
	if len(again) != wanted {
		t.Fatalf("%d further sends, want %d", len(again), wanted)
	}
	for _, a := range again {
		if until := a.StartBefore; stays && until != b.g.ledger.requests[q.ID].firstRan.sentAt+b.g.classes[0].DedupWindow || !stays && until != 0 && b.g.classes[0].Effect != IdempotentByKey {
			t.Fatalf("another attempt may begin until %d", until)
		}
		if stays && b.g.endpoints.byID[a.Endpoint].PlacementGroup != b.g.endpoints.byID[first.Endpoint].PlacementGroup {
			t.Fatalf("sent to another cell: %v after %v", a, first)
		}
	}
	acts = append(acts, b.until(q.Deadline)...)
	if r := only[Shed](acts); len(r) > 0 && !refuse {
		t.Fatalf("refused although it may have run: %v", r)
	}
	for i := range again { // let the engines be trusted again
		b.step(AttemptResult{ID: q.ID, Attempt: 1 + i, Endpoint: again[i].Endpoint, Final: true, Latency: 100000})
	}
	for _, e := range b.g.endpoints.list {
		e.faultShare, e.ejected, e.slowStartSince = 0, false, 0
	}
}

func TestRuleTwoNeverTwoAtOnce(t *testing.T) {
	s := testSettings()
	s.AllowHedging, s.CanCancel = false, false
	b := newBench(t, s, 4)
	q := b.request(1)
	acts := append(b.step(q), b.until(q.Deadline+sec)...)
	if n := len(only[Send](acts)); n != 1 {
		t.Fatalf("%d attempts out at once", n)
	}
}

func TestRuleThreeDrainsAreKept(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b := newBench(t, testSettings(), 2)
		b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e0", State: state}}})
		for range 100 {
			b.now += 20000
			for _, s := range only[Send](b.step(b.request(0))) {
				if s.Endpoint == "e0" {
					t.Fatalf("sent to an engine in state %d", state)
				}
			}
		}
	}
	b := newBench(t, testSettings(), 2)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "e1"}}})
	for range 50 {
		b.now += 20000
		for _, s := range only[Send](b.step(b.request(0))) {
			if s.Endpoint == "e0" {
				t.Fatal("sent to an engine missing from the whole list")
			}
		}
	}
}

func TestRuleFourColdEngineGetsOurPartOnly(t *testing.T) {
	s := testSettings()
	b := newBench(t, s, 0)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "cold", Started: b.now}}})
	var work float64
	for range 380 {
		b.now += 5000
		for _, s := range only[Send](b.step(b.request(0))) {
			work += 0.1
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	budget := s.OverloadMultiple * s.SlowStartFloor * 0.85 * 8 * 2 / 2 // multiple × capacity × span, for one of two gateways
	if work == 0 || work > budget {
		t.Fatalf("sent %.1f s of work to a cold engine, our part is %.1f s", work, budget)
	}
}

func TestRuleFiveOrderOfAKey(t *testing.T) {
	s := testSettings()
	s.Classes[0].Ordered, s.OrderingGap = true, sec/2
	b := newBench(t, s, 4)
	first, second := b.request(0), b.request(0)
	first.OrderKey, first.HasOrderKey, second.OrderKey, second.HasOrderKey = 5, true, 5, true
	sends := only[Send](b.step(first, second))
	if len(sends) != 1 || sends[0].ID != first.ID {
		t.Fatalf("want the first request alone, got %v", sends)
	}
	b.now += 100000
	acts := b.step(AttemptResult{ID: first.ID, Endpoint: sends[0].Endpoint, Code: ConnectionReset, Final: true})
	acts = append(acts, b.until(b.now+sec/2-20000)...)
	if n := len(only[Send](acts)); n != 0 {
		t.Fatalf("%d sends while the key rests", n)
	}
	b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e9"}}})
	third := b.request(0)
	third.OrderKey, third.HasOrderKey = 5, true
	b.step(third)
	later := only[Send](b.until(b.now + sec/10))
	if len(later) != 1 || later[0].ID != second.ID {
		t.Fatalf("want the second request after the rest, got %v", later)
	}
}

func TestRuleSixPlacement(t *testing.T) {
	s := testSettings()
	s.Classes[0].Zones = []int{1}
	s.Kinds = append(s.Kinds, Kind{Cores: 8})
	s.Classes[1].Kinds = []int{1}
	b := newBench(t, s, 0)
	b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "a", Zone: 0}, {ID: "b", Zone: 1}, {ID: "c", Zone: 0, Kind: 1}}})
	want := []string{"b", "c"}
	for i := range 100 {
		b.now += 50000
		for _, a := range only[Send](b.step(b.request(i % 2))) {
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
	acts := append(b.step(q), b.until(q.Deadline)...)
	for _, a := range only[Send](acts) {
		if a.ID == q.ID {
			t.Fatalf("sent outside its zone when that drains: %v", a)
		}
	}
	if finals(acts, q.ID) != 1 {
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
	b := newBench(t, s, 8)
	further := 0
	for range 40 {
		b.now += 50000
		for _, a := range only[Send](b.step(b.request(0))) {
			for at := 0; at < 3; at++ { // every attempt fails at once
				again := only[Send](b.step(AttemptResult{ID: a.ID, Attempt: at, Endpoint: a.Endpoint, Code: Failed}))
				if len(again) == 0 {
					break
				}
				further++
			}
		}
	}
	if most := 3 + 4; further == 0 || further > most {
		t.Fatalf("%d further attempts, at most %d allowed", further, most)
	}
}
