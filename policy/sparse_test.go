package policy

import (
	"fmt"
	"testing"
)

// sparse is one gateway of many that cannot talk, and its engines.
func sparse(t *testing.T, peers, engines int, edit func(*Settings)) *bench {
	t.Helper()
	s := testSettings()
	s.Peers, s.AllowHedging = peers, false
	if edit != nil {
		edit(&s)
	}
	return newBench(t, s, engines)
}

// Reports that fade at the end of a day made a gateway of dozens take the whole
// cold budget for its own.
func TestColdPartIsEqualWhereNobodyTalks(t *testing.T) {
	b := sparse(t, 50, 1, nil)
	b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e0", Started: b.now}}})
	b.g.traffic.share = 1
	s := b.g.settings
	work := 0.0
	for end := b.now + s.OverloadDuration; b.now < end; {
		b.now += 20000
		for _, a := range only[Send](b.step(b.request(0))) {
			work += b.g.ledger.requests[a.ID].work
		}
	}
	budget := s.OverloadMultiple * (s.SlowStartFloor + 0.2) * 8 * float64(s.OverloadDuration) / microsPerSecond / 50
	if work > budget+0.1 { // one query may begin it
		t.Fatalf("%.2f s of work sent of %.2f", work, budget)
	}
}

// A few heavy queries sent by chance come together now and then: over many starts
// no window may hold more than the engine bears.
func TestHeavyQueriesDoNotMeetAtAColdEngine(t *testing.T) {
	over := 0
	for try := range 40 {
		c := newCrowd(t, 60, 1, func(s *Settings) { s.CanGossip, s.CanHealthCheck = false, false },
			func(_ int, e *Endpoint) { e.Started = 100 * sec })
		for i, g := range c.gs {
			g.rng.Uint64()
			for range try {
				g.rng.Uint64()
			}
			c.ids++
			c.play(i, Request{ID: fmt.Sprint(c.ids), Class: 1, Cost: 4 * sec, MemoryMB: 100, Deadline: c.now + 15*sec})
		}
		c.run(2*sec, 3600*sec)
		s := c.gs[0].settings
		if c.sent["e00"] > s.OverloadMultiple*s.SlowStartFloor*8*float64(s.OverloadDuration)/microsPerSecond {
			over++
		}
	}
	if over > 1 {
		t.Fatalf("a cold engine was sent too much in %d of 40 starts", over)
	}
}

// Estimates that are shrunk towards a class's middle understate its mean work.
func TestUsualWorkIsNotShrunk(t *testing.T) {
	b := sparse(t, 50, 2, nil)
	sum := 0.0
	for i := range 100 {
		q := b.request(0)
		q.Cost = 100000 << (i % 8)
		sum += float64(q.Cost) / microsPerSecond
		b.step(q)
	}
	if c := &b.g.classes[0]; c.usualWork.value < 0.9*sum/100 {
		t.Fatalf("usual work %.2f s, it is %.2f", c.usualWork.value, sum/100)
	}
}

// Queries that wait for disks leave cores idle: reports look fair while a gateway
// of many has ten times its part in flight.
func TestOwnQueriesTellOfAJamThatLooksIdle(t *testing.T) {
	b := sparse(t, 50, 10, nil)
	sent := 0
	for range 40 {
		b.now += 50000
		for _, e := range b.g.endpoints.list {
			b.g.recordLoad(e, Load{Util: 0.6, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		sent += len(only[Send](b.step(b.request(1))))
	}
	if sent > 12 {
		t.Fatalf("%d heavy queries out on a fiftieth of ten engines", sent)
	}
	if sent < 2 {
		t.Fatalf("only %d sent", sent)
	}
}

// A crowd narrows the room; with nothing out no answer could ever widen it again.
func TestNarrowRoomWidensWithNothingOut(t *testing.T) {
	b := sparse(t, 50, 4, nil)
	b.step(b.request(0))
	for _, q := range b.g.ledger.active {
		for _, a := range q.attempts {
			b.step(AttemptResult{ID: q.ID, Attempt: a.number, Endpoint: a.endpoint.ID, Final: true, Latency: 100000})
		}
	}
	b.g.congestion.capacity, b.g.fleet.threadsPerCore, b.g.fleet.everReported = minCapacity, 0.8, true
	sent := 0
	for range 60 {
		b.now += sec / 4
		for _, e := range b.g.endpoints.list {
			b.g.recordLoad(e, Load{Util: 0.6, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		sent += len(only[Send](b.step(b.request(0))))
	}
	if sent == 0 {
		t.Fatal("nothing is sent any more")
	}
}

// A bad plan that still sends notes is no silent engine.
func TestNotesAreSignsOfLife(t *testing.T) {
	for _, noted := range []bool{true, false} {
		b := sparse(t, 50, 1, func(s *Settings) { s.ProgressInterval, s.CanCancel = sec/2, false })
		q := b.request(1)
		q.Cost = sec / 2
		b.step(q)
		for range 8 {
			b.until(b.now + sec/2)
			if noted {
				b.step(Progress{ID: q.ID, Endpoint: "e0", Kind: FractionDone, Value: 0.01})
			}
		}
		if b.g.endpoints.list[0].ejected == noted {
			t.Errorf("notes %v, suspect %v", noted, b.g.endpoints.list[0].ejected)
		}
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

// The work that answers tell is learned from whatever the crowd.
func TestToldWorkIsLearned(t *testing.T) {
	b := sparse(t, 50, 4, nil)
	for range 200 {
		q := b.request(0)
		b.now += 200000
		for _, a := range only[Send](b.step(q)) {
			b.now += 600000
			b.step(AttemptResult{ID: q.ID, Endpoint: a.Endpoint, Final: true, Latency: 600000, WorkMicros: 300000, NeededMB: 10})
		}
	}
	if c := &b.g.classes[0]; c.typicalWork() < 0.25 || c.typicalWork() > 0.35 {
		t.Fatalf("work of 0.3 s is taken for %.2f", c.typicalWork())
	}
}

// What is given up on is answered at once, with a come-back time where clients heed one.
func TestGivenUpAtOnce(t *testing.T) {
	for _, most := range []Micros{0, sec} {
		b := sparse(t, 50, 2, func(s *Settings) { s.MaxRetryAfter = most })
		for i := range b.g.classes[0].price {
			b.g.classes[0].price[i] = 100 // no worth covers that
		}
		b.g.queries.work.value, b.g.fleet.threadsPerCore, b.g.fleet.everReported = 0.1, 9, true
		for _, e := range b.g.endpoints.list {
			b.g.recordLoad(e, Load{Util: 1, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		b.g.threads[0] = 50
		r := only[Shed](b.step(b.request(0)))
		if len(r) != 1 || (r[0].RetryAfter > 0) != (most > 0) || r[0].RetryAfter > most {
			t.Errorf("most %v: refused %v", most, r)
		}
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
