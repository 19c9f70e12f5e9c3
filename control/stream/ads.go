package stream

import (
	"context"
	"errors"
	"fmt"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
)

// adsStream is one ADS stream (aggregated discovery service), in either variant of xDS.
type adsStream interface {
	subscribe(k control.Kind, name string) error
	reply(k control.Kind, name string, r Reply) error
	recv() (response, error)
}

var (
	_ adsStream = (*stateOfTheWorld)(nil)
	_ adsStream = (*delta)(nil)
)

// response is one discovery response, in the form that both variants share.
type response struct {
	typeURL, version, nonce string
	resources               []*anypb.Any
}

// open opens a stream of the variant that the options ask for.
func (s *Stream) open(ctx context.Context, conn *grpc.ClientConn) (adsStream, error) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	node := &corev3.Node{Id: s.options.Node, Cluster: s.options.Cluster}
	if s.options.Delta {
		c, err := client.DeltaAggregatedResources(ctx)
		return &delta{stream: c, node: node}, err
	}
	c, err := client.StreamAggregatedResources(ctx)
	return &stateOfTheWorld{stream: c, node: node}, err
}

// errorDetail returns the status that a rejection has; nil for an acknowledgement.
func errorDetail(r Reply) *rpcstatus.Status {
	if len(r.Reasons) == 0 {
		return nil
	}
	return &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: strings.Join(r.Reasons, "; ")}
}

// stateOfTheWorld is a stream of the variant in which a response has all resources of a type.
type stateOfTheWorld struct {
	stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	node   *corev3.Node
}

func (w *stateOfTheWorld) subscribe(k control.Kind, name string) error {
	return w.stream.Send(&discoveryv3.DiscoveryRequest{Node: w.node, TypeUrl: typeURLs[k], ResourceNames: []string{name}})
}

func (w *stateOfTheWorld) reply(k control.Kind, name string, r Reply) error {
	return w.stream.Send(&discoveryv3.DiscoveryRequest{TypeUrl: typeURLs[k], ResourceNames: []string{name},
		VersionInfo: r.Version, ResponseNonce: r.Nonce, ErrorDetail: errorDetail(r)})
}

func (w *stateOfTheWorld) recv() (response, error) {
	m, err := w.stream.Recv()
	return response{m.GetTypeUrl(), m.GetVersionInfo(), m.GetNonce(), m.GetResources()}, err
}

// delta is a stream of the incremental variant. Each type has a single resource here, so a response either has the whole
// resource or removes it.
type delta struct {
	stream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	node   *corev3.Node
}

func (d *delta) subscribe(k control.Kind, name string) error {
	return d.stream.Send(&discoveryv3.DeltaDiscoveryRequest{Node: d.node, TypeUrl: typeURLs[k],
		ResourceNamesSubscribe: []string{name}})
}

func (d *delta) reply(k control.Kind, _ string, r Reply) error {
	return d.stream.Send(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: typeURLs[k], ResponseNonce: r.Nonce,
		ErrorDetail: errorDetail(r)})
}

var errNoVersion = errors.New("resource of a delta response has no version")

func (d *delta) recv() (response, error) {
	m, err := d.stream.Recv()
	if err != nil {
		return response{}, err
	}
	r := response{typeURL: m.GetTypeUrl(), nonce: m.GetNonce()}
	for _, resource := range m.GetResources() {
		if r.version = resource.GetVersion(); r.version == "" {
			return response{}, fmt.Errorf("%s: resource %q: %w", r.typeURL, resource.GetName(), errNoVersion)
		}
		r.resources = append(r.resources, resource.GetResource())
	}
	return r, nil
}
