package dispatch

import (
	"errors"
	"fmt"
	"time"

	"embershunt/policy"
)

// LearnedState is what a dispatcher writes down of what its module has learned, so that it may start warm. Starts of nodes are in
// wall time, since a clock ends with its process.
type LearnedState struct {
	Format  int            `json:"format"`
	Build   string         `json:"build"` // of the module that learned it
	At      time.Time      `json:"at"`
	Learned policy.Learned `json:"learned"`
}

// LearnedFormat is the form of Warm.
const LearnedFormat = 1

// Ages up to which what was learned is taken in.
const (
	// MaxClassAge: what queries cost, by class, changes over days; a dispatcher that was away for longer starts cold.
	MaxClassAge = 24 * time.Hour
	// MaxFleetAge: prices, waits and the state of nodes hold for seconds; what is older would mislead more than nothing does.
	MaxFleetAge = 30 * time.Second
)

// Usable tells what of it is to be taken in: everything, what was learned of classes alone, or nothing, and why.
func (w *LearnedState) Usable(now time.Time, build string) (classes, fleet bool, why string) {
	age := now.Sub(w.At)
	switch {
	case w.Format != LearnedFormat:
		return false, false, fmt.Sprintf("format %d, allowed is %d", w.Format, LearnedFormat)
	case w.Learned.Version != policy.LearnedVersion:
		return false, false, fmt.Sprintf("version %d of what was learned, allowed is %d", w.Learned.Version, policy.LearnedVersion)
	case w.Build != build:
		return false, false, fmt.Sprintf("of build %q, this is %q", w.Build, build)
	case age < -time.Minute:
		return false, false, "it is from the future: a clock was wrong"
	case age > MaxClassAge:
		return false, false, fmt.Sprintf("%v old, allowed are %v", age.Round(time.Second), MaxClassAge)
	case age > MaxFleetAge:
		return true, false, fmt.Sprintf("%v old: classes alone", age.Round(time.Second))
	}
	return true, true, fmt.Sprintf("%v old: all of it", age.Round(time.Millisecond))
}

// learner is a module that can tell and take what it has learned.
type learner interface {
	Learned() policy.Learned
	Restore(l policy.Learned, fresh bool) error
}

var errNoLearner = errors.New("dispatch: this module keeps nothing of what it learns")

// Learned is what the module knows now, with starts of nodes in the wall time that belongs to its clock: zero is at wall time
// epoch.
func (c *Core) Learned(epoch time.Time) (policy.Learned, error) {
	m, ok := c.gateway.(learner)
	if !ok {
		return policy.Learned{}, errNoLearner
	}
	return shifted(m.Learned(), epoch.UnixMicro()), nil
}

// Restore hands on what was learned before, ahead of the first Step and of Record.
func (c *Core) Restore(l policy.Learned, fleet bool, epoch time.Time) error {
	m, ok := c.gateway.(learner)
	if !ok {
		return errNoLearner
	}
	l = shifted(l, -epoch.UnixMicro())
	err := m.Restore(l, fleet)
	if err == nil {
		c.learned, c.fresh = &l, fleet
	}
	return err
}

func shifted(l policy.Learned, by Micros) policy.Learned {
	engines := make([]policy.LearnedEndpoint, len(l.Endpoints))
	for i, e := range l.Endpoints {
		if e.Started != 0 {
			e.Started += by
		}
		engines[i] = e
	}
	l.Endpoints = engines
	return l
}
