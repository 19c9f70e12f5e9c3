package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// However many gateways there are, the work that they all send to a starting endpoint stays within its limit
// in each window of OverloadDuration, and the endpoint gets at least a tenth of the limits in sum.
func TestSlowStartBudgetHoldsInSumAndIsUsed(t *testing.T) {
	for _, n := range []int{2, 20, 100} {
		c := newSimulation(t, n, 4, nil, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
		})
		s := c.gateways[0].settings
		gap := sec * Micros(n) / 100
		sentSoFar, totalLimit := 0.0, 0.0
		for range 4 { // windows of OverloadDuration; the limit rises linearly
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(c.now-100*sec)/float64(s.SlowStartDuration)
			limit := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond
			c.run(s.OverloadDuration, gap)
			if used := c.sentWork["e00"] - sentSoFar; used > limit {
				t.Errorf("%d gateways sent a starting endpoint %.2f s of work in a window of %.2f", n, used, limit)
			}
			sentSoFar, totalLimit = c.sentWork["e00"], totalLimit+limit
		}
		if sentSoFar < totalLimit/10 {
			t.Errorf("%d gateways sent a starting endpoint only %.2f s of work of %.2f", n, sentSoFar, totalLimit)
		}
	}
}

// The limit also holds for new gateways, counted in requests over every window: where the settings allow N,
// up to N + 2·√N + 2 may be sent by chance. Traffic is uneven, and every gateway is replaced, a tenth at a
// time, by a gateway that knows nothing but the endpoint list.
func TestSlowStartBudgetHoldsForNewGateways(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		rows := []Endpoint{}
		c := newSimulation(t, n, 4, func(s *Settings) { s.CanHealthCheck = false }, func(i int, e *Endpoint) {
			if i == 0 {
				e.Started = 100 * sec
			}
			rows = append(rows, *e)
		})
		s := c.gateways[0].settings
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		for tick := 0; c.now < 100*sec+s.SlowStartDuration; tick++ {
			c.now += 10000
			for _, f := range c.due[c.now] {
				f()
			}
			delete(c.due, c.now)
			for range 6 { // requests in 10 ms, more than the other endpoints can serve
				i := rng.IntN(n)
				if rng.IntN(2) == 0 { // a fifth of the gateways receives several times the mean
					i = rng.IntN((n + 4) / 5)
				}
				c.ids++
				c.step(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			}
			for i := range c.gateways {
				if tick%20 == 0 && i%10 == tick/20-5 {
					peer := s
					peer.PeerIndex = i
					g, err := New(uint64(1000+tick+i), peer)
					if err != nil {
						t.Fatal(err)
					}
					c.gateways[i] = g
					c.step(i, EndpointUpdate{Complete: true, Endpoints: rows})
				}
				c.step(i)
			}
		}
		sentAt, worst := c.sentAt["e00"], 0.0
		for i, from := range sentAt {
			share := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(from-100*sec)/float64(s.SlowStartDuration)
			budget := s.OverloadMultiple * share * 8 * float64(s.OverloadDuration) / microsPerSecond / 0.1
			count := 0.0
			for _, at := range sentAt[i:] {
				if at < from+s.OverloadDuration {
					count++
				}
			}
			worst = max(worst, count/(budget+2*math.Sqrt(budget)+2))
		}
		t.Logf("%d gateways: %d sent to the starting endpoint, at most %.2f of its limit in a window", n, len(sentAt), worst)
		if worst > 1 || len(sentAt) == 0 {
			t.Errorf("%d gateways sent the starting endpoint %.2f times its limit in a window", n, worst)
		}
	}
}

// Without gossip a gateway uses an equal share of the slow start budget, whatever its estimated share of the
// traffic. When load reports faded at the end of a day, that estimate made one gateway of dozens use the
// whole budget.
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

// Heavy queries of several gateways coincide by chance now and then: of 40 starts at most one may get more
// work than the limit of a window.
func TestHeavyQueriesSpreadDuringSlowStart(t *testing.T) {
	overLimit := 0
	for try := range 40 {
		c := newSimulation(t, 60, 1, func(s *Settings) { s.CanGossip, s.CanHealthCheck = false, false },
			func(_ int, e *Endpoint) { e.Started = 100 * sec })
		for i, g := range c.gateways {
			g.rng.Uint64()
			for range try {
				g.rng.Uint64()
			}
			c.ids++
			c.step(i, Request{ID: fmt.Sprint(c.ids), Class: 1, Cost: 4 * sec, MemoryMB: 100, Deadline: c.now + 15*sec})
		}
		c.run(2*sec, 3600*sec)
		s := c.gateways[0].settings
		if c.sentWork["e00"] > s.OverloadMultiple*s.SlowStartFloor*8*float64(s.OverloadDuration)/microsPerSecond {
			overLimit++
		}
	}
	if overLimit > 1 {
		t.Fatalf("a starting endpoint got more work than its limit in %d of 40 starts", overLimit)
	}
}
