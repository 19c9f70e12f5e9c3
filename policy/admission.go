package policy

import "math"

// freeCoreUtilization is the utilization below which an endpoint has a free core (docs/design.md).
const freeCoreUtilization = 0.7

// handleRequest takes a request into the ledger and admits, queues or sheds it.
func (g *Gateway) handleRequest(r Request) {
	if g.ledger.requests[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := g.register(r, c)
	if r.Cost > 0 {
		c.estimateMedian.add(math.Log(float64(r.Cost)/microsPerSecond), 0.5, medianStep)
	}
	q.work = c.workFit.predict(float64(r.Cost)/microsPerSecond, c.estimateMedian.value, initialSlope, 0)
	if r.Cost <= 0 { // a missing estimate is never zero work
		q.work = c.typicalWork()
	}
	if r.MemoryMB > 0 {
		c.memoryMedian.add(math.Log(r.MemoryMB), 0.5, medianStep)
	}
	c.meanWork.add(q.work, meanSmoothing)
	// The usual work, for the cold rule: the fit's shrunk estimates lie nearer its middle.
	c.usualWork.add(max(q.work, c.workFit.predict(float64(r.Cost)/microsPerSecond, c.estimateMedian.value, 1, 1)), meanSmoothing)
	g.queries.work.add(q.work, meanSmoothing)
	q.weight = g.weightOf(q)
	q.objectiveAt = g.now + c.LatencyObjective + Micros(c.ObjectiveStretch*q.work/c.threads*microsPerSecond)
	g.healthChecks.credit = min(maxHealthCheckCredit, g.healthChecks.credit+healthChecksPerRequest*min(1, max(minHealthCheckShare, g.fleet.threadsPerCore*g.fleet.threadsPerCore)))
	g.joinKeyOrder(q)
	if q.StickyTo != "" && g.cannotEarn(q) {
		g.shedOrFail(q)
		return
	}
	g.admit(q)
}

// admit sends, queues or sheds a request by its net value: priority weight less delay cost and price at the
// best level (docs/design.md).
func (g *Gateway) admit(q *request) {
	level, net := g.leastCostLevel(q)
	q.level = level
	e := g.pickEndpoint(q)
	asking := e == nil && g.awaitsHealthCheck(q, healthCheckTimeout)
	if net < 0 && !asking && !g.passesFreeCore(q, e) {
		g.shedOrFail(q)
		return
	}
	if !asking {
		q.admitted = true
		q.class.admitted[level]++
	}
	if e != nil {
		g.sendAttempt(q, e)
	} else {
		g.enqueue(q)
	}
}

// weightOf is the value of serving the request within its objective. It shrinks for a tenant over its
// quota; which of its requests are over the quota is not known, so all share the reduction.
func (g *Gateway) weightOf(q *request) float64 {
	w := q.class.PriorityWeight
	if g.settings.WeightByWork {
		w *= q.work / q.class.typicalWork()
	}
	if q.Tenant < 0 || q.Tenant >= len(g.traffic.tenants) {
		return w
	}
	t := g.traffic.tenants[q.Tenant]
	rate := t.rate / g.trafficShare()
	if len(g.gossip.reports) > 0 {
		rate = max(t.rate, t.meanRate*float64(g.settings.Peers))
	}
	if t.quota <= 0 || rate <= t.quota {
		return w
	}
	inside := t.quota / rate
	return w * (inside + (1-inside)*g.settings.OverQuotaWeight)
}

// passesFreeCore admits a request whatever its price while cores are free: while this gateway's threads are
// below its share of the cores, or the endpoint picked is below freeCoreUtilization. It then delays nobody.
func (g *Gateway) passesFreeCore(q *request, e *endpoint) bool {
	tau := q.class.queueWait[q.level] + q.class.serviceTime(q.work)
	if tau > float64(q.Deadline-g.now)/microsPerSecond || q.work > veryLongFactor*q.class.typicalWork() || q.weight < g.queue.price*tau {
		return false
	}
	return g.threadsInFlight()+q.class.threads <= g.coreShare() || e != nil && g.utilization(e) < freeCoreUtilization
}

// earnedWeight is the value of an answer at a time: the full weight within the objective, LateWeight of it
// after.
func (g *Gateway) earnedWeight(q *request, at Micros) float64 {
	if at > q.objectiveAt {
		return q.weight * q.class.LateWeight
	}
	return q.weight
}

// cannotEarn says that a request with nothing in flight can no longer earn its weight: its sticky endpoint
// is gone, no attempt is allowed any more, or too little time is left.
func (g *Gateway) cannotEarn(q *request) bool {
	if q.openAttempts > 0 {
		return false
	}
	if e := g.endpoints.byID[q.StickyTo]; q.StickyTo != "" && (e == nil || !g.isEligible(q, e)) { // nobody else has its state
		return true
	}
	if len(q.attempts) >= g.settings.MaxAttempts || q.class.Effect == NonIdempotent && q.firstRan != nil {
		return true
	}
	end := q.Deadline - g.deadlineGuard()
	if q.class.LateWeight == 0 {
		end = min(end, q.objectiveAt)
	}
	return float64(end-g.now)/microsPerSecond < q.class.serviceTime(q.work)
}

// shedOrFail answers at once: Shed where a client's retry is harmless, else Fail.
func (g *Gateway) shedOrFail(q *request) {
	c := q.class
	if c.Effect == Idempotent || q.firstRan == nil && q.openAttempts == 0 || c.Effect == IdempotentByKey && c.DedupScope == DedupFleet {
		wait := max(c.queueWait[q.level], c.serviceTime(q.work)) // room may be free when one like it has ended
		g.emit(Shed{ID: q.ID, RetryAfter: min(Micros(wait*microsPerSecond), g.settings.MaxRetryAfter)})
	} else {
		g.emit(Fail{ID: q.ID})
	}
	g.endRequest(q)
}
