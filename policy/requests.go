package policy

import "math"

// ledger holds the requests that are open or have an open attempt.
type ledger struct {
	requests map[string]*request // by ID; never iterated, since the order of a map is random
	active   []*request          // open requests in the order received; ended ones stay until maintenance
}

// request is a request that is open at this gateway or has an open attempt.
type request struct {
	Request
	class           *class
	receivedAt      Micros
	objectiveAt     Micros  // end of its latency objective: an answer until then has the full weight
	work            float64 // estimated work, seconds
	weight          float64 // priority weight: value of an answer within the objective
	level           int     // priority level, 0 (served first) to priorityLevels-1
	attempts        []*attempt
	openAttempts    int
	firstMayHaveRun *attempt    // first attempt that may have run
	closed          bool        // the final answer was given, or the client is gone
	queued          bool        // in the admission queue
	streamed        bool        // its answer has begun
	admitted        bool        // admit has decided to serve it
	candidates      []*endpoint // endpoints drawn for the request; their health checks decide between them
	restarting      bool        // an overdue attempt was cancelled to be sent again
	observedTime    float64     // minimum expected seconds of the next attempt, from a cancelled attempt
}

// class holds the settings of one class and the estimates learned of it.
type class struct {
	Class
	levelPrices
	threads         float64       // threads of one query, at least 1
	received        float64       // number of requests received
	meanWork        runningMean   // estimated work, seconds
	unshrunkWork    runningMean   // the same, never below the estimate that the fit has not shrunk
	estimateMedian  runningMedian // of log(estimate)
	workFit         powerFit      // fit of work without contention to estimated cost
	latencyRatio    runningMedian // of log(latency · threads ÷ estimated work)
	dispersion      float64       // mean distance of that log from its median
	dispersionCount float64       // number of values in dispersion
	memoryMedian    runningMedian // of log(memory estimate)
	grantMargin     float64       // log(memory grant ÷ fitted memory estimate)
}

// register adds a request to the ledger and counts it in the traffic and the retry budget.
func (g *Gateway) register(r Request, c *class) *request {
	q := &request{Request: r, class: c, receivedAt: g.now}
	g.ledger.requests[r.ID] = q
	g.ledger.active = append(g.ledger.active, q)
	if g.settings.RetryBudgetWindow > 0 {
		g.retryBudget.receivedAt = append(g.retryBudget.receivedAt, g.now)
	}
	c.received++
	g.traffic.countRequest(r.Tenant)
	return q
}

// endRequest closes a request and cancels its attempts in flight. The request stays in the ledger until
// these have ended.
func (g *Gateway) endRequest(q *request) {
	q.closed = true
	g.queue.remove(q)
	for _, a := range q.attempts {
		g.cancelAttempt(a)
	}
	g.keyOrders.remove(q)
	if q.openAttempts == 0 {
		delete(g.ledger.requests, q.ID)
	}
}

// ended reports whether a request is closed and has no open attempt.
func (q *request) ended() bool { return q.closed && q.openAttempts == 0 }

// unanswered returns the number of requests without a final answer.
func (l *ledger) unanswered() (n int) {
	for _, q := range l.active {
		if !q.closed {
			n++
		}
	}
	return n
}

// estimateWork sets the work of a request from its estimated cost, and adds the request's estimates to
// those of its class.
func (c *class) estimateWork(q *request) {
	estimate := seconds(q.Cost)
	if q.Cost > 0 {
		c.estimateMedian.add(math.Log(estimate), medianStep)
	}
	q.work = c.workFit.predict(estimate, c.estimateMedian.value, initialSlope, 0)
	if q.Cost <= 0 { // a missing estimate does not mean zero work
		q.work = c.typicalWork()
	}
	if q.MemoryMB > 0 {
		c.memoryMedian.add(math.Log(q.MemoryMB), medianStep)
	}
	c.meanWork.add(q.work, meanSmoothing)
	// Slow start needs the estimate that is not shrunk: the fit moves heavy queries towards the class's
	// median, and an endpoint that has just started would get too much work.
	unshrunk := c.workFit.predict(estimate, c.estimateMedian.value, 1, 1)
	c.unshrunkWork.add(max(q.work, unshrunk), meanSmoothing)
}

// typicalWork returns the class's mean estimated work in seconds. Before the first request it is a quarter
// of the work that fits in the latency objective.
func (c *class) typicalWork() float64 {
	if c.meanWork.value > 0 {
		return c.meanWork.value
	}
	return max(float64(c.LatencyObjective), 1) / microsPerSecond / 4 * c.threads
}

// serviceTime returns the expected seconds that a query with this work, in seconds, runs on its threads, at
// the class's median ratio of latency to estimate.
func (c *class) serviceTime(work float64) float64 {
	return work * math.Exp(c.latencyRatio.value) / c.threads
}

// recordDispersion updates the class's median log ratio of time to estimate, and the mean distance from that
// median, with the log ratio x of one attempt. A single distance counts at most maxLogInflation.
func (c *class) recordDispersion(x float64) {
	c.latencyRatio.add(x, medianStep)
	c.dispersionCount++
	distance := min(math.Abs(x-c.latencyRatio.value), maxLogInflation)
	c.dispersion += (distance - c.dispersion) * max(medianStep, 1/c.dispersionCount)
}
