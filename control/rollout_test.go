package control

import (
	"fmt"
	"strings"
	"testing"
)

// rolloutNames returns the names of the dispatchers in the rollout tests.
func rolloutNames() []string {
	names := make([]string, 200)
	for i := range names {
		names[i] = fmt.Sprint("d", i)
	}
	return names
}

// beginRollout returns a rollout that has begun to offer set 2 to dispatchers that have acknowledged set 1.
func beginRollout() *Rollout {
	r := NewRollout(1, []float64{0.1, 0.5, 1}, 10*second, 0.05)
	for _, d := range rolloutNames() {
		r.RecordReply(0, d, r.Offer(d), "")
	}
	r.Begin(0, 2)
	return r
}

// offeredTarget returns the dispatchers that are offered set 2.
func offeredTarget(r *Rollout) (out []string) {
	for _, d := range rolloutNames() {
		if r.Offer(d) == 2 {
			out = append(out, d)
		}
	}
	return out
}

// Each stage begins only after all dispatchers of the stage before it have replied and its minimum time has passed.
func TestRollout(t *testing.T) {
	names := rolloutNames()
	n := len(names)
	r := beginRollout()
	first := offeredTarget(r)
	if len(first) < n/20 || len(first) > n/5 {
		t.Fatalf("the first stage has %d of %d dispatchers", len(first), n)
	}
	for _, d := range first {
		r.RecordReply(second, d, 2, "")
	}
	if r.Advance(5*second) || len(offeredTarget(r)) != len(first) {
		t.Error("the second stage began before the minimum time of the first")
	}
	if !r.Advance(11*second) || len(offeredTarget(r)) <= 2*len(first) {
		t.Errorf("the second stage has %d dispatchers", len(offeredTarget(r)))
	}
	for _, d := range offeredTarget(r) {
		r.RecordReply(12*second, d, 2, "")
	}
	r.Advance(23 * second)
	if len(offeredTarget(r)) != n {
		t.Errorf("the last stage has %d dispatchers: %s", len(offeredTarget(r)), r.State())
	}
	for _, d := range names {
		r.RecordReply(24*second, d, 2, "")
	}
	if r.State() != "all dispatchers have replied to set 2" {
		t.Error(r.State())
	}
}

// Rejections by one in 15 dispatchers of the stage, which is more than MaxRejectedShare (5%), halt the rollout: no
// dispatcher is offered the target any more.
func TestRolloutHaltsOnRejections(t *testing.T) {
	r := beginRollout()
	for i, d := range offeredTarget(r) {
		if i%15 == 0 {
			r.RecordReply(second, d, 2, "class_ends")
		}
	}
	if got := len(offeredTarget(r)); got != 0 || !strings.Contains(r.State(), "halted") || !strings.Contains(r.State(), "class_ends") {
		t.Errorf("after the rejections %d dispatchers are offered the target: %s", got, r.State())
	}
}

// Halt restores the previous set, and a halt of the next rollout would restore that set too. A dispatcher that has accepted
// the target is offered the content of the previous set under a new number, as it rejects lower numbers.
func TestRolloutHaltedByCaller(t *testing.T) {
	r := beginRollout()
	accepted := offeredTarget(r)[0]
	r.RecordReply(second, accepted, 2, "")
	r.Halt("service fell to 0.7")
	if number, of := r.Restored(); number != 3 || of != 1 || r.Offer(accepted) != 3 || len(offeredTarget(r)) != 0 ||
		r.HighestNumber() != 3 {
		t.Errorf("halted: set %d has the content of set %d; where the target was accepted, set %d is offered", number, of,
			r.Offer(accepted))
	}
	r.RecordReply(2*second, accepted, 3, "")
	if r.Offer(accepted) != 3 {
		t.Errorf("a dispatcher that has accepted the restored set is offered set %d", r.Offer(accepted))
	}
	r.Begin(30*second, 4)
	if r.previous != 1 {
		t.Errorf("after the halt the previous set is %d, want 1", r.previous)
	}
}

// The dispatchers' counters halt the rollout of a set with which a smaller share of the queries is served. Noise, too few
// queries and the counters of a restarted dispatcher do not halt it.
func TestRolloutHaltsOnServiceDrop(t *testing.T) {
	cases := []struct {
		name             string
		served, received float64 // by each dispatcher with the new set since Begin; those with the old set serve 95%
		halts            bool
	}{
		{"a share within noise", 940, 1000, false}, {"a clear drop", 700, 1000, true}, {"too few queries", 1, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRollout(1, []float64{0.3, 1}, 10*second, 0.5)
			r.MaxServiceDrop = 0.1
			var staged, rest []string
			for i := range 20 {
				d := fmt.Sprint("d", i)
				r.RecordReply(0, d, 1, "")
				r.RecordService(0, d, 100, 5000) // a low share before Begin, which does not count
			}
			r.Begin(second, 2)
			for i := range 20 {
				d := fmt.Sprint("d", i)
				if r.Offer(d) == 2 {
					staged = append(staged, d)
					r.RecordReply(second, d, 2, "")
				} else {
					rest = append(rest, d)
				}
			}
			for _, d := range rest {
				r.RecordService(2*second, d, 100+950, 5000+1000)
			}
			r.RecordService(2*second, rest[0], 95, 100) // restarted
			for _, d := range staged {
				r.RecordService(2*second, d, 100+c.served, 5000+c.received)
			}
			if halted := strings.Contains(r.State(), "halted"); halted != c.halts {
				t.Errorf("halted is %v, want %v: %s", halted, c.halts, r.State())
			}
		})
	}
}
