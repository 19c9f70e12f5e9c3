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
	Name, Address, Zone, Kind string
	Native                    string
	Draining                  bool
	Started                   time.Time
}

// edsType is the type URL of an EDS response.
const edsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Assignment is an endpoint list as EDS has it.
func Assignment(cluster string, rows []ListedNode) *endpointv3.ClusterLoadAssignment {
	list := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for _, r := range rows {
		list.Endpoints = append(list.Endpoints, r.endpoint())
	}
	return list
}

// endpoint is the node with its zone, state and metadata.
func (r ListedNode) endpoint() *endpointv3.LocalityLbEndpoints {
	host, port, _ := net.SplitHostPort(r.Address)
	number, _ := strconv.Atoi(port)
	state := corev3.HealthStatus_HEALTHY
	if r.Draining {
		state = corev3.HealthStatus_DRAINING
	}
	fields := map[string]*structpb.Value{"name": structpb.NewStringValue(r.Name), "kind": structpb.NewStringValue(r.Kind)}
	if r.Native != "" {
		fields["native"] = structpb.NewStringValue(r.Native)
	}
	if !r.Started.IsZero() {
		fields["started"] = structpb.NewNumberValue(float64(r.Started.UnixMicro()) / 1e6)
	}
	return &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: r.Zone},
		LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: state,
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"embershunt": {Fields: fields}}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
				Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)}}}}}}}}}
}
