// Package dispatch is the heart of the dispatcher: it hosts one policy.Gateway. Events come in, the module decides, a
// ledger sees to it that each query gets exactly one final answer, and actions go out through two small interfaces.
//
// Core is pure: no clock, no goroutine, no socket. Loop runs it in real time; a simulation may step it as well.
package dispatch

import (
	"fmt"
	"runtime/debug"

	"embershunt/permit"
	"embershunt/policy"
)

// Core is a gateway with its ledger. It is not safe for concurrent use.
type Core struct {
	gateway  decider
	fleet    Fleet
	observe  Observer
	books    ledger
	most     int // queries held at once; 0: no limit
	wakeAt   Micros
	woken    bool // wakeAt is set
	draining bool
	numbers  numbering
	seed     uint64
	settings policy.Settings // at the start
	classes  []policy.Class  // of the settings in force
	learned  *policy.Learned // that it began with; nil: nothing
	fresh    bool
	recorder Recorder // nil: none
	actions  int      // of this step
	at       int      // event of this step that is being played
	events   []policy.Event
	extra    []policy.Event
}

// decider is what a Core asks: *policy.Gateway, but in tests of what a faulty one may do.
type decider interface {
	Step(now Micros, events []policy.Event) []policy.Action
	Change(s policy.Settings, classes, tenants []int) error
	Outstanding() (further, taken int, resting bool)
}

// Observer sees what happened, for metrics, logs and traces. It is called from the loop and must not block.
type Observer interface {
	QueryReceived(q *Query)
	Answered(q *Query, v Outcome, took Micros)
	Sent(a Attempt)
	AttemptEnded(q *Query, node string, ev AttemptEnded)
	Fault(Fault)
	Changed(version uint64, s policy.Settings)
	Paused(d Micros) // how long a step with a change of the settings held the loop
	LogLine(text string)
	StepCompleted(events, actions, held int)
}

// NewCore returns a Core, or the module's word on the setting that cannot be used. The events of a Core depend on
// seed, settings and what Step is given alone.
func NewCore(seed uint64, s policy.Settings, f Fleet, o Observer) (*Core, error) {
	g, err := policy.New(seed, s)
	if err != nil {
		return nil, err
	}
	return &Core{seed: seed, settings: s, gateway: g, fleet: f, observe: o, classes: s.Classes, most: s.MaxInFlight, books: ledger{entries: map[string]*entry{}},
		numbers: newNumbering(s)}, nil
}

// Recorder is told all that the module is told and decides, in order. It must not block and must copy what it keeps.
type Recorder interface {
	// Started tells what the module was made of; l is what it began with, nil where that is nothing.
	Started(now Micros, seed uint64, s policy.Settings, l *policy.Learned, fresh bool)
	StepCompleted(now Micros, events []policy.Event, actions []policy.Action)
	Changed(now Micros, s policy.Settings, classes, tenants []int)
}

// Record has a recorder told of everything from now on; call it before the first Step.
func (c *Core) Record(now Micros, r Recorder) {
	c.recorder = r
	r.Started(now, c.seed, c.settings, c.learned, c.fresh)
}

// PayloadReservation is the number of queries that have no final answer yet.
func (c *Core) Pending() int { return len(c.books.due) }

// Tracked is the number of queries on the books: those held and those with attempts that have not ended.
func (c *Core) Tracked() int { return len(c.books.entries) }

// Drain makes the core refuse whatever comes from now on.
func (c *Core) Drain() { c.draining = true }

// Next is the time of the next Step that is needed even if nothing comes in; ok is false where there is none.
func (c *Core) Next() (at Micros, ok bool) {
	at, ok = c.wakeAt, c.woken
	if len(c.books.due) > 0 && (!ok || c.books.due[0].q.Deadline < at) {
		at, ok = c.books.due[0].q.Deadline, true
	}
	return at, ok
}

// PanicError tells that the module, or the books around it, panicked.
type PanicError struct {
	Value any
	Stack []byte
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("the decision module panicked: %v; every query held was failed; no decision can be trusted "+
		"after this, so the dispatcher ends", e.Value)
}

// Step plays what came in at one moment. After an error, which is always a *PanicError, every query held has been
// failed and the core must not be used again.
func (c *Core) Step(now Micros, events []Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{p, debug.Stack()}
			c.FailAll(now, ReasonInternal)
			for _, ev := range events[min(c.at+1, len(events)):] { // those that had not come to the books
				if t, ok := ev.(QueryReceived); ok {
					t.Query.Client.Answer(Outcome{Kind: Failed, Reason: ReasonInternal})
				}
			}
		}
	}()
	c.events, c.actions = c.events[:0], 0
	c.books.begin()
	c.at = 0
	for i, ev := range events {
		c.at = i
		if ch, ok := ev.(Change); ok { // the module hears first of what came before it
			c.play(now)
			ch.Done(c.change(now, ch))
			continue
		}
		if look, ok := ev.(Inspect); ok {
			look.Func(c)
			continue
		}
		c.translate(now, ev)
	}
	for e := c.books.overdue(now); e != nil; e = c.books.overdue(now) {
		c.expire(now, e)
	}
	if c.woken && now >= c.wakeAt {
		c.events = append(c.events, policy.TimerFired{})
		c.woken = false
	}
	c.at = len(events)
	c.play(now)
	c.report(len(events), c.actions)
	return nil
}

