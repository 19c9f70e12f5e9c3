package policy

import (
	"fmt"
	"testing"
)

// Clients have few connections, so a queued query keeps other queries out. Near MaxInFlight a queued query
// that earns little for its time is shed with a Retry-After; far from it the query stays queued.
func TestNearlyFullQueueShedsLowValueRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit int
		sheds bool
	}{{"far from the limit", 1000, false}, {"near the limit", 40, true}, {"no limit", 0, false}} {
		s := tableLoadSettings()
		s.MaxInFlight = c.limit
		b := newHarness(t, s, 1)
		for range 200 { // each answered query earns a weight of 1 in 0.1 s
			b.now += 100000
			for _, s := range actionsOf[Send](b.step(b.request(0))) {
				b.now += 100000
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
			}
		}
		var loads []string
		for range 38 { // one load runs, the others wait for the lock of its table group
			q := b.request(2)
			loads = append(loads, q.ID)
			b.step(q)
		}
		shed := actionsOf[Shed](b.runUntil(b.now + 2*sec))
		if (len(shed) > 0) != c.sheds {
			t.Errorf("%s: %d of %d loads shed within 2 s", c.name, len(shed), len(loads))
		}
		for _, r := range shed {
			if r.RetryAfter <= 0 {
				t.Errorf("%s: %s was shed without a Retry-After", c.name, r.ID)
			}
		}
	}
}

// Requests that wait for the endpoint they are sticky to must not block other requests of their class.
func TestQueuedStickyRequestsBlockNoOthers(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	for i := range 400 { // far more than the capacity of e0
		q := b.request(0)
		q.ID, q.StickyTo = fmt.Sprintf("sticky%d", i), "e0"
		b.step(q)
	}
	sent := 0
	for range 20 {
		b.now += 1000
		for _, s := range actionsOf[Send](b.step(b.request(0))) {
			if s.Endpoint == "e1" {
				sent++
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 1000})
			}
		}
	}
	if sent < 18 {
		t.Errorf("%d of 20 requests that are not sticky were sent, want at least 18", sent)
	}
}
