package policy

// freeCoreUtilization is the utilization below which an endpoint has a free core (docs/design.md).
const freeCoreUtilization = 0.7

// handleRequest takes a request into the ledger and admits, queues or sheds it.
func (g *Gateway) handleRequest(r Request) {
	if g.ledger.requests[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := g.register(r, c)
	c.estimateWork(q)
	g.queries.work.add(q.work, meanSmoothing)
	q.weight = g.weightOf(q)
	q.objectiveAt = g.now + c.LatencyObjective + toMicros(c.ObjectiveStretch*q.work/c.threads)
	g.healthChecks.earn(g.fleet.threadsPerCore)
	g.keyOrders.join(q)
	if q.StickyTo != "" && g.cannotEarn(q) {
		g.shedOrFail(q)
		return
	}
	g.admit(q)
}

// admit sends, queues or sheds a request by its net value: priority weight less delay cost and price at
// the best level (docs/design.md). A request that waits for health checks is decided on after them.
func (g *Gateway) admit(q *request) {
	level, net := g.leastCostLevel(q)
	q.level = level
	e := g.pickEndpoint(q)
	waits := e == nil && g.awaitsHealthCheck(q)
	if net < 0 && !waits && !g.passesFreeCore(q, e) {
		g.shedOrFail(q)
		return
	}
	if !waits {
		q.admitted = true
		q.class.admitted[level]++
	}
	if e != nil {
		g.sendAttempt(q, e)
	} else {
		g.queue.add(q)
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
// below its share of the cores, or the endpoint picked is below freeCoreUtilization. It then delays nobody,
// unless it is very long or takes a place in a full queue.
func (g *Gateway) passesFreeCore(q *request, e *endpoint) bool {
	delay := q.class.queueWait[q.level] + q.class.serviceTime(q.work)
	if delay > seconds(q.Deadline-g.now) || q.work > veryLongFactor*q.class.typicalWork() ||
		q.weight < g.queue.price*delay {
		return false
	}
	return g.threadsInFlight()+q.class.threads <= g.coreShare() ||
		e != nil && g.utilization(e) < freeCoreUtilization
}

// earnedWeight is the value of an answer at a time: the full weight within the objective, LateWeight of
// it after.
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
	if q.StickyTo != "" {
		if e := g.endpoints.byID[q.StickyTo]; e == nil || !g.isEligible(q, e) {
			return true
		}
	}
	if len(q.attempts) >= g.settings.MaxAttempts || q.class.Effect == NonIdempotent && q.firstRan != nil {
		return true
	}
	end := q.Deadline - g.deadlineGuard()
	if q.class.LateWeight == 0 {
		end = min(end, q.objectiveAt)
	}
	return seconds(end-g.now) < q.class.serviceTime(q.work)
}

// shedOrFail answers at once: Shed where a client's retry is harmless, else Fail. The time to retry is when
// one like it has ended and may have left capacity.
func (g *Gateway) shedOrFail(q *request) {
	c := q.class
	if c.Effect == Idempotent || q.firstRan == nil && q.openAttempts == 0 ||
		c.Effect == IdempotentByKey && c.DedupScope == DedupFleet {
		wait := max(c.queueWait[q.level], c.serviceTime(q.work))
		g.emit(Shed{ID: q.ID, RetryAfter: min(toMicros(wait), g.settings.MaxRetryAfter)})
	} else {
		g.emit(Fail{ID: q.ID})
	}
	g.endRequest(q)
}
