package policy

import "slices"

// fleetSummary summarizes the healthy endpoints, as far as reported.
type fleetSummary struct {
	cores                float64             // of all
	threads              float64             // on all; those not reported count as the mean
	threadsPerCore       float64             // mean of those reported lately
	threadsPerCoreByKind map[int]runningMean // the same by kind of machine; looked up only
	reported             bool                // some were reported lately
	everReported         bool                // some were reported ever
	occupancyExcess      float64             // own attempts in flight over those expected
	responseAge          float64             // mean seconds since an endpoint's last response
	trustedEndpoints     int                 // not ejected
	medianFaultShare     float64             // of all
	peerCoverage         float64             // share of peers whose own attempts are known
}

// summarizeFleet sums up the fleet. Its load shrinks to keep of itself while nothing is reported.
func (g *Gateway) summarizeFleet(keep float64) {
	g.expireGossip()
	f := fleetSummary{occupancyExcess: g.fleet.occupancyExcess, everReported: g.fleet.everReported,
		threadsPerCoreByKind: map[int]runningMean{}, peerCoverage: g.gossip.coverage(g.settings.Peers - 1)}
	var reportedCores, responseAge float64
	var faultShares []float64
	for _, e := range g.endpoints.list {
		if e.State != Healthy {
			continue
		}
		f.cores += e.cores
		responseAge += min(g.secondsSince(e.lastResponse), reportLifetime)
		if !e.ejected {
			f.trustedEndpoints++
		}
		faultShares = append(faultShares, e.faultShare)
		if g.reportConfidence(e) > 0 {
			peerThreads, _ := g.peerLoad(e)
			reportedCores += e.cores
			f.threads += peerThreads + e.threads
			mean := f.threadsPerCoreByKind[e.Kind]
			mean.add((peerThreads+e.threads)/e.cores, 0)
			f.threadsPerCoreByKind[e.Kind] = mean
		}
	}
	f.threadsPerCore = g.fleet.threadsPerCore
	if reportedCores > 0 {
		f.threadsPerCore, f.reported, f.everReported = f.threads/reportedCores, true, true
	} else { // a long time without reports must not keep a gateway from sending
		f.threadsPerCore *= keep
		if !f.everReported { // no endpoint reports: own threads over our share of the cores, over some time
			f.threadsPerCore += (1 - keep) * g.threadsInFlight() / g.coreShare()
		}
	}
	if slices.Sort(faultShares); len(faultShares) > 0 {
		f.medianFaultShare = faultShares[(len(faultShares)-1)/2]
	}
	f.responseAge = responseAge / max(1, float64(len(g.endpoints.list)))
	f.threads = f.threadsPerCore * f.cores
	g.fleet = f
}

// threadsPerCoreOf is the mean of a kind's endpoints, where any was reported lately; else the fleet's.
func (f *fleetSummary) threadsPerCoreOf(kind int) float64 {
	if mean, ok := f.threadsPerCoreByKind[kind]; ok {
		return mean.value
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
