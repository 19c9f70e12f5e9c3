package backend

import (
	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"embershunt/policy"
)

// loadTrailer is the trailer in which ORCA puts a load report (gRFC A51: per-call reports).
const loadTrailer = "endpoint-load-metrics-bin"

// loadNotReported is the value of a figure that a load report does not have.
const loadNotReported = -1

// flightLoad reads an ORCA load report from a call's trailers. Util is cpu_utilization; Memory and Disk are the utilizations
// "memory" (or mem_utilization) and "disk"; InFlight and Queue are the named metrics "inflight" and "queue". What is absent was
// not reported. A report that does not parse counts as none.
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
		return loadNotReported
	}
	l := &policy.Load{Utilization: r.CpuUtilization, InFlight: get(r.NamedMetrics, "inflight"),
		Queue: get(r.NamedMetrics, "queue"), Memory: get(r.Utilization, "memory"), Disk: get(r.Utilization, "disk")}
	if l.Memory < 0 && r.MemUtilization > 0 {
		l.Memory = r.MemUtilization
	}
	return l
}
