package dispatch

import (
	"errors"
	"fmt"
	"time"

	"embershunt/policy"
)

// LearnedState is the stored form of a gateway's learned state, which a later process can restore. It holds start times of nodes
// as wall time, since the values of a Clock mean nothing to another process.
type LearnedState struct {
	Format  int            `json:"format"`
	Build   string         `json:"build"` // of the dispatcher that wrote it
	At      time.Time      `json:"at"`
	Learned policy.Learned `json:"learned"`
}

// LearnedFormat is the current version of the format of LearnedState.
const LearnedFormat = 1

// Ages up to which parts of a learned state are restored.
const (
	// MaxClassAge applies to the costs of classes, which change over days.
	MaxClassAge = 24 * time.Hour
	// MaxFleetAge applies to prices, queueing times and the state of endpoints, which change over seconds: older values
	// mislead more than a cold start does.
	MaxFleetAge = 30 * time.Second
)

// maxClockSkew is the longest time by which a learned state may lie in the future.
const maxClockSkew = time.Minute

// Usable reports whether the part about classes and the part about the fleet may be restored at time now by the given build.
// reason explains the result in the log.
func (s *LearnedState) Usable(now time.Time, build string) (classes, fleet bool, reason string) {
	age := now.Sub(s.At)
	switch {
	case s.Format != LearnedFormat:
		return false, false, fmt.Sprintf("unsupported format %d, expected %d", s.Format, LearnedFormat)
	case s.Learned.Version != policy.LearnedVersion:
		return false, false, fmt.Sprintf("unsupported version %d of learned state, expected %d", s.Learned.Version, policy.LearnedVersion)
	case s.Build != build:
		return false, false, fmt.Sprintf("written by build %q, this is build %q", s.Build, build)
	case age < -maxClockSkew:
		return false, false, fmt.Sprintf("written more than %v in the future: a clock was wrong", maxClockSkew)
	case age > MaxClassAge:
		return false, false, fmt.Sprintf("%v old, the maximum age is %v", age.Round(time.Second), MaxClassAge)
	case age > MaxFleetAge:
		return true, false, fmt.Sprintf("%v old: restoring the classes only", age.Round(time.Second))
	}
	return true, true, fmt.Sprintf("%v old: restoring everything", age.Round(time.Millisecond))
}

// learningGateway is a gateway that can export and restore its learned state.
type learningGateway interface {
	Learned() policy.Learned
	Restore(l policy.Learned, fresh bool) error
}

var _ learningGateway = (*policy.Gateway)(nil)

var errNoLearnedState = errors.New("dispatch: the gateway cannot export or restore learned state")

// Learned returns the gateway's learned state, with start times of nodes in wall time. epoch is the wall time at which the Clock
// was 0.
func (c *Core) Learned(epoch time.Time) (policy.Learned, error) {
	m, ok := c.gateway.(learningGateway)
	if !ok {
		return policy.Learned{}, errNoLearnedState
	}
	return shiftStartTimes(m.Learned(), epoch.UnixMicro()), nil
}

// Restore passes a learned state, with start times of nodes in wall time, to the gateway. Call it before Record and before the
// first Step. fresh tells whether the part about the fleet is restored too. epoch is the wall time at which the Clock was 0.
func (c *Core) Restore(l policy.Learned, fresh bool, epoch time.Time) error {
	m, ok := c.gateway.(learningGateway)
	if !ok {
		return errNoLearnedState
	}
	l = shiftStartTimes(l, -epoch.UnixMicro())
	if err := m.Restore(l, fresh); err != nil {
		return err
	}
	c.restored, c.fleetRestored = &l, fresh
	return nil
}

// shiftStartTimes returns a copy of l in which offset is added to the start times of endpoints. 0, which means unknown, stays.
func shiftStartTimes(l policy.Learned, offset Micros) policy.Learned {
	endpoints := make([]policy.LearnedEndpoint, len(l.Endpoints))
	for i, e := range l.Endpoints {
		if e.Started != 0 {
			e.Started += offset
		}
		endpoints[i] = e
	}
	l.Endpoints = endpoints
	return l
}
