package policy

import (
	"math"
	"slices"
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	request          *request
	number           int
	endpoint         *endpoint
	sentAt           Micros
	expectedTime     float64 // seconds
	level            int
	grantMB          float64
	uncontended      bool // sent to an engine with free cores
	closed           bool
	cancelled        bool    // cancelled
	projectedTime    float64 // projected seconds from progress notes; 0: none
	warm             bool    // its group was warm there
	reportedProgress bool    // progress notes came
	spilled          bool    // it spilled
	progressAt       Micros
	waiting          bool // waits for memory or a load
}

// sendAttempt starts an attempt at the level of lowest cost.
func (g *Gateway) sendAttempt(q *request, e *endpoint) {
	c := q.class
	g.dequeue(q)
	q.level, _ = g.leastCostLevel(q)
	a := &attempt{request: q, number: len(q.attempts), endpoint: e, sentAt: g.now, level: q.level,
		uncontended: g.utilization(e) < freeCoreUtilization, warm: slices.Contains(e.warmGroups, q.TableGroup)}
	a.expectedTime = c.serviceTime(q.work) / g.relativeSpeed(e)
	a.grantMB = g.memoryGrant(q, e)
	g.openAttempt(a)
	e.claimedThreads += c.threads
	g.queries.sentThreads.add(c.threads, meanSmoothing)
	e.nextTrialAt = g.now + Micros(trialInterval*microsPerSecond)
	if e.slowStartSince > 0 {
		e.slowStartBudget(q.Class, len(g.classes)).seconds -= g.slowStartCharge(c, g.slowStartRate(e))
	}
	e.recordRead(q.TableGroup, maxWarmGroups)
	if g.settings.HonorsGrants || g.settings.HonorsPriority {
		g.emit(Resources{ID: q.ID, MemoryMB: a.grantMB, Priority: priorityLevels - 1 - q.level})
	}
	s := Send{ID: q.ID, Endpoint: e.ID, Timeout: max(q.Deadline-g.deadlineGuard()-g.now, 1)}
	if c.Effect == IdempotentByKey && q.firstRan != nil {
		s.StartBefore = q.firstRan.sentAt + c.DedupWindow
	}
	g.emit(s)
}

// openAttempt puts a new attempt into the ledger.
func (g *Gateway) openAttempt(a *attempt) {
	q, e := a.request, a.endpoint
	if len(q.attempts) > 0 {
		g.retryBudget.retriedAt = append(g.retryBudget.retriedAt, g.now)
	}
	q.attempts = append(q.attempts, a)
	q.openAttempts++
	if q.class.Ordered && q.HasOrderKey {
		g.keyOrders[q.OrderKey].openAttempts++
	}
	e.attempts = append(e.attempts, a)
	e.threads += q.class.threads
	e.unreportedThreads += q.class.threads
	e.unreportedMB += a.grantMB
	e.grantedMB += a.grantMB
	g.threads[a.level] += q.class.threads
}

// closeAttempt takes an attempt out of the ledger.
func (g *Gateway) closeAttempt(a *attempt, code Code) {
	q, e := a.request, a.endpoint
	a.closed = true
	q.openAttempts--
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == a })
	e.threads -= q.class.threads
	if a.sentAt > e.loadAt {
		e.unreportedThreads -= q.class.threads
		e.unreportedMB -= a.grantMB
	}
	e.grantedMB -= a.grantMB
	g.threads[a.level] -= q.class.threads
	if code != Rejected && code != ConnectionRefused && code != NeverSent && q.firstRan == nil {
		q.firstRan = a
	}
	if q.class.Ordered && q.HasOrderKey {
		t := g.keyOrders[q.OrderKey]
		t.openAttempts--
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			t.pausedUntil = max(t.pausedUntil, g.now+g.settings.OrderingGap)
		}
	}
}

// cancelAttempt cancels an attempt, where that is allowed, and says whether it did.
func (g *Gateway) cancelAttempt(a *attempt) bool {
	if a.closed || a.cancelled || !g.settings.CanCancel || a.request.streamed {
		return false
	}
	a.cancelled = true
	g.emit(Cancel{ID: a.request.ID, Attempt: a.number})
	return true
}

// deadlineGuard is the time before a deadline at which the final answer is given.
func (g *Gateway) deadlineGuard() Micros { return Micros(2 * timerInterval * microsPerSecond) }

