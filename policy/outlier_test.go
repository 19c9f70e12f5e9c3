package policy

import (
	"math/rand/v2"
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

// A hung engine owes notes on what it holds.
func TestOwedNotesAreSilence(t *testing.T) {
	s := testSettings()
	s.ProgressInterval = sec / 2
	b := newBench(t, s, 2)
	for _, e := range b.g.endpoints.list {
		e.lastResponse = b.now - 10*sec
	}
	q := b.request(1)
	q.Cost = 20 * sec // nothing is overdue yet
	at := only[Send](b.step(q))[0].Endpoint
	for range 8 {
		b.now += sec / 2
		b.step(Progress{ID: q.ID, Endpoint: at, Kind: FractionDone, Value: 0.1})
	}
	if b.g.endpoints.byID[at].ejected {
		t.Fatal("suspect while notes come")
	}
	b.until(b.now + 2*sec)
	if !b.g.endpoints.byID[at].ejected {
		t.Fatal("trusted though no note came for two seconds")
	}
}

// A network that breaks single connections to all engines alike (seen on sockets: a fifth of the requests, on one day) shows
// two of them broken within a moment now and then. That made engines cold for their whole ramp and suspect in turn, and kept
// queries at the gate while the fleet stood idle.
func TestABadNetworkIsNoBadEngine(t *testing.T) {
	b := newBench(t, testSettings(), 6)
	type out struct {
		s    Send
		till Micros
	}
	var open []out
	tries, cold, doubted, looks := map[string]int{}, 0, 0, 0
	chance := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		b.now += 5000
		sends := only[Send](b.step(b.request(i % 50 / 49)))
		for len(open) > 0 && open[0].till <= b.now {
			s := open[0].s
			open = open[1:]
			o := AttemptResult{ID: s.ID, Attempt: tries[s.ID], Endpoint: s.Endpoint, Final: true, Latency: 100000}
			if tries[s.ID]++; chance.Float64() < 0.2 {
				o.Code, o.Final = ConnectionReset, false
			}
			sends = append(sends, only[Send](b.step(o))...)
		}
		for _, s := range sends {
			open = append(open, out{s, b.now + 100000})
		}
		for _, e := range b.g.endpoints.list {
			if looks++; e.slowStartSince > 0 && b.now-e.slowStartSince < b.g.settings.SlowStartDuration {
				cold++
			}
			if e.ejected {
				doubted++
			}
		}
		if i == 500 {
			cold, doubted, looks = 0, 0, 0
		}
	}
	if cold*3 > looks || doubted*6 > looks {
		t.Errorf("of %d looks at engines %d found it cold, %d suspect", looks, cold, doubted)
	}
}

// An engine whose connections all break has ended: it is cold until the list says otherwise, and only an answer, or a note,
// on what was sent before shows that it never was.
func TestOnlyWhatWasSentBeforeShowsLife(t *testing.T) {
	b := newBench(t, testSettings(), 1)
	var sends []Send
	for range 4 {
		b.now += 1000
		sends = append(sends, only[Send](b.step(b.request(0)))...)
	}
	e := b.g.endpoints.list[0]
	for _, s := range sends[:2] {
		b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Code: ConnectionReset})
	}
	if e.slowStartSince != b.now {
		t.Fatal("two connections broken at once do not make it cold")
	}
	e.slowStart = nil
	b.now += sec / 2
	late := &attempt{endpoint: e, sentAt: b.now}
	if e.confirmAlive(late); e.slowStartSince == 0 {
		t.Error("an answer to what was sent since takes the cold away")
	}
	if b.step(Progress{ID: sends[2].ID, Endpoint: e.ID, Kind: FractionDone, Value: 0.1}); e.slowStartSince != 0 {
		t.Error("a note on what was sent before leaves it cold")
	}
}

// One broken connection is an answer lost, not a restart; two at once, or one that
// cannot be made, may be a restart.
func TestOneLostAnswerIsNoRestart(t *testing.T) {
	b := newBench(t, testSettings(), 1)
	lose := func(code Code, n int) Micros {
		var sends []Send
		for range n {
			sends = append(sends, only[Send](b.step(b.request(0)))...)
		}
		for _, s := range sends {
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Code: code, Final: true, Latency: 1000})
		}
		return b.g.endpoints.list[0].slowStartSince
	}
	if lose(ConnectionReset, 1) != 0 {
		t.Error("cold after one broken connection")
	}
	b.now += sec
	if lose(ConnectionReset, 2) == 0 {
		t.Error("not cold after two broken connections at once")
	}
}
