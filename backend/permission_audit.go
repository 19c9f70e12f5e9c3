package backend

import (
	"context"

	"embershunt/permit"
)

// checkSendPermitted decides whether an attempt may start on a node, at the moment when it would start. It counts an attempt that may
// not.
func (t *attempt) checkSendPermitted(ctx context.Context, n *node) permit.Reason {
	return t.fleet.audit.CountWithheld(permit.Sending{
		Now: t.fleet.clock.Now(), Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore,
		ClientDisconnected: ctx.Err() != nil,
		DrainNotifiedAt:    n.drainNotifiedAt.Load(),
		Sticky:             t.spec.Query.StickyTo != "",
		Grace:              t.fleet.options.DrainGrace.Microseconds(),
	}.Send())
}

// auditStart checks an attempt that has started against the rules, with what has become known since it was permitted. It counts and logs
// a violation.
func (t *attempt) auditStart(n *node) {
	at := t.fleet.clock.Now()
	sent := permit.Sent{At: at, Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore, DisconnectedAt: t.cancelledAt.Load(),
		DrainNotifiedAt: n.drainNotifiedAt.Load(), Grace: t.fleet.options.DrainGrace.Microseconds()}
	if rule := sent.Violation(); t.fleet.audit.CountViolation(rule) {
		t.fleet.log.Error("rule violated", "rule", rule.String(), "query", t.spec.Query.ID, "attempt", t.spec.Number, "node", t.spec.Node,
			"notified_ms_ago", (at-sent.DrainNotifiedAt)/1000)
	}
}
