package dispatch

import (
	"fmt"

	"embershunt/permit"
	"embershunt/policy"
)

// handle applies one event to the ledger and appends the resulting events for the gateway to policyEvents.
func (c *Core) handle(now Micros, ev Event) {
	switch ev := ev.(type) {
	case QueryReceived:
		c.receive(now, ev.Query)
	case ClientDisconnected:
		if e := c.ledger.entries[ev.ID]; e != nil && e.outcome == 0 {
			e.record(now, "client disconnected", -1, -1)
			c.policyEvents = append(c.policyEvents, policy.ClientDisconnected{ID: ev.ID})
			c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonClientDisconnected})
		}
	case ResponseReady:
		c.responseReady(now, ev)
	case AttemptEnded:
		c.attemptEnded(now, ev)
	case SettingsChange: // the gateway handles the earlier events of this step with the old settings
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

// receive opens an entry for a query and passes the query to the gateway, or answers it at once if it cannot be accepted.
func (c *Core) receive(now Micros, q *Query) {
	intake := permit.Intake{Stopping: c.draining, InFlight: c.Unanswered(), MaxInFlight: c.maxInFlight}
	switch reason := intake.Start(); {
	case reason == permit.Stopping:
		c.reject(q, ReasonDraining)
	case reason == permit.Full:
		c.reject(q, ReasonFull)
	case !c.settingsVersions.renumber(q):
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

// request returns the query as the gateway receives it.
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

// reject sheds a query that has no entry in the ledger: no attempt has been sent for it.
func (c *Core) reject(q *Query, reason Reason) {
	outcome := Outcome{Kind: Shed, Reason: reason}
	q.Client.Answer(outcome)
	c.observer.Answered(q, outcome, 0)
}

// responseReady forwards the response of the query's first attempt that has one and cancels all other attempts.
func (c *Core) responseReady(now Micros, ev ResponseReady) {
	e := c.ledger.entries[ev.ID]
	if e == nil || ev.Number < 0 || ev.Number >= len(e.attempts) || e.attempts[ev.Number].ended {
		c.ledger.recordFault(FaultUnknownAttempt, ev.ID, e)
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

// attemptEnded reports the end of an attempt to the gateway, and answers the query if no further attempt can follow.
func (c *Core) attemptEnded(now Micros, ev AttemptEnded) {
	e := c.ledger.endAttempt(now, ev)
	if e == nil {
		return
	}
	node := e.attempts[ev.Number].node
	c.observer.AttemptEnded(e.query, node, ev)
	broken := e.forwarded == ev.Number && ev.Code != policy.OK
	code := ev.Code
	if ev.StatementRejected { // a statement error says nothing about the endpoint: the gateway must not learn from it
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

// endsQuery reports whether the end of an attempt ends its query too. broken tells that the attempt failed after forwarding of
// its response had begun.
func endsQuery(ev AttemptEnded, broken bool) bool {
	return ev.Code == policy.OK || ev.StatementRejected || broken
}

// finalOutcome returns the answer of a query that ends with an attempt.
func finalOutcome(ev AttemptEnded, broken bool) Outcome {
	outcome := Outcome{Kind: Served, Result: ev.Result, Cause: ev.Err}
	switch {
	case ev.StatementRejected:
		outcome.Kind, outcome.Reason = Failed, ReasonStatement
	case broken:
		outcome.Kind, outcome.Reason = Failed, ReasonResponseBroken
	}
	return outcome
}

// expire fails a query at its deadline. If a response is being forwarded, it is cut off. Otherwise the gateway should have
// answered the query earlier, which is recorded as a fault.
func (c *Core) expire(now Micros, e *entry) {
	if e.forwarded < 0 {
		c.ledger.recordFault(FaultForgotten, e.query.ID, e)
	}
	c.policyEvents = append(c.policyEvents, policy.ClientDisconnected{ID: e.query.ID})
	c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonDeadline})
}

// answer gives a query its final answer and cancels its attempts in flight.
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

// cancel cancels an attempt unless it has ended or was cancelled before.
func (c *Core) cancel(now Micros, e *entry, number int) {
	if a := &e.attempts[number]; !a.ended && !a.cancelled {
		a.cancelled = true
		e.record(now, "cancelled", number, -1)
		c.fleet.Cancel(e.query.ID, number)
	}
}

// FailAll fails all pending queries with the same reason, in the order of their deadlines.
func (c *Core) FailAll(now Micros, reason Reason) {
	for len(c.ledger.unanswered) > 0 {
		c.answer(now, c.ledger.unanswered[0], Outcome{Kind: Failed, Reason: reason})
	}
	c.reportStep(0, 0)
}
