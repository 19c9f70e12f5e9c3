package policy

import "math"

// Pricing: the toll of a class at a level, after the paper's sections 3.3 and 3.4.
const (
	priorityLevels     = 4   // priority levels (endpoint priorities 3 to 0)
	priceSmoothing     = 0.1 // weight of a newly computed price (the paper's equation 7)
	priceInterval      = 1.0 // seconds between two computations of prices
	maxTollUtilization = 0.9 // maximum that utilization u counts in 1/(1-u)
	queueWaitSmoothing = 0.2 // weight of one answer in the wait of a class: about five answers
)

// leastCostLevel is the level with the lowest delay cost plus price for a request, and the request's net
// value there. While prices and waits make no difference, heavy queries take level 2 and light ones level
// 1.
func (g *Gateway) leastCostLevel(q *request) (level int, net float64) {
	c, best := q.class, math.Inf(1)
	scale, plain := q.work/c.typicalWork(), 1 // taken while prices and waits tell no difference
	if q.work > g.queries.work.value {
		plain = 2
	}
	for k := range priorityLevels {
		tau := c.queueWait[k] + c.serviceTime(q.work)
		cost := (c.delayCost()+g.queue.price)*tau + c.price[k]*scale
		if tau > float64(q.Deadline-g.now)/microsPerSecond { // clients that come late or leave early: it would earn nothing
			cost += q.weight
		}
		if cost < best || cost == best && k == plain {
			level, best = k, cost
		}
	}
	return level, q.weight - best
}

// updatePrices recomputes the prices from what was admitted and how long it waited, and the rates.
func (g *Gateway) updatePrices() {
	span := max(g.secondsSince(g.schedule.pricedAt), 1e-3)
	g.withinRetryBudget() // what is older than the budget's span is forgotten, also while nothing is tried again
	g.updateRates(span, rateSmoothing)
	if len(g.gossip.reports) > 0 {
		g.traffic.share = g.traffic.rate / max(g.traffic.meanRate*float64(g.settings.Peers), g.traffic.rate, 1e-9)
	} else if demand := g.traffic.rate * g.queries.latency.value * g.queries.sentThreads.value; demand > 0 && g.fleet.reported {
		g.traffic.share = demand / max(g.fleet.threads/max(g.fleet.occupancyExcess, 1), demand)
	}
	if n := g.attemptsInFlight(); n > 0 { // of those in flight: heavy ones stay longer
		g.queries.threads += (g.threadsInFlight()/n - g.queries.threads) * min(1, n*meanSmoothing)
		g.queries.grantMB += (g.grantsInFlightMB()/g.threadsInFlight() - g.queries.grantMB) * min(1, n*meanSmoothing)
	}
	g.congestion.slack = g.objectiveSlack()
	share := g.coreShare()
	var lost [priorityLevels]float64 // delay cost that a second more of wait at a level adds, times that wait
	for i := range g.classes {
		c := &g.classes[i]
		for k := range priorityLevels {
			c.admittedRate[k] += (c.admitted[k]/span - c.admittedRate[k]) * rateSmoothing
			if c.admitted[k] = 0; !c.waitRefreshed[k] {
				c.queueWait[k] /= 2
			}
			c.waitRefreshed[k] = false
			lost[k] += c.delayCost() * c.admittedRate[k] * c.queueWait[k]
		}
	}
	for i := range g.classes {
		c := &g.classes[i]
		for k := range priorityLevels {
			var r, above float64
			for h := range priorityLevels {
				above += g.threads[h]
				if h >= k {
					r += c.typicalWork() / share * lost[h] / (1 - min(above/share, maxTollUtilization))
				}
			}
			c.price[k] = priceSmoothing*r + (1-priceSmoothing)*c.price[k]
		}
	}
	if g.secondsSince(g.congestion.adjustedAt) > priceInterval && g.attemptsInFlight() == 0 { // else a narrow room lets no answer come again
		g.congestion.inflation.value, g.congestion.capacity = g.congestion.inflation.value*idleRetention, initialCapacity+(g.congestion.capacity-initialCapacity)*idleRetention
	}
	for _, e := range g.endpoints.list {
		if g.secondsSince(e.lastResponse) > reportLifetime { // what is not heard of becomes average
			e.inflation = g.congestion.inflation.value + (e.inflation-g.congestion.inflation.value)*idleRetention
		}
		if g.secondsSince(e.reportArrivedAt) > priceInterval {
			e.reportArrivedAt, e.claimedThreads, e.claimDraw = g.now, 0, g.rng.Float64()
		}
	}
}

// delayCost is what a second of delay costs, in weight a second: the weight lost evenly up to the deadline.
func (c *class) delayCost() float64 {
	return c.PriorityWeight / (float64(c.Deadline) / microsPerSecond)
}
