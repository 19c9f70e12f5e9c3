package policy

import (
	"math"
	"testing"
)

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// Hand-worked: one class of mean cost 2 s and worth 10 over 15 s, 3 admitted a
// second at level 1 in the last interval, waits of 0.5 s there and 2 s at level
// 3, 4 own threads in flight at level 1, 16 cores shared by two gateways.
func TestTollsByHand(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[1:]
	b := newBench(t, s, 2)
	g := b.g
	c := &g.classes[0]
	c.meanWork.value = 2
	c.admitted[1], c.waitRefreshed[1], c.waitRefreshed[3] = 3, true, true
	c.queueWait[1], c.queueWait[3] = 0.5, 2
	g.threads[1] = 4
	g.schedule.pricedAt = b.now - sec
	g.now = b.now
	g.updateEstimates()
	rate := 3 * rateSmoothing // smoothed from zero
	delta := 10.0 / 15
	// At level 1 and below only class 0's wait at level 1 carries a rate; u = 4 of 8 cores.
	r := 2.0 / 8 * delta * rate * 0.5 / (1 - 0.5)
	near(t, "toll at level 1", c.price[1], 0.1*r)
	near(t, "toll at level 0, which delays level 1 as well", c.price[0], 0.1*r)
	near(t, "toll at level 2: nothing admitted at or below", c.price[2], 0)
	near(t, "rate", c.admittedRate[1], rate)
	g.now += sec
	g.updateEstimates()
	near(t, "a wait without fresh outcomes halves", c.queueWait[1], 0.25)
}

func TestUtilisationInTollsIsCapped(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[1:]
	b := newBench(t, s, 2)
	g := b.g
	c := &g.classes[0]
	c.meanWork.value, c.admitted[0], c.queueWait[0], c.waitRefreshed[0] = 2, 3, 0.5, true
	g.threads[0] = 80
	g.schedule.pricedAt, g.now = b.now-sec, b.now
	g.updateEstimates()
	near(t, "toll at u = 0.9", c.price[0], 0.1*2/8*(10.0/15)*(3*rateSmoothing)*0.5/(1-0.9))
}

func TestAdmissionByHand(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	g := b.g
	c := &g.classes[1] // worth 10 over 15 s, 4 threads
	c.meanWork.value = 3
	c.queueWait = [priorityLevels]float64{1, 0.2, 2, 4}
	c.price = [priorityLevels]float64{5, 4, 1, 0.5}
	q := &request{class: c, work: 6, weight: 10, Request: Request{Deadline: b.now + 15*sec}} // 1.5 s on its threads, twice the mean cost
	level, net := g.leastCostLevel(q)
	delta := 10.0 / 15
	if level != 2 {
		t.Fatalf("level %d, want 2", level)
	}
	near(t, "net worth", net, 10-delta*(2+1.5)-2*1)
}

// The free-core pass lets in what the tolls would refuse, while our share of
// the cores is not in use, and not beyond.
func TestFreeCorePass(t *testing.T) {
	for _, tt := range []struct {
		name  string
		own   float64 // own threads in flight; our share is 8
		util  float64 // utilisation that the engine reports
		class int
		cost  Micros
		sent  bool
	}{
		{"free share", 0, 0.75, 0, 100000, true},
		{"share in use, busy engine", 8, 0.75, 0, 100000, false},
		{"share in use, idle engine", 8, 0.1, 0, 100000, true},
		{"free share, longer than its deadline", 0, 0.1, 0, 40 * sec, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, testSettings(), 2)
			for i := range b.g.classes {
				b.g.classes[i].price = [priorityLevels]float64{99, 99, 99, 99}
				b.g.classes[i].meanWork.value = 0.1
			}
			for _, e := range b.g.endpoints.list {
				e.load, e.loadAt = Load{Util: tt.util, InFlight: -1}, b.now
			}
			b.g.threads[0] = tt.own
			q := b.request(tt.class)
			q.Cost = tt.cost
			if sent := len(only[Send](b.step(q))) == 1; sent != tt.sent {
				t.Fatalf("sent %v, want %v", sent, tt.sent)
			}
		})
	}
}
