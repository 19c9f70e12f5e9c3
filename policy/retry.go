package policy

import "math"

// Retries of overdue attempts.
const (
	overdueFactor      = 3.0 // factor over its expected time at which an attempt is overdue: a bad plan, or lost
	overdueDispersions = 2.0 // the same in mean deviations of the class's log times from its estimates
	observedTimeShare  = 0.5 // share of a cancelled attempt's time that the next is expected to take: it is rough
	minRestartGain     = 1.5 // expected times that a restart must save
	minOverdueAge      = 0.3 // seconds below which no attempt is overdue by its plan
)

// retryBudget counts requests and retries in a sliding window: retries may be RetryBudgetFloor plus
// RetryBudgetRatio times the requests received within RetryBudgetWindow.
type retryBudget struct {
	receivedAt []Micros // requests received, oldest first
	retriedAt  []Micros // retries sent, oldest first
}

// withinRetryBudget says whether one more retry is within the retry budget.
func (g *Gateway) withinRetryBudget() bool {
	s := &g.settings
	if s.RetryBudgetWindow == 0 {
		return true
	}
	slack := timerMicros // both ends of the span are read strictly
	since := g.now - s.RetryBudgetWindow
	g.retryBudget.receivedAt, g.retryBudget.retriedAt = dropUntil(g.retryBudget.receivedAt, since+slack), dropUntil(g.retryBudget.retriedAt, since-slack-1)
	return float64(len(g.retryBudget.retriedAt)+1) <= s.RetryBudgetFloor+s.RetryBudgetRatio*float64(len(g.retryBudget.receivedAt))
}

// dropUntil drops the leading times up to and including at.
func dropUntil(times []Micros, at Micros) []Micros {
	for len(times) > 0 && times[0] <= at {
		times = times[1:]
	}
	return times
}

// checkOverdue restarts an attempt with a bad plan or a dead endpoint while a retry can still earn the
// weight and the budget allows it. Estimates are rough, and a restart does not shorten a query: the time
// that a cancelled attempt has shown is what the next one may take.
func (g *Gateway) checkOverdue(a *attempt) {
	age, q, c := g.secondsSince(a.sentAt), a.request, a.request.class
	lost := a.endpoint.ejected && age > minUnresponsive && age > overdueFactor*a.expectedTime
	expect := max(q.work/c.threads*math.Exp(max(a.endpoint.inflation, g.congestion.inflation.value, c.latencyRatio.value, 0)), q.observedTime)
	left := float64(q.Deadline-g.deadlineGuard()-g.now) / microsPerSecond
	took, bad := age, age > max(overdueFactor, math.Exp(overdueDispersions*c.dispersion))*expect
	if a.projectedTime > 0 && age <= overdueFactor*a.projectedTime { // a note that time has proven wrong holds no longer
		took, bad = a.projectedTime, a.projectedTime > overdueFactor*expect && a.projectedTime-age > minRestartGain*expect
		if !bad && a.projectedTime-age > minRestartGain*left && g.settings.CanCancel { // at its pace it earns nothing any more
			g.shedOrFail(q)
			return
		}
	}
	if !lost && (!bad || age < minOverdueAge) || a.waiting {
		return
	}
	enough := len(q.attempts) >= g.settings.MaxAttempts || c.Effect == NonIdempotent || !g.withinRetryBudget()
	if !enough && !q.restarting && left >= c.serviceTime(q.work) && g.cancelAttempt(a) {
		q.restarting = true
		// It would have taken longer still: else a crowd is learned from its quick answers alone.
		x := math.Log(age * c.threads / max(q.work, 1e-4))
		c.recordDispersion(x, maxLogInflation, medianStep)
		g.recordInflation(a.endpoint, max(0, min(maxLogInflation, x)), inflationSmoothing, rareInflationSmoothing, reportLifetime, fleetInflationStep)
		if bad && !lost {
			q.observedTime = took * observedTimeShare
		}
		if a.sentAt >= a.endpoint.lastResponse { // a restart must not hide that nothing comes from there
			a.endpoint.cancelledUnanswered++
		}
	}
}
