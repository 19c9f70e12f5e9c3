package policy

import "math"

// Capacity: threads a core that any endpoint may hold, of all gateways together.
const (
	initialCapacity  = 1.5  // threads a core at the start: endpoints lose throughput beyond one or two
	maxCapacity      = 2.0  // maximum threads a core: the upper end of the same
	minCapacity      = 0.25 // minimum threads a core of a congested fleet
	capacityBackoff  = 0.9  // factor of a reduction, gentle since reports are late
	capacityInterval = 0.2  // seconds between two adjustments: a report must have come between them
	shrinkSlackShare = 0.67 // share of the objective slack above which capacity shrinks: work is lost
	growSlackShare   = 0.48 // share of it below which capacity in full use grows
)

// Use of the capacity by one query.
const (
	lightCapacityFactor = 1.3  // capacity for light queries: they end soon
	longCapacityFactor  = 0.6  // capacity for a very long query: it would keep out many others
	veryLongFactor      = 4.0  // work over the class's mean from which a query is very long
	staleReportReserve  = 0.3  // share of the capacity reserved for what an old report does not show
	claimExponent       = 3.0  // exponent by which claims grow as the fleet falls under a thread a core
	maxMemoryShare      = 0.95 // share of memory granted above which nothing more is sent
)

// congestion is the state of the control loop that sets the capacity of all endpoints: it compares the
// latency inflation of answers with what the latency objectives leave.
type congestion struct {
	inflation  runningMedian // log latency inflation of answers, ours or gossiped
	slack      float64       // log latency inflation that the objectives leave, see objectiveSlack
	capacity   float64       // threads a core that an endpoint may hold, of all gateways
	adjustedAt Micros
}

// adjust shrinks the capacity of all endpoints under congestion, of cores, disks or memory alike, and
// grows it in full use, by a factor. The capacity is the fleet's: one gateway of many seldom has an
// answer from one endpoint; relativeSpeed covers single ones.
func (c *congestion) adjust(f *fleetSummary) {
	if c.inflation.value > shrinkSlackShare*c.slack {
		c.capacity = max(c.capacity*capacityBackoff, minCapacity)
	} else if c.inflation.value < growSlackShare*c.slack && f.threadsPerCore > c.capacity/2 {
		limit := initialCapacity + (maxCapacity-initialCapacity)*f.peerCoverage // less where load is guessed
		c.capacity = min(c.capacity/capacityBackoff, limit)
	}
}

// relax moves inflation and capacity back to where they started, by a second.
func (c *congestion) relax() {
	c.inflation.value *= idleRetention
	c.capacity = initialCapacity + (c.capacity-initialCapacity)*idleRetention
}

// adjustCapacity adjusts the capacity after an answer.
func (g *Gateway) adjustCapacity() {
	if g.secondsSince(g.congestion.adjustedAt) >= capacityInterval {
		g.congestion.adjustedAt = g.now
		g.congestion.adjust(&g.fleet)
	}
}

// objectiveSlack is the log latency inflation that the objectives leave, of the class that leaves least:
// log(1 + objective · threads ÷ typical work + ObjectiveStretch).
func (g *Gateway) objectiveSlack() float64 {
	slack := math.Inf(1)
	for i := range g.classes {
		c := &g.classes[i]
		inflation := seconds(c.LatencyObjective)*c.threads/c.typicalWork() + c.ObjectiveStretch
		slack = min(slack, math.Log1p(inflation))
	}
	return slack
}

// hasCapacity keeps an endpoint below the load at which all work there slows down, in threads and memory.
func (g *Gateway) hasCapacity(q *request, e *endpoint) bool {
	// A second load of a group would wait for the first.
	if q.class.LocksTables && (!g.inAffinitySubset(q.TableGroup, e) || e.holdsOwnTableLock(q.TableGroup)) {
		return false
	}
	capacity, grant := g.capacityFor(q, e), g.memoryGrant(q, e)
	if e.load.Memory > 0 && e.memoryMB > 0 && g.reportConfidence(e) > 0 &&
		e.load.Memory+(e.unreportedMB+grant)/e.memoryMB > maxMemoryShare {
		return false
	}
	threads, grantedMB := g.peerLoad(e)
	free := max(0, capacity-threads-e.threads+e.claimedThreads)
	if len(g.gossip.reports) > 0 && !g.mayClaim(q, e, threads, free) {
		return false
	}
	grantedMB += e.grantedMB
	if g.settings.Shortage != ShortageSwaps && e.memoryMB > 0 && grantedMB > 0 &&
		grantedMB+grant > maxMemoryShare*e.memoryMB {
		return false
	}
	return e.threads == 0 && threads < capacity || e.threads+threads+q.class.threads <= capacity
}

// capacityFor is the threads that an endpoint may hold for a request to be sent there.
func (g *Gateway) capacityFor(q *request, e *endpoint) float64 {
	capacity := g.congestion.capacity * e.cores * g.relativeSpeed(e)
	switch {
	case q.work > veryLongFactor*q.class.typicalWork():
		capacity *= longCapacityFactor
	case q.work < g.queries.work.value:
		capacity *= lightCapacityFactor
	}
	if k := g.reportConfidence(e); k > 0 { // what other gateways sent since the report is not seen yet
		capacity *= 1 - staleReportReserve*(1-k)*(1-g.fleet.peerCoverage)
	}
	return capacity
}

// mayClaim says whether this gateway may use an endpoint's free threads, free at the last report, where
// peers have so many there. It claims only its share, against peers that do not gossip, of what that report
// leaves free and of what has ended since, by chance where that is less than one query: all gateways that
// gossip see the same free capacity and would fill it several times over.
func (g *Gateway) mayClaim(q *request, e *endpoint, peerThreads, free float64) bool {
	if g.queries.latency.value > 0 {
		queries := (peerThreads + e.threads) / g.queries.threads
		endedPerSecond := queries / g.queries.latency.value * g.queries.sentThreads.value
		free += endedPerSecond * min(g.secondsSince(e.reportArrivedAt), reportLifetime)
	}
	share := g.trafficShare()
	claim := share / (share + (1-share)*(1-g.fleet.peerCoverage))
	limit := free * claim / min(1, math.Pow(g.fleet.threadsPerCore, claimExponent))
	return !(e.claimedThreads+e.claimDraw*q.class.threads > limit)
}
