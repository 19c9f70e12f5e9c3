package policy

import (
	"math"
	"testing"
)

// Estimates that scatter while the work does not must be shrunk; good estimates with a constant bias must
// only be corrected for the bias.
func TestWideEstimatesAreShrunk(t *testing.T) {
	var scattered powerFit
	for i := range 300 {
		off := float64(i%7-3) / 2 // log error of the estimate; the work is always one second
		scattered.add(math.Exp(off), 1, fitSmoothing)
	}
	if w := scattered.predict(10, 0, initialSlope, 0); w > 1.5 {
		t.Fatalf("predicted %v s for an estimate ten times too high, the work is 1 s", w)
	}
	var biased powerFit
	for i := range 300 {
		x := math.Exp(float64(i%7-3) / 2)
		biased.add(x, 2*x, fitSmoothing)
	}
	if w := biased.predict(10, 0, initialSlope, 0); math.Abs(w-20) > 2 {
		t.Fatalf("predicted %v s for an estimate of 10 s, the work is 20 s", w)
	}
}

// Reported work is learned as it is where congestion doubles the latency.
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
		t.Fatalf("typical work is %.2f s, reported work is 0.3 s", c.typicalWork())
	}
}

// Shrunk estimates understate a class's mean work, so the unshrunk estimates are averaged too.
func TestUnshrunkWorkIsMeanOfEstimates(t *testing.T) {
	b := newSparseHarness(t, 2, nil)
	sum := 0.0
	for i := range 100 {
		q := b.request(0)
		q.Cost = 100000 << (i % 8)
		sum += float64(q.Cost) / microsPerSecond
		b.step(q)
	}
	if c := &b.g.classes[0]; c.unshrunkWork.value < 0.9*sum/100 {
		t.Fatalf("unshrunk work is %.2f s, the mean of the estimates is %.2f s",
			c.unshrunkWork.value, sum/100)
	}
}
