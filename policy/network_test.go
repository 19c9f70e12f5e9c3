package policy

import (
	"math/rand/v2"
	"testing"
)

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
