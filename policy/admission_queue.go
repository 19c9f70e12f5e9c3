package policy

import (
	"cmp"
	"slices"
)

// queueInterval is the maximum number of seconds between two attempts to send queued requests.
const queueInterval = 0.05

// Parameters of the price of a place: the priority weight that each open request is charged a second while
// more than freeQueueShare of MaxInFlight is in use. A request without an attempt in flight that is expected
// to earn less than its place costs is answered at once.
const (
	freeQueueShare   = 0.7 // share of MaxInFlight in use up to which a place is free
	residualAgeShare = 0.5 // remaining time of a request past its expected end, as a share of its age
)

// admissionQueue holds the requests that have neither an attempt in flight nor an answer. They wait for
// capacity, a health check, their order key or the retry budget.
type admissionQueue struct {
	requests []*request // in the order queued
	price    float64    // of an open request's place, in priority weight a second; 0: a place costs nothing
}

// add appends a request unless it is queued already.
func (u *admissionQueue) add(q *request) {
	if !q.queued {
		q.queued = true
		u.requests = append(u.requests, q)
	}
}

// remove removes a request if it is queued.
func (u *admissionQueue) remove(q *request) {
	if q.queued {
		q.queued = false
		u.requests = slices.DeleteFunc(u.requests, func(other *request) bool { return other == q })
	}
}

// byWeightPerWork returns the queued requests, those of highest weight per second of work first.
func (u *admissionQueue) byWeightPerWork() []*request {
	sorted := slices.Clone(u.requests)
	slices.SortStableFunc(sorted, func(a, b *request) int {
		return cmp.Compare(b.weight/b.work, a.weight/a.work)
	})
	return sorted
}

// sendQueued sends the queued requests for which there is capacity, those of highest weight per second of
// work first, and sheds those that can no longer earn their weight.
func (g *Gateway) sendQueued() {
	g.schedule.sendQueuedAt = g.now + Micros(queueInterval*microsPerSecond)
	if len(g.queue.requests) == 0 {
		return
	}
	// Per class: there is no capacity for a request, so there is none for heavier ones after it.
	full := make([]bool, len(g.classes))
	for _, q := range g.queue.byWeightPerWork() {
		if g.cannotEarnWeight(q) {
			g.shedOrFail(q)
		} else if full[q.Class] && q.StickyTo == "" {
			continue
		} else if !q.admitted {
			g.admit(q)
		} else if e := g.pickEndpoint(q); e != nil {
			g.sendAttempt(q, e)
		}
		// A request that waits for one endpoint or for the lock of a table group must not block others.
		if q.StickyTo == "" && !q.class.LocksTables {
			full[q.Class] = q.queued && g.mayStartAttempt(q) && !g.awaitsHealthCheck(q)
		}
	}
}

// admissionQueuePrice returns the price of an open request's place, in weight a second, while so many
// requests are open. The price is zero up to freeQueueShare of MaxInFlight and rises linearly from there
// to the mean weight that answered requests earn per second of response time. It keeps blocked queries from
// using up MaxInFlight, which would keep other clients from sending.
func (g *Gateway) admissionQueuePrice(open int) float64 {
	full := float64(open)/max(float64(g.settings.MaxInFlight), 1) - freeQueueShare
	if g.settings.MaxInFlight == 0 || full <= 0 || g.queries.responseTime.value <= 0 {
		return 0
	}
	return min(1, full/(1-freeQueueShare)) * g.queries.earned.value / g.queries.responseTime.value
}

// belowQueuePrice reports whether a request without an attempt in flight is expected to earn less than its
// place costs for the time that it is expected to stay open.
func (g *Gateway) belowQueuePrice(q *request) bool {
	age := g.secondsSince(q.receivedAt)
	remains := max(q.class.queueWait[q.level]+q.class.serviceTime(q.work)-age, age*residualAgeShare)
	return q.openAttempts == 0 && g.queue.price > 0 &&
		g.earnedWeight(q, g.now+toMicros(remains)) < g.queue.price*remains
}
