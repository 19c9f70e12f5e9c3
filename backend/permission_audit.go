package backend

import (
	"context"

	"embershunt/permit"
)

// checkSendPermitted decides, at the moment at which an attempt would start on a node, whether it may.
func (t *attempt) checkSendPermitted(ctx context.Context, n *node) permit.Reason {
	return t.fleet.audit.Check(permit.Sending{
		Now: t.fleet.clock.Now(), Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore,
		ClientDisconnected: ctx.Err() != nil,
		DrainNotifiedAt:    n.drainNotifiedAt.Load(),
		Sticky:             t.spec.Query.StickyTo != "",
		Grace:              t.fleet.options.DrainGrace.Microseconds(),
	}.Send())
}

// auditStart checks an attempt that has started against the rules, with what became known since the permission was given. A
// violation is counted and logged.
func (t *attempt) auditStart(n *node) {
	at := t.fleet.clock.Now()
	sent := permit.Sent{At: at, Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore, DisconnectedAt: t.cancelledAt.Load(),
		DrainNotifiedAt: n.drainNotifiedAt.Load(), Grace: t.fleet.options.DrainGrace.Microseconds()}
	if why := sent.Violation(); t.fleet.audit.Violate(why) {
		t.fleet.log.Error("rule violated", "rule", why.String(), "query", t.spec.Query.ID, "attempt", t.spec.Number, "node", t.spec.Node,
			"notified_ms_ago", (at-sent.DrainNotifiedAt)/1000)
	}
}
