package nodelist

import (
	"fmt"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"embershunt/policy"
)

// MetadataKey is the key of an endpoint's filter metadata with the fields of a node that xDS lacks: name, native, kind,
// cell, and in Unix seconds started and drain_at.
const MetadataKey = "embershunt"

// FromAssignment converts an endpoint list of xDS v3 (endpoint.proto). The health status DRAINING marks a node as draining.
// UNHEALTHY and TIMEOUT are ignored, since the decision module detects outliers itself. A list with one invalid endpoint is
// rejected as a whole.
func FromAssignment(c *endpointv3.ClusterLoadAssignment, names Names) ([]Node, error) {
	nodes := []Node{}
	for _, l := range c.GetEndpoints() {
		zone, err := names.Zone(l.GetLocality().GetZone())
		if err != nil {
			return nil, err
		}
		for _, p := range l.GetLbEndpoints() {
			n, err := fromEndpoint(p, zone, names)
			if err != nil {
				return nil, err
			}
			nodes = append(nodes, n)
		}
	}
	return nodes, nil
}

// fromEndpoint converts one endpoint in a zone. Without a name in the metadata, the address is the ID.
func fromEndpoint(p *endpointv3.LbEndpoint, zone int, names Names) (Node, error) {
	a := p.GetEndpoint().GetAddress().GetSocketAddress()
	n := Node{Zone: zone, FlightSQLAddress: net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue()))),
		Weight: float64(p.GetLoadBalancingWeight().GetValue())}
	if a == nil {
		return n, fmt.Errorf("endpoint in zone %q has no socket address", names.Zones[zone])
	}
	n.ID = n.FlightSQLAddress
	fields := p.GetMetadata().GetFilterMetadata()[MetadataKey].GetFields()
	if v := fields["name"].GetStringValue(); v != "" {
		n.ID = v
	}
	n.NativeAddress = fields["native"].GetStringValue()
	var err error
	if n.Kind, err = names.Kind(fields["kind"].GetStringValue()); err != nil {
		return n, fmt.Errorf("node %q: %w", n.ID, err)
	}
	n.PlacementGroup = int(fields["cell"].GetNumberValue())
	if at := fields["started"].GetNumberValue(); at > 0 {
		n.Started = time.UnixMicro(int64(at * 1e6))
	}
	if at := fields["drain_at"].GetNumberValue(); at > 0 {
		n.DrainAt = time.UnixMicro(int64(at * 1e6))
	}
	if p.GetHealthStatus() == corev3.HealthStatus_DRAINING {
		n.State = policy.Draining
	}
	return n, nil
}
