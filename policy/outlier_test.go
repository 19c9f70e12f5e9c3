package policy

import (
	"math/rand/v2"
	"testing"
)

// An endpoint that fails or rejects all attempts at once looks idle. It must get trial requests only, and be
// readmitted after it recovers.
func TestFastFailuresAttractNoTraffic(t *testing.T) {
	for _, code := range []Code{Failed, Rejected, ConnectionRefused, ConnectionReset} {
		b := newHarness(t, testSettings(), 4)
		bad, attempts := 0, map[string]int{}
		run := func(steps int, broken bool) (toBad, all int) {
			for range steps {
				b.now += 20000
				for _, s := range actionsOf[Send](b.step(b.request(0))) {
					all++
					o := AttemptResult{ID: s.ID, Attempt: attempts[s.ID], Endpoint: s.Endpoint, Final: true, Latency: 100000}
					attempts[s.ID]++
					if s.Endpoint == "e0" {
						toBad++
						if broken {
							o.Code, o.Final, o.Latency = code, false, 500
						}
					}
					b.step(o)
				}
			}
			return toBad, all
		}
		run(50, false)
		bad, all := run(300, true)
		if bad*10 > all {
			t.Errorf("code %d: %d of %d sends to the failing endpoint", code, bad, all)
		}
		b.now += 20 * sec // longer than a slow start
		run(300, false)
		if good, all := run(200, false); good*8 < all {
			t.Errorf("code %d: %d of %d sends after it recovered", code, good, all)
		}
	}
}

// An endpoint that accepts attempts and answers none is ejected by its overdue attempts in flight.
func TestUnresponsiveEndpointIsEjected(t *testing.T) {
	b := newHarness(t, testSettings(), 4)
	late := 0
	for i := range 400 {
		b.now += 20000
		acts := b.step(b.request(0))
		for _, c := range actionsOf[Cancel](acts) {
			acts = append(acts, b.step(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})...)
		}
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint != "e0" {
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			} else if i > 200 {
				late++
			}
		}
	}
	if late > 12 { // a trial every half second
		t.Fatalf("%d sends to an unresponsive endpoint", late)
	}
}

// A pause of half a second without any answer does not eject an endpoint.
func TestShortPauseDoesNotEject(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	for range 20 {
		b.now += 25000
		b.step(b.request(0))
	}
	for _, e := range b.g.endpoints.list {
		if e.ejected {
			t.Fatalf("%s is ejected after half a second", e.ID)
		}
	}
}

// An endpoint that runs a query with a bad plan is responsive as long as it reports progress.
func TestProgressIsAResponse(t *testing.T) {
	for _, reported := range []bool{true, false} {
		b := newSparseHarness(t, 1, func(s *Settings) { s.ProgressInterval, s.CanCancel = sec/2, false })
		q := b.request(1)
		q.Cost = sec / 2
		b.step(q)
		for range 8 {
			b.runUntil(b.now + sec/2)
			if reported {
				b.step(Progress{ID: q.ID, Endpoint: "e0", Kind: FractionDone, Value: 0.01})
			}
		}
		if b.g.endpoints.list[0].ejected == reported {
			t.Errorf("progress %v, ejected %v", reported, b.g.endpoints.list[0].ejected)
		}
	}
}

// A hung endpoint reports no progress of its attempts and is ejected for that, before any of them is overdue.
func TestMissedProgressEjects(t *testing.T) {
	s := testSettings()
	s.ProgressInterval = sec / 2
	b := newHarness(t, s, 2)
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now - 10*sec
	}
	q := b.request(1)
	q.Cost = 20 * sec // the attempt does not become overdue
	at := actionsOf[Send](b.step(q))[0].Endpoint
	for range 8 {
		b.now += sec / 2
		b.step(Progress{ID: q.ID, Endpoint: at, Kind: FractionDone, Value: 0.1})
	}
	if b.g.endpoints.byID[at].ejected {
		t.Fatal("ejected while progress is reported")
	}
	b.runUntil(b.now + 2*sec)
	if !b.g.endpoints.byID[at].ejected {
		t.Fatal("not ejected though no progress was reported for two seconds")
	}
}

