package policy

import (
	"math"
	"slices"
)

// runMaintenance does the periodic work: it updates the fleet summary, estimates and prices, polls the
// endpoint list, sends gossip, ejects unresponsive endpoints and checks the open requests.
func (g *Gateway) runMaintenance() {
	retained := math.Pow(idleRetention, timerInterval)
	g.queries.inFlight += (g.attemptsInFlight() - g.queries.inFlight) * (1 - retained)
	g.summarizeFleet(retained)
	g.fleet.occupancyExcess = g.occupancyExcess(g.fleet.threadsPerCore / max(g.fleet.occupancyExcess, 1))
	if g.secondsSince(g.schedule.pricedAt) >= priceInterval {
		g.updateEstimates()
		g.schedule.pricedAt = g.now
	}
	// The endpoint list is polled although it is watched, since a failed call may have ended the watch.
	if g.settings.PollEndpoints && g.now >= g.schedule.pollAt {
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

// checkOpenRequests answers the requests that are near their deadline or earn less than the price of their
// place, and checks the attempts of all others for overdue ones. A request with a streamed answer is left
// alone.
func (g *Gateway) checkOpenRequests() {
	for _, q := range g.ledger.active {
		if q.closed || q.streamed {
			continue
		}
		if g.now >= q.Deadline-g.deadlineGuard() || g.belowQueuePrice(q) {
			g.shedOrFail(q)
			continue
		}
		for _, a := range q.attempts {
			if !a.closed && !a.cancelled && !q.closed {
				g.checkOverdue(a)
			}
		}
	}
	g.ledger.active = slices.DeleteFunc(g.ledger.active, (*request).ended)
}

// updateEstimates recomputes the traffic rates, means and prices every priceInterval, and decays estimates
// that nothing has refreshed.
func (g *Gateway) updateEstimates() {
	interval := max(g.secondsSince(g.schedule.pricedAt), 1e-3)
	// Only the side effect is needed: the call drops the times that have left the window of the retry budget.
	// Each request adds a time, so the list would grow for as long as no retry is considered.
	g.withinRetryBudget()
	g.traffic.updateRates(interval)
	g.updateShare()
	g.updateQueryMeans()
	g.congestion.slack = g.objectiveSlack()
	g.updatePrices(interval)
	g.decayUnreported()
}

// decayUnreported moves estimates without recent reports back to their defaults: the capacity to its initial
// value if no attempt is in flight (a small capacity could keep this gateway from sending, so that no answer
// would ever raise it), and an endpoint's latency inflation to the fleet's. It also resets the claims of this
// gateway on an endpoint (the threads sent there, which mayClaim limits) after priceInterval without a load
// report.
func (g *Gateway) decayUnreported() {
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