// play steps the module with what was gathered and carries its actions out.
func (c *Core) play(now Micros) {
	// What the module asks for may end at once (a send that must not leave): its outcome is told in the same moment.
	for first := true; first || len(c.events) > 0; first = false {
		out := c.gateway.Step(now, c.events)
		if c.recorder != nil {
			c.recorder.StepCompleted(now, c.events, out)
		}
		c.actions += len(out)
		c.extra = c.extra[:0]
		for _, a := range out {
			c.act(now, a)
		}
		c.events = append(c.events[:0], c.extra...)
	}
}

func (c *Core) report(events, actions int) {
	for _, f := range c.books.faults {
		c.observe.Fault(f)
	}
	c.books.faults = c.books.faults[:0]
	c.observe.StepCompleted(events, actions, c.Pending())
}

// translate turns one event into what the module is told.
func (c *Core) translate(now Micros, ev Event) {
	switch ev := ev.(type) {
	case QueryReceived:
		c.take(now, ev.Query)
	case ClientDisconnected:
		if e := c.books.entries[ev.ID]; e != nil && e.final == 0 {
			e.mark(now, "client left", -1, -1)
			c.events = append(c.events, policy.ClientDisconnected{ID: ev.ID})
			c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonClientDisconnected})
		}
	case ResponseReady:
		c.begun(now, ev)
	case AttemptEnded:
		c.ended(now, ev)
	case PolicyEvent:
		c.events = append(c.events, ev.Event)
	default:
		panic(fmt.Sprintf("dispatch: unknown event %T", ev))
	}
}

func (c *Core) take(now Micros, q *Query) {
	switch why := (permit.Intake{Stopping: c.draining, InFlight: c.Pending(), MaxInFlight: c.most}).Start(); {
	case why == permit.Stopping:
		c.turnAway(now, q, ReasonDraining)
	case why == permit.Full:
		c.turnAway(now, q, ReasonFull)
	case !c.numbers.renumber(q):
		c.turnAway(now, q, ReasonClassRemoved)
	default:
		if c.books.take(now, q) == nil {
			q.Client.Answer(Outcome{Kind: Failed, Reason: ReasonInternal})
			return
		}
		c.observe.QueryReceived(q)
		c.events = append(c.events, policy.Request{ID: q.ID, Class: q.Class, Tenant: q.Tenant, Cost: q.Cost,
			MemoryMB: q.MemoryMB, TableGroup: q.TableGroup, OrderKey: q.OrderKey, HasOrderKey: q.HasOrderKey, ClientRetry: q.ClientRetry, Deadline: q.Deadline, Protocol: q.Protocol, StickyTo: q.StickyTo})
	}
}

// turnAway refuses a query that was never on the books: nothing was sent for it.
func (c *Core) turnAway(now Micros, q *Query, why Reason) {
	v := Outcome{Kind: Shed, Reason: why}
	q.Client.Answer(v)
	c.observe.Answered(q, v, 0)
}

// begun lets one answer flow to the client: that of the first attempt to have one, and no other.
func (c *Core) begun(now Micros, ev ResponseReady) {
	e := c.books.entries[ev.ID]
	if e == nil || ev.Number < 0 || ev.Number >= len(e.attempts) || e.attempts[ev.Number].ended {
		c.books.fault(FaultLateOutcome, ev.ID, e)
		return
	}
	if e.final != 0 || e.opened >= 0 || e.attempts[ev.Number].cancelled {
		c.cancel(now, e, ev.Number)
		return
	}
	e.opened = ev.Number
	e.mark(now, "first frame of", ev.Number, -1)
	c.events = append(c.events, policy.StreamStarted{ID: ev.ID, Attempt: ev.Number})
	c.fleet.ForwardResponse(ev.ID, ev.Number)
	for n := range e.attempts { // their answers cannot be used any more
		if n != ev.Number {
			c.cancel(now, e, n)
		}
	}
}

func (c *Core) ended(now Micros, ev AttemptEnded) {
	e := c.books.ended(now, ev)
	if e == nil {
		return
	}
	node := e.attempts[ev.Number].node
	c.observe.AttemptEnded(e.q, node, ev)
	broken := e.opened == ev.Number && ev.Code != policy.OK
	code := ev.Code
	if ev.Rejected { // over without blame: the module learns nothing from it
		code = policy.Cancelled
	}
	c.events = append(c.events, policy.AttemptResult{ID: ev.ID, Attempt: ev.Number, Endpoint: node, Code: code,
		Final: e.final != 0 || over(ev, broken), Latency: ev.Latency, Load: ev.Load,
		WorkMicros: ev.WorkMicros, NeededMB: ev.NeededMB})
	if e.final == 0 && over(ev, broken) {
		v := Outcome{Kind: Served, Result: ev.Result, Cause: ev.Err}
		switch {
		case ev.Rejected:
			v.Kind, v.Reason = Failed, ReasonStatement
		case broken:
			v.Kind, v.Reason = Failed, ReasonBroken
		}
		c.answer(now, e, v)
		return
	}
	c.books.settle(e)
}

