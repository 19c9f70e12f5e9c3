package policy

import "testing"

// Queries spill when their grant is too small: spills raise the grant margin, and answers without spills
// lower it.
func TestGrantMarginFollowsSpills(t *testing.T) {
	for _, spill := range []bool{true, false} {
		b := newHarness(t, testSettings(), 4)
		before := b.g.classes[0].grantMargin
		for range 50 {
			b.now += 50000
			for _, s := range actionsOf[Send](b.step(b.request(0))) {
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
