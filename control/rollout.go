package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// defaultMinQueries is the default of Rollout.MinQueries.
const defaultMinQueries = 200

// Rollout decides which dispatcher is offered which set: a share of them first, more of them stage by stage, and back to
// the previous set where too many reject the new one. It runs in the control service, and is free of I/O and clocks like
// the rest of the package. It is not safe for concurrent use.
type Rollout struct {
	Stages          []float64 // shares of the dispatchers, ascending; the last one is 1
	MinStageTime    Micros    // minimum time in a stage after its last reply
	MaxRefusedShare float64   // share of a stage's dispatchers whose rejection halts the rollout

	MaxServiceDrop float64 // fall of the share served, against those with the previous set, that halts it; 0: none does
	MinQueries     int     // queries on either side below which service is not compared; 0: 200

	previous, target uint64
	stage            int
	stageRepliedAt   Micros // when all dispatchers of the stage had replied; 0: not yet
	haltReason       string // "" while it is not halted
	restoreNumber    uint64 // number under which the previous set is offered to those that accepted the target; 0: none
	dispatchers      map[string]*DispatcherStatus
	service          map[string]*serviceCounters
}

// queryCounts are queries served, of those received.
type queryCounts struct{ served, received float64 }

// serviceCounters are the counters of one dispatcher.
type serviceCounters struct {
	latest queryCounts
	base   queryCounts // at the begin of the rollout
}

// DispatcherStatus is the last reply of one dispatcher.
type DispatcherStatus struct {
	Dispatcher string
	Number     uint64 // last acknowledged; 0: none yet
	Refused    uint64 // rejected since; 0: none
	Reason     string
}

// NewRollout returns a rollout that offers a set to all dispatchers until another one begins.
func NewRollout(number uint64, stages []float64, minStageTime Micros, maxRefusedShare float64) *Rollout {
	if len(stages) == 0 || stages[len(stages)-1] < 1 {
		stages = append(slices.Clone(stages), 1)
	}
	return &Rollout{Stages: stages, MinStageTime: minStageTime, MaxRefusedShare: maxRefusedShare, previous: number, target: number,
		stage: len(stages) - 1, dispatchers: map[string]*DispatcherStatus{}, service: map[string]*serviceCounters{}}
}

// Begin starts to roll a set out; a halt restores the last set that was rolled out completely.
func (r *Rollout) Begin(_ Micros, number uint64) {
	if r.complete() {
		r.previous = r.target
	}
	r.target, r.stage, r.stageRepliedAt, r.haltReason, r.restoreNumber = number, 0, 0, "", 0
	for _, s := range r.service {
		s.base = s.latest
	}
}

// RecordService records a dispatcher's counters of queries served and received since its start, and halts the rollout where
// dispatchers with the target serve a clearly smaller share than those with the previous set over the same time. The
// counters of a dispatcher that was restarted count from 0.
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
		r.Halt(fmt.Sprintf("dispatchers with set %d serve %.3f of their queries, those with set %d %.3f", r.target, after, r.previous, before))
	}
}

// serviceBySet sums up the queries since the begin of the rollout, of dispatchers without and with the target.
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

// Offer is the number of the set to offer to a dispatcher.
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

// Restored returns the number under which a halted rollout offers the content of the previous set, and that set's own
// number; zeros where it is not halted.
func (r *Rollout) Restored() (number, of uint64) {
	if r.restoreNumber == 0 {
		return 0, 0
	}
	return r.restoreNumber, r.previous
}

// Highest is the highest number in use: the next set must have one above it.
func (r *Rollout) Highest() uint64 { return max(r.target, r.restoreNumber) }

func (r *Rollout) halt(reason string) {
	r.haltReason, r.restoreNumber = reason, r.target+1
}

// inStage tells whether a dispatcher belongs to the present stage. Membership is drawn by name and number, so that it
// is not the same dispatchers that try every version first.
func (r *Rollout) inStage(dispatcher string) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s", r.target, dispatcher))
	return float64(h>>11)/(1<<53) < r.Stages[r.stage]
}

// RecordReply records a reply; that of a rejection has a reason.
func (r *Rollout) RecordReply(now Micros, dispatcher string, number uint64, reason string) {
	r.Offer(dispatcher)
	d := r.dispatchers[dispatcher]
	if reason == "" {
		d.Number, d.Refused, d.Reason = number, 0, ""
	} else {
		d.Refused, d.Reason = number, reason
	}
	r.Advance(now)
}

// stageReplies counts the dispatchers of the present stage and their replies to the target.
type stageReplies struct {
	members, accepted, refused int
	reason                     string // of the last rejection by name, with the dispatcher's name
}

func (r *Rollout) stageReplies() (s stageReplies) {
	for _, name := range slices.Sorted(maps.Keys(r.dispatchers)) {
		d := r.dispatchers[name]
		if !r.inStage(name) {
			continue
		}
		s.members++
		switch {
		case d.Refused == r.target:
			s.refused++
			s.reason = name + ": " + d.Reason
		case d.Number == r.target:
			s.accepted++
		}
	}
	return s
}

// Advance begins the next stage or halts the rollout when it is time; changed tells whether Offer may differ now.
func (r *Rollout) Advance(now Micros) (changed bool) {
	if r.haltReason != "" || r.complete() {
		return false
	}
	s := r.stageReplies()
	switch {
	case s.members > 0 && s.refused > 0 && float64(s.refused) >= r.MaxRefusedShare*float64(s.members):
		r.halt(fmt.Sprintf("%d of %d dispatchers refused set %d: %s", s.refused, s.members, r.target, s.reason))
		return true
	case s.accepted+s.refused < s.members:
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

// Halt stops a rollout for a reason from outside.
func (r *Rollout) Halt(reason string) {
	if r.haltReason == "" && r.target != r.previous {
		r.halt(reason)
	}
}

// complete tells whether all dispatchers have replied in the last stage.
func (r *Rollout) complete() bool {
	if r.haltReason != "" || r.stage < len(r.Stages)-1 {
		return false
	}
	for _, d := range r.dispatchers {
		if d.Number != r.target && d.Refused != r.target {
			return false
		}
	}
	return true
}

// State describes the rollout for operators.
func (r *Rollout) State() string {
	switch {
	case r.haltReason != "":
		return fmt.Sprintf("halted, set %d goes to all, as set %d to those that took set %d; the next one needs a number above: %s",
			r.previous, r.restoreNumber, r.target, r.haltReason)
	case r.complete():
		return fmt.Sprintf("set %d is with all", r.target)
	}
	return fmt.Sprintf("set %d goes to %.0f%% of the dispatchers", r.target, 100*r.Stages[r.stage])
}

// Statuses are the last replies of all dispatchers, by name.
func (r *Rollout) Statuses() []DispatcherStatus {
	var out []DispatcherStatus
	for _, name := range slices.Sorted(maps.Keys(r.dispatchers)) {
		out = append(out, *r.dispatchers[name])
	}
	return out
}
