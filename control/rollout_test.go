package control

import (
	"fmt"
	"strings"
	"testing"
)

// rolloutNames are the dispatchers of TestRollout.
func rolloutNames() []string {
	names := make([]string, 200)
	for i := range names {
		names[i] = fmt.Sprint("d", i)
	}
	return names
}

// beginRollout begins to roll out set 2 to dispatchers that have set 1.
func beginRollout() *Rollout {
	r := NewRollout(1, []float64{0.1, 0.5, 1}, 10*second, 0.05)
	for _, d := range rolloutNames() {
		r.RecordReply(0, d, r.Offer(d), "")
	}
	r.Begin(0, 2)
	return r
}

// offeredTarget are the dispatchers that are offered set 2.
func offeredTarget(r *Rollout) (out []string) {
	for _, d := range rolloutNames() {
		if r.Offer(d) == 2 {
			out = append(out, d)
		}
	}
	return out
}

func TestRollout(t *testing.T) {
	names := rolloutNames()
	n := len(names)
	r := beginRollout()
	first := offeredTarget(r)
	if len(first) < n/20 || len(first) > n/5 {
		t.Fatalf("the first stage has %d of %d", len(first), n)
	}
	for _, d := range first {
		r.RecordReply(second, d, 2, "")
	}
	if r.Advance(5*second) || len(offeredTarget(r)) != len(first) {
		t.Error("the second stage began before its time")
	}
	if !r.Advance(11*second) || len(offeredTarget(r)) <= 2*len(first) {
		t.Errorf("the second stage has %d", len(offeredTarget(r)))
	}
	for _, d := range offeredTarget(r) {
		r.RecordReply(12*second, d, 2, "")
	}
	r.Advance(23 * second)
	if len(offeredTarget(r)) != n {
		t.Errorf("the last stage has %d: %s", len(offeredTarget(r)), r.State())
	}
	for _, d := range names {
		r.RecordReply(24*second, d, 2, "")
	}
	if r.State() != "set 2 is with all" {
		t.Error(r.State())
	}
}

// One rejection of so many does not halt a rollout, one in twenty does: all are offered the previous set again.
func TestRolloutHaltsOnRejections(t *testing.T) {
	r := beginRollout()
	for i, d := range offeredTarget(r) {
		if i%15 == 0 {
			r.RecordReply(second, d, 2, "class_ends")
		}
	}
	if got := len(offeredTarget(r)); got != 0 || !strings.Contains(r.State(), "halted") || !strings.Contains(r.State(), "class_ends") {
		t.Errorf("after rejections %d are offered it: %s", got, r.State())
	}
}

// A halt from outside restores the previous set; the next version begins from the set before it. A dispatcher that has
// the target is offered the previous content under a new number, for its numbers do not go back.
func TestRolloutHaltedFromOutside(t *testing.T) {
	r := beginRollout()
	accepted := offeredTarget(r)[0]
	r.RecordReply(second, accepted, 2, "")
	r.Halt("service fell to 0.7")
	if number, of := r.Restored(); number != 3 || of != 1 || r.Offer(accepted) != 3 || len(offeredTarget(r)) != 0 || r.Highest() != 3 {
		t.Errorf("halted: set %d with the content of %d, offered where the target was accepted: %d", number, of, r.Offer(accepted))
	}
	r.RecordReply(2*second, accepted, 3, "")
	if r.Offer(accepted) != 3 {
		t.Errorf("restored, it is offered %d", r.Offer(accepted))
	}
	r.Begin(30*second, 4)
	if r.previous != 1 {
		t.Errorf("after the halt the previous set is %d", r.previous)
	}
}

// A version under which less is served is halted by the dispatchers' own counters; noise, few queries and a dispatcher that
// was restarted do not halt it.
func TestRolloutHaltsOnAFallInService(t *testing.T) {
	cases := []struct {
		name             string
		served, received float64 // of each dispatcher with the new set, since it has it; those with the old one serve 95 of 100
		halts            bool
	}{
		{"as before", 940, 1000, false}, {"a clear fall", 700, 1000, true}, {"too few to tell", 1, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRollout(1, []float64{0.3, 1}, 10*second, 0.5)
			r.MaxServiceDrop = 0.1
			var staged, rest []string
			for i := range 20 {
				d := fmt.Sprint("d", i)
				r.RecordReply(0, d, 1, "")
				r.RecordService(0, d, 100, 5000) // a bad day before: it does not count
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
				t.Errorf("%s", r.State())
			}
		})
	}
}
