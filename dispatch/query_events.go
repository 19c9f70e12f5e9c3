package dispatch

import (
	"fmt"

	"embershunt/permit"
	"embershunt/policy"
)

// handle applies one event to the ledger and gathers what the gateway has to know of it.
func (c *Core) handle(now Micros, ev Event) {
	switch ev := ev.(type) {
	case QueryReceived:
		c.receive(now, ev.Query)
	case ClientDisconnected:
		if e := c.ledger.entries[ev.ID]; e != nil && e.outcome == 0 {
			e.record(now, "client left", -1, -1)
			c.policyEvents = append(c.policyEvents, policy.ClientDisconnected{ID: ev.ID})
			c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonClientDisconnected})
		}
	case ResponseReady:
		c.responseReady(now, ev)
	case AttemptEnded:
		c.attemptEnded(now, ev)
	case Change: // the gateway sees the events before it under the old settings
		c.stepPolicy(now)
		ev.Done(c.changeSettings(now, ev))
	case Inspect:
		ev.Func(c)
	case PolicyEvent:
		c.policyEvents = append(c.policyEvents, ev.Event)
	default:
		panic(fmt.Sprintf("dispatch: unknown event %T", ev))
	}
}

// receive opens an entry for a query and passes it to the gateway, or rejects it.
func (c *Core) receive(now Micros, q *Query) {
	intake := permit.Intake{Stopping: c.draining, InFlight: c.Unanswered(), MaxInFlight: c.maxInFlight}
	switch reason := intake.Start(); {
	case reason == permit.Stopping:
		c.reject(q, ReasonDraining)
	case reason == permit.Full:
		c.reject(q, ReasonFull)
	case !c.numbering.renumber(q):
		c.reject(q, ReasonClassRemoved)
	default:
		if c.ledger.open(now, q) == nil {
			q.Client.Answer(Outcome{Kind: Failed, Reason: ReasonInternal})
			return
		}
		c.observer.QueryReceived(q)
		c.policyEvents = append(c.policyEvents, q.request())
	}
}

// request is the query as the gateway sees it.
func (q *Query) request() policy.Request {
	return policy.Request{
		ID:          q.ID,
		Class:       q.Class,
		Tenant:      q.Tenant,
		Cost:        q.Cost,
		MemoryMB:    q.MemoryMB,
		TableGroup:  q.TableGroup,
		OrderKey:    q.OrderKey,
		HasOrderKey: q.HasOrderKey,
		ClientRetry: q.ClientRetry,
		Deadline:    q.Deadline,
		Protocol:    q.Protocol,
		StickyTo:    q.StickyTo,
	}
}

// reject answers a query that never got an entry: nothing was sent for it.
func (c *Core) reject(q *Query, reason Reason) {
	outcome := Outcome{Kind: Shed, Reason: reason}
	q.Client.Answer(outcome)
	c.observer.Answered(q, outcome, 0)
}

// responseReady forwards the response of the first attempt that has one and cancels the other attempts.
func (c *Core) responseReady(now Micros, ev ResponseReady) {
	e := c.ledger.entries[ev.ID]
	if e == nil || ev.Number < 0 || ev.Number >= len(e.attempts) || e.attempts[ev.Number].ended {
		c.ledger.fault(FaultLateOutcome, ev.ID, e)
		return
	}
	if e.outcome != 0 || e.forwarded >= 0 || e.attempts[ev.Number].cancelled {
		c.cancel(now, e, ev.Number)
		return
	}
	e.forwarded = ev.Number
	e.record(now, "first frame of", ev.Number, -1)
	c.policyEvents = append(c.policyEvents, policy.StreamStarted{ID: ev.ID, Attempt: ev.Number})
	c.fleet.ForwardResponse(ev.ID, ev.Number)
	for n := range e.attempts {
		if n != ev.Number {
			c.cancel(now, e, n)
		}
	}
}

// attemptEnded reports the end of an attempt to the gateway and answers the query where its result is final.
func (c *Core) attemptEnded(now Micros, ev AttemptEnded) {
	e := c.ledger.endAttempt(now, ev)
	if e == nil {
		return
	}
	node := e.attempts[ev.Number].node
	c.observer.AttemptEnded(e.query, node, ev)
	broken := e.forwarded == ev.Number && ev.Code != policy.OK
	code := ev.Code
	if ev.StatementRejected { // a statement error is no fault of the endpoint: the gateway learns nothing from it
		code = policy.Cancelled
	}
	c.policyEvents = append(c.policyEvents, policy.AttemptResult{
		ID:         ev.ID,
		Attempt:    ev.Number,
		Endpoint:   node,
		Code:       code,
		Final:      e.outcome != 0 || endsQuery(ev, broken),
		Latency:    ev.Latency,
		Load:       ev.Load,
		WorkMicros: ev.WorkMicros,
		NeededMB:   ev.NeededMB,
	})
	if e.outcome == 0 && endsQuery(ev, broken) {
		c.answer(now, e, finalOutcome(ev, broken))
		return
	}
	c.ledger.closeIfDone(e)
}

// endsQuery says whether no further attempt can follow this end; broken: a part of its response has been forwarded.
func endsQuery(ev AttemptEnded, broken bool) bool {
	return ev.Code == policy.OK || ev.StatementRejected || broken
}

// finalOutcome is the answer of a query that ends with this attempt.
func finalOutcome(ev AttemptEnded, broken bool) Outcome {
	outcome := Outcome{Kind: Served, Result: ev.Result, Cause: ev.Err}
	switch {
	case ev.StatementRejected:
		outcome.Kind, outcome.Reason = Failed, ReasonStatement
	case broken:
		outcome.Kind, outcome.Reason = Failed, ReasonBroken
	}
	return outcome
}

// expire answers a query at its deadline. A response that is being forwarded is cut off; any other query should have had an
// answer from the gateway before.
func (c *Core) expire(now Micros, e *entry) {
	if e.forwarded < 0 {
		c.ledger.fault(FaultForgotten, e.query.ID, e)
	}
	c.policyEvents = append(c.policyEvents, policy.ClientDisconnected{ID: e.query.ID})
	c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonDeadline})
}

// answer gives the final answer and cancels the attempts that have not ended.
func (c *Core) answer(now Micros, e *entry, outcome Outcome) {
	if outcome.Attempts = len(e.attempts); outcome.Attempts > 0 {
		outcome.Node = e.attempts[outcome.Attempts-1].node
	}
	if outcome.Cause == nil && outcome.Kind != Served {
		outcome.Cause = e.lastEnded.Err
	}
	if !c.ledger.answer(now, e, outcome) {
		return
	}
	c.observer.Answered(e.query, outcome, now-e.receivedAt)
	for n := range e.attempts {
		c.cancel(now, e, n)
	}
}

// cancel cancels an attempt once, unless it has ended.
func (c *Core) cancel(now Micros, e *entry, number int) {
	if a := &e.attempts[number]; !a.ended && !a.cancelled {
		a.cancelled = true
		e.record(now, "cancelled", number, -1)
		c.fleet.Cancel(e.query.ID, number)
	}
}

// FailAll fails every pending query for the same reason, in the order of their deadlines.
func (c *Core) FailAll(now Micros, reason Reason) {
	for len(c.ledger.unanswered) > 0 {
		c.answer(now, c.ledger.unanswered[0], Outcome{Kind: Failed, Reason: reason})
	}
	c.reportStep(0, 0)
}
