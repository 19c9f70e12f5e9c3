package backend

import (
	"context"

	"embershunt/permit"
)

// mayBegin asks, at the moment at which an attempt would begin at a node, whether it may.
func (t *attempt) mayBegin(ctx context.Context, n *node) permit.Reason {
	return t.f.audit.Withhold(permit.Sending{Now: t.f.clock.Now(), Deadline: t.a.Deadline, StartBefore: t.a.StartBefore, ClientDisconnected: ctx.Err() != nil,
		Notified: n.notified.Load(), Sticky: t.a.Query.StickyTo != "", Grace: t.f.opt.DrainGrace.Microseconds()}.Send())
}

// begunAt checks an attempt that has begun against the rules, with what is known after it; a violation is counted and logged.
func (t *attempt) begunAt(n *node) {
	at := t.f.clock.Now()
	sent := permit.Sent{At: at, Deadline: t.a.Deadline, StartBefore: t.a.StartBefore, DisconnectedAt: t.cancelledAt.Load(), Notified: n.notified.Load(),
		Grace: t.f.opt.DrainGrace.Microseconds()}
	if why := sent.Violation(); t.f.audit.Violate(why) {
		t.f.log.Error("rule violated", "rule", why.String(), "query", t.a.Query.ID, "attempt", t.a.Number, "node", t.a.Node,
			"notified_ms_ago", (at-sent.Notified)/1000)
	}
}
