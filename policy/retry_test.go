package policy

import "testing"

// The retry budget must drop request times after its window even if nothing is retried: otherwise it
// would keep eight bytes for each request ever received.
func TestRetryBudgetForgetsOldRequests(t *testing.T) {
	for _, window := range []Micros{0, 5 * sec} {
		s := testSettings()
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = window, 5, 0.2
		b := newHarness(t, s, 2)
		for range 5000 {
			b.now += 10000
			for _, s := range actionsOf[Send](b.step(b.request(0))) {
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		if limit := int(window/10000) + 200; len(b.g.retryBudget.receivedAt) > limit {
			t.Errorf("window of %d µs: %d of 5000 request times kept, want at most %d",
				window, len(b.g.retryBudget.receivedAt), limit)
		}
	}
}

// A bad plan is random for each attempt, so an attempt far past its expected time is cancelled and restarted.
// It is not restarted under congestion, which slows all attempts alike.
func TestBadPlanIsRestarted(t *testing.T) {
	for _, inflation := range []float64{0, 2} {
		b := newHarness(t, testSettings(), 2)
		for _, e := range b.g.endpoints.list {
			e.inflation, e.lastResponse = inflation, b.now
		}
		q := b.request(0)
		b.step(q)
		for _, e := range b.g.endpoints.list {
			e.lastResponse = b.now + 1 // answers of other attempts keep coming
		}
		acts := b.runUntil(b.now + 6*sec/10)
		if n := len(actionsOf[Cancel](acts)); (n > 0) != (inflation == 0) {
			t.Errorf("log inflation %v: %d attempts cancelled", inflation, n)
		}
	}
}

// An attempt that was reported as done but never answers is cancelled like one without progress reports.
func TestStaleProgressDoesNotPreventRestart(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	s := actionsOf[Send](b.step(b.request(0)))[0]
	b.now += 20000
	b.step(Progress{ID: s.ID, Endpoint: s.Endpoint, Kind: FractionDone, Value: 1})
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now + 1 // answers of other attempts keep coming
	}
	if acts := b.runUntil(b.now + 6*sec/10); len(actionsOf[Cancel](acts)) == 0 {
		t.Error("the attempt was not cancelled")
	}
}

// The time of a cancelled attempt raises what the next one is expected to take, so that the next one is not
// cancelled at the same age.
func TestRestartsWaitForObservedTime(t *testing.T) {
	b := newSparseHarness(t, 4, func(s *Settings) { s.ProgressInterval, s.MaxAttempts = sec/2, 6 })
	q := b.request(1)
	q.Cost = sec
	b.step(q)
	cancelled := 0
	for n := range 5 {
		if len(b.g.ledger.requests[q.ID].attempts) <= n {
			break
		}
		a := b.g.ledger.requests[q.ID].attempts[n]
		b.now += sec / 2
		acts := b.step(Progress{ID: q.ID, Attempt: n, Endpoint: a.endpoint.ID, Kind: FractionDone, Value: 0.08})
		acts = append(acts, b.runUntil(b.now+sec/5)...)
		if len(actionsOf[Cancel](acts)) == 0 {
			break
		}
		cancelled++
		b.step(AttemptResult{ID: q.ID, Attempt: n, Endpoint: a.endpoint.ID, Code: Cancelled})
		b.runUntil(b.now + sec/10)
	}
	if cancelled != 1 {
		t.Fatalf("%d attempts cancelled at the same progress, want 1", cancelled)
	}
}

// A query that can no longer end in time, by its progress, is cancelled and answered at once: otherwise it
// would occupy its endpoint until the client gives up.
func TestHopelessPaceIsShedAtOnce(t *testing.T) {
	b := newSparseHarness(t, 4, func(s *Settings) { s.ProgressInterval = sec / 2 })
	q := b.request(1)
	q.Cost = 60 * sec
	for i := range b.g.classes { // such queries are usual here
		b.g.classes[i].meanWork.value, b.g.classes[i].meanWork.count = 60, 100
	}
	b.step(q)
	if len(b.g.ledger.requests[q.ID].attempts) == 0 {
		t.Fatal("not sent")
	}
	a := b.g.ledger.requests[q.ID].attempts[0]
	var acts []Action
	for b.now < q.Deadline-4*sec {
		b.now += sec / 2
		acts = append(acts, b.step(Progress{ID: q.ID, Endpoint: a.endpoint.ID, Kind: FractionDone, Value: 0.6 * b.g.secondsSince(a.sentAt) / 15})...)
	}
	acts = append(acts, b.runUntil(b.now+sec/10)...)
	if finalAnswers(acts, q.ID) != 1 || len(actionsOf[Cancel](acts)) != 1 {
		t.Fatalf("%d final answers and %d attempts cancelled, want one of each",
			finalAnswers(acts, q.ID), len(actionsOf[Cancel](acts)))
	}
}
