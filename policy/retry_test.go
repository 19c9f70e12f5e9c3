package policy

import "testing"

// The requests that a budget counts are forgotten when its span is over, also on a day on which nothing is tried again: eight
// bytes for each request ever taken were kept.
func TestTakenRequestsAreForgotten(t *testing.T) {
	for _, span := range []Micros{0, 5 * sec} {
		s := testSettings()
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = span, 5, 0.2
		b := newBench(t, s, 2)
		for range 5000 {
			b.now += 10000
			for _, s := range only[Send](b.step(b.request(0))) {
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		if most := int(span/10000) + 200; len(b.g.retryBudget.receivedAt) > most {
			t.Errorf("span %d: %d of 5000 requests on the books, at most %d in the span", span, len(b.g.retryBudget.receivedAt), most)
		}
	}
}

// A bad plan is drawn anew for each attempt: far past expectation it is called
// off and made again; in a crowd that slows all alike it is not.
func TestBadPlanIsRestarted(t *testing.T) {
	for _, slow := range []float64{0, 2} {
		b := newBench(t, testSettings(), 2)
		for _, e := range b.g.endpoints.list {
			e.inflation, e.lastResponse = slow, b.now
		}
		q := b.request(0)
		b.step(q)
		for _, e := range b.g.endpoints.list {
			e.lastResponse = b.now + 1 // answers of others keep coming
		}
		acts := b.until(b.now + 6*sec/10)
		if n := len(only[Cancel](acts)); (n > 0) != (slow == 0) {
			t.Errorf("stretch %v: %d cancelled", slow, n)
		}
	}
}

// A note tells that an attempt is nearly done, and then nothing comes: it is called off as one without notes is.
func TestANoteProvenWrongDoesNotHold(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	s := only[Send](b.step(b.request(0)))[0]
	b.now += 20000
	b.step(Progress{ID: s.ID, Endpoint: s.Endpoint, Kind: FractionDone, Value: 1})
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now + 1 // answers of others keep coming
	}
	if acts := b.until(b.now + 6*sec/10); len(only[Cancel](acts)) == 0 {
		t.Error("not called off")
	}
}

// An attempt called off shows how long its query may take: the next one is not
// called off at the same point.
func TestRestartsWaitForWhatWasSeen(t *testing.T) {
	b := sparse(t, 50, 4, func(s *Settings) { s.ProgressInterval, s.MaxAttempts = sec/2, 6 })
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
		acts = append(acts, b.until(b.now+sec/5)...)
		if len(only[Cancel](acts)) == 0 {
			break
		}
		cancelled++
		b.step(AttemptResult{ID: q.ID, Attempt: n, Endpoint: a.endpoint.ID, Code: Cancelled})
		b.until(b.now + sec/10)
	}
	if cancelled != 1 {
		t.Fatalf("%d attempts called off at the same pace", cancelled)
	}
}

// Reports that could no longer end in time kept their engines until the client left.
func TestHopelessPaceIsGivenUpAtOnce(t *testing.T) {
	b := sparse(t, 50, 4, func(s *Settings) { s.ProgressInterval = sec / 2 })
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
	acts = append(acts, b.until(b.now+sec/10)...)
	if finals(acts, q.ID) != 1 || len(only[Cancel](acts)) != 1 {
		t.Fatalf("%d final answers, %d cancelled", finals(acts, q.ID), len(only[Cancel](acts)))
	}
}
