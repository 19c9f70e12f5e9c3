package policy

import "slices"

// keyOrder is the state of one order key, whose requests run one at a time, in the order received.
type keyOrder struct {
	queue        []*request // not done, in the order received
	openAttempts int
	pausedUntil  Micros // end of the pause after an attempt that may still run
}

// keyOrders holds the state of each order key. It is ranged over only where the order of keys has no effect:
// actions must not depend on the order of a map.
type keyOrders map[int64]*keyOrder

// isNext reports whether a request is first in its key's queue and no attempt of another one is in flight or
// may still run. A pause does not hold back the retries of a request.
func (o *keyOrder) isNext(q *request, now Micros) bool {
	return o.queue[0] == q && o.openAttempts <= q.openAttempts &&
		(now >= o.pausedUntil || len(q.attempts) > 0)
}

// enqueue appends a request to its key's queue, if it is ordered.
func (k keyOrders) enqueue(q *request) {
	if !q.ordered() {
		return
	}
	if k[q.OrderKey] == nil {
		k[q.OrderKey] = &keyOrder{}
	}
	o := k[q.OrderKey]
	o.queue = append(o.queue, q)
}

// remove removes a request from its key's queue, if it is ordered.
func (k keyOrders) remove(q *request) {
	if q.ordered() {
		o := k[q.OrderKey]
		o.queue = slices.DeleteFunc(o.queue, func(other *request) bool { return other == q })
	}
}

// ordered reports whether the request has to keep the order of its key.
func (q *request) ordered() bool { return q.class.Ordered && q.HasOrderKey }
