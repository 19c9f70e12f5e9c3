package policy

import "testing"

// Queries that wait for disks leave cores idle: the reported utilization is moderate while one gateway of
// many has ten times its share in flight. Its own attempts in flight must keep it from sending more.
func TestOwnAttemptsRevealCongestionThatLooksIdle(t *testing.T) {
	b := newSparseHarness(t, 10, nil)
	sent := 0
	for range 40 {
		b.now += 50000
		for _, e := range b.g.endpoints.list {
			b.g.recordLoad(e, Load{Utilization: 0.6, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		sent += len(actionsOf[Send](b.step(b.request(1))))
	}
	if sent > 12 {
		t.Fatalf("%d heavy queries in flight from one of fifty gateways to ten endpoints", sent)
	}
	if sent < 2 {
		t.Fatalf("only %d heavy queries sent", sent)
	}
}