// expire answers a query at its deadline. An answer that flows is cut off; any other query must have had the module's
// word before this moment.
func (c *Core) expire(now Micros, e *entry) {
	if e.opened < 0 {
		c.books.fault(FaultForgotten, e.q.ID, e)
	}
	c.events = append(c.events, policy.ClientDisconnected{ID: e.q.ID})
	c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonDeadline})
}

// answer gives the final answer and calls off what is still out.
func (c *Core) answer(now Micros, e *entry, v Outcome) {
	if v.Attempts = len(e.attempts); v.Attempts > 0 {
		v.Node = e.attempts[v.Attempts-1].node
	}
	if v.Cause == nil && v.Kind != Served {
		v.Cause = e.last.Err
	}
	if !c.books.answer(now, e, v) {
		return
	}
	c.observe.Answered(e.q, v, now-e.taken)
	for n := range e.attempts {
		c.cancel(now, e, n)
	}
}

func (c *Core) cancel(now Micros, e *entry, n int) {
	if a := &e.attempts[n]; !a.ended && !a.cancelled {
		a.cancelled = true
		e.mark(now, "cancelled", n, -1)
		c.fleet.Cancel(e.q.ID, n)
	}
}

// act carries one action of the module out.
func (c *Core) act(now Micros, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		c.send(now, a)
	case policy.Resources:
		if e := c.entry(a.ID); e != nil {
			e.terms = Attempt{MemoryMB: a.MemoryMB, Priority: a.Priority, HasResources: true}
			if e.out > 0 {
				c.fleet.SetResources(a.ID, a.MemoryMB, a.Priority)
			}
		}
	case policy.Cancel:
		if e := c.books.entries[a.ID]; e != nil && a.Attempt >= 0 && a.Attempt < len(e.attempts) {
			c.cancel(now, e, a.Attempt)
		}
	case policy.Shed:
		if e := c.entry(a.ID); e != nil {
			c.answer(now, e, Outcome{Kind: Shed, Reason: ReasonOverload, RetryAfter: a.RetryAfter})
		}
	case policy.Fail:
		if e := c.entry(a.ID); e != nil {
			c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonAttempt})
		}
	case policy.HealthCheck:
		c.fleet.HealthCheck(a.Endpoint)
	case policy.SetTimer:
		c.wakeAt, c.woken = now+a.After, true
	case policy.SendGossip:
		c.fleet.SendGossip(a.To, a.Data)
	case policy.WatchEndpoints:
		c.fleet.WatchEndpoints()
	case policy.FetchEndpoints:
		c.fleet.FetchEndpoints()
	case policy.LogLine:
		c.observe.LogLine(a.Text)
	default:
		panic(fmt.Sprintf("dispatch: unknown action %T", a))
	}
}

// entry is the query that an action names. One that was taken and closed in this step is no fault: the module decided before
// it heard of the end.
func (c *Core) entry(id string) *entry {
	e := c.books.entries[id]
	if _, crossed := c.books.settled[id]; e == nil && !crossed {
		c.books.fault(FaultUnknown, id, nil)
	}
	return e
}

// class is a query's, by the settings in force; the zero value where there is none.
func (c *Core) class(q *Query) policy.Class {
	if q.Class >= 0 && q.Class < len(c.classes) {
		return c.classes[q.Class]
	}
	return policy.Class{}
}

func (c *Core) send(now Micros, s policy.Send) {
	if n, ok := c.books.late(s.ID); ok { // it was decided before the module heard of the end: its books are closed too
		c.extra = append(c.extra, policy.AttemptResult{ID: s.ID, Attempt: n, Endpoint: s.Endpoint, Code: policy.NeverSent, Final: true})
		return
	}
	e := c.entry(s.ID)
	if e == nil {
		return
	}
	n, ok := c.books.send(now, e, s.Endpoint, c.class(e.q))
	if !ok { // the module numbers it all the same, and is told that it never left
		c.extra = append(c.extra, policy.AttemptResult{ID: s.ID, Attempt: n, Endpoint: s.Endpoint,
			Code: policy.NeverSent, Final: e.final != 0})
		return
	}
	a := Attempt{Query: e.q, Number: n, Node: s.Endpoint, Deadline: e.q.Deadline, StartBefore: s.StartBefore, MemoryMB: e.terms.MemoryMB,
		Priority: e.terms.Priority, HasResources: e.terms.HasResources}
	if s.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+s.Timeout)
	}
	c.observe.Sent(a)
	c.fleet.Send(a)
}

// FailAll gives every query held the same failed answer, in the order of their deadlines.
func (c *Core) FailAll(now Micros, why Reason) {
	for len(c.books.due) > 0 {
		c.answer(now, c.books.due[0], Outcome{Kind: Failed, Reason: why})
	}
	c.report(0, 0)
}
