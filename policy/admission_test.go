package policy

import "testing"

func TestLeastCostLevelMatchesManualCalculation(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	g := b.g
	c := &g.classes[1] // weight 10 over 15 s, 4 threads
	c.meanWork.value = 3
	c.queueWait = [priorityLevels]float64{1, 0.2, 2, 4}
	c.price = [priorityLevels]float64{5, 4, 1, 0.5}
	q := &request{class: c, work: 6, weight: 10, Request: Request{Deadline: b.now + 15*sec}} // 1.5 s on its threads, twice the mean work
	level, net := g.leastCostLevel(q)
	delta := 10.0 / 15
	if level != 2 {
		t.Fatalf("level %d, want 2", level)
	}
	requireNear(t, "net value", net, 10-delta*(2+1.5)-2*1)
}

// A request that its price would shed is admitted while this gateway's share of the cores has room for it
// or the endpoint is idle, unless it would end after its deadline.
func TestFreeCoresAdmitWhateverThePrice(t *testing.T) {
	for _, tt := range []struct {
		name  string
		own   float64 // threads of this gateway's attempts in flight; its share of the cores is 8
		util  float64 // utilization that the endpoint reports
		class int
		cost  Micros
		sent  bool
	}{
		{"free share", 0, 0.75, 0, 100000, true},
		{"share in use, busy endpoint", 8, 0.75, 0, 100000, false},
		{"share in use, idle endpoint", 8, 0.1, 0, 100000, true},
		{"free share, longer than its deadline", 0, 0.1, 0, 40 * sec, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, testSettings(), 2)
			for i := range b.g.classes {
				b.g.classes[i].price = [priorityLevels]float64{99, 99, 99, 99}
				b.g.classes[i].meanWork.value = 0.1
			}
			for _, e := range b.g.endpoints.list {
				e.load, e.loadAt = Load{Utilization: tt.util, InFlight: -1}, b.now
			}
			b.g.threads[0] = tt.own
			q := b.request(tt.class)
			q.Cost = tt.cost
			if sent := len(actionsOf[Send](b.step(q))) == 1; sent != tt.sent {
				t.Fatalf("sent %v, want %v", sent, tt.sent)
			}
		})
	}
}

// A request whose service time exceeds its deadline is shed at once.
func TestUnservableRequestIsShedAtOnce(t *testing.T) {
	b := newHarness(t, testSettings(), 1)
	q := b.request(0)
	q.Cost = 3600 * sec
	acts := b.step(q)
	if len(actionsOf[Shed](acts)) != 1 {
		t.Fatalf("want one Shed in the step that received the request, got %v", acts)
	}
}

// A request whose price exceeds its weight is shed at once, with a Retry-After if clients honor one.
func TestShedAtOnceWithRetryAfter(t *testing.T) {
	for _, limit := range []Micros{0, sec} {
		b := newSparseHarness(t, 2, func(s *Settings) { s.MaxRetryAfter = limit })
		for i := range b.g.classes[0].price {
			b.g.classes[0].price[i] = 100 // above the weight of any request
		}
		b.g.queries.work.value, b.g.fleet.threadsPerCore, b.g.fleet.everReported = 0.1, 9, true
		for _, e := range b.g.endpoints.list {
			b.g.recordLoad(e, Load{Utilization: 1, InFlight: -1, Queue: 0, Memory: -1, Disk: -1}, b.now)
		}
		b.g.threads[0] = 50
		r := actionsOf[Shed](b.step(b.request(0)))
		if len(r) != 1 || (r[0].RetryAfter > 0) != (limit > 0) || r[0].RetryAfter > limit {
			t.Errorf("MaxRetryAfter %v: shed %v", limit, r)
		}
	}
}
