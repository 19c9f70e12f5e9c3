package policy

import (
	"fmt"
	"testing"
)

// Clients have few connections: a query that is held at the gate keeps another out. With the door nearly full, one that earns
// little for its time is given up at once and told when to come back; with room at the door it is held.
func TestAFullDoorHasAPrice(t *testing.T) {
	for _, c := range []struct {
		name   string
		most   int
		gaveUp bool
	}{{"room at the door", 1000, false}, {"nearly full", 40, true}, {"no limit", 0, false}} {
		s := loadSettings()
		s.MaxInFlight = c.most
		b := newBench(t, s, 1)
		for range 200 { // what is served earns 1 in a tenth of a second
			b.now += 100000
			for _, s := range only[Send](b.step(b.request(0))) {
				b.now += 100000
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		var loads []string
		for range 38 { // one load runs, the others wait for its group
			q := b.request(2)
			loads = append(loads, q.ID)
			b.step(q)
		}
		refused := only[Shed](b.until(b.now + 2*sec))
		if (len(refused) > 0) != c.gaveUp {
			t.Errorf("%s: %d of %d loads given up within 2 s", c.name, len(refused), len(loads))
		}
		for _, r := range refused {
			if r.RetryAfter <= 0 {
				t.Errorf("%s: no time to come back", c.name)
			}
		}
	}
}

// A queue behind one engine holds nobody else of its class.
func TestAQueueBehindAPinHoldsNobody(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	for i := range 400 { // far more than e0 bears
		q := b.request(0)
		q.ID, q.StickyTo = fmt.Sprintf("pinned%d", i), "e0"
		b.step(q)
	}
	sent := 0
	for range 20 {
		b.now += 1000
		for _, s := range only[Send](b.step(b.request(0))) {
			if s.Endpoint == "e1" {
				sent++
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 1000})
			}
		}
	}
	if sent < 18 {
		t.Errorf("%d of 20 requests without state were sent beside the queue", sent)
	}
}
