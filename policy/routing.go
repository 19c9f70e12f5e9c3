package policy

import (
	"math"
	"slices"
)

// Weights of the random draw among the endpoints that have capacity for a request.
const (
	utilizationExponent = 2.0  // exponent of free utilization in the weight
	minDrawShare        = 0.03 // minimum free utilization in the weight; factor for each attempt made there
	localZoneWeight     = 4.0  // factor for endpoints in the gateway's own zone
)

// pickEndpoint draws an endpoint for a request among the eligible ones that have capacity. It returns nil
// if there is none, if the request may not be sent now, or if the request waits for health checks. Where
// endpoints answer health checks and the health check credit suffices, it draws two candidates, checks both
// and picks the one of higher weight once the reports have arrived or timed out. Otherwise a gateway with
// little traffic would know the load of no endpoint.
func (g *Gateway) pickEndpoint(q *request) *endpoint {
	if g.awaitsHealthCheck(q) || !g.mayStartAttempt(q) {
		return nil
	}
	weights, total := make([]float64, len(g.endpoints.list)), 0.0
	for i, e := range g.endpoints.list {
		if g.isEligible(q, e) && g.outlierAllows(q, e) && g.hasCapacity(q, e) &&
			g.hasSlowStartCapacity(q, e) {
			weights[i] = g.drawWeight(q, e)
			total += weights[i]
		}
	}
	if total <= 0 { // an endpoint that was full at its last report may have capacity again
		if e := g.anyEndpoint(); e != nil && g.isEligible(q, e) && g.mayCheckHealth(q, e) {
			g.startHealthChecks(q, e)
		}
		return nil
	}
	if best := g.bestCandidate(weights, q.candidates); best != nil { // the reports have arrived or timed out
		return best
	}
	e := g.drawEndpoint(weights, total)
	if !g.mayCheckHealth(q, e) {
		return e
	}
	g.startHealthChecks(q, e, g.drawEndpoint(weights, total))
	return nil
}

// isEligible reports whether a request may run on an endpoint at all: by sticky session, protocol, drain,
// zone and machine kind, and by deduplication scope once an attempt may have run. A draining endpoint takes
// only sticky requests, until drainUntil.
func (g *Gateway) isEligible(q *request, e *endpoint) bool {
	c := q.class
	if q.StickyTo != "" && q.StickyTo != e.ID || q.Protocol&^e.Protocols != 0 ||
		e.State != Healthy && (q.StickyTo == "" || e.State != Draining || g.now >= e.drainUntil) ||
		c.Zones != nil && !slices.Contains(c.Zones, e.Zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		return false
	}
	if c.Effect != IdempotentByKey || q.firstMayHaveRun == nil {
		return true
	}
	return c.DedupScope.contains(q.firstMayHaveRun.endpoint, e)
}

// contains reports whether two endpoints share the deduplication of idempotency keys.
func (s DedupScope) contains(a, b *endpoint) bool {
	switch s {
	case DedupFleet:
		return true
	case DedupZone:
		return a.Zone == b.Zone
	default:
		return a.PlacementGroup == b.PlacementGroup
	}
}

// drawWeight returns an endpoint's weight in the draw, by free utilization, cores, speed, zone, cached tables
// and table locks. An endpoint that the request was sent to before is drawn only if there is hardly another.
func (g *Gateway) drawWeight(q *request, e *endpoint) float64 {
	free := max(minDrawShare, 1-g.utilization(e)/maxCapacity)
	w := math.Pow(free, utilizationExponent) * e.cores * math.Pow(g.relativeSpeed(e), 2)
	if e.Zone == g.settings.Zone {
		w *= localZoneWeight
	}
	if slices.Contains(e.cachedGroups, q.TableGroup) {
		w *= g.cacheEffect.weight()
	}
	if (q.class.WaitsForTables || q.class.LocksTables) && g.tablesLocked(e, q.TableGroup) {
		w *= lockedTablesWeight * lockedTablesWeight
	}
	if q.class.WaitsForTables && g.inAffinitySubset(q.TableGroup, e) {
		w *= lockedTablesWeight
	}
	for _, a := range q.attempts {
		if a.endpoint == e {
			w *= minDrawShare
		}
	}
	return w
}

// drawEndpoint draws an endpoint at random in proportion to its weight; total is the sum of the weights.
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

// bestCandidate returns the candidate of highest weight, or nil if none has a positive weight.
func (g *Gateway) bestCandidate(weights []float64, candidates []*endpoint) (best *endpoint) {
	maxWeight := 0.0
	for i, e := range g.endpoints.list {
		if weights[i] > maxWeight && slices.Contains(candidates, e) {
			best, maxWeight = e, weights[i]
		}
	}
	return best
}

// anyEndpoint draws among all listed endpoints with equal probability; nil if there is none.
func (g *Gateway) anyEndpoint() *endpoint {
	if len(g.endpoints.list) == 0 {
		return nil
	}
	return g.endpoints.list[g.rng.IntN(len(g.endpoints.list))]
}
