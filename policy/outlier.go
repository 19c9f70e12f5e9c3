package policy

import (
	"math"
	"slices"
)

// Outlier detection: fault shares, ejection, trial requests.
const (
	faultSmoothing    = 0.25 // weight of one result in an endpoint's fault share: two in a row are a pattern
	ejectionMargin    = 0.4  // fault share over the fleet's median at which an endpoint is ejected
	readmissionMargin = 0.1  // fault share over the fleet's median below which it is readmitted
	trialInterval     = 0.5  // seconds between trial requests to an ejected endpoint
	maxMissedProgress = 3.0  // progress reports in a row that may be missing
	unresponsiveAges  = 2.0  // multiple of the fleet's mean response age that is not yet unresponsive
	minUnresponsive   = 0.6  // seconds without a response below which overdue attempts prove nothing (pauses)
)

// Latency inflation: log of an answer's time over what its work would take on free cores.
const (
	inflationSmoothing     = 0.15 // weight of one answer in an endpoint's inflation
	rareInflationSmoothing = 0.5  // the same where none came for as long as reports are believed
	fleetInflationStep     = 0.2  // minimum step of the fleet's median: a few seconds of a small gateway
	inflationTolerance     = 0.4  // log inflation over the fleet's that is noise
	maxLogInflation        = 2.5  // maximum that one answer counts: bad plans are not the endpoint's fault
	minSpeed               = 0.1  // minimum speed of a slow endpoint, so that its recovery is seen
)

// updateOutlier ejects and readmits an endpoint by its share of faults, by our results and by gossip, over
// the fleet's median: faults that all endpoints have are not its own (a bad network), and there is nothing
// better to send to.
func (g *Gateway) updateOutlier(e *endpoint) {
	if !e.ejected && e.faultShare > ejectionMargin+g.fleet.medianFaultShare {
		g.eject(e, "faults")
	} else if e.ejected && e.faultShare < readmissionMargin+g.fleet.medianFaultShare {
		e.ejected = false
		g.logLine("trust %s again", e.ID)
	}
}

// eject keeps all but trial requests from an endpoint that fails fast (and looks idle), hangs or vanishes.
func (g *Gateway) eject(e *endpoint, why string) {
	e.ejected, e.nextTrialAt = true, g.now+toMicros(trialInterval)
	g.logLine("distrust %s: %s", e.ID, why)
}

// outlierAllows restricts ejected endpoints to trials with light repeatable queries, unless most are
// ejected.
func (g *Gateway) outlierAllows(q *request, e *endpoint) bool {
	if !e.ejected || g.fleet.trustedEndpoints*2 < len(g.endpoints.list) {
		return true
	}
	return g.now >= e.nextTrialAt && len(q.attempts) == 0 && q.class.Effect != NonIdempotent &&
		q.work <= g.queries.work.value
}

// detectUnresponsive ejects an endpoint whose attempts in flight are all far past expectation, or that
// misses progress reports of one. Where gateways gossip, the time without a response must exceed the
// fleet's usual one.
func (g *Gateway) detectUnresponsive(e *endpoint) {
	usual := 0.0 // seconds between responses of an endpoint
	if len(g.gossip.reports) > 0 {
		usual = unresponsiveAges * g.fleet.responseAge
	}
	if e.ejected || g.secondsSince(e.lastResponse) < minUnresponsive+usual {
		return
	}
	overdue := e.cancelledUnanswered
	for _, a := range e.attempts {
		age := g.secondsSince(a.sentAt)
		if !a.waiting && age > minUnresponsive && a.sentAt >= e.lastResponse {
			overdue += math.Floor(min(age/(overdueFactor*a.expectedTime), 2))
		}
	}
	if overdue >= 2 || g.missesProgress(e) { // two attempts, or one very old: one alone may be a bad plan
		e.faultShare = ejectionMargin
		g.eject(e, "silent")
	}
}

// missesProgress says that the progress reports of an attempt have stopped: a hung endpoint sends none.
func (g *Gateway) missesProgress(e *endpoint) bool {
	limit := Micros(maxMissedProgress * float64(g.settings.ProgressInterval))
	return g.settings.ProgressInterval > 0 && slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return g.now-max(a.sentAt, a.progressAt) > limit
	})
}

// confirmAlive takes a response of an attempt: where that was sent before its endpoint seemed to restart,
// the endpoint never did. It guards against networks that break single connections: each pair of them would
// put an endpoint into slow start.
func (e *endpoint) confirmAlive(a *attempt) {
	if e.restartGuessedAt > a.sentAt {
		e.slowStartSince, e.restartGuessedAt = e.slowStartBefore, 0
	}
}

// recordInflation learns the log inflation x of an answer, for the endpoint and for the fleet, whose median
// is followed in steps of at least fleetStep: lost answers and bad plans are fewer than half. It weighs
// more for an endpoint that has not responded for some time.
func (g *Gateway) recordInflation(e *endpoint, x, fleetStep float64) {
	frequent, rare := inflationSmoothing, rareInflationSmoothing
	smoothing := frequent + (rare-frequent)*min(1, g.secondsSince(e.lastResponse)/reportLifetime)
	g.congestion.inflation.add(x, fleetStep)
	e.lastInflation = x
	e.inflation += (x - e.inflation) * smoothing
}

// clipInflation limits what one answer's log inflation counts.
func clipInflation(x float64) float64 { return max(-maxLogInflation, min(maxLogInflation, x)) }

// relativeSpeed is an endpoint's speed relative to the fleet, as seen in answers. It guards against
// endpoints that slow down, whatever the cause: a noisy neighbor, a failing disk, congestion.
func (g *Gateway) relativeSpeed(e *endpoint) float64 {
	return min(1, max(minSpeed, math.Exp(g.congestion.inflation.value+inflationTolerance-e.inflation)))
}
