package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"

	"embershunt/choice"
	"embershunt/nodelist"
)

// EDSType is the resource type of node lists (xDS v3).
const EDSType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// MetadataKey is the filter metadata of an endpoint with our own words: name, kind, cell, started (Unix seconds).
const MetadataKey = "embershunt"

// EDS watches a cluster's endpoints on an ADS stream (state of the world). The locality's zone is the hall, the health
// status DRAINING is a drain; UNHEALTHY and TIMEOUT endpoints are left to the module's own judgement.
type EDS struct {
	fleet            *Fleet
	address, cluster string
	node             string
	names            nodelist.Names
	ask              chan struct{}
	backoff          time.Duration
}

// NewEDS returns a watch; node is this dispatcher's name.
func NewEDS(f *Fleet, address, cluster, node string, names nodelist.Names) *EDS {
	return &EDS{fleet: f, address: address, cluster: cluster, node: node, names: names, ask: make(chan struct{}, 1),
		backoff: 200 * time.Millisecond}
}

// Ask asks for the list again; it does not block.
func (e *EDS) Ask() {
	select {
	case e.ask <- struct{}{}:
	default:
	}
}

// Run keeps the stream up until ctx ends. Each loss is told to the module; the last good list holds.
func (e *EDS) Run(ctx context.Context) {
	conn, err := grpc.NewClient("passthrough:///"+e.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)),
		grpc.WithContextDialer(dialTCP))
	if err != nil {
		e.fleet.ListFailed(err)
		return
	}
	defer conn.Close()
	wait := e.backoff
	for ctx.Err() == nil {
		good, err := e.watch(ctx, conn)
		if ctx.Err() != nil {
			return
		}
		e.fleet.ListFailed(fmt.Errorf("node list from %s: %w", e.address, err))
		if good {
			wait = e.backoff
		}
		conn.ResetConnectBackoff()
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-e.ask:
		case <-t.C:
		}
		t.Stop()
		wait = min(2*wait, 5*time.Second)
	}
}

// watch runs one stream; good tells that a list came.
func (e *EDS) watch(ctx context.Context, conn *grpc.ClientConn) (good bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return false, err
	}
	request := &discoveryv3.DiscoveryRequest{Node: &corev3.Node{Id: e.node, Cluster: e.cluster}, TypeUrl: EDSType,
		ResourceNames: []string{e.cluster}}
	if err := stream.Send(request); err != nil {
		return false, err
	}
	version := ""
	for {
		answer, err := stream.Recv()
		if err != nil {
			return good, err
		}
		if answer.GetTypeUrl() != EDSType {
			continue
		}
		nodes, err := e.nodes(answer)
		if err == nil {
			err = e.fleet.SetNodes(nodes)
		} else {
			e.fleet.ListFailed(err)
		}
		reply := &discoveryv3.DiscoveryRequest{TypeUrl: EDSType, ResourceNames: []string{e.cluster},
			ResponseNonce: answer.GetNonce(), VersionInfo: version}
		if err == nil {
			good, version = true, answer.GetVersionInfo()
			reply.VersionInfo = version
		} else {
			reply.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
		}
		if err := stream.Send(reply); err != nil {
			return good, err
		}
	}
}

// nodes reads a response. A cluster that is not in it says nothing; one without endpoints is an empty list.
func (e *EDS) nodes(answer *discoveryv3.DiscoveryResponse) ([]nodelist.Node, error) {
	for i, r := range answer.GetResources() {
		var c endpointv3.ClusterLoadAssignment
		if err := r.UnmarshalTo(&c); err != nil {
			return nil, fmt.Errorf("version %q, resource %d: %w", answer.GetVersionInfo(), i, err)
		}
		if c.GetClusterName() != e.cluster {
			continue
		}
		nodes := []nodelist.Node{}
		for _, l := range c.GetEndpoints() {
			hall, err := e.names.Hall(l.GetLocality().GetZone())
			if err != nil {
				return nil, fmt.Errorf("version %q: %w", answer.GetVersionInfo(), err)
			}
			for _, p := range l.GetLbEndpoints() {
				n, err := e.row(p, hall)
				if err != nil {
					return nil, fmt.Errorf("version %q: %w", answer.GetVersionInfo(), err)
				}
				nodes = append(nodes, n)
			}
		}
		return nodes, nil
	}
	return nil, fmt.Errorf("version %q: %w", answer.GetVersionInfo(), errors.New("cluster "+strconv.Quote(e.cluster)+" is not in it"))
}

func (e *EDS) row(p *endpointv3.LbEndpoint, hall int) (nodelist.Node, error) {
	a := p.GetEndpoint().GetAddress().GetSocketAddress()
	n := nodelist.Node{Hall: hall, Address: net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue()))),
		Weight: float64(p.GetLoadBalancingWeight().GetValue())}
	if a == nil {
		return n, errors.New("an endpoint without a socket address")
	}
	n.ID = n.Address
	fields := p.GetMetadata().GetFilterMetadata()[MetadataKey].GetFields()
	if v := fields["name"].GetStringValue(); v != "" {
		n.ID = v
	}
	var err error
	if n.Kind, err = e.names.Kind(fields["kind"].GetStringValue()); err != nil {
		return n, fmt.Errorf("node %q: %w", n.ID, err)
	}
	n.Cell = int(fields["cell"].GetNumberValue())
	if at := fields["started"].GetNumberValue(); at > 0 {
		n.Started = time.UnixMicro(int64(at * 1e6))
	}
	if p.GetHealthStatus() == corev3.HealthStatus_DRAINING {
		n.State = choice.Draining
	}
	return n, nil
}
