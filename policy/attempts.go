package policy

import (
	"math"
	"slices"
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	request      *request
	number       int // index among the request's attempts, 0 for the first
	endpoint     *endpoint
	sentAt       Micros
	expectedTime float64 // run time, seconds
	level        int     // priority level
	grantMB      float64
	uncontended  bool // the endpoint had a free core when the attempt was sent
	cached       bool // the endpoint had the request's table group cached when the attempt was sent
	closed       bool
	cancelled    bool // a Cancel was emitted

	progressAt       Micros  // last progress report; 0: none
	reportedProgress bool    // a report carried the share done
	projectedTime    float64 // total seconds projected from the share done; 0: unknown
	spilled          bool    // a report said that the attempt spilled for lack of memory
	waiting          bool    // reported as blocked on memory or a table lock
}

// sendAttempt sends a request to an endpoint, at the priority level of least cost.
func (g *Gateway) sendAttempt(q *request, e *endpoint) {
	c := q.class
	g.queue.remove(q)
	q.level, _ = g.leastCostLevel(q)
	a := &attempt{request: q, number: len(q.attempts), endpoint: e, sentAt: g.now, level: q.level,
		uncontended: g.utilization(e) < freeCoreUtilization,
		cached:      slices.Contains(e.cachedGroups, q.TableGroup)}
	a.expectedTime = c.serviceTime(q.work) / g.relativeSpeed(e)
	a.grantMB = g.memoryGrant(q, e)
	g.openAttempt(a)
	e.claimedThreads += c.threads
	g.queries.sentThreads.add(c.threads, meanSmoothing)
	e.nextTrialAt = g.now + toMicros(trialInterval)
	if e.slowStartSince > 0 {
		e.slowStartBudget(q.Class, len(g.classes)).seconds -= g.slowStartCharge(c, g.slowStartRate(e))
	}
	e.recordRead(q.TableGroup)
	if g.settings.HonorsGrants || g.settings.HonorsPriority {
		g.emit(Resources{ID: q.ID, MemoryMB: a.grantMB, Priority: priorityLevels - 1 - q.level})
	}
	s := Send{ID: q.ID, Endpoint: e.ID, Timeout: max(q.Deadline-g.deadlineGuard()-g.now, 1)}
	if c.Effect == IdempotentByKey && q.firstMayHaveRun != nil {
		s.StartBefore = q.firstMayHaveRun.sentAt + c.DedupWindow
	}
	g.emit(s)
}

// openAttempt records a new attempt in the ledgers of its request, order key and endpoint. Every attempt of
// a request but the first counts as a retry in the retry budget.
func (g *Gateway) openAttempt(a *attempt) {
	q, e := a.request, a.endpoint
	if len(q.attempts) > 0 {
		g.retryBudget.retriedAt = append(g.retryBudget.retriedAt, g.now)
	}
	q.attempts = append(q.attempts, a)
	q.openAttempts++
	if q.ordered() {
		g.keyOrders[q.OrderKey].openAttempts++
	}
	e.attempts = append(e.attempts, a)
	e.threads += q.class.threads
	e.unreportedThreads += q.class.threads
	e.unreportedMB += a.grantMB
	e.grantedMB += a.grantMB
	g.threads[a.level] += q.class.threads
}

// closeAttempt removes an ended attempt from the ledgers and records the request's first attempt that may
// have run. The order key pauses for OrderingGap where the attempt may still run on the endpoint.
func (g *Gateway) closeAttempt(a *attempt, code Code) {
	q, e := a.request, a.endpoint
	a.closed = true
	q.openAttempts--
	e.attempts = slices.DeleteFunc(e.attempts, func(other *attempt) bool { return other == a })
	e.threads -= q.class.threads
	if a.sentAt > e.loadAt {
		e.unreportedThreads -= q.class.threads
		e.unreportedMB -= a.grantMB
	}
	e.grantedMB -= a.grantMB
	g.threads[a.level] -= q.class.threads
	if code != Rejected && code != ConnectionRefused && code != NeverSent && q.firstMayHaveRun == nil {
		q.firstMayHaveRun = a
	}
	if q.ordered() {
		order := g.keyOrders[q.OrderKey]
		order.openAttempts--
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			order.pausedUntil = max(order.pausedUntil, g.now+g.settings.OrderingGap)
		}
	}
}

// cancelAttempt cancels an attempt and reports whether it did. It does not if attempts cannot be cancelled,
// the answer is being streamed, or the attempt is closed or cancelled already.
func (g *Gateway) cancelAttempt(a *attempt) bool {
	if a.closed || a.cancelled || !g.settings.CanCancel || a.request.streamed {
		return false
	}
	a.cancelled = true
	g.emit(Cancel{ID: a.request.ID, Attempt: a.number})
	return true
}

// deadlineGuard returns how long before its deadline a request is to get its final answer: two timer
// intervals, since the timer checks deadlines once in each.
func (g *Gateway) deadlineGuard() Micros { return Micros(2 * timerInterval * microsPerSecond) }

// findOpenAttempt returns a request's attempt by its number; nil if it is unknown or closed.
func (g *Gateway) findOpenAttempt(id string, number int) *attempt {
	q := g.ledger.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) || q.attempts[number].closed {
		return nil
	}
	return q.attempts[number]
}

