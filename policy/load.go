package policy

import "math"

// Load estimates of one endpoint.
const (
	reportLifetime       = 3.0  // seconds for which a load report is believed, ever less, and gossiped
	threadsPerBusyCore   = 1.5  // threads in flight for each busy core: the others read or write
	saturatedUtilization = 0.85 // utilization at which an endpoint counts as at capacity
	saturatedThreadSlope = 5.0  // threads a core for each unit of utilization above that: it hides the rest
	recentOccupancyPrior = 0.6  // attempts, over seconds, that may exceed the expectation by chance
	localAttemptsPrior   = 4.0  // own attempts on an endpoint that weigh as much as the fleet's mean
)

// recordLoad takes an endpoint's load report of a time, ours or a peer's.
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

// renewClaims starts the claims on an endpoint's free capacity anew, see mayClaim.
func (g *Gateway) renewClaims(e *endpoint) {
	e.reportArrivedAt, e.claimedThreads, e.claimDraw = g.now, 0, g.rng.Float64()
}

// reportConfidence is how far an endpoint's report is believed, from 1 when new to 0 at reportLifetime; 0
// where it has neither utilization nor queries in flight.
func (g *Gateway) reportConfidence(e *endpoint) float64 {
	if e.loadAt == 0 || e.load.Utilization < 0 && e.load.InFlight < 0 {
		return 0
	}
	return max(0, 1-g.secondsSince(e.loadAt)/reportLifetime)
}

// utilization is an endpoint's estimated utilization: reported plus own sends since, else by its queries
// in flight or own threads there. Where nothing is reported it is the fleet's mean, in proportion to the
// report's age.
func (g *Gateway) utilization(e *endpoint) float64 {
	k := g.reportConfidence(e)
	switch {
	case k == 0 && g.fleet.threadsPerCore == 0:
		return e.threads / g.trafficShare() / e.cores
	case e.loadAt == 0 || e.load.Utilization < 0:
		threads, _ := g.peerLoad(e)
		return (threads + e.threads) / threadsPerBusyCore / e.cores
	}
	return k*e.load.Utilization + (1-k)*g.fleet.threadsPerCore + e.unreportedThreads/e.cores
}

// peerLoad is what other gateways have on an endpoint, in threads and granted MB: the maximum of what they
// gossip and of what its report leaves beyond ours. What is not reported is the mean of its kind, corrected
// by own attempts there as far as our share of the traffic makes them significant. Queries in flight include
// timed-out ones that still run.
func (g *Gateway) peerLoad(e *endpoint) (threads, grantedMB float64) {
	k, reportedOwn, share := g.reportConfidence(e), e.threads-e.unreportedThreads, g.trafficShare()
	usual := g.fleet.threadsPerCoreOf(e.Kind) * e.cores * (1 - share)
	weight := usual * share / (usual*share + localAttemptsPrior)
	estimate := (1-weight)*usual + weight*e.threads*(1/share-1)
	switch {
	case k > 0 && e.load.InFlight >= 0:
		estimate = e.load.InFlight*g.queries.threads - reportedOwn
	case k > 0 && e.load.Utilization >= 0:
		saturated := saturatedThreadSlope * max(0, e.load.Utilization-saturatedUtilization)
		threadsPerCore := g.fleet.occupancyExcess * (threadsPerBusyCore*e.load.Utilization + saturated)
		estimate = (k*(threadsPerCore*e.cores-reportedOwn) + (1-k)*estimate) * (1 - g.fleet.peerCoverage)
	}
	estimateMB := estimate * g.queries.grantMB * (1 - g.fleet.peerCoverage) // grants as big as ours
	return max(e.gossipedThreads, estimate), max(e.gossipedMB, estimateMB)
}

// occupancyExcess is how far own attempts in flight, now or over seconds, exceed what so many threads a
// core lead us to expect; gateways that do not gossip are assumed to see the same. It guards against
// congestion that looks idle: utilization says little of queries that wait for disks.
func (g *Gateway) occupancyExcess(threadsPerCore float64) float64 {
	expected := threadsPerCore * g.coreShare() / g.queries.threads
	now := (localAttemptsPrior + g.attemptsInFlight()) / (localAttemptsPrior + expected)
	recent := (recentOccupancyPrior + g.queries.inFlight) / (recentOccupancyPrior + expected)
	return math.Pow(max(1, now, recent), 1-g.fleet.peerCoverage)
}
