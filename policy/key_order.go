package policy

import "slices"

// keyOrder is the queue of one order key: its requests run one at a time, in order.
type keyOrder struct {
	queue        []*request
	openAttempts int
	pausedUntil  Micros // an attempt that may still run blocks the key until then
}

// keyOrders holds the order of each key; looked up only, but for questions about any of them.
type keyOrders map[int64]*keyOrder

// isNext says that a request is first in its key's queue, and that no attempt of another is in flight or
// may still run.
func (o *keyOrder) isNext(q *request, now Micros) bool {
	return o.queue[0] == q && o.openAttempts <= q.openAttempts &&
		(now >= o.pausedUntil || len(q.attempts) > 0)
}

// join appends a request to its key's queue, where it is ordered.
func (k keyOrders) join(q *request) {
	if !q.ordered() {
		return
	}
	if k[q.OrderKey] == nil {
		k[q.OrderKey] = &keyOrder{}
	}
	o := k[q.OrderKey]
	o.queue = append(o.queue, q)
}

// leave removes a request from its key's queue.
func (k keyOrders) leave(q *request) {
	if q.ordered() {
		o := k[q.OrderKey]
		o.queue = slices.DeleteFunc(o.queue, func(other *request) bool { return other == q })
	}
}

// ordered says that the request has to keep the order of its key.
func (q *request) ordered() bool { return q.class.Ordered && q.HasOrderKey }
