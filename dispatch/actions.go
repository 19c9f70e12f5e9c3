package dispatch

import (
	"fmt"

	"embershunt/policy"
)

// apply carries out one action of the gateway.
func (c *Core) apply(now Micros, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		c.send(now, a)
	case policy.Resources:
		if e := c.entry(a.ID); e != nil {
			e.resources = Attempt{MemoryMB: a.MemoryMB, Priority: a.Priority, HasResources: true}
			if e.inFlight > 0 {
				c.fleet.SetResources(a.ID, a.MemoryMB, a.Priority)
			}
		}
	case policy.Cancel:
		if e := c.ledger.entries[a.ID]; e != nil && a.Attempt >= 0 && a.Attempt < len(e.attempts) {
			c.cancel(now, e, a.Attempt)
		}
	case policy.Shed:
		if e := c.entry(a.ID); e != nil {
			c.answer(now, e, Outcome{Kind: Shed, Reason: ReasonOverload, RetryAfter: a.RetryAfter})
		}
	case policy.Fail:
		if e := c.entry(a.ID); e != nil {
			c.answer(now, e, Outcome{Kind: Failed, Reason: ReasonAttemptFailed})
		}
	case policy.HealthCheck:
		c.fleet.HealthCheck(a.Endpoint)
	case policy.SetTimer:
		c.timerAt, c.timerSet = now+a.After, true
	case policy.SendGossip:
		c.fleet.SendGossip(a.To, a.Data)
	case policy.WatchEndpoints:
		c.fleet.WatchEndpoints()
	case policy.FetchEndpoints:
		c.fleet.FetchEndpoints()
	case policy.LogLine:
		c.observer.LogLine(a.Text)
	default:
		panic(fmt.Sprintf("dispatch: unknown action %T", a))
	}
}

// entry returns the ledger entry of the query that an action names, or nil if there is none. A missing entry is recorded as a
// fault unless the query was both received and closed in this step: the gateway was not yet told of the end when it decided.
func (c *Core) entry(id string) *entry {
	e := c.ledger.entries[id]
	if _, closed := c.ledger.closedInStep[id]; e == nil && !closed {
		c.ledger.recordFault(FaultUnknownQuery, id, nil)
	}
	return e
}

// class returns the class of a query in the current settings, or the zero value if its index is out of range.
func (c *Core) class(q *Query) policy.Class {
	if q.Class >= 0 && q.Class < len(c.classes) {
		return c.classes[q.Class]
	}
	return policy.Class{}
}

// send sends an attempt. If the ledger withholds the attempt, send reports it to the gateway as never sent instead.
func (c *Core) send(now Micros, action policy.Send) {
	if number, ok := c.ledger.attemptAfterClose(action.ID); ok { // the gateway was not yet told of the end when it decided
		c.reportUnsent(action, number, true)
		return
	}
	e := c.entry(action.ID)
	if e == nil {
		return
	}
	number, ok := c.ledger.send(now, e, action.Endpoint, c.class(e.query), c.hedging)
	if !ok {
		c.reportUnsent(action, number, e.outcome != 0)
		return
	}
	a := Attempt{
		Query:        e.query,
		Number:       number,
		Node:         action.Endpoint,
		Deadline:     e.query.Deadline,
		StartBefore:  action.StartBefore,
		MemoryMB:     e.resources.MemoryMB,
		Priority:     e.resources.Priority,
		HasResources: e.resources.HasResources,
	}
	if action.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+action.Timeout)
	}
	c.observer.Sent(a)
	c.fleet.Send(a)
}

// reportUnsent tells the gateway that an attempt, which it has already numbered, was never sent. final reports that the query
// has its final answer.
func (c *Core) reportUnsent(action policy.Send, number int, final bool) {
	c.followUps = append(c.followUps, policy.AttemptResult{ID: action.ID, Attempt: number, Endpoint: action.Endpoint,
		Code: policy.NeverSent, Final: final})
}
