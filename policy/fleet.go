package policy

import "slices"

// fleetSummary summarizes the endpoints, as far as reported.
type fleetSummary struct {
	responseAge          float64             // mean age of the last answer, seconds
	threadsPerCore       float64             // mean threads a core of engines heard of late
	threadsPerCoreByKind map[int]runningMean // mean threads a core of those of a kind; looked up only
	reported             bool                // some were
	everReported         bool                // a report told of threads, ever
	occupancyExcess      float64             // own queries in flight over those expected
	trustedEndpoints     int
	medianFaultShare     float64 // middle of the healthy engines' shares of faults
	peerCoverage         float64 // share of peers whose own attempts we know
	cores, threads       float64 // of healthy engines: cores; all threads there, unheard ones as average
}

// summarizeFleet sums up the fleet: gossip older than gossipAge seconds is forgotten, response ages count
// up to maxAge seconds, and the load shrinks to keep of itself while nothing is reported.
func (g *Gateway) summarizeFleet(word, fresh, keep float64) {
	for ; len(g.gossip.arrivals) > 0 && g.secondsSince(g.gossip.arrivals[0].at) > word; g.gossip.arrivals = g.gossip.arrivals[1:] {
		if h := g.gossip.arrivals[0]; g.gossip.reports[h.from].at == h.at {
			g.forgetGossip(h.from)
		}
	}
	f := fleetSummary{occupancyExcess: g.fleet.occupancyExcess, everReported: g.fleet.everReported, threadsPerCoreByKind: map[int]runningMean{}}
	for _, h := range g.gossip.arrivals {
		if g.gossip.reports[h.from].at == h.at {
			f.peerCoverage += 1 / float64(g.settings.Peers-1)
		}
	}
	f.peerCoverage = min(f.peerCoverage, 1)
	var busy, age float64
	var faults []float64
	for _, e := range g.endpoints.list {
		if e.State != Healthy {
			continue
		}
		f.cores += e.cores
		age += min(g.secondsSince(e.lastResponse), fresh)
		if !e.ejected {
			f.trustedEndpoints++
		}
		faults = append(faults, e.faultShare)
		if k := g.reportConfidence(e); k > 0 {
			threads, _ := g.peerLoad(e)
			busy += e.cores
			f.threads += threads + e.threads
			of := f.threadsPerCoreByKind[e.Kind]
			of.add((threads+e.threads)/e.cores, 0)
			f.threadsPerCoreByKind[e.Kind] = of
		}
	}
	if f.threadsPerCore = g.fleet.threadsPerCore; busy > 0 {
		f.threadsPerCore, f.reported, f.everReported = f.threads/busy, true, true
	} else { // hearing nothing for long must not keep a gateway from trying
		f.threadsPerCore *= keep
		if !f.everReported { // no report ever does: what we have out, over our share, over some time
			f.threadsPerCore += (1 - keep) * g.threadsInFlight() / g.coreShare()
		}
	}
	if slices.Sort(faults); len(faults) > 0 {
		f.medianFaultShare = faults[(len(faults)-1)/2]
	}
	f.responseAge = age / max(1, float64(len(g.endpoints.list)))
	f.threads = f.threadsPerCore * f.cores
	g.fleet = f
}

// threadsPerCoreOf is the mean of a kind's endpoints, where any was reported lately; else the fleet's.
func (f *fleetSummary) threadsPerCoreOf(kind int) float64 {
	if of, ok := f.threadsPerCoreByKind[kind]; ok {
		return of.value
	}
	return f.threadsPerCore
}

// threadsInFlight counts own threads in flight, at all levels.
func (g *Gateway) threadsInFlight() (n float64) {
	for _, t := range g.threads {
		n += t
	}
	return n
}

// grantsInFlightMB sums own memory grants in flight.
func (g *Gateway) grantsInFlightMB() (n float64) {
	for _, e := range g.endpoints.list {
		n += e.grantedMB
	}
	return n
}

// attemptsInFlight counts own attempts in flight.
func (g *Gateway) attemptsInFlight() (n float64) {
	for _, e := range g.endpoints.list {
		n += float64(len(e.attempts))
	}
	return n
}
