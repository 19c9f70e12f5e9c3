package policy

import "math"

// ledger holds the requests that are open, or have attempts that are.
type ledger struct {
	requests map[string]*request // by ID; looked up only, never ranged over
	active   []*request          // in the order received
}

// request is one request that is open here, or has attempts that are.
type request struct {
	Request
	class        *class
	receivedAt   Micros
	objectiveAt  Micros
	work         float64 // estimated work, seconds
	weight       float64
	level        int
	attempts     []*attempt
	openAttempts int
	firstRan     *attempt // first attempt that may have run
	done         bool
	queued       bool
	streamed     bool
	admitted     bool
	candidates   []*endpoint // engines asked for their state before the choice
	restarting   bool        // an attempt was called off to be made again
	observedTime float64     // seconds that an attempt called off showed it to take
}

// class is what was learned of one class.
type class struct {
	Class
	threads         float64
	meanWork        runningMean   // mean fitted estimate, seconds
	usualWork       runningMean   // mean work, rather too high than too low, seconds
	received        float64       // requests taken
	estimateMedian  runningMedian // median of log(estimate), of all that came
	workFit         powerFit      // uncrowded work as a power of the estimate
	latencyRatio    runningMedian // median of log(latency × threads ÷ fitted estimate)
	memoryMedian    runningMedian // median of log(memory estimate)
	dispersion      float64       // mean distance of log(latency × threads ÷ fitted estimate) from that
	dispersionCount float64
	grantMargin     float64 // log of grant over fitted memory estimate
	price           [priorityLevels]float64
	admittedRate    [priorityLevels]float64 // admitted a second
	queueWait       [priorityLevels]float64 // seconds
	admitted        [priorityLevels]float64 // since the last interval
	waitRefreshed   [priorityLevels]bool    // an outcome came since the last interval
}

// register puts a request into the ledger and counts it.
func (g *Gateway) register(r Request, c *class) *request {
	q := &request{Request: r, class: c, receivedAt: g.now}
	g.ledger.requests[r.ID] = q
	if g.ledger.active = append(g.ledger.active, q); g.settings.RetryBudgetWindow > 0 {
		g.retryBudget.receivedAt = append(g.retryBudget.receivedAt, g.now)
	}
	g.traffic.received++
	c.received++
	if r.Tenant >= 0 && r.Tenant < len(g.traffic.tenants) {
		g.traffic.tenants[r.Tenant].received++
	}
	return q
}

// endRequest closes a request and cancels its attempts in flight. It stays in the ledger until they have
// ended.
func (g *Gateway) endRequest(q *request) {
	q.done = true
	g.dequeue(q)
	for _, a := range q.attempts {
		g.cancelAttempt(a)
	}
	g.leaveKeyOrder(q)
	if q.openAttempts == 0 {
		delete(g.ledger.requests, q.ID)
	}
}

// countUnanswered is how many requests are owed a final answer.
func (g *Gateway) countUnanswered() (n int) {
	for _, q := range g.ledger.active {
		if !q.done {
			n++
		}
	}
	return n
}

// typicalWork is the class's mean estimated work in seconds, or a quarter of what its latency objective
// allows.
func (c *class) typicalWork() float64 {
	if c.meanWork.value > 0 {
		return c.meanWork.value
	}
	return max(float64(c.LatencyObjective), 1) / microsPerSecond / 4 * c.threads
}

// serviceTime is the expected seconds of a query of so much work on its threads, at the class's usual
// latency inflation.
func (c *class) serviceTime(est float64) float64 {
	return est * math.Exp(c.latencyRatio.value) / c.threads
}

// recordDispersion learns from the log ratio x of an answer's time to its estimate: the median, and the
// mean distance from it, each answer counting at most maxDistance.
func (c *class) recordDispersion(x, most, step float64) {
	c.latencyRatio.add(x, 0.5, step)
	c.dispersionCount++
	c.dispersion += (min(math.Abs(x-c.latencyRatio.value), most) - c.dispersion) * max(step, 1/c.dispersionCount)
}
