package policy

import (
	"math"
	"testing"
)

// Estimates scatter tenfold; the fit must not take that for the work itself.
func TestWideEstimatesAreShrunk(t *testing.T) {
	var f powerFit
	for i := range 300 {
		off := float64(i%7-3) / 2 // log error of the estimate; the work is always one second
		f.add(math.Exp(off), 1, fitSmoothing)
	}
	if w := f.predict(10, 0, initialSlope, 0); w > 1.5 {
		t.Fatalf("work of %v from an estimate ten times too high", w)
	}
	var g powerFit
	for i := range 300 {
		x := math.Exp(float64(i%7-3) / 2)
		g.add(x, 2*x, fitSmoothing)
	}
	if w := g.predict(10, 0, initialSlope, 0); math.Abs(w-20) > 2 {
		t.Fatalf("work of %v from good estimates, biased by two", w)
	}
}

// The work that answers report is learned under any congestion.
func TestReportedWorkIsLearned(t *testing.T) {
	b := newSparseHarness(t, 4, nil)
	for range 200 {
		q := b.request(0)
		b.now += 200000
		for _, a := range actionsOf[Send](b.step(q)) {
			b.now += 600000
			b.step(AttemptResult{ID: q.ID, Endpoint: a.Endpoint, Final: true, Latency: 600000, WorkMicros: 300000, NeededMB: 10})
		}
	}
	if c := &b.g.classes[0]; c.typicalWork() < 0.25 || c.typicalWork() > 0.35 {
		t.Fatalf("work of 0.3 s is taken for %.2f", c.typicalWork())
	}
}

// Estimates that are shrunk towards a class's middle understate its mean work.
func TestUsualWorkIsNotShrunk(t *testing.T) {
	b := newSparseHarness(t, 2, nil)
	sum := 0.0
	for i := range 100 {
		q := b.request(0)
		q.Cost = 100000 << (i % 8)
		sum += float64(q.Cost) / microsPerSecond
		b.step(q)
	}
	if c := &b.g.classes[0]; c.usualWork.value < 0.9*sum/100 {
		t.Fatalf("usual work %.2f s, it is %.2f", c.usualWork.value, sum/100)
	}
}
