package policy

import "math"

// Pricing: the price (toll) of a class at a level, after the paper's sections 3.3 and 3.4.
const (
	priorityLevels     = 4   // priority levels (endpoint priorities 3 to 0)
	priceSmoothing     = 0.1 // weight of a newly computed price (the paper's equation 7)
	priceInterval      = 1.0 // seconds between two computations of prices
	maxTollUtilization = 0.9 // maximum that utilization u counts in 1/(1-u)
	queueWaitSmoothing = 0.2 // weight of one answer in the wait of a class: about five answers
)

// levelPrices is what a class pays and how long it waits at each priority level.
type levelPrices struct {
	price         [priorityLevels]float64 // toll of a query of typical work, in weight
	queueWait     [priorityLevels]float64 // seconds from receipt to answer beyond the service time
	admittedRate  [priorityLevels]float64 // requests admitted a second
	admitted      [priorityLevels]float64 // requests admitted since the last interval
	waitRefreshed [priorityLevels]bool    // an answer came since the last interval
}

// recordWait takes the wait of an answer at a level, in seconds.
func (l *levelPrices) recordWait(level int, wait float64) {
	l.queueWait[level] += (wait - l.queueWait[level]) * queueWaitSmoothing
	l.waitRefreshed[level] = true
}

// updateRates ends an interval of so many seconds. Waits halve without answers: a level that nobody uses
// must be tried again.
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

// delayCost is what a second of delay costs, in weight a second: the weight is lost evenly up to the
// deadline.
func (c *class) delayCost() float64 {
	return c.PriorityWeight / seconds(c.Deadline)
}

// leastCostLevel is the level with the lowest delay cost plus price for a request, and the request's net
// value there. A level whose wait and service exceed the time left earns nothing. While prices and waits
// make no difference, heavy queries take level 2 and light ones level 1.
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

// updatePrices recomputes the prices from what was admitted in an interval of so many seconds and how
// long it waited (the paper's equations 6 and 7).
func (g *Gateway) updatePrices(interval float64) {
	cores := g.coreShare()
	var delayCosts [priorityLevels]float64 // of all classes that wait at a level, in weight a second
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

// toll is the delay that one more query at a level lays on all who wait there or below, times their delay
// costs (the paper's equation 6): the sum over those levels h of work · delay costs / (1-u), where work is
// in seconds of our share of the cores and u the utilization by levels down to h.
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
