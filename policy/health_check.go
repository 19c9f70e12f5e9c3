package policy

import "slices"

// Health checks are paid for by requests, so that their number is bounded by traffic.
const (
	healthChecksPerRequest = 0.6  // credit for each request at one thread a core; grows with its square
	minHealthCheckShare    = 0.1  // minimum share of that: endpoints that are full must be found out
	maxHealthCheckCredit   = 6.0  // maximum credit saved, in health checks
	lightHealthCheckCredit = 3.0  // credit from which a light query may use it: heavy ones gain more
	healthCheckInterval    = 0.5  // seconds after which a load report is worth refreshing
	healthCheckTimeout     = 0.05 // seconds for which a request waits for an answer
)

// healthCheckCredit is the number of health checks that own traffic has paid for.
type healthCheckCredit struct{ credit float64 }

// earn takes the credit of one request, at so many threads a core.
func (h *healthCheckCredit) earn(threadsPerCore float64) {
	share := min(1, max(minHealthCheckShare, threadsPerCore*threadsPerCore))
	h.credit = min(maxHealthCheckCredit, h.credit+healthChecksPerRequest*share)
}

// startHealthChecks checks the endpoints drawn for a request.
func (g *Gateway) startHealthChecks(q *request, candidates ...*endpoint) {
	q.candidates = candidates
	for _, e := range candidates {
		if g.loadIsStale(e) {
			e.healthCheckAt, e.healthCheckPending = g.now, true
			g.healthChecks.credit--
			g.emit(HealthCheck{Endpoint: e.ID})
		}
	}
}

// mayCheckHealth says whether the candidates of a request are checked before the choice.
func (g *Gateway) mayCheckHealth(q *request, e *endpoint) bool {
	price := 1.0
	if q.work < g.queries.work.value {
		price = lightHealthCheckCredit
	}
	return g.settings.CanHealthCheck && len(q.attempts) == 0 &&
		g.healthChecks.credit >= price && g.loadIsStale(e)
}

// loadIsStale says that an endpoint's load report is worth refreshing and no health check was sent lately.
func (g *Gateway) loadIsStale(e *endpoint) bool {
	return g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval
}

// awaitsHealthCheck says that a candidate of a request was checked and may still answer in time.
func (g *Gateway) awaitsHealthCheck(q *request) bool {
	return slices.ContainsFunc(q.candidates, func(e *endpoint) bool {
		return e.healthCheckPending && g.secondsSince(e.healthCheckAt) < healthCheckTimeout
	})
}

// handleHealthCheckResult takes the report of a health check; requests that waited for it are sent at once.
func (g *Gateway) handleHealthCheckResult(r HealthCheckResult) {
	e := g.endpoints.byID[r.Endpoint]
	if e == nil {
		return
	}
	e.healthCheckPending, g.schedule.sendQueuedAt = false, g.now
	if r.Code == OK && r.Load != nil {
		g.recordLoad(e, *r.Load, g.now)
	}
}
