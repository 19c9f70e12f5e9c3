package policy

import "testing"

// The requests that a retry budget counts are forgotten after its window, also while nothing is retried: eight bytes for each
// request ever received were kept.
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
			t.Errorf("window %d: %d of 5000 requests kept, at most %d in the window", window, len(b.g.retryBudget.receivedAt), limit)
		}
	}
}

// A bad plan is random for each attempt: far past expectation it is cancelled and
// restarted; under congestion that slows all alike it is not.
func TestBadPlanIsRestarted(t *testing.T) {
	for _, slow := range []float64{0, 2} {
		b := newHarness(t, testSettings(), 2)
		for _, e := range b.g.endpoints.list {
			e.inflation, e.lastResponse = slow, b.now
		}
		q := b.request(0)
		b.step(q)
		for _, e := range b.g.endpoints.list {
			e.lastResponse = b.now + 1 // answers of other attempts keep coming
		}
		acts := b.runUntil(b.now + 6*sec/10)
		if n := len(actionsOf[Cancel](acts)); (n > 0) != (slow == 0) {
			t.Errorf("inflation %v: %d cancelled", slow, n)
		}
	}
}

// Progress says that an attempt is nearly done, and then nothing comes: it is cancelled like one without progress.
func TestStaleProgressDoesNotPreventRestart(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	s := actionsOf[Send](b.step(b.request(0)))[0]
	b.now += 20000
	b.step(Progress{ID: s.ID, Endpoint: s.Endpoint, Kind: FractionDone, Value: 1})
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now + 1 // answers of other attempts keep coming
	}
	if acts := b.runUntil(b.now + 6*sec/10); len(actionsOf[Cancel](acts)) == 0 {
		t.Error("not cancelled")
	}
}

// A cancelled attempt shows how long its query may take: the next one is not
// cancelled at the same point.
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
		t.Fatalf("%d attempts cancelled at the same pace", cancelled)
	}
}

// Queries that could no longer end in time kept their endpoints until the client gave up.
func TestHopelessPaceIsShedAtOnce(t *testing.T) {
	b := newSparseHarness(t, 4, func(s *Settings) { s.ProgressInterval = sec / 2 })
	q := b.request(1)
	q.Cost = 60 * sec
	for i := range b.g.classes { // as if such queries were usual here
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
		t.Fatalf("%d final answers, %d cancelled", finalAnswers(acts, q.ID), len(actionsOf[Cancel](acts)))
	}
}
