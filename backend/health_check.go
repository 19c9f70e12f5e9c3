package backend

import (
	"context"
	"time"

	"embershunt/policy"
)

// HealthCheck implements dispatch.Fleet. It reports its result as a policy.HealthCheckResult.
func (f *Fleet) HealthCheck(id string) {
	f.group.Go(func() error {
		startedAt := time.Now()
		result := policy.HealthCheckResult{Endpoint: id}
		result.Code, result.Load = f.checkHealth(id)
		result.Latency = time.Since(startedAt).Microseconds()
		f.post.Notify(result)
		return nil
	})
}

// checkHealth checks a node over one of its protocols: the platform's if the node supports it, otherwise gRPC, otherwise the native
// protocol.
func (f *Fleet) checkHealth(id string) (policy.Code, *policy.Load) {
	n := f.acquire(id)
	if n == nil {
		return policy.ConnectionRefused, nil
	}
	defer f.release(n)
	ctx, cancel := context.WithTimeout(f.ctx, f.options.HealthCheckTimeout)
	defer cancel()
	switch {
	case n.platform.address != "":
		return n.checkPlatformHealth(ctx, f), nil
	case n.flightAddress == "":
		return n.checkNativeHealth(ctx, &f.options), nil
	}
	return n.checkFlightHealth(ctx, &f.options)
}
