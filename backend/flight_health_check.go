package backend

import (
	"context"

	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"

	"embershunt/policy"
)

// checkFlightHealth makes a gRPC health check (grpc.health.v1) and returns its outcome and the load report in its trailers.
func (n *node) checkFlightHealth(ctx context.Context, o *Options) (policy.Code, *policy.Load) {
	conn, err := n.awaitFlightConn(ctx, o)
	if err != nil {
		return policy.ConnectionRefused, nil
	}
	var trailer metadata.MD
	answer, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{}, grpc.Trailer(&trailer))
	switch {
	case ctx.Err() != nil:
		return policy.TimedOut, nil
	case err != nil || answer.GetStatus() != healthpb.HealthCheckResponse_SERVING:
		return policy.Failed, flightLoad(trailer)
	}
	return policy.OK, flightLoad(trailer)
}
