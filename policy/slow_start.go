package policy

import "math"

// Slow start: how much work an endpoint can take that has just started.
const (
	rampCredit       = 0.5  // share of a linear ramp that is assumed: the ramp's shape is not known
	slowMachineSpeed = 0.8  // assumed speed of a slow machine, relative to its cores
	chernoffTilt     = 10.0 // tilt of Chernoff's bound on the work that all gateways send in a window
	chernoffExponent = 5.0  // -log of the probability of exceeding the limit: once in 150 full windows
)

// workBudget is the token bucket of the work of one class that this gateway may send to a starting endpoint.
type workBudget struct {
	updatedAt Micros  // last refill
	seconds   float64 // of work, at most 0; below 0 nothing may be sent
}

// slowStartBudget returns the endpoint's budget of a class; classes is the number of all classes.
func (e *endpoint) slowStartBudget(class, classes int) *workBudget {
	if e.slowStart == nil {
		e.slowStart = make([]workBudget, classes)
	}
	return &e.slowStart[class]
}

// hasSlowStartCapacity reports whether a request is within this gateway's share of the work that a starting
// endpoint can take; endpoints that are not in slow start have no such limit. Each class has a token bucket
// that fills at the gateway's share of slowStartRate, less the margin of Chernoff's bound and split by the
// demand of the classes. The bucket never fills above zero and starts at a random level below zero. All
// gateways together therefore keep to the rate, however small the share of each.
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
	if len(g.gossip.reports) == 0 { // the peers' traffic is not known: an equal share
		share = 1 / float64(g.settings.Peers)
	}
	refill := rate * (1 - chernoffExponent/chernoffTilt) * share * g.demandShare(q.class)
	budget.seconds = min(0, budget.seconds+refill*g.secondsSince(budget.updatedAt))
	budget.updatedAt = g.now
	return budget.seconds >= 0
}

// slowStartRate returns the work in seconds a second that a starting endpoint can take from all gateways.
func (g *Gateway) slowStartRate(e *endpoint) float64 {
	age := float64(g.now-e.slowStartSince) / float64(g.settings.SlowStartDuration)
	share := g.settings.SlowStartFloor + (1-g.settings.SlowStartFloor)*max(age, 0)*rampCredit
	return slowMachineSpeed * g.settings.OverloadMultiple * share * saturatedUtilization * e.cores
}

// slowStartCharge returns what a query of a class is charged, in seconds of work. Heavy queries of several
// gateways coincide by chance now and then, so the charge grows exponentially with the share of a window that
// the query takes, as in Chernoff's bound.
func (g *Gateway) slowStartCharge(c *class, rate float64) float64 {
	window := rate * max(float64(g.settings.OverloadDuration), 1) / microsPerSecond
	return window / chernoffTilt * math.Expm1(chernoffTilt*max(c.unshrunkWork.value, c.typicalWork())/window)
}

// demandShare returns a class's share of the work that this gateway's clients have requested.
func (g *Gateway) demandShare(c *class) float64 {
	total := 0.0
	for i := range g.classes {
		total += g.classes[i].received * g.classes[i].unshrunkWork.value
	}
	return c.received * c.unshrunkWork.value / max(total, 1e-9)
}
