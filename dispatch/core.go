// Package dispatch hosts one policy.Gateway. It passes events to the gateway and carries out the gateway's actions through the
// Fleet and Client interfaces. A ledger ensures that each query gets exactly one final answer.
//
// Core uses no clock, goroutine or socket. Loop runs it in real time; a simulation can call Step itself.
package dispatch

import (
	"fmt"
	"runtime/debug"

	"embershunt/policy"
)

// Core combines a policy gateway with the ledger of its queries. It is not safe for concurrent use.
type Core struct {
	gateway  gateway
	fleet    Fleet
	observer Observer
	recorder Recorder // nil: decisions are not recorded
	ledger   ledger

	draining         bool
	maxInFlight      int            // queries without a final answer; 0: no limit
	hedging          bool           // a query may have more than one attempt in flight
	classes          []policy.Class // of the current settings
	settingsVersions settingsVersions

	// Inputs that the gateway was created from, for the recorder.
	seed          uint64
	settings      policy.Settings // at the start
	restored      *policy.Learned // learned state that the gateway started with; nil: none
	fleetRestored bool            // the part of restored about the fleet was used too

	timerAt  Micros
	timerSet bool

	// State of the current step.
	actionCount  int
	eventIndex   int // index of the event that is being handled
	policyEvents []policy.Event
	followUps    []policy.Event // results of actions that ended immediately, passed to the gateway in the same step
}

// gateway is the part of *policy.Gateway that a Core uses; tests replace it with a scripted or faulty implementation.
type gateway interface {
	Step(now Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
	Outstanding() (retries, received int, orderKeyPaused bool)
}

var _ gateway = (*policy.Gateway)(nil)

// NewCore returns a Core. The error comes from policy.New and names the setting that cannot be used. The behaviour of a Core
// depends only on the seed, the settings and the arguments of its methods.
func NewCore(seed uint64, s policy.Settings, f Fleet, o Observer) (*Core, error) {
	g, err := policy.New(seed, s)
	if err != nil {
		return nil, err
	}
	return &Core{
		gateway:          g,
		fleet:            f,
		observer:         o,
		ledger:           newLedger(),
		maxInFlight:      s.MaxInFlight,
		hedging:          s.AllowHedging,
		classes:          s.Classes,
		settingsVersions: newSettingsVersions(s),
		seed:             seed,
		settings:         s,
	}, nil
}

// Record reports every later step to r; call it before the first Step.
func (c *Core) Record(now Micros, r Recorder) {
	c.recorder = r
	r.Started(now, c.seed, c.settings, c.restored, c.fleetRestored)
}

// Unanswered returns the number of queries without a final answer.
func (c *Core) Unanswered() int { return len(c.ledger.unanswered) }

// Tracked returns the number of queries in the ledger: those without a final answer and those with attempts in flight.
func (c *Core) Tracked() int { return len(c.ledger.entries) }

// Drain makes the core reject every later query.
func (c *Core) Drain() { c.draining = true }

// Next returns the time at which Step must be called even without events: the gateway's timer or the earliest deadline. ok is
// false if there is neither.
func (c *Core) Next() (at Micros, ok bool) {
	at, ok = c.timerAt, c.timerSet
	if deadline, pending := c.ledger.nextDeadline(); pending && (!ok || deadline < at) {
		at, ok = deadline, true
	}
	return at, ok
}

// PanicError is the error that Step returns after a panic of the gateway or of the Core itself.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in the gateway: %v; all pending queries were failed; the gateway's state is no longer "+
		"reliable, so the dispatcher exits", e.Value)
}

// Step handles the events that have arrived by now, then expired deadlines and the gateway's timer. An error is always a
// *PanicError: every pending query has been failed, and the core must not be used again.
func (c *Core) Step(now Micros, events []Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{p, debug.Stack()}
			c.failAfterPanic(now, events)
		}
	}()
	c.policyEvents, c.actionCount = c.policyEvents[:0], 0
	c.ledger.beginStep()
	for i, ev := range events {
		c.eventIndex = i
		c.handle(now, ev)
	}
	for e := c.ledger.overdue(now); e != nil; e = c.ledger.overdue(now) {
		c.expire(now, e)
	}
	if c.timerSet && now >= c.timerAt {
		c.policyEvents = append(c.policyEvents, policy.TimerFired{})
		c.timerSet = false
	}
	c.eventIndex = len(events)
	c.stepPolicy(now)
	c.reportStep(len(events), c.actionCount)
	return nil
}

// failAfterPanic fails every query that has no answer yet: those in the ledger, and those whose events had not been handled
// when the panic occurred.
func (c *Core) failAfterPanic(now Micros, events []Event) {
	c.FailAll(now, ReasonInternal)
	for _, ev := range events[min(c.eventIndex+1, len(events)):] {
		if received, ok := ev.(QueryReceived); ok {
			received.Query.Client.Answer(Outcome{Kind: Failed, Reason: ReasonInternal})
		}
	}
}

// stepPolicy passes the events gathered so far to the gateway and applies its actions. Some actions have their result
// immediately, such as a send that the ledger withholds: the gateway receives such results in the same step.
func (c *Core) stepPolicy(now Micros) {
	for first := true; first || len(c.policyEvents) > 0; first = false {
		out := c.gateway.Step(now, c.policyEvents)
		if c.recorder != nil {
			c.recorder.StepCompleted(now, c.policyEvents, out)
		}
		c.actionCount += len(out)
		c.followUps = c.followUps[:0]
		for _, a := range out {
			c.apply(now, a)
		}
		c.policyEvents = append(c.policyEvents[:0], c.followUps...)
	}
}

// reportStep reports the faults and counts of a step to the observer.
func (c *Core) reportStep(events, actions int) {
	for _, f := range c.ledger.faults {
		c.observer.Fault(f)
	}
	c.ledger.faults = c.ledger.faults[:0]
	c.observer.StepCompleted(events, actions, c.Unanswered())
}
