package policy

import "slices"

// keyOrder is the queue of one order key: its requests run one at a time, in order.
type keyOrder struct {
	queue        []*request
	openAttempts int
	pausedUntil  Micros
}

// isNext says that a request is first in its key's queue, and that no attempt of another is in flight or
// may still run.
func (t *keyOrder) isNext(q *request, now Micros) bool {
	return t.queue[0] == q && t.openAttempts <= q.openAttempts && (now >= t.pausedUntil || len(q.attempts) > 0)
}

// joinKeyOrder appends a request to its key's queue, where its class is ordered.
func (g *Gateway) joinKeyOrder(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		if g.keyOrders[q.OrderKey] == nil {
			g.keyOrders[q.OrderKey] = &keyOrder{}
		}
		t := g.keyOrders[q.OrderKey]
		t.queue = append(t.queue, q)
	}
}

// leaveKeyOrder removes a request from its key's queue.
func (g *Gateway) leaveKeyOrder(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		t := g.keyOrders[q.OrderKey]
		t.queue = slices.DeleteFunc(t.queue, func(o *request) bool { return o == q })
	}
}
