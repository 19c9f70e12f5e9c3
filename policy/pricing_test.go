package policy

import "testing"

// The expected prices are calculated by hand: one class of mean work 2 s and weight 10 over 15 s, 3 requests
// a second admitted at level 1 in the last interval, waits of 0.5 s at level 1 and 2 s at level 3, 4 threads
// of this gateway's attempts in flight at level 1, 16 cores shared by two gateways.
func TestPricesMatchManualCalculation(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[1:]
	b := newHarness(t, s, 2)
	g := b.g
	c := &g.classes[0]
	c.meanWork.value = 2
	c.admitted[1], c.waitRefreshed[1], c.waitRefreshed[3] = 3, true, true
	c.queueWait[1], c.queueWait[3] = 0.5, 2
	g.threads[1] = 4
	g.schedule.pricedAt = b.now - sec
	g.now = b.now
	g.updateEstimates()
	rate := 3 * rateSmoothing // the smoothed rate starts at zero
	delta := 10.0 / 15
	// Only level 1 has an admission rate, so only the wait there counts; u is 4 of 8 cores.
	r := 2.0 / 8 * delta * rate * 0.5 / (1 - 0.5)
	requireNear(t, "price at level 1", c.price[1], 0.1*r)
	requireNear(t, "price at level 0, which delays level 1 as well", c.price[0], 0.1*r)
	requireNear(t, "price at level 2, with no admissions at levels 2 and 3", c.price[2], 0)
	requireNear(t, "admission rate at level 1", c.admittedRate[1], rate)
	g.now += sec
	g.updateEstimates()
	requireNear(t, "wait after an interval without answers", c.queueWait[1], 0.25)
}

func TestUtilizationInPricesIsCapped(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[1:]
	b := newHarness(t, s, 2)
	g := b.g
	c := &g.classes[0]
	c.meanWork.value, c.admitted[0], c.queueWait[0], c.waitRefreshed[0] = 2, 3, 0.5, true
	g.threads[0] = 80
	g.schedule.pricedAt, g.now = b.now-sec, b.now
	g.updateEstimates()
	requireNear(t, "price with u limited to 0.9", c.price[0], 0.1*2/8*(10.0/15)*(3*rateSmoothing)*0.5/(1-0.9))
}

// A request whose deadline is too early for the level of lowest cost gets a level that is in time.
func TestEarlyDeadlineSelectsAFasterLevel(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	c := &b.g.classes[0]
	c.meanWork.value, c.queueWait, c.price = 0.1, [priorityLevels]float64{0, 0, 3, 3}, [priorityLevels]float64{0.9, 0.9, 0, 0}
	for _, tt := range []struct {
		left Micros
		want int
	}{{4 * sec, 2}, {sec, 1}} {
		q := &request{class: c, work: 0.1, weight: 1, Request: Request{Deadline: b.now + tt.left}}
		if level, _ := b.g.leastCostLevel(q); level > tt.want || tt.want == 2 && level != 2 {
			t.Errorf("level %d with %d µs left, want %d", level, tt.left, tt.want)
		}
	}
}
