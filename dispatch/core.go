// Package dispatch hosts one policy.Gateway: events come in, the gateway decides, a ledger gives each query exactly one final
// answer, and actions go out through the Fleet and Client interfaces.
//
// Core is pure: no clock, no goroutine, no socket. Loop runs it in real time; a simulation may step it as well.
package dispatch

import (
	"fmt"
	"runtime/debug"

	"embershunt/policy"
)

// Core is a policy gateway with its ledger. It is not safe for concurrent use.
type Core struct {
	gateway  decisionModule
	fleet    Fleet
	observer Observer
	recorder Recorder // nil: decisions are not recorded
	ledger   ledger

	draining    bool
	maxInFlight int            // queries without a final answer; 0: no limit
	hedging     bool           // a query may have two attempts in flight
	classes     []policy.Class // of the settings in force
	numbering   settingsNumbering

	// What the gateway was made of, for the recorder.
	seed          uint64
	settings      policy.Settings // at the start
	restored      *policy.Learned // learned state it began with; nil: none
	fleetRestored bool            // the part of restored about endpoints was used too

	timerAt  Micros
	timerSet bool

	// Of the step under way.
	actionCount  int
	eventIndex   int // event that is being handled
	policyEvents []policy.Event
	followUps    []policy.Event // results of actions that ended at once, for the gateway in the same step
}

// decisionModule is the part of *policy.Gateway that a Core uses; tests put a faulty one in its place.
type decisionModule interface {
	Step(now Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
	Outstanding() (retries, received int, orderKeyPaused bool)
}

var _ decisionModule = (*policy.Gateway)(nil)

// NewCore returns a Core; the error is policy's and names the setting that cannot be used. What a Core does depends on seed,
// settings and the arguments of Step alone.
func NewCore(seed uint64, s policy.Settings, f Fleet, o Observer) (*Core, error) {
	g, err := policy.New(seed, s)
	if err != nil {
		return nil, err
	}
	return &Core{
		gateway:     g,
		fleet:       f,
		observer:    o,
		ledger:      newLedger(),
		maxInFlight: s.MaxInFlight,
		hedging:     s.AllowHedging,
		classes:     s.Classes,
		numbering:   newNumbering(s),
		seed:        seed,
		settings:    s,
	}, nil
}

// Record reports every later step to r; call it before the first Step.
func (c *Core) Record(now Micros, r Recorder) {
	c.recorder = r
	r.Started(now, c.seed, c.settings, c.restored, c.fleetRestored)
}

// Unanswered is the number of queries without a final answer.
func (c *Core) Unanswered() int { return len(c.ledger.unanswered) }

// Tracked is the number of queries in the ledger: those without a final answer and those with attempts that have not ended.
func (c *Core) Tracked() int { return len(c.ledger.entries) }

// Drain makes the core reject every later query.
func (c *Core) Drain() { c.draining = true }

// Next is the time at which Step must be called even without events: a timer of the gateway or a deadline. ok is false where
// there is neither.
func (c *Core) Next() (at Micros, ok bool) {
	at, ok = c.timerAt, c.timerSet
	if deadline, pending := c.ledger.nextDeadline(); pending && (!ok || deadline < at) {
		at, ok = deadline, true
	}
	return at, ok
}

// PanicError is the error of Step after a panic of the gateway or of the ledger around it.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("the decision module panicked: %v; every query held was failed; no decision can be trusted "+
		"after this, so the dispatcher ends", e.Value)
}

// Step handles the events of one moment. An error is always a *PanicError: every pending query has been failed, and the core
// must not be used again.
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

// failAfterPanic answers every query: those in the ledger, and those whose events had not been handled when the panic came.
func (c *Core) failAfterPanic(now Micros, events []Event) {
	c.FailAll(now, ReasonInternal)
	for _, ev := range events[min(c.eventIndex+1, len(events)):] {
		if received, ok := ev.(QueryReceived); ok {
			received.Query.Client.Answer(Outcome{Kind: Failed, Reason: ReasonInternal})
		}
	}
}

// stepPolicy steps the gateway with the events gathered so far and applies its actions. An action may end at once, as a send
// that is withheld does: its result goes to the gateway in the same step.
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

// reportStep hands the faults and counts of a step to the observer.
func (c *Core) reportStep(events, actions int) {
	for _, f := range c.ledger.faults {
		c.observer.Fault(f)
	}
	c.ledger.faults = c.ledger.faults[:0]
	c.observer.StepCompleted(events, actions, c.Unanswered())
}
