package backend

import (
	"context"

	"embershunt/permit"
)

// checkSendPermitted asks, at the moment at which an attempt would begin at a node, whether it may.
func (t *attempt) checkSendPermitted(ctx context.Context, n *node) permit.Reason {
	return t.fleet.audit.Withhold(permit.Sending{Now: t.fleet.clock.Now(), Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore, ClientDisconnected: ctx.Err() != nil,
		Notified: n.drainNotifiedAt.Load(), Sticky: t.spec.Query.StickyTo != "", Grace: t.fleet.options.DrainGrace.Microseconds()}.Send())
}

// auditSent checks an attempt that has begun against the rules, with what is known after it; a violation is counted and logged.
func (t *attempt) auditSent(n *node) {
	at := t.fleet.clock.Now()
	sent := permit.Sent{At: at, Deadline: t.spec.Deadline, StartBefore: t.spec.StartBefore, DisconnectedAt: t.cancelledAt.Load(), Notified: n.drainNotifiedAt.Load(),
		Grace: t.fleet.options.DrainGrace.Microseconds()}
	if why := sent.Violation(); t.fleet.audit.Violate(why) {
		t.fleet.log.Error("rule violated", "rule", why.String(), "query", t.spec.Query.ID, "attempt", t.spec.Number, "node", t.spec.Node,
			"notified_ms_ago", (at-sent.Notified)/1000)
	}
}
