package policy

import (
	"math"
	"slices"
)

// Outlier detection by fault shares and missing responses: ejection and trial requests.
const (
	faultSmoothing    = 0.25 // weight of one result in an endpoint's fault share: two in a row are a pattern
	ejectionMargin    = 0.4  // fault share over the fleet's median above which an endpoint is ejected
	readmissionMargin = 0.1  // fault share over the fleet's median below which it is readmitted
	trialInterval     = 0.5  // seconds between trial requests to an ejected endpoint
	maxMissedProgress = 3.0  // progress reports in a row that an attempt may miss
	unresponsiveAges  = 2.0  // multiple of the fleet's mean response age added to minUnresponsive with gossip
	minUnresponsive   = 0.6  // seconds without a response below which overdue attempts may be a pause
)

// Latency inflation: the log of an answer's latency over the time that its work takes on free cores.
const (
	inflationSmoothing     = 0.15 // weight of one answer in an endpoint's inflation
	rareInflationSmoothing = 0.5  // weight of an answer after reportLifetime without a response
	fleetInflationStep     = 0.2  // minimum step of the fleet's median: some seconds of a small gateway
	inflationTolerance     = 0.4  // log inflation over the fleet's that counts as noise
	maxLogInflation        = 2.5  // limit of one log inflation: bad plans are not the endpoint's fault
	minSpeed               = 0.1  // minimum relative speed of a slow endpoint, so that its recovery is seen
)

// updateOutlier ejects or readmits an endpoint by how far its fault share exceeds the fleet's median. The
// share comes from the results of this gateway's attempts and from those that peers gossip. Faults that all
// endpoints show come from elsewhere, such as a bad network, and leave no better endpoint to send to.
func (g *Gateway) updateOutlier(e *endpoint) {
	if !e.ejected && e.faultShare > ejectionMargin+g.fleet.medianFaultShare {
		g.eject(e, "faults")
	} else if e.ejected && e.faultShare < readmissionMargin+g.fleet.medianFaultShare {
		e.ejected = false
		g.logLine("trust %s again", e.ID)
	}
}

// eject stops all but trial requests to an endpoint that fails fast (and so looks idle), hangs or vanishes.
// The log line gives why as the reason.
func (g *Gateway) eject(e *endpoint, why string) {
	e.ejected, e.nextTrialAt = true, g.now+toMicros(trialInterval)
	g.logLine("distrust %s: %s", e.ID, why)
}

// outlierAllows reports whether outlier detection lets a request go to an endpoint. An ejected endpoint gets
// only trial requests, which are first attempts of light queries that may be repeated, unless more than half
// of the endpoints are ejected or not healthy.
func (g *Gateway) outlierAllows(q *request, e *endpoint) bool {
	if !e.ejected || g.fleet.usableEndpoints*2 < len(g.endpoints.list) {
		return true
	}
	return g.now >= e.nextTrialAt && len(q.attempts) == 0 && q.class.Effect != NonIdempotent &&
		q.work <= g.queries.work.value
}

// detectUnresponsive ejects an endpoint that has not responded for some time, if at least two attempts sent
// since its last response are overdue (an attempt of twice the overdue age counts for two), or if an attempt
// misses its progress reports. Where gateways gossip, the time without a response must also exceed the
// fleet's usual one.
func (g *Gateway) detectUnresponsive(e *endpoint) {
	usualAge := 0.0 // usual seconds without a response of an endpoint, by gossip
	if len(g.gossip.reports) > 0 {
		usualAge = unresponsiveAges * g.fleet.responseAge
	}
	if e.ejected || g.secondsSince(e.lastResponse) < minUnresponsive+usualAge {
		return
	}
	overdue := e.cancelledUnanswered
	for _, a := range e.attempts {
		age := g.secondsSince(a.sentAt)
		if !a.waiting && age > minUnresponsive && a.sentAt >= e.lastResponse {
			overdue += math.Floor(min(age/(overdueFactor*a.expectedTime), 2))
		}
	}
	if overdue >= 2 || g.missesProgress(e) { // one overdue attempt alone may be a bad plan
		e.faultShare = ejectionMargin
		g.eject(e, "silent")
	}
}

// missesProgress reports whether an attempt in flight has reported no progress for maxMissedProgress report
// intervals: a hung endpoint sends no reports.
func (g *Gateway) missesProgress(e *endpoint) bool {
	limit := Micros(maxMissedProgress * float64(g.settings.ProgressInterval))
	return g.settings.ProgressInterval > 0 && slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return g.now-max(a.sentAt, a.progressAt) > limit
	})
}

// confirmAlive undoes a guessed restart of the endpoint when an attempt responds that was sent before it: the
// attempt would not have survived a restart. Otherwise a network that breaks single connections would put an
// endpoint into slow start whenever two break at once.
func (e *endpoint) confirmAlive(a *attempt) {
	if e.restartGuessedAt > a.sentAt {
		e.slowStartSince, e.restartGuessedAt = e.slowStartBefore, 0
	}
}

// recordInflation adds the log inflation x of an answer or of a cancelled attempt to the endpoint's mean and
// to the fleet's median, whose minimum step is fleetStep. The median ignores lost answers and bad plans, as
// they are fewer than half. In the mean, x weighs more if the endpoint has not responded for some time.
func (g *Gateway) recordInflation(e *endpoint, x, fleetStep float64) {
	frequent, rare := inflationSmoothing, rareInflationSmoothing
	smoothing := frequent + (rare-frequent)*min(1, g.secondsSince(e.lastResponse)/reportLifetime)
	g.congestion.inflation.add(x, fleetStep)
	e.lastInflation = x
	e.inflation += (x - e.inflation) * smoothing
}

// clipInflation limits one answer's log inflation to ±maxLogInflation.
func clipInflation(x float64) float64 { return max(-maxLogInflation, min(maxLogInflation, x)) }

// relativeSpeed returns an endpoint's speed relative to the fleet, from minSpeed to 1, by the latency of its
// answers. It covers endpoints that slow down for any cause: a noisy neighbor, a failing disk, congestion.
func (g *Gateway) relativeSpeed(e *endpoint) float64 {
	return min(1, max(minSpeed, math.Exp(g.congestion.inflation.value+inflationTolerance-e.inflation)))
}