// handleAttemptResult closes an attempt, learns from its result and decides what follows.
func (g *Gateway) handleAttemptResult(o AttemptResult) {
	q := g.ledger.requests[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].closed {
		return
	}
	a := q.attempts[o.Attempt]
	g.closeAttempt(a, o.Code)
	if o.Load != nil && (a.endpoint.loadAt == 0 || *o.Load != a.endpoint.load) { // only a changed report is news
		g.recordLoad(a.endpoint, *o.Load, g.now)
	}
	g.learnFromResult(a, o)
	if o.Final && !q.done {
		g.endRequest(q)
	}
	if q.done && q.openAttempts == 0 {
		delete(g.ledger.requests, q.ID)
	}
	if q.done || q.openAttempts > 0 {
		return
	}
	q.restarting = false
	g.enqueue(q) // pump sends it again, or gives up
	g.schedule.drainQueueAt = g.now
}

// learnFromResult learns from a result: the class's estimates and waits, the endpoint's health.
func (g *Gateway) learnFromResult(a *attempt, o AttemptResult) {
	c, e, fault := a.request.class, a.endpoint, 0.0
	switch o.Code {
	case OK:
		e.nextTrialAt = g.now // the next trial may follow
		took := max(float64(o.Latency)/microsPerSecond, 1e-4)
		x := math.Log(took * c.threads / max(a.request.work, 1e-4))
		c.recordDispersion(x, maxLogInflation, medianStep)
		clipped, work := max(-maxLogInflation, min(maxLogInflation, x)), 0.0
		if o.WorkMicros > 0 { // it is told: the crowd is known apart from the estimate
			work = float64(o.WorkMicros) / microsPerSecond
			clipped = max(-maxLogInflation, min(maxLogInflation, math.Log(took*c.threads/work)))
		} else if a.uncontended || c.workFit.count < minFitAnswers {
			work = a.request.work * math.Exp(min(clipped, shrinkSlackShare*g.congestion.slack))
		}
		g.recordInflation(e, clipped, inflationSmoothing, rareInflationSmoothing, reportLifetime, fleetInflationStep)
		g.recordWarmth(a.warm, clipped, meanSmoothing)
		g.queries.latency.add(took, meanSmoothing)
		g.queries.responseTime.add(g.secondsSince(a.request.receivedAt), meanSmoothing)
		g.queries.earned.add(g.earnedWeight(a.request, g.now), meanSmoothing)
		if a.request.Cost > 0 && work > 0 {
			c.workFit.add(float64(a.request.Cost)/microsPerSecond, work, fitSmoothing)
		}
		g.adjustCapacity()
		wait := max(0, float64(g.now-a.request.receivedAt)/microsPerSecond-c.serviceTime(a.request.work))
		if a.spilled { // the margin settles where the wanted rank of grants suffices
			c.grantMargin += medianStep * grantQuantile
		} else if a.reportedProgress {
			c.grantMargin -= medianStep * (1 - grantQuantile)
		}
		c.queueWait[a.level] += (wait - c.queueWait[a.level]) * queueWaitSmoothing
		c.waitRefreshed[a.level] = true
	case Rejected, Failed, ConnectionRefused, ConnectionReset: // turned away is as quick as a fault
		fault = 1
	default:
		return
	}
	e.lastResponse, e.cancelledUnanswered, e.lastWasFault = g.now, 0, fault > 0
	if o.Code != ConnectionRefused && o.Code != ConnectionReset {
		e.confirmAlive(a)
	}
	// It may come back cold, before the list tells. One broken connection alone may be an answer lost.
	if o.Code == ConnectionRefused || o.Code == ConnectionReset && g.secondsSince(e.resetAt) < timerInterval {
		if e.restartGuessedAt == 0 {
			e.slowStartBefore = e.slowStartSince
		}
		e.slowStartSince, e.restartGuessedAt = g.now, g.now
	}
	if o.Code == ConnectionReset {
		e.resetAt = g.now
	}
	e.faultShare += (fault - e.faultShare) * faultSmoothing
	g.updateOutlier(e)
}

// handleProgress learns from a progress report: projected time, spills, waits.
func (g *Gateway) handleProgress(p Progress) {
	q := g.ledger.requests[p.ID]
	if q == nil || p.Attempt < 0 || p.Attempt >= len(q.attempts) || q.attempts[p.Attempt].closed {
		return
	}
	a := q.attempts[p.Attempt]
	a.progressAt, a.endpoint.lastResponse = g.now, max(a.endpoint.lastResponse, g.now)
	a.endpoint.confirmAlive(a)
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
		if p.Kind == WaitingForTables { // somebody's load holds the group there
			a.endpoint.tableLocks[groupCode(q.TableGroup)] = g.now
		}
	}
}
