package policy

import (
	"cmp"
	"slices"
)

// Admission queue: see admissionQueuePrice.
const (
	freeQueueShare   = 0.7 // share of MaxInFlight in use up to which a place in the queue costs nothing
	residualAgeShare = 0.5 // share of its age that a query past its expected end is assumed to stay on
)

// admissionQueue holds the requests that wait for capacity.
type admissionQueue struct {
	requests []*request // in the order queued
	price    float64    // weight a second of an open request's place, see admissionQueuePrice
}

// enqueue adds a request to the admission queue.
func (g *Gateway) enqueue(q *request) {
	if !q.queued {
		q.queued = true
		g.queue.requests = append(g.queue.requests, q)
	}
}

// dequeue removes a request from the admission queue.
func (g *Gateway) dequeue(q *request) {
	if q.queued {
		q.queued = false
		g.queue.requests = slices.DeleteFunc(g.queue.requests, func(o *request) bool { return o == q })
	}
}

// queueByWeight is the admission queue, highest weight for its work first.
func (g *Gateway) queueByWeight() []*request {
	queue := slices.Clone(g.queue.requests)
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(b.weight/b.work, a.weight/a.work) })
	return queue
}

// drainQueue sends queued requests where there is capacity, highest weight for their work first, or sheds
// them.
func (g *Gateway) drainQueue() {
	g.schedule.drainQueueAt = g.now + Micros(healthCheckTimeout*microsPerSecond)
	if len(g.queue.requests) == 0 {
		return
	}
	full := make([]bool, len(g.classes)) // no room for one is none for the heavier ones behind it
	for _, q := range g.queueByWeight() {
		if g.cannotEarn(q) {
			g.shedOrFail(q)
		} else if full[q.Class] && q.StickyTo == "" {
			continue
		} else if !q.admitted {
			g.admit(q)
		} else if e := g.pickEndpoint(q); e != nil {
			g.sendAttempt(q, e)
		}
		if q.StickyTo == "" && !q.class.LocksTables { // a queue behind one engine, or for one group, holds nobody else
			full[q.Class] = q.queued && g.mayStartAttempt(q) && !g.awaitsHealthCheck(q, healthCheckTimeout)
		}
	}
}

// admissionQueuePrice is the value of a second of an open request's place to others, in weight a second:
// nothing up to freeQueueShare of MaxInFlight, then rising linearly to what answered requests earn a
// second. It guards against blocked queries that keep other clients from sending.
func (g *Gateway) admissionQueuePrice(held int) float64 {
	full := float64(held)/max(float64(g.settings.MaxInFlight), 1) - freeQueueShare
	if g.settings.MaxInFlight == 0 || full <= 0 || g.queries.responseTime.value <= 0 {
		return 0
	}
	return min(1, full/(1-freeQueueShare)) * g.queries.earned.value / g.queries.responseTime.value
}

// belowQueuePrice says that a queued request earns less than its place in the queue costs.
func (g *Gateway) belowQueuePrice(q *request) bool {
	stay := g.secondsSince(q.receivedAt)
	left := max(q.class.queueWait[q.level]+q.class.serviceTime(q.work)-stay, stay*residualAgeShare)
	return q.openAttempts == 0 && g.queue.price > 0 && g.earnedWeight(q, g.now+Micros(left*microsPerSecond)) < g.queue.price*left
}
