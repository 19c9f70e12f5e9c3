package policy

import "math"

// Parameters of the load estimates of one endpoint.
const (
	reportLifetime       = 3.0  // seconds for which a load report counts, ever less, and is gossiped
	threadsPerBusyCore   = 1.5  // threads in flight for each busy core: the others read or write
	saturatedUtilization = 0.85 // utilization at which an endpoint counts as at capacity
	saturatedThreadSlope = 5.0  // threads a core for each unit above that: near 1, utilization hides load
	recentOccupancyPrior = 0.6  // attempts by which a mean over seconds may exceed the expected by chance
	localAttemptsPrior   = 4.0  // expected own attempts that weigh as much as the mean of the fleet
)

// recordLoad stores an endpoint's load report, received by this gateway or by a peer, and its time. Own
// attempts sent after that time count as unreported.
func (g *Gateway) recordLoad(e *endpoint, l Load, at Micros) {
	e.load, e.loadAt, e.unreportedThreads, e.unreportedMB = l, at, 0, 0
	g.renewClaims(e)
	for _, a := range e.attempts {
		if a.sentAt > at {
			e.unreportedThreads += a.request.class.threads
			e.unreportedMB += a.grantMB
		}
	}
}

// renewClaims resets the claims on an endpoint's free capacity, see mayClaim.
func (g *Gateway) renewClaims(e *endpoint) {
	e.reportArrivedAt, e.claimedThreads, e.claimDraw = g.now, 0, g.rng.Float64()
}

// reportConfidence returns the weight of an endpoint's load report, which falls linearly from 1 when it is
// new to 0 at reportLifetime. The weight is 0 if the report has neither utilization nor queries in flight.
func (g *Gateway) reportConfidence(e *endpoint) float64 {
	if e.loadAt == 0 || e.load.Utilization < 0 && e.load.InFlight < 0 {
		return 0
	}
	return max(0, 1-g.secondsSince(e.loadAt)/reportLifetime)
}

// utilization returns an endpoint's estimated utilization. Reported utilization fades into the fleet's mean
// of threads a core as the report ages, and own threads sent since are added. Without reported utilization
// the estimate comes from the threads that all gateways have there; without a valid report or a known load of
// the fleet, it comes from own threads and this gateway's share of the traffic.
func (g *Gateway) utilization(e *endpoint) float64 {
	confidence := g.reportConfidence(e)
	switch {
	case confidence == 0 && g.fleet.threadsPerCore == 0:
		return e.threads / g.trafficShare() / e.cores
	case e.loadAt == 0 || e.load.Utilization < 0:
		threads, _ := g.peerLoad(e)
		return (threads + e.threads) / threadsPerBusyCore / e.cores
	}
	return confidence*e.load.Utilization + (1-confidence)*g.fleet.threadsPerCore + e.unreportedThreads/e.cores
}

// peerLoad estimates the threads and the granted MB that other gateways have on an endpoint: the maximum of
// what they gossip and of what the endpoint's report leaves after subtracting own attempts. Without a report
// the estimate is the mean of endpoints of its kind, corrected by own attempts there as far as this gateway's
// share of the traffic makes them significant. Reported queries in flight include attempts that timed out and
// still run.
func (g *Gateway) peerLoad(e *endpoint) (threads, grantedMB float64) {
	confidence, reportedOwn, share := g.reportConfidence(e), e.threads-e.unreportedThreads, g.trafficShare()
	expected := g.fleet.threadsPerCoreOf(e.Kind) * e.cores * (1 - share)
	weight := expected * share / (expected*share + localAttemptsPrior)
	estimate := (1-weight)*expected + weight*e.threads*(1/share-1)
	switch {
	case confidence > 0 && e.load.InFlight >= 0:
		estimate = e.load.InFlight*g.queries.threads - reportedOwn
	case confidence > 0 && e.load.Utilization >= 0:
		saturated := saturatedThreadSlope * max(0, e.load.Utilization-saturatedUtilization)
		threadsPerCore := g.fleet.occupancyExcess * (threadsPerBusyCore*e.load.Utilization + saturated)
		estimate = (confidence*(threadsPerCore*e.cores-reportedOwn) + (1-confidence)*estimate) *
			(1 - g.fleet.peerCoverage)
	}
	estimateMB := estimate * g.queries.grantMB * (1 - g.fleet.peerCoverage) // assumes grants like ours
	return max(e.gossipedThreads, estimate), max(e.gossipedMB, estimateMB)
}

// occupancyExcess returns the factor, at least 1, by which own attempts in flight, now or in the mean of the
// last seconds, exceed the number expected at this load of the fleet. Gateways that do not gossip are assumed
// to exceed it as well. The factor reveals congestion that utilization does not show: queries that wait for
// disks leave cores idle.
func (g *Gateway) occupancyExcess(threadsPerCore float64) float64 {
	expected := threadsPerCore * g.coreShare() / g.queries.threads
	now := (localAttemptsPrior + g.attemptsInFlight()) / (localAttemptsPrior + expected)
	recent := (recentOccupancyPrior + g.queries.inFlight) / (recentOccupancyPrior + expected)
	return math.Pow(max(1, now, recent), 1-g.fleet.peerCoverage)
}
