package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// However many gateways there are, what they send a starting endpoint stays within
// the rule in sum, and the endpoint is used.
func TestSlowStartBudgetHoldsInSumAndIsUsed(t *testing.T) {
	for _, n := range []int{2, 20, 100} {
		c := newSimulation(t, n, 4, nil, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
		})
		s := c.gs[0].settings
		gap := sec * Micros(n) / 100
		last, all := 0.0, 0.0
		for range 4 { // windows of the rule's duration; the limit rises evenly
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(c.now-100*sec)/float64(s.SlowStartDuration)
			limit := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond
			c.run(s.OverloadDuration, gap)
			if used := c.sent["e00"] - last; used > limit {
				t.Errorf("%d gateways sent a starting endpoint %.2f s of work in a window of %.2f", n, used, limit)
			}
			last, all = c.sent["e00"], all+limit
		}
		if last < all/10 {
			t.Errorf("%d gateways sent a starting endpoint only %.2f s of work of %.2f", n, last, all)
		}
	}
}

// The same in requests over every window, beyond chance (N + 2 x root of N + 2 of N that the settings allow), where traffic is
// uneven and every gateway is replaced, a tenth at a time, by one that knows nothing but the endpoint list.
func TestSlowStartBudgetHoldsForNewGateways(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		rows := []Endpoint{}
		c := newSimulation(t, n, 4, func(s *Settings) { s.CanHealthCheck = false }, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
			rows = append(rows, *e)
		})
		s := c.gs[0].settings
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		for tick := 0; c.now < 100*sec+s.SlowStartDuration; tick++ {
			c.now += 10000
			for _, f := range c.due[c.now] {
				f()
			}
			delete(c.due, c.now)
			for range 6 { // more than the other endpoints can serve
				i := rng.IntN(n)
				if rng.IntN(2) == 0 { // some receive several times the mean
					i = rng.IntN((n + 4) / 5)
				}
				c.ids++
				c.play(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			}
			for i := range c.gs {
				if tick%20 == 0 && i%10 == tick/20-5 {
					peer := s
					peer.PeerIndex = i
					g, err := New(uint64(1000+tick+i), peer)
					if err != nil {
						t.Fatal(err)
					}
					c.gs[i] = g
					c.play(i, EndpointUpdate{Complete: true, Endpoints: rows})
				}
				c.play(i)
			}
		}
		sends, worst := c.sends["e00"], 0.0
		for i, from := range sends {
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(from-100*sec)/float64(s.SlowStartDuration)
			budget := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond / 0.1
			count := 0.0
			for _, at := range sends[i:] {
				if at < from+s.OverloadDuration {
					count++
				}
			}
			worst = max(worst, count/(budget+2*math.Sqrt(budget)+2))
		}
		t.Logf("%d gateways: %d sent to the starting endpoint, at most %.2f of its limit in a window", n, len(sends), worst)
		if worst > 1 || len(sends) == 0 {
			t.Errorf("%d gateways sent the starting endpoint %.2f times its limit in a window", n, worst)
		}
	}
}

// Reports that fade at the end of a day made a gateway of dozens take the whole
// slow start budget for its own.
func TestSlowStartShareIsEqualWithoutGossip(t *testing.T) {
	b := newSparseHarness(t, 1, nil)
	b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "e0", Started: b.now}}})
	b.g.traffic.share = 1
	s := b.g.settings
	work := 0.0
	for end := b.now + s.OverloadDuration; b.now < end; {
		b.now += 20000
		for _, a := range actionsOf[Send](b.step(b.request(0))) {
			work += b.g.ledger.requests[a.ID].work
		}
	}
	budget := s.OverloadMultiple * (s.SlowStartFloor + 0.2) * 8 * float64(s.OverloadDuration) / microsPerSecond / 50
	if work > budget+0.1 { // one query may start it
		t.Fatalf("%.2f s of work sent of %.2f", work, budget)
	}
}

// A few heavy queries sent by chance come together now and then: over many starts
// no window may have more than the limit.
func TestHeavyQueriesSpreadDuringSlowStart(t *testing.T) {
	over := 0
	for try := range 40 {
		c := newSimulation(t, 60, 1, func(s *Settings) { s.CanGossip, s.CanHealthCheck = false, false },
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
		t.Fatalf("a starting endpoint was sent too much in %d of 40 starts", over)
	}
}
