package policy

import (
	"math"
	"slices"
)

// runMaintenance is the periodic work: fleet summary, prices, polls, gossip, unresponsive endpoints, and
// all that is open: deadlines and overdue attempts.
func (g *Gateway) runMaintenance() {
	keep := math.Pow(idleRetention, timerInterval)
	g.queries.inFlight += (g.attemptsInFlight() - g.queries.inFlight) * (1 - keep)
	g.summarizeFleet(gossipLifetime, reportLifetime, keep)
	g.fleet.occupancyExcess = g.occupancyExcess(g.fleet.threadsPerCore / max(g.fleet.occupancyExcess, 1))
	if g.secondsSince(g.schedule.pricedAt) >= priceInterval {
		g.updatePrices()
		g.schedule.pricedAt = g.now
	}
	if g.settings.PollEndpoints && g.now >= g.schedule.pollAt { // a failed call may have ended the subscription
		g.schedule.pollAt = g.now + max(g.settings.MaxPollInterval/4, Micros(minPollInterval*microsPerSecond))
		g.emit(WatchEndpoints{})
	}
	if g.settings.CanGossip && g.settings.Peers > 1 && g.now >= g.gossip.nextAt {
		g.sendGossip()
	}
	for _, e := range g.endpoints.list {
		g.detectUnresponsive(e)
	}
	g.queue.price = g.admissionQueuePrice(g.countUnanswered())
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
	g.ledger.active = slices.DeleteFunc(g.ledger.active, func(q *request) bool { return q.done && q.openAttempts == 0 })
}
