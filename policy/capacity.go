package policy

import "math"

// Capacity of an endpoint, in threads a core of all gateways together, and how it is adjusted.
const (
	initialCapacity  = 1.5  // threads a core at the start: endpoints lose throughput beyond one or two
	maxCapacity      = 2.0  // maximum threads a core: the upper end of that range
	minCapacity      = 0.25 // minimum threads a core, for a congested fleet
	capacityBackoff  = 0.9  // factor of a reduction, close to 1 since reports are late; growth divides by it
	capacityInterval = 0.2  // minimum seconds between two adjustments: a report must arrive between them
	shrinkSlackShare = 0.67 // share of objectiveSlack above which capacity shrinks: beyond it work is lost
	growSlackShare   = 0.48 // share of objectiveSlack below which capacity grows if over half is in use
)

// How much of the capacity one query may use.
const (
	lightCapacityFactor = 1.3  // factor for a query of less work than the mean: it ends soon
	longCapacityFactor  = 0.6  // factor for a very long query: it would keep out many others
	veryLongWorkFactor  = 4.0  // multiple of the class's typical work above which a query is very long
	staleReportReserve  = 0.3  // maximum share of the capacity reserved for what an old report does not show
	claimExponent       = 3.0  // exponent by which mayClaim's limit grows below one thread a core (fleet)
	maxMemoryShare      = 0.95 // maximum share of an endpoint's memory in use or granted after a send
)

// congestion is the state of the control loop that sets the capacity of all endpoints. The loop compares the
// latency inflation of answers with the inflation that the latency objectives allow.
type congestion struct {
	inflation  runningMedian // log latency inflation of answers to this gateway and, by gossip, to peers
	slack      float64       // least log latency inflation that the latency objective of any class allows
	capacity   float64       // threads a core that an endpoint may hold, of all gateways
	adjustedAt Micros
}

// adjust multiplies the capacity of all endpoints by capacityBackoff under congestion, whether of cores,
// disks or memory, and divides it by capacityBackoff without congestion, if more than half of it is in use.
// One capacity applies to the fleet, since one gateway of many seldom has an answer from a given endpoint;
// relativeSpeed covers single slow endpoints.
func (c *congestion) adjust(f *fleetSummary) {
	if c.inflation.value > shrinkSlackShare*c.slack {
		c.capacity = max(c.capacity*capacityBackoff, minCapacity)
	} else if c.inflation.value < growSlackShare*c.slack && f.threadsPerCore > c.capacity/2 {
		limit := initialCapacity + (maxCapacity-initialCapacity)*f.peerCoverage // less without gossip
		c.capacity = min(c.capacity/capacityBackoff, limit)
	}
}

// relax moves inflation and capacity back towards their initial values, by the decay of one second.
func (c *congestion) relax() {
	c.inflation.value *= idleRetention
	c.capacity = initialCapacity + (c.capacity-initialCapacity)*idleRetention
}

// adjustCapacity adjusts the capacity after an answer, at most once in capacityInterval.
func (g *Gateway) adjustCapacity() {
	if g.secondsSince(g.congestion.adjustedAt) >= capacityInterval {
		g.congestion.adjustedAt = g.now
		g.congestion.adjust(&g.fleet)
	}
}

// objectiveSlack returns the log latency inflation that the latency objectives allow, for the class that
// allows least: log(1 + objective · threads ÷ typical work + ObjectiveStretch).
func (g *Gateway) objectiveSlack() float64 {
	slack := math.Inf(1)
	for i := range g.classes {
		c := &g.classes[i]
		inflation := seconds(c.LatencyObjective)*c.threads/c.typicalWork() + c.ObjectiveStretch
		slack = min(slack, math.Log1p(inflation))
	}
	return slack
}

// hasCapacity reports whether an endpoint has the threads, the memory and, for a load, the table lock free
// that a request needs. Above its capacity all queries on an endpoint slow down.
func (g *Gateway) hasCapacity(q *request, e *endpoint) bool {
	// A second load of a group on one endpoint would wait for the first.
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

// capacityFor returns the threads of all gateways that an endpoint may hold if the request is sent there, the
// request's threads included.
func (g *Gateway) capacityFor(q *request, e *endpoint) float64 {
	capacity := g.congestion.capacity * e.cores * g.relativeSpeed(e)
	switch {
	case q.work > veryLongWorkFactor*q.class.typicalWork():
		capacity *= longCapacityFactor
	case q.work < g.queries.work.value:
		capacity *= lightCapacityFactor
	}
	if confidence := g.reportConfidence(e); confidence > 0 { // the report lacks what peers sent since
		capacity *= 1 - staleReportReserve*(1-confidence)*(1-g.fleet.peerCoverage)
	}
	return capacity
}

// mayClaim reports whether the limit of this gateway's claims on an endpoint lets it send a request there.
// The claims are the threads of all attempts that it has sent to the endpoint since renewClaims last reset
// them, as it does at each load report. free is the number of threads that were free at the last report, and
// peerThreads the number that peers have in flight there. The limit is the gateway's share, among itself and
// the peers that do not gossip, of the threads that the report leaves free and of those that queries have
// released since. claimDraw rounds the limit to whole queries at random. Without the limit, all gateways that
// gossip would see the same free capacity and fill it several times over.
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
