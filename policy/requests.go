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
	objectiveAt  Micros  // an answer until then has the full weight
	work         float64 // estimated work, seconds
	weight       float64 // value of an answer within the objective
	level        int     // priority level, 0 to priorityLevels-1
	attempts     []*attempt
	openAttempts int
	firstRan     *attempt // first attempt that may have run
	done         bool     // the final answer was given, or the client is gone
	queued       bool
	streamed     bool // its answer has begun
	admitted     bool
	candidates   []*endpoint // drawn for it; health checks of them decide
	restarting   bool        // an attempt was cancelled to be sent again
	observedTime float64     // seconds that a cancelled attempt showed it to take
}

// class is what was learned of one class.
type class struct {
	Class
	levelPrices
	threads         float64       // of one query
	received        float64       // requests
	meanWork        runningMean   // estimated work, seconds
	usualWork       runningMean   // the same without shrinking by the fit, rather too high than too low
	estimateMedian  runningMedian // of log(estimate)
	workFit         powerFit      // uncontended work over the estimate
	latencyRatio    runningMedian // of log(latency · threads ÷ estimated work)
	dispersion      float64       // mean distance of that log from its median
	dispersionCount float64
	memoryMedian    runningMedian // of log(memory estimate)
	grantMargin     float64       // log of grant over fitted memory estimate
}

// register puts a request into the ledger and counts it.
func (g *Gateway) register(r Request, c *class) *request {
	q := &request{Request: r, class: c, receivedAt: g.now}
	g.ledger.requests[r.ID] = q
	g.ledger.active = append(g.ledger.active, q)
	if g.settings.RetryBudgetWindow > 0 {
		g.retryBudget.receivedAt = append(g.retryBudget.receivedAt, g.now)
	}
	c.received++
	g.traffic.count(r.Tenant)
	return q
}

// endRequest closes a request and cancels its attempts in flight. It stays in the ledger until they have
// ended.
func (g *Gateway) endRequest(q *request) {
	q.done = true
	g.queue.remove(q)
	for _, a := range q.attempts {
		g.cancelAttempt(a)
	}
	g.keyOrders.leave(q)
	if q.openAttempts == 0 {
		delete(g.ledger.requests, q.ID)
	}
}

// ended says that nothing of a request is open any more.
func (q *request) ended() bool { return q.done && q.openAttempts == 0 }

// unanswered is how many requests are owed a final answer.
func (l *ledger) unanswered() (n int) {
	for _, q := range l.active {
		if !q.done {
			n++
		}
	}
	return n
}

// estimateWork sets the work of a request from its estimated cost, and learns from that.
func (c *class) estimateWork(q *request) {
	estimate := seconds(q.Cost)
	if q.Cost > 0 {
		c.estimateMedian.add(math.Log(estimate), medianStep)
	}
	q.work = c.workFit.predict(estimate, c.estimateMedian.value, initialSlope, 0)
	if q.Cost <= 0 { // a missing estimate is never zero work
		q.work = c.typicalWork()
	}
	if q.MemoryMB > 0 {
		c.memoryMedian.add(math.Log(q.MemoryMB), medianStep)
	}
	c.meanWork.add(q.work, meanSmoothing)
	// For slow start: the fit's shrunk estimates lie nearer the class's middle.
	unshrunk := c.workFit.predict(estimate, c.estimateMedian.value, 1, 1)
	c.usualWork.add(max(q.work, unshrunk), meanSmoothing)
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
func (c *class) serviceTime(work float64) float64 {
	return work * math.Exp(c.latencyRatio.value) / c.threads
}

// recordDispersion learns from the log ratio x of an answer's time to its estimate: the median, and the
// mean distance from it, each answer counting at most maxLogInflation.
func (c *class) recordDispersion(x float64) {
	c.latencyRatio.add(x, medianStep)
	c.dispersionCount++
	distance := min(math.Abs(x-c.latencyRatio.value), maxLogInflation)
	c.dispersion += (distance - c.dispersion) * max(medianStep, 1/c.dispersionCount)
}
