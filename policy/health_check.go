package policy

import "slices"

// Credit and timing of health checks. Requests earn the credit, so traffic bounds the number of checks.
const (
	healthChecksPerRequest = 0.6  // credit of a request, times the square of threads a core (at most 1)
	minHealthCheckShare    = 0.1  // minimum share of that, so that full endpoints are found at low load too
	maxHealthCheckCredit   = 6.0  // maximum credit saved, in health checks
	lightHealthCheckCredit = 3.0  // minimum credit for a light query; heavy queries gain more from a check
	healthCheckInterval    = 0.5  // seconds after which a load report is worth refreshing
	healthCheckTimeout     = 0.05 // seconds for which a request waits for the result of a health check
)

// healthCheckCredit is the number of health checks that the gateway's own traffic has paid for.
type healthCheckCredit struct{ credit float64 }

// earn adds the credit of one request; threadsPerCore is the load of the fleet.
func (h *healthCheckCredit) earn(threadsPerCore float64) {
	share := min(1, max(minHealthCheckShare, threadsPerCore*threadsPerCore))
	h.credit = min(maxHealthCheckCredit, h.credit+healthChecksPerRequest*share)
}

// startHealthChecks makes endpoints the candidates of a request and checks those whose load is stale.
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

// mayCheckHealth reports whether the request is to wait for health checks of the endpoint e and of a second
// candidate before one of them is picked: before its first attempt, if e's load is stale and credit is left.
func (g *Gateway) mayCheckHealth(q *request, e *endpoint) bool {
	price := 1.0
	if q.work < g.queries.work.value {
		price = lightHealthCheckCredit
	}
	return g.settings.CanHealthCheck && len(q.attempts) == 0 &&
		g.healthChecks.credit >= price && g.loadIsStale(e)
}

// loadIsStale reports whether an endpoint's last load report and last health check are both older than
// healthCheckInterval.
func (g *Gateway) loadIsStale(e *endpoint) bool {
	return g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval
}

// awaitsHealthCheck reports whether a health check of one of the request's candidates is pending and has
// not timed out.
func (g *Gateway) awaitsHealthCheck(q *request) bool {
	return slices.ContainsFunc(q.candidates, func(e *endpoint) bool {
		return e.healthCheckPending && g.secondsSince(e.healthCheckAt) < healthCheckTimeout
	})
}

// handleHealthCheckResult records the load report of a health check. Queued requests are tried in the same
// step, since some may have waited for it.
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
