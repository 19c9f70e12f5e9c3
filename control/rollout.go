package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// defaultMinQueries is the default of Rollout.MinQueries.
const defaultMinQueries = 200

// Rollout decides which dispatcher is offered which set. A new set, the target, is offered to a share of the dispatchers
// first and to a larger share at each stage. If too many reject it, or serve fewer of their queries with it, the rollout is
// halted and all dispatchers are offered the previous set again. Rollout runs in the control service and, like the rest of
// the package, performs no I/O and reads no clock. It is not safe for concurrent use.
type Rollout struct {
	Stages           []float64 // shares of the dispatchers, ascending; the last one is 1
	MinStageTime     Micros    // minimum time in a stage after all its dispatchers have replied
	MaxRejectedShare float64   // share of a stage's dispatchers that halts the rollout if it rejects the target

	MaxServiceDrop float64 // halts the rollout if the share served is lower by more than this than with the previous set; 0: never
	MinQueries     int     // with each of the two sets; service is not compared below it; 0: 200

	previous, target uint64
	stage            int
	stageRepliedAt   Micros // when all dispatchers of the stage had replied; 0: not yet
	haltReason       string // "" while it is not halted
	restoreNumber    uint64 // number under which dispatchers that accepted the target are offered the previous set; 0: not halted
	dispatchers      map[string]*DispatcherStatus
	service          map[string]*serviceCounters
}

// queryCounts holds the numbers of queries received and of those served.
type queryCounts struct{ served, received float64 }

// serviceCounters holds the query counters of one dispatcher.
type serviceCounters struct {
	latest queryCounts
	base   queryCounts // at the start of the rollout
}

// DispatcherStatus is the last reply of one dispatcher.
type DispatcherStatus struct {
	Dispatcher string
	Number     uint64 // last acknowledged; 0: none yet
	Rejected   uint64 // number rejected since then; 0: none
	Reason     string // of the rejection; "": none
}

// NewRollout returns a rollout that offers the set with this number to all dispatchers until Begin. A last stage with all
// dispatchers is added if stages do not end with one.
func NewRollout(number uint64, stages []float64, minStageTime Micros, maxRejectedShare float64) *Rollout {
	if len(stages) == 0 || stages[len(stages)-1] < 1 {
		stages = append(slices.Clone(stages), 1)
	}
	return &Rollout{Stages: stages, MinStageTime: minStageTime, MaxRejectedShare: maxRejectedShare, previous: number, target: number,
		stage: len(stages) - 1, dispatchers: map[string]*DispatcherStatus{}, service: map[string]*serviceCounters{}}
}

// Begin starts to roll out the set with this number. If it is halted, the last set that was rolled out completely is
// restored.
func (r *Rollout) Begin(_ Micros, number uint64) {
	if r.complete() {
		r.previous = r.target
	}
	r.target, r.stage, r.stageRepliedAt, r.haltReason, r.restoreNumber = number, 0, 0, "", 0
	for _, s := range r.service {
		s.base = s.latest
	}
}

// RecordService records a dispatcher's counters of queries served and received since its start. It halts the rollout if the
// dispatchers with the target have served a smaller share since Begin than the others, by more than MaxServiceDrop. A
// received counter that has fallen means that the dispatcher was restarted: its counters then count from 0.
func (r *Rollout) RecordService(_ Micros, dispatcher string, served, received float64) {
	s := r.service[dispatcher]
	if s == nil {
		s = &serviceCounters{base: queryCounts{served, received}}
		r.service[dispatcher] = s
	}
	if received < s.latest.received {
		s.base = queryCounts{}
	}
	s.latest = queryCounts{served, received}
	if r.MaxServiceDrop <= 0 || r.haltReason != "" || r.target == r.previous {
		return
	}
	previous, target := r.serviceBySet()
	minQueries := float64(r.MinQueries)
	if minQueries == 0 {
		minQueries = defaultMinQueries
	}
	if previous.received < minQueries || target.received < minQueries {
		return
	}
	if before, after := previous.served/previous.received, target.served/target.received; after < before-r.MaxServiceDrop {
		r.Halt(fmt.Sprintf("dispatchers with set %d serve %.3f of their queries, those with set %d %.3f",
			r.target, after, r.previous, before))
	}
}

// serviceBySet returns the sums of the queries since the start of the rollout, of dispatchers without and with the target.
func (r *Rollout) serviceBySet() (previous, target queryCounts) {
	for _, name := range slices.Sorted(maps.Keys(r.service)) {
		sum := &previous
		if d := r.dispatchers[name]; d != nil && d.Number == r.target {
			sum = &target
		}
		s := r.service[name]
		sum.served += s.latest.served - s.base.served
		sum.received += s.latest.received - s.base.received
	}
	return previous, target
}

