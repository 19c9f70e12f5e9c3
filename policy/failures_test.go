package policy

import (
	"math"
	"testing"
)

// An engine that fails at once looks idle; it must get a trickle only, and be
// trusted again after it mends. The same holds for one that turns all away.
func TestFastFailuresDoNotAttract(t *testing.T) {
	for _, code := range []Code{Failed, Rejected, ConnectionRefused, ConnectionReset} {
		b := newBench(t, testSettings(), 4)
		bad, tries := 0, map[string]int{}
		play := func(steps int, broken bool) (toBad, all int) {
			for range steps {
				b.now += 20000
				for _, s := range only[Send](b.step(b.request(0))) {
					all++
					o := AttemptResult{ID: s.ID, Attempt: tries[s.ID], Endpoint: s.Endpoint, Final: true, Latency: 100000}
					tries[s.ID]++
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
		play(50, false)
		bad, all := play(300, true)
		if bad*10 > all {
			t.Errorf("code %d: %d of %d sends to the failing engine", code, bad, all)
		}
		b.now += 20 * sec // past any cold ramp
		play(300, false)
		if good, all := play(200, false); good*8 < all {
			t.Errorf("code %d: %d of %d sends after it mended", code, good, all)
		}
	}
}

// An engine that takes work and answers nothing is known by its open attempts.
func TestSilentEngineIsLeft(t *testing.T) {
	b := newBench(t, testSettings(), 4)
	late := 0
	for i := range 400 {
		b.now += 20000
		acts := b.step(b.request(0))
		for _, c := range only[Cancel](acts) {
			acts = append(acts, b.step(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})...)
		}
		for _, s := range only[Send](acts) {
			if s.Endpoint != "e0" {
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			} else if i > 200 {
				late++
			}
		}
	}
	if late > 12 { // a trial every half second
		t.Fatalf("%d sends to a silent engine", late)
	}
}

// A pause of half a second, with every answer after it, is no silence.
func TestPauseIsNoSilence(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	for range 20 {
		b.now += 25000
		b.step(b.request(0))
	}
	for _, e := range b.g.endpoints.list {
		if e.ejected {
			t.Fatalf("%s is suspect after half a second", e.ID)
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

// Estimates scatter tenfold; the fit must not take that for the work itself.
func TestWideEstimatesAreShrunk(t *testing.T) {
	var f powerFit
	for i := range 300 {
		off := float64(i%7-3) / 2 // log error of the estimate; the work is always one second
		f.add(math.Exp(off), 1, fitSmoothing)
	}
	if w := f.predict(10, 0, initialSlope, 0); w > 1.5 {
		t.Fatalf("work of %v from an estimate ten times too high", w)
	}
	var g powerFit
	for i := range 300 {
		x := math.Exp(float64(i%7-3) / 2)
		g.add(x, 2*x, fitSmoothing)
	}
	if w := g.predict(10, 0, initialSlope, 0); math.Abs(w-20) > 2 {
		t.Fatalf("work of %v from good estimates, biased by two", w)
	}
}

// Queries short of memory spill; the margin grows with that and shrinks without.
func TestMemoryMarginFollowsSpills(t *testing.T) {
	for _, spill := range []bool{true, false} {
		b := newBench(t, testSettings(), 4)
		before := b.g.classes[0].grantMargin
		for range 50 {
			b.now += 50000
			for _, s := range only[Send](b.step(b.request(0))) {
				b.step(Progress{ID: s.ID, Endpoint: s.Endpoint, Kind: FractionDone, Value: 0.5})
				if spill {
					b.step(Progress{ID: s.ID, Endpoint: s.Endpoint, Kind: MemorySpilled, Value: 10})
				}
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		if after := b.g.classes[0].grantMargin; (after > before) != spill {
			t.Errorf("spills %v: margin %v to %v", spill, before, after)
		}
	}
}

// Gateways that talk share an engine's room; words that stop are forgotten.
func TestPeersShareRoomAndAreForgotten(t *testing.T) {
	s := testSettings()
	s.CanGossip = true
	a, b := newBench(t, s, 1), newBench(t, s, 1)
	a.g.settings.PeerIndex, b.g.settings.PeerIndex = 0, 1
	for range 40 {
		a.step(a.request(1))
	}
	told := only[SendGossip](a.until(a.now + sec))
	if len(told) == 0 || len(told[0].Data) > 256 {
		t.Fatalf("messages %v", told)
	}
	b.now = a.now
	b.step(GossipReceived{From: 0, Data: told[len(told)-1].Data})
	there := a.g.endpoints.list[0].threads // one query may have gone out since the message
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads < there-4 || threads > there || threads == 0 {
		t.Fatalf("heard of %v threads, there are %v", threads, there)
	}
	b.until(b.now + 5*sec)
	if threads, _ := b.g.peerLoad(b.g.endpoints.list[0]); threads != 0 {
		t.Fatal("a silent peer still counts")
	}
}

// A load holds its group on its engine: queries that wait for it go elsewhere.
func TestWaitingClassesAvoidLoads(t *testing.T) {
	s := testSettings()
	s.Classes[0].WaitsForTables, s.Classes[1].LocksTables, s.Classes[1].Threads = true, true, 1
	b := newBench(t, s, 4)
	load := b.request(1)
	load.TableGroup = 9
	at := only[Send](b.step(load))[0].Endpoint
	there := 0
	for range 12 {
		b.now += 1000
		q := b.request(0)
		q.TableGroup = 9
		for _, s := range only[Send](b.step(q)) {
			if s.Endpoint == at {
				there++
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	if there > 3 {
		t.Fatalf("%d of 12 sent behind the load", there)
	}
}

// The engines' count of queries shows attempts that timed out and run on.
func TestCountOfQueriesFillsTheRoom(t *testing.T) {
	set := testSettings()
	set.Peers = 1
	b := newBench(t, set, 1)
	q := b.request(0)
	s := only[Send](b.step(q))[0]
	b.step(AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000, Load: &Load{Util: 0.2, InFlight: 40}})
	b.now += 1000
	if n := len(only[Send](b.step(b.request(1), b.request(1)))); n > 1 {
		t.Fatalf("%d heavy queries sent to an engine that holds 40", n)
	}
}

// A request given up on is answered at once, with a time to come back.
func TestRefusedAtOnce(t *testing.T) {
	b := newBench(t, testSettings(), 1)
	q := b.request(0)
	q.Cost = 3600 * sec
	acts := b.step(q)
	if len(only[Shed](acts)) != 1 {
		t.Fatalf("want a refusal at once, got %v", acts)
	}
}
