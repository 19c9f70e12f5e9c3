package policy

import "math"

// Detection and restart of overdue attempts.
const (
	// An attempt is overdue (bad plan, or lost) once its age exceeds its expected time by the larger of two
	// factors: overdueFactor and exp(overdueDispersions · class.dispersion). Where a progress report projects
	// the attempt's total time, that total, overdueFactor and minRestartGain decide instead.
	overdueFactor      = 3.0
	overdueDispersions = 2.0

	// minRestartGain sets limits to the time that an attempt still has to run, projected from its progress.
	// The attempt is overdue only if that rest exceeds minRestartGain times its expected time, since a
	// restart must save as much. An attempt that is not overdue is hopeless if the rest exceeds
	// minRestartGain times the time left until the final answer has to be given.
	minRestartGain = 1.5

	observedTimeShare = 0.5 // minimum share of a cancelled attempt's time that the next is expected to take
	minOverdueAge     = 0.3 // seconds of age below which no attempt is restarted for a bad plan
)

// retryBudget holds the times of requests and retries in a sliding window, RetryBudgetWindow long. It allows
// RetryBudgetFloor retries plus RetryBudgetRatio times the requests received in the window.
type retryBudget struct {
	receivedAt []Micros // requests received, oldest first
	retriedAt  []Micros // retries sent, oldest first
}

// expire drops the times before the window. Requests are dropped a timer interval early and retries a timer
// interval late, so that the budget holds whether or not the window is taken to include its ends.
func (b *retryBudget) expire(now, window Micros) {
	start := now - window
	b.receivedAt = dropUntil(b.receivedAt, start+timerMicros)
	b.retriedAt = dropUntil(b.retriedAt, start-timerMicros-1)
}

// dropUntil drops the leading times that are not after at.
func dropUntil(times []Micros, at Micros) []Micros {
	for len(times) > 0 && times[0] <= at {
		times = times[1:]
	}
	return times
}

// withinRetryBudget reports whether the budget allows one more retry, after dropping expired times.
func (g *Gateway) withinRetryBudget() bool {
	s, b := &g.settings, &g.retryBudget
	if s.RetryBudgetWindow == 0 {
		return true
	}
	b.expire(g.now, s.RetryBudgetWindow)
	return float64(len(b.retriedAt)+1) <= s.RetryBudgetFloor+s.RetryBudgetRatio*float64(len(b.receivedAt))
}

// mayStartAttempt reports whether the rules allow another attempt of the request now: the limit of attempts,
// the key order, hedging, the class's effect and the retry budget.
func (g *Gateway) mayStartAttempt(q *request) bool {
	c := q.class
	if q.closed || q.streamed || len(q.attempts) >= g.settings.MaxAttempts {
		return false
	}
	if q.ordered() && !g.keyOrders[q.OrderKey].isNext(q, g.now) {
		return false
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.openAttempts > 0 && !g.settings.AllowHedging ||
		c.Effect == NonIdempotent && (q.openAttempts > 0 || q.firstMayHaveRun != nil) ||
		c.Effect == IdempotentByKey && q.firstMayHaveRun != nil &&
			g.now >= q.firstMayHaveRun.sentAt+c.DedupWindow {
		return false
	}
	return g.withinRetryBudget()
}

// overdueCheck compares an attempt with its expected time. Times are in seconds.
type overdueCheck struct {
	duration  float64 // age, or the total time projected from its progress
	remaining float64 // until the final answer has to be given
	overdue   bool
	hopeless  bool // at the pace that it reports, the attempt would end too late
}

// compareWithExpected compares an attempt of an age in seconds with its expected time. The total time
// that a progress report projects is ignored once the age exceeds overdueFactor times that total: the
// report was wrong.
func (g *Gateway) compareWithExpected(a *attempt, age float64) overdueCheck {
	q, c := a.request, a.request.class
	inflation := max(a.endpoint.inflation, g.congestion.inflation.value, c.latencyRatio.value, 0)
	expected := max(q.work/c.threads*math.Exp(inflation), q.observedTime)
	check := overdueCheck{duration: age, remaining: seconds(q.Deadline - g.deadlineGuard() - g.now),
		overdue: age > max(overdueFactor, math.Exp(overdueDispersions*c.dispersion))*expected}
	if a.projectedTime > 0 && age <= overdueFactor*a.projectedTime {
		check.duration = a.projectedTime
		check.overdue = a.projectedTime > overdueFactor*expected &&
			a.projectedTime-age > minRestartGain*expected
		check.hopeless = !check.overdue && a.projectedTime-age > minRestartGain*check.remaining
	}
	return check
}

// checkOverdue cancels an attempt that has a bad plan or whose endpoint is dead, so that its request is sent
// again, if a retry can still end before the deadline and the rules allow it. A request whose attempt is
// hopeless is shed or failed at once, if attempts can be cancelled. Estimates are rough, and a restart does
// not shorten a query that is really long: the time of a cancelled attempt raises what the next one is
// expected to take.
func (g *Gateway) checkOverdue(a *attempt) {
	age, q := g.secondsSince(a.sentAt), a.request
	lost := a.endpoint.ejected && age > minUnresponsive && age > overdueFactor*a.expectedTime
	check := g.compareWithExpected(a, age)
	if check.hopeless && g.settings.CanCancel {
		g.shedOrFail(q)
		return
	}
	if a.waiting || !lost && (!check.overdue || age < minOverdueAge) {
		return
	}
	if !g.mayRestart(q, check.remaining) || !g.cancelAttempt(a) {
		return
	}
	q.restarting = true
	g.learnFromCancelled(a, age)
	if check.overdue && !lost {
		q.observedTime = check.duration * observedTimeShare
	}
}

// mayRestart reports whether a request may be sent again in place of an overdue attempt; remaining is the
// seconds until its final answer has to be given.
func (g *Gateway) mayRestart(q *request, remaining float64) bool {
	exhausted := len(q.attempts) >= g.settings.MaxAttempts || q.class.Effect == NonIdempotent ||
		!g.withinRetryBudget()
	return !exhausted && !q.restarting && remaining >= q.class.serviceTime(q.work)
}

// learnFromCancelled records the age of a cancelled attempt as its latency. The attempt would have taken even
// longer, but congestion must not be learned from quick answers alone.
func (g *Gateway) learnFromCancelled(a *attempt, age float64) {
	c, e := a.request.class, a.endpoint
	logRatio := math.Log(age * c.threads / max(a.request.work, minSeconds))
	c.recordDispersion(logRatio)
	g.recordInflation(e, max(0, min(maxLogInflation, logRatio)), fleetInflationStep)
	if a.sentAt >= e.lastResponse { // a restart must not hide that the endpoint does not respond
		e.cancelledUnanswered++
	}
}
