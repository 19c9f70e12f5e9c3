package policy

import (
	"cmp"
	"slices"
)

// queueInterval is the seconds between two attempts to send what is queued, if nothing comes before.
const queueInterval = 0.05

// Price of a place in the admission queue: see admissionQueuePrice.
const (
	freeQueueShare   = 0.7 // share of MaxInFlight in use up to which a place costs nothing
	residualAgeShare = 0.5 // share of its age that a query past its expected end is assumed to stay on
)

// admissionQueue holds the requests that are neither in flight nor answered: they wait for capacity, a
// health check, their order key or the retry budget.
type admissionQueue struct {
	requests []*request // in the order queued
	price    float64    // weight a second of an open request's place, see admissionQueuePrice
}

// add appends a request, where it isn't queued already.
func (u *admissionQueue) add(q *request) {
	if !q.queued {
		q.queued = true
		u.requests = append(u.requests, q)
	}
}

// remove removes a request, where it is queued.
func (u *admissionQueue) remove(q *request) {
	if q.queued {
		q.queued = false
		u.requests = slices.DeleteFunc(u.requests, func(other *request) bool { return other == q })
	}
}

// byWeight is the queued requests, highest weight for their work first.
func (u *admissionQueue) byWeight() []*request {
	sorted := slices.Clone(u.requests)
	slices.SortStableFunc(sorted, func(a, b *request) int {
		return cmp.Compare(b.weight/b.work, a.weight/a.work)
	})
	return sorted
}

// sendQueued sends queued requests where there is capacity, highest weight for their work first, or
// sheds them.
func (g *Gateway) sendQueued() {
	g.schedule.sendQueuedAt = g.now + Micros(queueInterval*microsPerSecond)
	if len(g.queue.requests) == 0 {
		return
	}
	full := make([]bool, len(g.classes)) // no capacity for one is none for the heavier ones behind it
	for _, q := range g.queue.byWeight() {
		if g.cannotEarn(q) {
			g.shedOrFail(q)
		} else if full[q.Class] && q.StickyTo == "" {
			continue
		} else if !q.admitted {
			g.admit(q)
		} else if e := g.pickEndpoint(q); e != nil {
			g.sendAttempt(q, e)
		}
		if q.StickyTo == "" && !q.class.LocksTables { // what waits for one endpoint or group blocks no others
			full[q.Class] = q.queued && g.mayStartAttempt(q) && !g.awaitsHealthCheck(q)
		}
	}
}

// admissionQueuePrice is the value to others of a second of an open request's place, in weight a second:
// nothing up to freeQueueShare of MaxInFlight, then rising linearly to what answered requests earn a
// second. It guards against blocked queries that keep other clients from sending.
func (g *Gateway) admissionQueuePrice(open int) float64 {
	full := float64(open)/max(float64(g.settings.MaxInFlight), 1) - freeQueueShare
	if g.settings.MaxInFlight == 0 || full <= 0 || g.queries.responseTime.value <= 0 {
		return 0
	}
	return min(1, full/(1-freeQueueShare)) * g.queries.earned.value / g.queries.responseTime.value
}

// belowQueuePrice says that a queued request earns less than its place in the queue costs.
func (g *Gateway) belowQueuePrice(q *request) bool {
	age := g.secondsSince(q.receivedAt)
	remains := max(q.class.queueWait[q.level]+q.class.serviceTime(q.work)-age, age*residualAgeShare)
	return q.openAttempts == 0 && g.queue.price > 0 &&
		g.earnedWeight(q, g.now+toMicros(remains)) < g.queue.price*remains
}
