package dispatch

import (
	"errors"
	"fmt"
	"time"

	"embershunt/policy"
)

// LearnedState is the stored form of what a gateway has learned, with which another process may start. Start times of nodes are
// wall time there, since a Clock ends with its process.
type LearnedState struct {
	Format  int            `json:"format"`
	Build   string         `json:"build"` // of the dispatcher that wrote it
	At      time.Time      `json:"at"`
	Learned policy.Learned `json:"learned"`
}

// LearnedFormat is the version of LearnedState's format.
const LearnedFormat = 1

// Ages up to which learned state is used.
const (
	// MaxClassAge is that of costs by class, which change over days.
	MaxClassAge = 24 * time.Hour
	// MaxFleetAge is that of prices, queueing times and the state of endpoints, which change over seconds: older values
	// mislead more than a cold start does.
	MaxFleetAge = 30 * time.Second
)

// Usable says which parts may be restored, those about classes and those about the fleet, and the reason for the log.
func (s *LearnedState) Usable(now time.Time, build string) (classes, fleet bool, reason string) {
	age := now.Sub(s.At)
	switch {
	case s.Format != LearnedFormat:
		return false, false, fmt.Sprintf("format %d, allowed is %d", s.Format, LearnedFormat)
	case s.Learned.Version != policy.LearnedVersion:
		return false, false, fmt.Sprintf("version %d of what was learned, allowed is %d", s.Learned.Version, policy.LearnedVersion)
	case s.Build != build:
		return false, false, fmt.Sprintf("of build %q, this is %q", s.Build, build)
	case age < -time.Minute:
		return false, false, "it is from the future: a clock was wrong"
	case age > MaxClassAge:
		return false, false, fmt.Sprintf("%v old, allowed are %v", age.Round(time.Second), MaxClassAge)
	case age > MaxFleetAge:
		return true, false, fmt.Sprintf("%v old: classes alone", age.Round(time.Second))
	}
	return true, true, fmt.Sprintf("%v old: all of it", age.Round(time.Millisecond))
}

// learner is a decision module that can export and restore what it has learned.
type learner interface {
	Learned() policy.Learned
	Restore(l policy.Learned, fresh bool) error
}

var _ learner = (*policy.Gateway)(nil)

var errNoLearner = errors.New("dispatch: this module keeps nothing of what it learns")

// Learned is what the gateway has learned so far. Start times of nodes in it are wall time; epoch is the wall time at which the
// Clock was 0.
func (c *Core) Learned(epoch time.Time) (policy.Learned, error) {
	m, ok := c.gateway.(learner)
	if !ok {
		return policy.Learned{}, errNoLearner
	}
	return shiftStartTimes(m.Learned(), epoch.UnixMicro()), nil
}

// Restore gives the gateway learned state, with start times in wall time; call it before the first Step and before Record. fleet:
// the part about endpoints is used too.
func (c *Core) Restore(l policy.Learned, fleet bool, epoch time.Time) error {
	m, ok := c.gateway.(learner)
	if !ok {
		return errNoLearner
	}
	l = shiftStartTimes(l, -epoch.UnixMicro())
	if err := m.Restore(l, fleet); err != nil {
		return err
	}
	c.restored, c.fleetRestored = &l, fleet
	return nil
}

// shiftStartTimes returns a copy with other start times of endpoints; 0, which means unknown, stays.
func shiftStartTimes(l policy.Learned, by Micros) policy.Learned {
	endpoints := make([]policy.LearnedEndpoint, len(l.Endpoints))
	for i, e := range l.Endpoints {
		if e.Started != 0 {
			e.Started += by
		}
		endpoints[i] = e
	}
	l.Endpoints = endpoints
	return l
}
