package policy

import (
	"math"
	"slices"
)

// runMaintenance is the periodic work: fleet summary, estimates and prices, polls, gossip, unresponsive
// endpoints, and all requests that are open.
func (g *Gateway) runMaintenance() {
	keep := math.Pow(idleRetention, timerInterval)
	g.queries.inFlight += (g.attemptsInFlight() - g.queries.inFlight) * (1 - keep)
	g.summarizeFleet(keep)
	g.fleet.occupancyExcess = g.occupancyExcess(g.fleet.threadsPerCore / max(g.fleet.occupancyExcess, 1))
	if g.secondsSince(g.schedule.pricedAt) >= priceInterval {
		g.updateEstimates()
		g.schedule.pricedAt = g.now
	}
	if g.settings.PollEndpoints && g.now >= g.schedule.pollAt { // a failed call may have ended the watch
		g.schedule.pollAt = g.now + max(g.settings.MaxPollInterval/4, toMicros(minPollInterval))
		g.emit(WatchEndpoints{})
	}
	if g.settings.CanGossip && g.settings.Peers > 1 && g.now >= g.gossip.nextAt {
		g.sendGossip()
	}
	for _, e := range g.endpoints.list {
		g.detectUnresponsive(e)
	}
	g.queue.price = g.admissionQueuePrice(g.ledger.unanswered())
	g.checkOpenRequests()
}

// checkOpenRequests ends requests at their deadline or below the price of their place, and looks for overdue
// attempts of the others.
func (g *Gateway) checkOpenRequests() {
	for _, q := range g.ledger.active {
		if q.done || q.streamed {
			continue
		}
		if g.now >= q.Deadline-g.deadlineGuard() || g.belowQueuePrice(q) {
			g.shedOrFail(q)
			continue
		}
		for _, a := range q.attempts {
			if !a.closed && !a.cancelled && !q.done {
				g.checkOverdue(a)
			}
		}
	}
	g.ledger.active = slices.DeleteFunc(g.ledger.active, (*request).ended)
}

// updateEstimates recomputes, each priceInterval, the traffic rates, means and prices, and lets fade what
// nothing reports any more. The retry budget forgets here too: it grows also while nothing is retried.
func (g *Gateway) updateEstimates() {
	interval := max(g.secondsSince(g.schedule.pricedAt), 1e-3)
	g.withinRetryBudget()
	g.traffic.updateRates(interval)
	g.updateShare()
	g.updateQueryMeans()
	g.congestion.slack = g.objectiveSlack()
	g.updatePrices(interval)
	g.fadeUnreported()
}

// fadeUnreported moves what was not reported lately back to the usual: capacity without attempts in flight
// (a small one would let no answer come again), an endpoint's inflation to the fleet's, claims to none.
func (g *Gateway) fadeUnreported() {
	if g.secondsSince(g.congestion.adjustedAt) > priceInterval && g.attemptsInFlight() == 0 {
		g.congestion.relax()
	}
	fleetInflation := g.congestion.inflation.value
	for _, e := range g.endpoints.list {
		if g.secondsSince(e.lastResponse) > reportLifetime {
			e.inflation = fleetInflation + (e.inflation-fleetInflation)*idleRetention
		}
		if g.secondsSince(e.reportArrivedAt) > priceInterval {
			g.renewClaims(e)
		}
	}
}
