package policy

import "math"

// Retries of overdue attempts.
const (
	overdueFactor      = 3.0 // times its expected time from which an attempt is overdue: bad plan, or lost
	overdueDispersions = 2.0 // the same in mean deviations of the class's log times from its estimates
	observedTimeShare  = 0.5 // share of a cancelled attempt's time that the next one is expected to take
	minRestartGain     = 1.5 // expected times that a restart must save
	minOverdueAge      = 0.3 // seconds below which no attempt is overdue by its plan
)

// retryBudget counts requests and retries in a sliding window: retries may be RetryBudgetFloor plus
// RetryBudgetRatio times the requests received within RetryBudgetWindow.
type retryBudget struct {
	receivedAt []Micros // requests received, oldest first
	retriedAt  []Micros // retries sent, oldest first
}

// expire forgets what is older than the window. Requests count for a timer interval less than the window
// and retries for one more: the budget then holds whichever way the ends of the window are read.
func (b *retryBudget) expire(now, window Micros) {
	start := now - window
	b.receivedAt = dropUntil(b.receivedAt, start+timerMicros)
	b.retriedAt = dropUntil(b.retriedAt, start-timerMicros-1)
}

// dropUntil drops the leading times up to and including at.
func dropUntil(times []Micros, at Micros) []Micros {
	for len(times) > 0 && times[0] <= at {
		times = times[1:]
	}
	return times
}

// withinRetryBudget says whether one more retry is within the retry budget.
func (g *Gateway) withinRetryBudget() bool {
	s, b := &g.settings, &g.retryBudget
	if s.RetryBudgetWindow == 0 {
		return true
	}
	b.expire(g.now, s.RetryBudgetWindow)
	return float64(len(b.retriedAt)+1) <= s.RetryBudgetFloor+s.RetryBudgetRatio*float64(len(b.receivedAt))
}

// mayStartAttempt says whether another attempt of the request is within the rules now.
func (g *Gateway) mayStartAttempt(q *request) bool {
	c := q.class
	if q.done || q.streamed || len(q.attempts) >= g.settings.MaxAttempts {
		return false
	}
	if q.ordered() && !g.keyOrders[q.OrderKey].isNext(q, g.now) {
		return false
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.openAttempts > 0 && !g.settings.AllowHedging ||
		c.Effect == NonIdempotent && (q.openAttempts > 0 || q.firstRan != nil) ||
		c.Effect == IdempotentByKey && q.firstRan != nil && g.now >= q.firstRan.sentAt+c.DedupWindow {
		return false
	}
	return g.withinRetryBudget()
}

// overdueCheck is how an attempt compares with its expectation, in seconds.
type overdueCheck struct {
	took     float64 // age, or the time projected by its progress
	remains  float64 // until the final answer has to be given
	overdue  bool
	hopeless bool // at its pace it ends too late
}

// compareWithExpected judges an attempt of an age in seconds. A progress report that time has proven
// wrong does not count any more.
func (g *Gateway) compareWithExpected(a *attempt, age float64) overdueCheck {
	q, c := a.request, a.request.class
	inflation := max(a.endpoint.inflation, g.congestion.inflation.value, c.latencyRatio.value, 0)
	expected := max(q.work/c.threads*math.Exp(inflation), q.observedTime)
	k := overdueCheck{took: age, remains: seconds(q.Deadline - g.deadlineGuard() - g.now),
		overdue: age > max(overdueFactor, math.Exp(overdueDispersions*c.dispersion))*expected}
	if a.projectedTime > 0 && age <= overdueFactor*a.projectedTime {
		k.took = a.projectedTime
		k.overdue = a.projectedTime > overdueFactor*expected && a.projectedTime-age > minRestartGain*expected
		k.hopeless = !k.overdue && a.projectedTime-age > minRestartGain*k.remains
	}
	return k
}

// checkOverdue restarts an attempt with a bad plan or a dead endpoint while a retry can still earn the
// weight and the budget allows it. Estimates are rough, and a restart does not shorten a query: the time
// that a cancelled attempt has shown is what the next one may take.
func (g *Gateway) checkOverdue(a *attempt) {
	age, q := g.secondsSince(a.sentAt), a.request
	lost := a.endpoint.ejected && age > minUnresponsive && age > overdueFactor*a.expectedTime
	k := g.compareWithExpected(a, age)
	if k.hopeless && g.settings.CanCancel {
		g.shedOrFail(q)
		return
	}
	if a.waiting || !lost && (!k.overdue || age < minOverdueAge) {
		return
	}
	if !g.mayRestart(q, k.remains) || !g.cancelAttempt(a) {
		return
	}
	q.restarting = true
	g.learnFromCancelled(a, age)
	if k.overdue && !lost {
		q.observedTime = k.took * observedTimeShare
	}
}

// mayRestart says whether a request may be sent again in place of an overdue attempt, where so many
// seconds remain.
func (g *Gateway) mayRestart(q *request, remains float64) bool {
	exhausted := len(q.attempts) >= g.settings.MaxAttempts || q.class.Effect == NonIdempotent ||
		!g.withinRetryBudget()
	return !exhausted && !q.restarting && remains >= q.class.serviceTime(q.work)
}

// learnFromCancelled counts the age of a cancelled attempt as its time: it would have taken longer
// still, and congestion must not be learned from quick answers alone.
func (g *Gateway) learnFromCancelled(a *attempt, age float64) {
	c, e := a.request.class, a.endpoint
	x := math.Log(age * c.threads / max(a.request.work, minSeconds))
	c.recordDispersion(x)
	g.recordInflation(e, max(0, min(maxLogInflation, x)), fleetInflationStep)
	if a.sentAt >= e.lastResponse { // a restart must not hide that the endpoint does not respond
		e.cancelledUnanswered++
	}
}
