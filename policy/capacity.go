package policy

import "math"

// Capacity: threads a core that any endpoint may hold, of all gateways together.
const (
	initialCapacity     = 1.5  // threads a core at the start: endpoints lose throughput beyond one or two
	maxCapacity         = 2.0  // maximum threads a core: the upper end of the same
	minCapacity         = 0.25 // minimum threads a core of a congested fleet
	capacityBackoff     = 0.9  // factor of a reduction, gentle since reports are late
	capacityInterval    = 0.2  // seconds between two adjustments: a report must have come between them
	shrinkSlackShare    = 0.67 // share of the objective slack above which capacity shrinks: work is lost
	growSlackShare      = 0.48 // share of it below which capacity in full use grows
	lightCapacityFactor = 1.3  // light queries may use this much of the capacity: they end soon
	longCapacityFactor  = 0.6  // share of the capacity for a query far over its class's mean: it stays long
	veryLongFactor      = 4.0  // work over the class's mean, as a factor, from which a query is such
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

// hasCapacity keeps an endpoint below the load at which all work there slows down. A gateway claims only
// its share of what the last report leaves free and of what has ended since, by chance where that is less
// than one query: all gateways that gossip see the same free capacity and would fill it several times over.
func (g *Gateway) hasCapacity(q *request, e *endpoint) bool {
	room := g.congestion.capacity * e.cores * g.relativeSpeed(e)
	if q.class.LocksTables && (!g.inAffinitySubset(q.TableGroup, e) || e.holdsOwnTableLock(q.TableGroup)) { // the next would stand behind it
		return false
	}
	switch {
	case q.work > veryLongFactor*q.class.typicalWork(): // it would hold the room for many others
		room *= longCapacityFactor
	case q.work < g.queries.work.value:
		room *= lightCapacityFactor
	}
	k, grant := g.reportConfidence(e), g.memoryGrant(q, e)
	if k > 0 { // what others sent since is not seen yet
		room *= 1 - staleReportReserve*(1-k)*(1-g.fleet.peerCoverage)
	}
	if e.load.Memory > 0 && e.memoryMB > 0 && k > 0 && e.load.Memory+(e.unreportedMB+grant)/e.memoryMB > maxMemoryShare {
		return false
	}
	threads, granted := g.peerLoad(e)
	free := max(0, room-threads-e.threads+e.claimedThreads)
	if g.queries.latency.value > 0 {
		ends := (threads + e.threads) / g.queries.threads / g.queries.latency.value * g.queries.sentThreads.value // threads a second
		free += ends * min(g.secondsSince(e.reportArrivedAt), reportLifetime)
	}
	if len(g.gossip.reports) > 0 {
		claim := g.trafficShare() / (g.trafficShare() + (1-g.trafficShare())*(1-g.fleet.peerCoverage)) // ours against those not heard
		if e.claimedThreads+e.claimDraw*q.class.threads > free*claim/min(1, math.Pow(g.fleet.threadsPerCore, claimExponent)) {
			return false
		}
	}
	granted += e.grantedMB
	short := g.settings.Shortage != ShortageSwaps && e.memoryMB > 0 && granted > 0 && granted+grant > maxMemoryShare*e.memoryMB
	return !short && (e.threads == 0 && threads < room || e.threads+threads+q.class.threads <= room)
}

// adjustCapacity shrinks the capacity of all endpoints under congestion, of cores, disks or memory alike,
// and grows it in full use (multiplicative both ways). It is the fleet's: one gateway of many seldom has an
// answer from one endpoint; relativeSpeed covers single ones.
func (g *Gateway) adjustCapacity() {
	if g.secondsSince(g.congestion.adjustedAt) < capacityInterval {
		return
	}
	if g.congestion.adjustedAt = g.now; g.congestion.inflation.value > shrinkSlackShare*g.congestion.slack {
		g.congestion.capacity = max(g.congestion.capacity*capacityBackoff, minCapacity)
	} else if g.congestion.inflation.value < growSlackShare*g.congestion.slack && g.fleet.threadsPerCore > g.congestion.capacity/2 {
		most := initialCapacity + (maxCapacity-initialCapacity)*g.fleet.peerCoverage // less where others are guessed
		g.congestion.capacity = min(g.congestion.capacity/capacityBackoff, most)
	}
}

// objectiveSlack is the log latency inflation that the objectives leave, of the class that leaves least.
func (g *Gateway) objectiveSlack() float64 {
	least := math.Inf(1)
	for i := range g.classes {
		c := &g.classes[i]
		least = min(least, math.Log1p(float64(c.LatencyObjective)/microsPerSecond*c.threads/c.typicalWork()+c.ObjectiveStretch))
	}
	return least
}
