package backend

import (
	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"embershunt/policy"
)

// loadTrailer is the trailer that carries an ORCA load report (gRFC A51: per-call reports).
const loadTrailer = "endpoint-load-metrics-bin"

// loadNotReported is the value of a figure that is missing from a load report.
const loadNotReported = -1

// flightLoad reads an ORCA load report from a call's trailers; nil if there is none or it cannot be parsed. Utilization is
// cpu_utilization, where protobuf does not distinguish a missing figure from 0. Memory and Disk are the utilizations "memory" (or
// mem_utilization, if above 0) and "disk"; InFlight and Queue are the named metrics "inflight" and "queue". Those four are
// loadNotReported if they are missing or negative.
func flightLoad(trailer metadata.MD) *policy.Load {
	v := trailer.Get(loadTrailer)
	if len(v) == 0 {
		return nil
	}
	var r orcav3.OrcaLoadReport
	if proto.Unmarshal([]byte(v[len(v)-1]), &r) != nil {
		return nil
	}
	figure := func(m map[string]float64, name string) float64 {
		if x, ok := m[name]; ok && x >= 0 {
			return x
		}
		return loadNotReported
	}
	l := &policy.Load{Utilization: r.CpuUtilization, InFlight: figure(r.NamedMetrics, "inflight"),
		Queue: figure(r.NamedMetrics, "queue"), Memory: figure(r.Utilization, "memory"), Disk: figure(r.Utilization, "disk")}
	if l.Memory < 0 && r.MemUtilization > 0 {
		l.Memory = r.MemUtilization
	}
	return l
}
