package policy

import "slices"

// fleetSummary summarizes the healthy endpoints.
type fleetSummary struct {
	cores                float64             // of all healthy endpoints
	threads              float64             // on all; endpoints without a valid report count as the mean
	threadsPerCore       float64             // of endpoints with a valid report; fades while there are none
	threadsPerCoreByKind map[int]runningMean // mean by kind of machine; looked up only
	reported             bool                // an endpoint has a valid report
	everReported         bool                // an endpoint has had a valid report at any time
	occupancyExcess      float64             // this gateway's attempts in flight ÷ those expected, at least 1
	responseAge          float64             // mean seconds since a response, each at most reportLifetime
	usableEndpoints      int                 // healthy endpoints that are not ejected
	medianFaultShare     float64             // median of the endpoints' fault shares
	peerCoverage         float64             // share of the peers whose own attempts are known by gossip
}

// summarizeFleet recomputes the fleet summary. While no endpoint has a valid report, the load of the fleet
// shrinks to the share retention of its last value at each call.
func (g *Gateway) summarizeFleet(retention float64) {
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
			f.usableEndpoints++
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
	} else { // the load fades: a long time without reports must not keep the gateway from sending
		f.threadsPerCore *= retention
		if !f.everReported { // no reports: this gateway's threads over its share of the cores, smoothed
			f.threadsPerCore += (1 - retention) * g.threadsInFlight() / g.coreShare()
		}
	}
	if slices.Sort(faultShares); len(faultShares) > 0 {
		f.medianFaultShare = faultShares[(len(faultShares)-1)/2]
	}
	f.responseAge = responseAge / max(1, float64(len(g.endpoints.list)))
	f.threads = f.threadsPerCore * f.cores
	g.fleet = f
}

// threadsPerCoreOf returns the mean of the endpoints of a machine kind, or the fleet's mean if no endpoint of
// the kind has a valid report.
func (f *fleetSummary) threadsPerCoreOf(kind int) float64 {
	if mean, ok := f.threadsPerCoreByKind[kind]; ok {
		return mean.value
	}
	return f.threadsPerCore
}

// threadsInFlight counts the threads of this gateway's attempts in flight, at all priority levels.
func (g *Gateway) threadsInFlight() (n float64) {
	for _, t := range g.threads {
		n += t
	}
	return n
}

// grantsInFlightMB sums the memory granted to this gateway's attempts in flight.
func (g *Gateway) grantsInFlightMB() (n float64) {
	for _, e := range g.endpoints.list {
		n += e.grantedMB
	}
	return n
}

// attemptsInFlight counts this gateway's attempts in flight.
func (g *Gateway) attemptsInFlight() (n float64) {
	for _, e := range g.endpoints.list {
		n += float64(len(e.attempts))
	}
	return n
}
