package backend

import (
	"context"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"embershunt/policy"
)

// loadTrailer is where ORCA puts a load report (gRFC A51: per-call reports).
const loadTrailer = "endpoint-load-metrics-bin"

// flightLoad reads an ORCA report. Util is cpu_utilization; Memory and Disk are the utilizations "memory" (or
// mem_utilization) and "disk"; InFlight and Queue are the named metrics "inflight" and "queue". What is absent was not
// reported. A report that does not parse counts as none.
func flightLoad(trailer metadata.MD) *policy.Load {
	v := trailer.Get(loadTrailer)
	if len(v) == 0 {
		return nil
	}
	var r orcav3.OrcaLoadReport
	if proto.Unmarshal([]byte(v[len(v)-1]), &r) != nil {
		return nil
	}
	get := func(m map[string]float64, name string) float64 {
		if x, ok := m[name]; ok && x >= 0 {
			return x
		}
		return -1
	}
	l := &policy.Load{Util: r.CpuUtilization, InFlight: get(r.NamedMetrics, "inflight"),
		Queue: get(r.NamedMetrics, "queue"), Memory: get(r.Utilization, "memory"), Disk: get(r.Utilization, "disk")}
	if l.Memory < 0 && r.MemUtilization > 0 {
		l.Memory = r.MemUtilization
	}
	return l
}

// HealthCheck implements dispatch.Fleet: a health check (grpc.health.v1), whose trailers carry the load report; a Ping where a
// node speaks the native protocol alone.
func (f *Fleet) HealthCheck(id string) {
	f.group.Go(func() error {
		begun := time.Now()
		ev := policy.HealthCheckResult{Endpoint: id}
		ev.Code, ev.Load = f.checkHealth(id)
		ev.Latency = time.Since(begun).Microseconds()
		f.post.Notify(ev)
		return nil
	})
}

func (f *Fleet) checkHealth(id string) (policy.Code, *policy.Load) {
	n := f.acquire(id)
	if n == nil {
		return policy.ConnectionRefused, nil
	}
	defer f.release(n)
	ctx, cancel := context.WithTimeout(f.ctx, f.options.ProbeTimeout)
	defer cancel()
	if n.platform.address != "" {
		return n.checkPlatformHealth(ctx, f), nil
	}
	if n.flightAddress == "" {
		return n.checkNativeHealth(ctx, &f.options), nil
	}
	conn, err := n.flightReady(ctx, &f.options)
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
