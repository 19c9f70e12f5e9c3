package policy

import (
	"fmt"
	"testing"
)

// Gateways that see the same free capacity in a report must not fill it several times over.
func TestCommonReportIsNotClaimedByAll(t *testing.T) {
	c := newSimulation(t, 80, 10, func(s *Settings) { s.CanHealthCheck = false }, nil)
	c.run(10*sec, 2*sec/3) // 120 a second, 60 threads in flight on 80 cores
	for e := range c.peakThreads {
		c.peakThreads[e] = 0
	}
	for i := 1; i < 10; i++ { // all endpoints but e00 drain, and all gateways know its load
		for k := range c.gateways {
			c.step(k, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprintf("e%02d", i), PlacementGroup: i / 2, State: Draining}}})
		}
	}
	c.run(4*sec, 2*sec/3)
	if c.peakThreads["e00"] > 40 {
		t.Fatalf("%v threads on the one endpoint of 8 cores", c.peakThreads["e00"])
	}
	if c.peakThreads["e00"] < 6 {
		t.Fatalf("only %v threads on the one endpoint of 8 cores", c.peakThreads["e00"])
	}
}

// The queries in flight that an endpoint reports use its capacity, since they include attempts that timed out
// and still run.
func TestReportedQueriesUseCapacity(t *testing.T) {
	set := testSettings()
	set.Peers = 1
	b := newHarness(t, set, 1)
	q := b.request(0)
	s := actionsOf[Send](b.step(q))[0]
	b.step(AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000, Load: &Load{Utilization: 0.2, InFlight: 40}})
	b.now += 1000
	if n := len(actionsOf[Send](b.step(b.request(1), b.request(1)))); n > 1 {
		t.Fatalf("%d heavy queries sent to an endpoint that runs 40", n)
	}
}

// A capacity that congestion has shrunk must recover without answers: with nothing in flight there are none.
func TestCapacityRecoversWithNothingInFlight(t *testing.T) {
	b := newSparseHarness(t, 4, nil)
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
			b.g.recordLoad(e, Load{Utilization: 0.6, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		sent += len(actionsOf[Send](b.step(b.request(0))))
	}
	if sent == 0 {
		t.Fatal("no request sent after the capacity shrank")
	}
}