// Offer returns the number of the set to offer to a dispatcher, and adds the dispatcher if it is new.
func (r *Rollout) Offer(dispatcher string) uint64 {
	if r.dispatchers[dispatcher] == nil {
		r.dispatchers[dispatcher] = &DispatcherStatus{Dispatcher: dispatcher}
	}
	switch {
	case r.haltReason != "" && r.dispatchers[dispatcher].Number >= r.target: // dispatchers reject lower numbers
		return r.restoreNumber
	case r.haltReason != "" || !r.inStage(dispatcher):
		return r.previous
	}
	return r.target
}

// Restored returns the new number under which a halted rollout offers the content of the previous set, and that set's own
// number. Both are 0 if the rollout is not halted.
func (r *Rollout) Restored() (number, of uint64) {
	if r.restoreNumber == 0 {
		return 0, 0
	}
	return r.restoreNumber, r.previous
}

// HighestNumber returns the highest number in use. The next set must have a higher one.
func (r *Rollout) HighestNumber() uint64 { return max(r.target, r.restoreNumber) }

// halt stops the rollout and reserves a new number for the content of the previous set, as dispatchers reject a number
// lower than the active one.
func (r *Rollout) halt(reason string) {
	r.haltReason, r.restoreNumber = reason, r.target+1
}

// inStage reports whether a dispatcher belongs to the current stage. This depends on a hash of the target's number and the
// dispatcher's name, so that a different part of the dispatchers is the first to receive each set.
func (r *Rollout) inStage(dispatcher string) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s", r.target, dispatcher))
	return float64(h>>11)/(1<<53) < r.Stages[r.stage]
}

// RecordReply records a dispatcher's reply to a set; reason is that of a rejection, "" for an acknowledgement.
func (r *Rollout) RecordReply(now Micros, dispatcher string, number uint64, reason string) {
	r.Offer(dispatcher)
	d := r.dispatchers[dispatcher]
	if reason == "" {
		d.Number, d.Rejected, d.Reason = number, 0, ""
	} else {
		d.Rejected, d.Reason = number, reason
	}
	r.Advance(now)
}

// stageReplies holds the number of dispatchers in the current stage and the numbers of their replies to the target.
type stageReplies struct {
	members, accepted, rejected int
	reason                      string // of the rejecting dispatcher whose name sorts last, with its name
}

func (r *Rollout) countStageReplies() (s stageReplies) {
	for _, name := range slices.Sorted(maps.Keys(r.dispatchers)) {
		d := r.dispatchers[name]
		if !r.inStage(name) {
			continue
		}
		s.members++
		switch {
		case d.Rejected == r.target:
			s.rejected++
			s.reason = name + ": " + d.Reason
		case d.Number == r.target:
			s.accepted++
		}
	}
	return s
}

// Advance halts the rollout if too many dispatchers of the stage have rejected the target, or begins the next stage
// MinStageTime after all of them have replied. changed reports whether Offer may return other numbers now.
func (r *Rollout) Advance(now Micros) (changed bool) {
	if r.haltReason != "" || r.complete() {
		return false
	}
	s := r.countStageReplies()
	switch {
	case s.members > 0 && s.rejected > 0 && float64(s.rejected) >= r.MaxRejectedShare*float64(s.members):
		r.halt(fmt.Sprintf("%d of %d dispatchers rejected set %d: %s", s.rejected, s.members, r.target, s.reason))
		return true
	case s.accepted+s.rejected < s.members:
		r.stageRepliedAt = 0
		return false
	case r.stageRepliedAt == 0:
		r.stageRepliedAt = max(now, 1)
	}
	if now-r.stageRepliedAt < r.MinStageTime {
		return false
	}
	if r.stage < len(r.Stages)-1 {
		r.stage, r.stageRepliedAt = r.stage+1, 0
		return true
	}
	return false
}

// Halt halts a rollout in progress for a reason that the caller has found; it has no effect on a halted one.
func (r *Rollout) Halt(reason string) {
	if r.haltReason == "" && r.target != r.previous {
		r.halt(reason)
	}
}

// complete reports whether the rollout is not halted, is in its last stage, and all dispatchers have replied to the target.
func (r *Rollout) complete() bool {
	if r.haltReason != "" || r.stage < len(r.Stages)-1 {
		return false
	}
	for _, d := range r.dispatchers {
		if d.Number != r.target && d.Rejected != r.target {
			return false
		}
	}
	return true
}

// State describes the progress of the rollout for operators.
func (r *Rollout) State() string {
	switch {
	case r.haltReason != "":
		return fmt.Sprintf("halted: all dispatchers are offered set %d, as set %d where they accepted set %d; "+
			"the next set needs a higher number: %s", r.previous, r.restoreNumber, r.target, r.haltReason)
	case r.complete():
		return fmt.Sprintf("all dispatchers have replied to set %d", r.target)
	}
	return fmt.Sprintf("set %d is offered to %.0f%% of the dispatchers", r.target, 100*r.Stages[r.stage])
}

// Statuses returns the last replies of all dispatchers, sorted by name.
func (r *Rollout) Statuses() []DispatcherStatus {
	var out []DispatcherStatus
	for _, name := range slices.Sorted(maps.Keys(r.dispatchers)) {
		out = append(out, *r.dispatchers[name])
	}
	return out
}