// handleAttemptResult closes an attempt, learns from its result, and ends its request or queues it for a
// retry. A result of an unknown or closed attempt is ignored.
func (g *Gateway) handleAttemptResult(r AttemptResult) {
	a := g.findOpenAttempt(r.ID, r.Attempt)
	if a == nil {
		return
	}
	q, e := a.request, a.endpoint
	g.closeAttempt(a, r.Code)
	if r.Load != nil && (e.loadAt == 0 || *r.Load != e.load) { // an unchanged report may be the old one
		g.recordLoad(e, *r.Load, g.now)
	}
	g.learnFromResult(a, r)
	if r.Final && !q.closed {
		g.endRequest(q)
	}
	if q.ended() {
		delete(g.ledger.requests, q.ID)
	}
	if q.closed || q.openAttempts > 0 {
		return
	}
	q.restarting = false
	g.queue.add(q) // sendQueued retries or sheds it
	g.schedule.sendQueuedAt = g.now
}

// learnFromResult updates the class's estimates and queue waits and the endpoint's health from a result.
// Rejections count as faults: an endpoint that rejects everything looks idle, like one that fails fast.
func (g *Gateway) learnFromResult(a *attempt, r AttemptResult) {
	switch r.Code {
	case OK:
		g.learnFromAnswer(a, r)
		g.recordResponse(a, r.Code, 0)
	case Rejected, Failed, ConnectionRefused, ConnectionReset:
		g.recordResponse(a, r.Code, 1)
	}
}

// learnFromAnswer updates the estimates of class, endpoint and fleet from an answer's latency, and from its
// work where the endpoint reports it.
func (g *Gateway) learnFromAnswer(a *attempt, r AttemptResult) {
	q, c, e := a.request, a.request.class, a.endpoint
	e.nextTrialAt = g.now // an answered trial request permits the next one
	took := max(seconds(r.Latency), minSeconds)
	logRatio := math.Log(took * c.threads / max(q.work, minSeconds))
	c.recordDispersion(logRatio)
	inflation, work := clipInflation(logRatio), 0.0
	if r.WorkMicros > 0 { // reported work separates inflation from the estimate's error
		work = seconds(r.WorkMicros)
		inflation = clipInflation(math.Log(took * c.threads / work))
	} else if a.uncontended || c.workFit.count < minFitAnswers {
		work = q.work * math.Exp(min(inflation, shrinkSlackShare*g.congestion.slack))
	}
	g.recordInflation(e, inflation, fleetInflationStep)
	g.cacheEffect.record(a.cached, inflation)
	g.queries.latency.add(took, meanSmoothing)
	g.queries.responseTime.add(g.secondsSince(q.receivedAt), meanSmoothing)
	g.queries.earned.add(g.earnedWeight(q, g.now), meanSmoothing)
	if q.Cost > 0 && work > 0 {
		c.workFit.add(seconds(q.Cost), work, fitSmoothing)
	}
	g.adjustCapacity()
	wait := max(0, g.secondsSince(q.receivedAt)-c.serviceTime(q.work))
	c.learnGrantMargin(a)
	c.recordWait(a.level, wait)
}

// recordResponse updates an endpoint's health after a response; fault is 1 for a fault and 0 for an answer.
// A refused connection, or two connections that break within timerInterval, are taken for a restart that the
// endpoint list does not show yet: slow start begins. One broken connection alone may be a lost answer.
func (g *Gateway) recordResponse(a *attempt, code Code, fault float64) {
	e := a.endpoint
	e.lastResponse, e.cancelledUnanswered, e.lastWasFault = g.now, 0, fault > 0
	if code != ConnectionRefused && code != ConnectionReset {
		e.confirmAlive(a)
	}
	if code == ConnectionRefused || code == ConnectionReset && g.secondsSince(e.resetAt) < timerInterval {
		if e.restartGuessedAt == 0 {
			e.slowStartBefore = e.slowStartSince
		}
		e.slowStartSince, e.restartGuessedAt = g.now, g.now
	}
	if code == ConnectionReset {
		e.resetAt = g.now
	}
	e.faultShare += (fault - e.faultShare) * faultSmoothing
	g.updateOutlier(e)
}

// handleProgress records an attempt's progress report: its projected time, a spill, or a wait for memory
// or tables.
func (g *Gateway) handleProgress(p Progress) {
	a := g.findOpenAttempt(p.ID, p.Attempt)
	if a == nil {
		return
	}
	e := a.endpoint
	a.progressAt, e.lastResponse = g.now, max(e.lastResponse, g.now)
	e.confirmAlive(a)
	switch p.Kind {
	case FractionDone:
		a.waiting, a.reportedProgress = false, true
		if p.Value > 0 {
			a.projectedTime = g.secondsSince(a.sentAt) / min(p.Value, 1)
		}
	case MemorySpilled:
		a.spilled = true
	default:
		a.waiting = true
		if p.Kind == WaitingForTables {
			e.tableLocks[groupCode(a.request.TableGroup)] = g.now
		}
	}
}
