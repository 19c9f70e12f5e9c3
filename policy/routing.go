package policy

import (
	"math"
	"slices"
)

// Routing: the weights of the random draw among endpoints that have capacity.
const (
	utilizationExponent = 2.0  // exponent of free utilization in the weight
	minDrawShare        = 0.03 // minimum free utilization in the weight; factor of an endpoint tried before
	localZoneWeight     = 4.0  // factor of endpoints in the gateway's own zone
)

// pickEndpoint draws an endpoint among those eligible that have capacity; nil if there is none. Where
// endpoints answer health checks it draws twice, checks both while own traffic pays for that, and takes the
// better one when the reports are in: otherwise a gateway with little traffic knows the load of none.
func (g *Gateway) pickEndpoint(q *request) *endpoint {
	if g.awaitsHealthCheck(q, healthCheckTimeout) || !g.mayStartAttempt(q) {
		return nil
	}
	weights, total := make([]float64, len(g.endpoints.list)), 0.0
	for i, e := range g.endpoints.list {
		if g.isEligible(q, e) && g.outlierAllows(q, e) && g.hasCapacity(q, e) && g.hasSlowStartCapacity(q, e) {
			weights[i] = g.drawWeight(q, e)
			total += weights[i]
		}
	}
	if total <= 0 { // what is taken to be full may not be so any more
		if e := g.anyEndpoint(); e != nil && g.isEligible(q, e) && g.mayCheckHealth(q, e) {
			g.startHealthChecks(q, e)
		}
		return nil
	}
	if best := g.bestEndpoint(weights, q.candidates); best != nil { // the answers are in, or late
		return best
	}
	e := g.drawEndpoint(weights, total)
	if !g.mayCheckHealth(q, e) {
		return e
	}
	g.startHealthChecks(q, e, g.drawEndpoint(weights, total))
	return nil
}

// isEligible keeps the rules of placement, drains, protocol and deduplication scope.
func (g *Gateway) isEligible(q *request, e *endpoint) bool {
	c := q.class
	if q.StickyTo != "" && q.StickyTo != e.ID || q.Protocol&^e.Protocols != 0 ||
		e.State != Healthy && (q.StickyTo == "" || e.State != Draining || g.now >= e.drainUntil) ||
		c.Zones != nil && !slices.Contains(c.Zones, e.Zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		return false
	}
	if c.Effect != IdempotentByKey || q.firstRan == nil || c.DedupScope == DedupFleet {
		return true
	}
	return c.DedupScope == DedupZone && e.Zone == q.firstRan.endpoint.Zone || c.DedupScope == DedupPlacementGroup && e.PlacementGroup == q.firstRan.endpoint.PlacementGroup
}

// mayStartAttempt says whether another attempt of the request is within the rules now.
func (g *Gateway) mayStartAttempt(q *request) bool {
	c := q.class
	if q.done || q.streamed || len(q.attempts) >= g.settings.MaxAttempts {
		return false
	}
	if c.Ordered && q.HasOrderKey && !g.keyOrders[q.OrderKey].isNext(q, g.now) {
		return false
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.openAttempts > 0 && !g.settings.AllowHedging || c.Effect == NonIdempotent && (q.openAttempts > 0 || q.firstRan != nil) ||
		c.Effect == IdempotentByKey && q.firstRan != nil && g.now >= q.firstRan.sentAt+c.DedupWindow {
		return false
	}
	return g.withinRetryBudget()
}

// drawWeight is an endpoint's weight in the draw: free utilization, cores, speed, zone, warm data, table
// locks.
func (g *Gateway) drawWeight(q *request, e *endpoint) float64 {
	w := math.Pow(max(minDrawShare, 1-g.utilization(e)/maxCapacity), utilizationExponent) * e.cores * math.Pow(g.relativeSpeed(e), 2)
	if e.Zone == g.settings.Zone {
		w *= localZoneWeight
	}
	if slices.Contains(e.warmGroups, q.TableGroup) {
		w *= math.Exp(warmthExponent * max(0, g.warmth.inflation[0]-g.warmth.inflation[1]-warmthTolerance))
	}
	if (q.class.WaitsForTables || q.class.LocksTables) && g.tablesLocked(e, q.TableGroup) {
		w *= lockedTablesWeight * lockedTablesWeight
	}
	if q.class.WaitsForTables && g.inAffinitySubset(q.TableGroup, e) {
		w *= lockedTablesWeight
	}
	for _, a := range q.attempts { // another try goes elsewhere if it can
		if a.endpoint == e {
			w *= minDrawShare
		}
	}
	return w
}

// drawEndpoint draws an endpoint by weight.
func (g *Gateway) drawEndpoint(weights []float64, total float64) *endpoint {
	x, last := g.rng.Float64()*total, 0
	for i, w := range weights {
		if w > 0 {
			last = i
		}
		if x -= w; x < 0 && w > 0 {
			break
		}
	}
	return g.endpoints.list[last]
}

// bestEndpoint is the candidate of highest weight; nil if none has any.
func (g *Gateway) bestEndpoint(weights []float64, of []*endpoint) (best *endpoint) {
	most := 0.0
	for i, e := range g.endpoints.list {
		if weights[i] > most && slices.Contains(of, e) {
			best, most = e, weights[i]
		}
	}
	return best
}

// anyEndpoint draws among all endpoints alike; nil if there is none.
func (g *Gateway) anyEndpoint() *endpoint {
	if len(g.endpoints.list) == 0 {
		return nil
	}
	return g.endpoints.list[g.rng.IntN(len(g.endpoints.list))]
}
