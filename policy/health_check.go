package policy

import "slices"

// Health checks are paid for by requests, so that their number is bounded by traffic.
const (
	healthChecksPerRequest = 0.6  // credit for each request at one thread a core; grows with its square
	minHealthCheckShare    = 0.1  // minimum share of that credit: endpoints at capacity must be found out
	maxHealthCheckCredit   = 6.0  // maximum credit saved, in health checks
	lightHealthCheckCredit = 3.0  // credit from which a light query may use it: heavy ones gain more
	healthCheckInterval    = 0.5  // seconds after which a load report is worth refreshing
	healthCheckTimeout     = 0.05 // seconds to wait for health checks, and between attempts to drain the queue
)

// healthCheckCredit is the number of health checks that own traffic has paid for.
type healthCheckCredit struct{ credit float64 }

// startHealthChecks checks the endpoints drawn for a request.
func (g *Gateway) startHealthChecks(q *request, drawn ...*endpoint) {
	q.candidates = drawn
	for _, e := range drawn {
		if g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval {
			e.healthCheckAt, e.healthCheckPending = g.now, true
			g.healthChecks.credit--
			g.emit(HealthCheck{Endpoint: e.ID})
		}
	}
}

// mayCheckHealth says whether the candidates of a request are checked before the choice.
func (g *Gateway) mayCheckHealth(q *request, e *endpoint) bool {
	need := 1.0
	if q.work < g.queries.work.value {
		need = lightHealthCheckCredit
	}
	stale := g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval
	return g.settings.CanHealthCheck && len(q.attempts) == 0 && g.healthChecks.credit >= need && stale
}

// awaitsHealthCheck says that a candidate of a request was checked within timeout seconds and has not
// answered.
func (g *Gateway) awaitsHealthCheck(q *request, wait float64) bool {
	return slices.ContainsFunc(q.candidates, func(e *endpoint) bool { return e.healthCheckPending && g.secondsSince(e.healthCheckAt) < wait })
}

// handleHealthCheckResult takes the report of a health check; requests that waited for it are sent at once.
func (g *Gateway) handleHealthCheckResult(p HealthCheckResult) {
	e := g.endpoints.byID[p.Endpoint]
	if e == nil {
		return
	}
	if e.healthCheckPending, g.schedule.drainQueueAt = false, g.now; p.Code == OK && p.Load != nil {
		g.recordLoad(e, *p.Load, g.now)
	}
}
