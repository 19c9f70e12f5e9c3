package policy

import "math"

// Parameters of the price (toll) of a class at a priority level, after the paper's sections 3.3 and 3.4.
const (
	priorityLevels     = 4   // priority levels 0 to 3, which are the endpoint priorities 3 to 0
	priceSmoothing     = 0.1 // weight of a newly computed price (the paper's equation 7)
	priceInterval      = 1.0 // seconds between two computations of prices
	maxTollUtilization = 0.9 // upper bound of the utilization u in 1/(1-u)
	queueWaitSmoothing = 0.2 // weight of one answer in a class's mean wait: about the last five answers
)

// levelPrices holds a class's price, wait and admission rate at each priority level.
type levelPrices struct {
	price         [priorityLevels]float64 // toll of a query of typical work, in units of Class.PriorityWeight
	queueWait     [priorityLevels]float64 // mean seconds from receipt to answer beyond the service time
	admittedRate  [priorityLevels]float64 // requests admitted a second
	admitted      [priorityLevels]float64 // requests admitted since the last interval
	waitRefreshed [priorityLevels]bool    // an answer came since the last interval
}

// recordWait adds the wait of an answer at a level, in seconds, to the mean wait there.
func (l *levelPrices) recordWait(level int, wait float64) {
	l.queueWait[level] += (wait - l.queueWait[level]) * queueWaitSmoothing
	l.waitRefreshed[level] = true
}

// updateRates computes the admission rates over an interval, in seconds, and starts the next interval. The
// wait of a level without an answer is halved: otherwise a level that was slow once would never be used
// again.
func (l *levelPrices) updateRates(interval float64) {
	for k := range priorityLevels {
		l.admittedRate[k] += (l.admitted[k]/interval - l.admittedRate[k]) * rateSmoothing
		l.admitted[k] = 0
		if !l.waitRefreshed[k] {
			l.queueWait[k] /= 2
		}
		l.waitRefreshed[k] = false
	}
}

// delayCost returns the cost of delay in weight a second: the weight is lost linearly from receipt to the
// deadline.
func (c *class) delayCost() float64 {
	return c.PriorityWeight / seconds(c.Deadline)
}

// leastCostLevel returns the level with the lowest sum of delay cost and price for a request, and the
// request's net value there. A level where wait and service time exceed the time left also costs the
// request's weight. If all levels cost the same, heavy queries get level 2 and light queries level 1.
func (g *Gateway) leastCostLevel(q *request) (level int, net float64) {
	c, lowest := q.class, math.Inf(1)
	scale, preferred := q.work/c.typicalWork(), 1
	if q.work > g.queries.work.value {
		preferred = 2
	}
	for k := range priorityLevels {
		delay := c.queueWait[k] + c.serviceTime(q.work)
		cost := (c.delayCost()+g.queue.price)*delay + c.price[k]*scale
		if delay > seconds(q.Deadline-g.now) {
			cost += q.weight
		}
		if cost < lowest || cost == lowest && k == preferred {
			level, lowest = k, cost
		}
	}
	return level, q.weight - lowest
}

// updatePrices recomputes the prices from the requests admitted in the last interval, in seconds, and from
// their waits (the paper's equations 6 and 7).
func (g *Gateway) updatePrices(interval float64) {
	cores := g.coreShare()
	var delayCosts [priorityLevels]float64 // of all requests that wait at a level, summed over the classes
	for i := range g.classes {
		c := &g.classes[i]
		c.updateRates(interval)
		for k := range priorityLevels {
			delayCosts[k] += c.delayCost() * c.admittedRate[k] * c.queueWait[k]
		}
	}
	for i := range g.classes {
		c := &g.classes[i]
		for k := range priorityLevels {
			toll := g.toll(k, c.typicalWork()/cores, cores, &delayCosts)
			c.price[k] = priceSmoothing*toll + (1-priceSmoothing)*c.price[k]
		}
	}
}

// toll returns the cost of the delay that one more query at a level causes to all requests that wait there
// or at a lower priority (the paper's equation 6): the sum over these levels h of work · delayCosts[h] /
// (1-u). The work is in seconds on this gateway's share of the cores, and u is the utilization of that share
// by the levels from 0 to h.
func (g *Gateway) toll(level int, work, cores float64, delayCosts *[priorityLevels]float64) float64 {
	var toll, threads float64
	for h := range priorityLevels {
		threads += g.threads[h]
		if h >= level {
			toll += work * delayCosts[h] / (1 - min(threads/cores, maxTollUtilization))
		}
	}
	return toll
}
