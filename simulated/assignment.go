package simulated

import (
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// ListedNode is one node of the control service's endpoint list.
type ListedNode struct {
	Name, Address, Zone, Kind string // Address is host:port of Flight SQL
	NativeAddress             string // host:port of the native protocol; "": none
	Draining                  bool
	Started                   time.Time // zero: not listed
}

// edsType is the type URL of EDS resources.
const edsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Assignment returns an endpoint list as an EDS resource.
func Assignment(cluster string, nodes []ListedNode) *endpointv3.ClusterLoadAssignment {
	list := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for _, n := range nodes {
		list.Endpoints = append(list.Endpoints, n.endpoint())
	}
	return list
}

// endpoint returns the node's EDS entry: its zone, address, health status and metadata.
func (n ListedNode) endpoint() *endpointv3.LocalityLbEndpoints {
	host, port, _ := net.SplitHostPort(n.Address)
	portNumber, _ := strconv.Atoi(port)
	state := corev3.HealthStatus_HEALTHY
	if n.Draining {
		state = corev3.HealthStatus_DRAINING
	}
	fields := map[string]*structpb.Value{"name": structpb.NewStringValue(n.Name), "kind": structpb.NewStringValue(n.Kind)}
	if n.NativeAddress != "" {
		fields["native"] = structpb.NewStringValue(n.NativeAddress)
	}
	if !n.Started.IsZero() {
		fields["started"] = structpb.NewNumberValue(float64(n.Started.UnixMicro()) / 1e6)
	}
	return &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: n.Zone},
		LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: state,
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"embershunt": {Fields: fields}}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
				Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)}}}}}}}}}
}
