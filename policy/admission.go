package policy

// freeCoreUtilization is the utilization below which an endpoint counts as having a free core
// (docs/design.md).
const freeCoreUtilization = 0.7

// handleRequest adds a request to the ledger and admits, queues or sheds it. A request with a known ID or
// an unknown class is ignored.
func (g *Gateway) handleRequest(r Request) {
	if g.ledger.requests[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := g.register(r, c)
	c.estimateWork(q)
	g.queries.work.add(q.work, meanSmoothing)
	q.weight = g.priorityWeight(q)
	q.objectiveAt = g.now + c.LatencyObjective + toMicros(c.ObjectiveStretch*q.work/c.threads)
	g.healthChecks.earn(g.fleet.threadsPerCore)
	g.keyOrders.enqueue(q)
	if q.StickyTo != "" && g.cannotEarnWeight(q) {
		g.shedOrFail(q)
		return
	}
	g.admit(q)
}

// admit sends, queues or sheds a request by its net value: its priority weight minus the delay cost and the
// price at the level of lowest cost (docs/design.md). While a request waits for health checks it is queued,
// and the decision follows after them.
func (g *Gateway) admit(q *request) {
	level, net := g.leastCostLevel(q)
	q.level = level
	e := g.pickEndpoint(q)
	waits := e == nil && g.awaitsHealthCheck(q)
	if net < 0 && !waits && !g.fitsFreeCores(q, e) {
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

// priorityWeight returns the value of an answer to the request within its objective. The weight is lower
// if the tenant exceeds its quota. It is not known which of the tenant's requests exceed the quota, so all
// of them get the mean weight.
func (g *Gateway) priorityWeight(q *request) float64 {
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
	withinQuota := t.quota / rate // share of the tenant's requests
	return w * (withinQuota + (1-withinQuota)*g.settings.OverQuotaWeight)
}

// fitsFreeCores reports whether a request is admitted whatever its price since it would run on free cores:
// this gateway's threads stay within its share of the cores, or the endpoint e is below freeCoreUtilization.
// Such a request delays no other. Exceptions are a request that would end after its deadline, a very long
// request, and a request worth less than its place in an admission queue that is nearly full.
func (g *Gateway) fitsFreeCores(q *request, e *endpoint) bool {
	delay := q.class.queueWait[q.level] + q.class.serviceTime(q.work)
	if delay > seconds(q.Deadline-g.now) || q.work > veryLongWorkFactor*q.class.typicalWork() ||
		q.weight < g.queue.price*delay {
		return false
	}
	return g.threadsInFlight()+q.class.threads <= g.coreShare() ||
		e != nil && g.utilization(e) < freeCoreUtilization
}

// earnedWeight returns the value of an answer at the given time: the full weight within the objective, the
// share LateWeight of it later.
func (g *Gateway) earnedWeight(q *request, at Micros) float64 {
	if at > q.objectiveAt {
		return q.weight * q.class.LateWeight
	}
	return q.weight
}

// cannotEarnWeight reports whether a request without an attempt in flight can no longer earn its weight: its
// sticky endpoint cannot be sent to, no further attempt is allowed, or the time left (up to the objective
// if a late answer earns nothing) is shorter than the service time.
func (g *Gateway) cannotEarnWeight(q *request) bool {
	if q.openAttempts > 0 {
		return false
	}
	if q.StickyTo != "" {
		if e := g.endpoints.byID[q.StickyTo]; e == nil || !g.isEligible(q, e) {
			return true
		}
	}
	if len(q.attempts) >= g.settings.MaxAttempts ||
		q.class.Effect == NonIdempotent && q.firstMayHaveRun != nil {
		return true
	}
	end := q.Deadline - g.deadlineGuard()
	if q.class.LateWeight == 0 {
		end = min(end, q.objectiveAt)
	}
	return seconds(end-g.now) < q.class.serviceTime(q.work)
}

// shedOrFail answers a request at once: with Shed if a retry by the client is safe, else with Fail. The
// Retry-After is the time in which a similar request ends and may free capacity, at most MaxRetryAfter.
func (g *Gateway) shedOrFail(q *request) {
	c := q.class
	if c.Effect == Idempotent || q.firstMayHaveRun == nil && q.openAttempts == 0 ||
		c.Effect == IdempotentByKey && c.DedupScope == DedupFleet {
		wait := max(c.queueWait[q.level], c.serviceTime(q.work))
		g.emit(Shed{ID: q.ID, RetryAfter: min(toMicros(wait), g.settings.MaxRetryAfter)})
	} else {
		g.emit(Fail{ID: q.ID})
	}
	g.endRequest(q)
}
