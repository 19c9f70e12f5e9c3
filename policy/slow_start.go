package policy

import "math"

// Inflation start: how much work an endpoint bears that has just started.
const (
	rampCredit       = 0.5  // share of the ramp credited to a starting endpoint: its shape is not known
	slowMachineSpeed = 0.8  // assumed speed of a slow machine, relative to its cores
	chernoffTilt     = 10.0 // tilt of Chernoff's bound on what all gateways send in a window
	chernoffExponent = 5.0  // log improbability of exceeding the limit: once in 150 full windows
)

// workBudget is the work of one class that may still be sent to a starting endpoint.
type workBudget struct {
	updatedAt Micros  // last refill
	seconds   float64 // of work; below zero: none now
}

// slowStartBudget is the budget of a class, of so many classes.
func (e *endpoint) slowStartBudget(class, classes int) *workBudget {
	if e.slowStart == nil {
		e.slowStart = make([]workBudget, classes)
	}
	return &e.slowStart[class]
}

// hasSlowStartCapacity keeps this gateway's share of what a starting endpoint bears: a token bucket for
// each class that fills at our share of that rate, never above zero, and starts at a random level below. So
// all gateways together keep to the rate, however small the share of each.
func (g *Gateway) hasSlowStartCapacity(q *request, e *endpoint) bool {
	if e.slowStartSince == 0 || g.settings.SlowStartDuration == 0 || g.settings.OverloadMultiple == 0 {
		return true
	}
	if g.now-e.slowStartSince >= g.settings.SlowStartDuration {
		e.slowStartSince, e.slowStart = 0, nil
		return true
	}
	budget := e.slowStartBudget(q.Class, len(g.classes))
	rate := g.slowStartRate(e)
	if budget.updatedAt < e.slowStartSince {
		budget.updatedAt, budget.seconds = g.now, -g.rng.Float64()*g.slowStartCharge(q.class, rate)
	}
	share := g.traffic.share
	if len(g.gossip.reports) == 0 { // not comparable with others: no more than an equal share
		share = 1 / float64(g.settings.Peers)
	}
	refill := rate * (1 - chernoffExponent/chernoffTilt) * share * g.demandShare(q.class)
	budget.seconds = min(0, budget.seconds+refill*g.secondsSince(budget.updatedAt))
	budget.updatedAt = g.now
	return budget.seconds >= 0
}

// slowStartRate is the work a second that a starting endpoint bears from all gateways.
func (g *Gateway) slowStartRate(e *endpoint) float64 {
	age := float64(g.now-e.slowStartSince) / float64(g.settings.SlowStartDuration)
	share := g.settings.SlowStartFloor + (1-g.settings.SlowStartFloor)*max(age, 0)*rampCredit
	return slowMachineSpeed * g.settings.OverloadMultiple * share * saturatedUtilization * e.cores
}

// slowStartCharge is what a query is charged, in seconds of work: chance brings heavy ones together now and
// then, so the share of a window that one takes weighs as in Chernoff's bound.
func (g *Gateway) slowStartCharge(c *class, rate float64) float64 {
	window := rate * max(float64(g.settings.OverloadDuration), 1) / microsPerSecond
	return window / chernoffTilt * math.Expm1(chernoffTilt*max(c.usualWork.value, c.typicalWork())/window)
}

// demandShare is a class's share of the work requested.
func (g *Gateway) demandShare(c *class) float64 {
	total := 0.0
	for i := range g.classes {
		total += g.classes[i].received * g.classes[i].usualWork.value
	}
	return c.received * c.usualWork.value / max(total, 1e-9)
}
