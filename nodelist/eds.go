package nodelist

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"embershunt/policy"
)

// MetadataKey is the key of the filter metadata of an endpoint that has the fields xDS does not: name, native, kind, cell,
// started and drain_at (both in Unix seconds).
const MetadataKey = "embershunt"

// FromAssignment converts a list of xDS v3 (endpoint.proto). The health status DRAINING is a drain; UNHEALTHY and TIMEOUT
// are ignored: the decision module detects outliers itself.
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

func fromEndpoint(p *endpointv3.LbEndpoint, zone int, names Names) (Node, error) {
	a := p.GetEndpoint().GetAddress().GetSocketAddress()
	n := Node{Zone: zone, Address: net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue()))),
		Weight: float64(p.GetLoadBalancingWeight().GetValue())}
	if a == nil {
		return n, errors.New("an endpoint without a socket address")
	}
	n.ID = n.Address
	fields := p.GetMetadata().GetFilterMetadata()[MetadataKey].GetFields()
	if v := fields["name"].GetStringValue(); v != "" {
		n.ID = v
	}
	n.Native = fields["native"].GetStringValue()
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
