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

	Fall   float64 // fall of the share served, against those with the old set, that halts it; 0: none does
	Enough int     // queries on either side below which service is not compared; default 200

	old, target uint64
	stage       int
	since       Micros // when the stage was whole
	halted      string
	back        uint64 // number under which the old set's content is offered to those that took the new one; 0: none
	seen        map[string]*DispatcherStatus
	service     map[string]*service
}

// service is what one dispatcher has answered, by its own counters.
type service struct {
	served, asked float64 // told last
	base          [2]float64
}

// DispatcherStatus is what one dispatcher said last.
type DispatcherStatus struct {
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
		seen: map[string]*DispatcherStatus{}, service: map[string]*service{}}
}

// Begin starts to roll a set out; what was in all hands before is what a halt goes back to.
func (r *Rollout) Begin(now Micros, number uint64) {
	if r.done() {
		r.old = r.target
	}
	r.target, r.stage, r.since, r.halted, r.back = number, 0, 0, "", 0
	for _, s := range r.service {
		s.base = [2]float64{s.served, s.asked}
	}
}

// Service books a dispatcher's counters of queries served and asked for since its start, and halts the rollout where
// those with the new set serve a clearly smaller share than those with the old one did over the same time. One that was
// started anew counts from there.
func (r *Rollout) Service(now Micros, dispatcher string, served, asked float64) {
	s := r.service[dispatcher]
	if s == nil {
		s = &service{base: [2]float64{served, asked}}
		r.service[dispatcher] = s
	}
	if asked < s.asked {
		s.base = [2]float64{}
	}
	s.served, s.asked = served, asked
	if r.Fall <= 0 || r.halted != "" || r.target == r.old {
		return
	}
	var sum [2][2]float64 // old and new: served, asked
	for _, name := range slices.Sorted(maps.Keys(r.service)) {
		side := 0
		if st := r.seen[name]; st != nil && st.Number == r.target {
			side = 1
		}
		sum[side][0] += r.service[name].served - r.service[name].base[0]
		sum[side][1] += r.service[name].asked - r.service[name].base[1]
	}
	enough := float64(r.Enough)
	if enough == 0 {
		enough = 200
	}
	if sum[0][1] < enough || sum[1][1] < enough {
		return
	}
	if before, after := sum[0][0]/sum[0][1], sum[1][0]/sum[1][1]; after < before-r.Fall {
		r.Halt(fmt.Sprintf("dispatchers with set %d serve %.3f of their queries, those with set %d %.3f", r.target, after, r.old, before))
	}
}

// Offer is the set that a dispatcher is to be offered. Who comes first is drawn by name and number, so that it is not
// the same ones at every version.
func (r *Rollout) Offer(dispatcher string) uint64 {
	if r.seen[dispatcher] == nil {
		r.seen[dispatcher] = &DispatcherStatus{Dispatcher: dispatcher}
	}
	switch {
	case r.halted != "" && r.seen[dispatcher].Number >= r.target: // dispatchers do not go back in numbers
		return r.back
	case r.halted != "" || !r.in(dispatcher):
		return r.old
	}
	return r.target
}

// Back tells that a halted rollout offers the content of an old set under a new number: both, or zeros.
func (r *Rollout) Back() (number, of uint64) {
	if r.back == 0 {
		return 0, 0
	}
	return r.back, r.old
}

// Highest is the highest number in use: the next set must have one above it.
func (r *Rollout) Highest() uint64 { return max(r.target, r.back) }

func (r *Rollout) halt(why string) {
	r.halted, r.back = why, r.target+1
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
	r.Advance(now)
}

// Advance moves the rollout on or halts it; changed tells that Offer may answer otherwise now.
func (r *Rollout) Advance(now Micros) (changed bool) {
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
		r.halt(fmt.Sprintf("%d of %d dispatchers refused set %d: %s", refused, members, r.target, why))
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
		r.halt(why)
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
		return fmt.Sprintf("halted, set %d goes to all, as set %d to those that took set %d; the next one needs a number above: %s",
			r.old, r.back, r.target, r.halted)
	case r.done():
		return fmt.Sprintf("set %d is with all", r.target)
	}
	return fmt.Sprintf("set %d goes to %.0f%% of the dispatchers", r.target, 100*r.Stages[r.stage])
}

// Statuses are all dispatchers seen, by name.
func (r *Rollout) Statuses() []DispatcherStatus {
	var out []DispatcherStatus
	for _, name := range slices.Sorted(maps.Keys(r.seen)) {
		out = append(out, *r.seen[name])
	}
	return out
}
