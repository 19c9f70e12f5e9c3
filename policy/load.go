package policy

import "math"

// Parameters of the load estimates of one endpoint.
const (
	reportLifetime       = 3.0  // seconds for which a load report counts, ever less, and is gossiped
	threadsPerBusyCore   = 1.5  // threads in flight for each busy core: the others read or write
	saturatedUtilization = 0.85 // utilization at which an endpoint counts as at capacity
	saturatedThreadSlope = 5.0  // threads a core for each unit above that: near 1, utilization hides load
	recentOccupancyPrior = 0.6  // attempts by which a mean over seconds may exceed the expected by chance
	localAttemptsPrior   = 4.0  // this gateway's expected attempts that weigh as much as the fleet's mean
)

// recordLoad stores an endpoint's load report, received by this gateway or by a peer, and its time. The
// attempts that this gateway sent to the endpoint after that time count as unreported.
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

// renewClaims resets this gateway's claims on an endpoint, which are the threads of the attempts that it has
// sent there since the last reset. mayClaim limits the claims.
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
// of threads a core as the report ages, and the threads that this gateway has sent since the report are
// added. Without reported utilization the estimate comes from the threads that all gateways have on the
// endpoint. Without a valid report or a known load of the fleet, it comes from the threads that this gateway
// has there and its share of the traffic.
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
// what they gossip and of what the endpoint's report leaves after subtracting this gateway's attempts.
// Without a report the estimate is the mean of the endpoints of the same machine kind. It is corrected by the
// attempts that this gateway has on the endpoint, as far as its share of the traffic makes them significant.
// Reported queries in flight include attempts that timed out and still run.
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
	// Assumes that peers grant as much memory per thread as this gateway.
	estimateMB := estimate * g.queries.grantMB * (1 - g.fleet.peerCoverage)
	return max(e.gossipedThreads, estimate), max(e.gossipedMB, estimateMB)
}

// occupancyExcess returns the factor, at least 1, by which this gateway's attempts in flight, now or in the
// mean of the last seconds, exceed the number expected at this load of the fleet. Gateways that do not gossip
// are assumed to exceed their expected number by as much. The factor reveals congestion that utilization does
// not show: queries that wait for disks leave cores idle.
func (g *Gateway) occupancyExcess(threadsPerCore float64) float64 {
	expected := threadsPerCore * g.coreShare() / g.queries.threads
	now := (localAttemptsPrior + g.attemptsInFlight()) / (localAttemptsPrior + expected)
	recent := (recentOccupancyPrior + g.queries.inFlight) / (recentOccupancyPrior + expected)
	return math.Pow(max(1, now, recent), 1-g.fleet.peerCoverage)
}
