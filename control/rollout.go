package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rollout decides which dispatcher is offered which set: a share of them first, more of them stage by stage, and back to
// the old one where too many refuse it. It is the control service's side, free of I/O and clock like the rest.
type Rollout struct {
	Stages  []float64 // shares of the dispatchers, ascending; the last one is 1
	Hold    Micros    // least time in a stage after its last ACK
	Refusal float64   // share of a stage's dispatchers whose refusal halts it

	old, target uint64
	stage       int
	since       Micros // when the stage was whole
	halted      string
	seen        map[string]*Standing
}

// Standing is what one dispatcher said last.
type Standing struct {
	Dispatcher string
	Number     uint64 // last acknowledged; 0: none yet
	Refused    uint64 // last refused since; 0: none
	Reason     string
}

// NewRollout offers a set to all at once until another one begins.
func NewRollout(number uint64, stages []float64, hold Micros, refusal float64) *Rollout {
	if len(stages) == 0 || stages[len(stages)-1] < 1 {
		stages = append(slices.Clone(stages), 1)
	}
	return &Rollout{Stages: stages, Hold: hold, Refusal: refusal, old: number, target: number, stage: len(stages) - 1,
		seen: map[string]*Standing{}}
}

// Begin starts to roll a set out; what was in all hands before is what a halt goes back to.
func (r *Rollout) Begin(now Micros, number uint64) {
	if r.done() {
		r.old = r.target
	}
	r.target, r.stage, r.since, r.halted = number, 0, 0, ""
}

// Offer is the set that a dispatcher is to be offered. Who comes first is drawn by name and number, so that it is not
// the same ones at every version.
func (r *Rollout) Offer(dispatcher string) uint64 {
	if r.seen[dispatcher] == nil {
		r.seen[dispatcher] = &Standing{Dispatcher: dispatcher}
	}
	if r.halted != "" || !r.in(dispatcher) {
		return r.old
	}
	return r.target
}

// in tells that a dispatcher belongs to the present stage.
func (r *Rollout) in(dispatcher string) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s", r.target, dispatcher))
	return float64(h>>11)/(1<<53) < r.Stages[r.stage]
}

// Replied books a reply; a refusal has a reason.
func (r *Rollout) Replied(now Micros, dispatcher string, number uint64, reason string) {
	r.Offer(dispatcher)
	s := r.seen[dispatcher]
	if reason == "" {
		s.Number, s.Refused, s.Reason = number, 0, ""
	} else {
		s.Refused, s.Reason = number, reason
	}
	r.Look(now)
}

// Look moves the rollout on or halts it; changed tells that Offer may answer otherwise now.
func (r *Rollout) Look(now Micros) (changed bool) {
	if r.halted != "" || r.done() {
		return false
	}
	members, acked, refused, why := 0, 0, 0, ""
	for _, name := range slices.Sorted(maps.Keys(r.seen)) {
		s := r.seen[name]
		if !r.in(name) {
			continue
		}
		members++
		switch {
		case s.Refused == r.target:
			refused++
			why = name + ": " + s.Reason
		case s.Number == r.target:
			acked++
		}
	}
	switch {
	case members > 0 && refused > 0 && float64(refused) >= r.Refusal*float64(members):
		r.halted = fmt.Sprintf("%d of %d dispatchers refused set %d: %s", refused, members, r.target, why)
		return true
	case acked+refused < members:
		r.since = 0
		return false
	case r.since == 0:
		r.since = max(now, 1)
	}
	if now-r.since < r.Hold {
		return false
	}
	if r.stage < len(r.Stages)-1 {
		r.stage, r.since = r.stage+1, 0
		return true
	}
	return false
}

// Halt stops a rollout from outside, such as for a fall in service.
func (r *Rollout) Halt(why string) {
	if r.halted == "" && r.target != r.old {
		r.halted = why
	}
}

// done tells that the last stage is whole.
func (r *Rollout) done() bool {
	if r.halted != "" || r.stage < len(r.Stages)-1 {
		return false
	}
	for _, s := range r.seen {
		if s.Number != r.target && s.Refused != r.target {
			return false
		}
	}
	return true
}

// State tells operators where it stands.
func (r *Rollout) State() string {
	switch {
	case r.halted != "":
		return fmt.Sprintf("halted, set %d goes to all: %s", r.old, r.halted)
	case r.done():
		return fmt.Sprintf("set %d is with all", r.target)
	}
	return fmt.Sprintf("set %d goes to %.0f%% of the dispatchers", r.target, 100*r.Stages[r.stage])
}

// Standings are all dispatchers seen, by name.
func (r *Rollout) Standings() []Standing {
	var out []Standing
	for _, name := range slices.Sorted(maps.Keys(r.seen)) {
		out = append(out, *r.seen[name])
	}
	return out
}