// A network that breaks single connections to all endpoints alike (seen on sockets on one day, for a fifth of
// the requests) breaks two at once now and then. That put endpoints into slow start and ejected them in turn,
// and kept queries queued while the fleet was idle.
func TestBadNetworkEjectsNoEndpoint(t *testing.T) {
	b := newHarness(t, testSettings(), 6)
	type openAttempt struct {
		s      Send
		endsAt Micros
	}
	var open []openAttempt
	attempts, inSlowStart, ejected, samples := map[string]int{}, 0, 0, 0
	chance := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		b.now += 5000
		sends := actionsOf[Send](b.step(b.request(i % 50 / 49)))
		for len(open) > 0 && open[0].endsAt <= b.now {
			s := open[0].s
			open = open[1:]
			o := AttemptResult{ID: s.ID, Attempt: attempts[s.ID], Endpoint: s.Endpoint, Final: true, Latency: 100000}
			if attempts[s.ID]++; chance.Float64() < 0.2 {
				o.Code, o.Final = ConnectionReset, false
			}
			sends = append(sends, actionsOf[Send](b.step(o))...)
		}
		for _, s := range sends {
			open = append(open, openAttempt{s, b.now + 100000})
		}
		for _, e := range b.g.endpoints.list {
			if samples++; e.slowStartSince > 0 && b.now-e.slowStartSince < b.g.settings.SlowStartDuration {
				inSlowStart++
			}
			if e.ejected {
				ejected++
			}
		}
		if i == 500 {
			inSlowStart, ejected, samples = 0, 0, 0
		}
	}
	if inSlowStart*3 > samples || ejected*6 > samples {
		t.Errorf("of %d samples of endpoints %d were in slow start, %d ejected", samples, inSlowStart, ejected)
	}
}

// An endpoint of which two connections break at once counts as restarted and goes into slow start. Only an
// answer or progress of an attempt sent before that shows that the endpoint did not restart.
func TestOnlyEarlierAttemptsConfirmAlive(t *testing.T) {
	b := newHarness(t, testSettings(), 1)
	var sends []Send
	for range 4 {
		b.now += 1000
		sends = append(sends, actionsOf[Send](b.step(b.request(0)))...)
	}
	e := b.g.endpoints.list[0]
	for _, s := range sends[:2] {
		b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Code: ConnectionReset})
	}
	if e.slowStartSince != b.now {
		t.Fatal("two connections broken at once do not start slow start")
	}
	e.slowStart = nil
	b.now += sec / 2
	late := &attempt{endpoint: e, sentAt: b.now}
	if e.confirmAlive(late); e.slowStartSince == 0 {
		t.Error("an answer to a later attempt ends slow start")
	}
	if b.step(Progress{ID: sends[2].ID, Endpoint: e.ID, Kind: FractionDone, Value: 0.1}); e.slowStartSince != 0 {
		t.Error("progress of an earlier attempt does not end slow start")
	}
}

// One broken connection is a lost answer and no restart. Two connections broken at once, or one that is
// refused, may be a restart.
func TestOneLostAnswerIsNoRestart(t *testing.T) {
	b := newHarness(t, testSettings(), 1)
	slowStartAfter := func(code Code, n int) Micros {
		var sends []Send
		for range n {
			sends = append(sends, actionsOf[Send](b.step(b.request(0)))...)
		}
		for _, s := range sends {
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Code: code, Final: true, Latency: 1000})
		}
		return b.g.endpoints.list[0].slowStartSince
	}
	if slowStartAfter(ConnectionReset, 1) != 0 {
		t.Error("in slow start after one broken connection")
	}
	b.now += sec
	if slowStartAfter(ConnectionReset, 2) == 0 {
		t.Error("no slow start after two broken connections at once")
	}
}
