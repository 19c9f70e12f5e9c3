package policy

import (
	"fmt"
	"testing"
)

// Gateways that hear of the same room do not fill it many times over.
func TestCommonNewsIsNotClaimedByAll(t *testing.T) {
	c := newCrowd(t, 80, 10, func(s *Settings) { s.CanHealthCheck = false }, nil)
	c.run(10*sec, 2*sec/3) // 120 a second, 60 threads out on 80 cores
	for e := range c.most {
		c.most[e] = 0
	}
	for i := 1; i < 10; i++ { // all but one engine drain: everybody knows the one
		for k := range c.gs {
			c.play(k, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprintf("e%02d", i), PlacementGroup: i / 2, State: Draining}}})
		}
	}
	c.run(4*sec, 2*sec/3)
	if c.most["e00"] > 40 {
		t.Fatalf("%v threads on the one engine of 8 cores", c.most["e00"])
	}
	if c.most["e00"] < 6 {
		t.Fatalf("only %v threads on the one engine of 8 cores", c.most["e00"])
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
