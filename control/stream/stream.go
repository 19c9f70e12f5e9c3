// Package stream speaks with a control service: xDS v3 on one ADS stream, state of the world or delta. It reads what is
// offered and sends the replies it is told to; it judges nothing.
package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/sync/errgroup"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/nodelist"
)

// typeURLs are the resource types, by kind.
var typeURLs = map[control.Kind]string{
	control.Classes:        "type.googleapis.com/embershunt.config.v1.Classes",
	control.Tenants:        "type.googleapis.com/embershunt.config.v1.Tenants",
	control.Limits:         "type.googleapis.com/embershunt.config.v1.Limits",
	control.Classification: "type.googleapis.com/embershunt.config.v1.Classification",
	control.Fronts:         "type.googleapis.com/embershunt.config.v1.Fronts",
	control.Nodes:          "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

// TypeURL is the resource type of a kind.
func TypeURL(k control.Kind) string { return typeURLs[k] }

func kindOf(url string) (control.Kind, bool) {
	for k, u := range typeURLs {
		if u == url {
			return k, true
		}
	}
	return 0, false
}

// SettingsName is the resource name of each kind of the settings.
const SettingsName = "default"

// Options say whom to speak with and about what.
type Options struct {
	Address  string
	Cluster  string // resource name of the node list
	Node     string // this dispatcher's name
	Names    nodelist.Names
	Settings bool // the settings are streamed too, not the node list alone
	Delta    bool
	Dial     []grpc.DialOption
	// Backoff bounds the wait before a new stream: it is drawn from nothing to a bound that doubles from Least to Most
	// (full jitter), so that many dispatchers do not come back together. Zero values mean 200 ms and 30 s.
	Least, Most time.Duration
	Random      func() float64 // in [0, 1); nil: the process's own
}

// Handler is told what came. Both are called from one goroutine and may block for a moment.
type Handler interface {
	Offered(control.Offered)
	Lost(error)
}

// Reply is what to tell the service.
type Reply struct {
	Kind           control.Kind
	Version, Nonce string
	Reasons        []string // refused, if there are any
}

// Stream is a client of one service.
type Stream struct {
	opt     Options
	handler Handler
	replies chan Reply
	again   chan struct{}
	renew   chan struct{}
}

// ErrRenewed is told to Lost where the stream was ended by Renew: the service is there.
var ErrRenewed = errors.New("the stream is made anew")

// New returns a stream that Run keeps up.
func New(o Options, h Handler) *Stream {
	if o.Least == 0 {
		o.Least = 200 * time.Millisecond
	}
	if o.Most == 0 {
		o.Most = 30 * time.Second
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Stream{opt: o, handler: h, replies: make(chan Reply, 1000), again: make(chan struct{}, 1), renew: make(chan struct{}, 1)}
}

// Reply sends a reply on the present stream. It does not block: one that comes after the stream's loss is dropped, and
// so is one that finds a thousand others waiting, which no stream that works lets happen.
func (s *Stream) Reply(r Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// Again cuts a wait for a new stream short; it does not block.
func (s *Stream) Again() {
	select {
	case s.again <- struct{}{}:
	default:
	}
}

// Renew ends the present stream and makes another one at once, on which the service offers all anew; it does not block.
func (s *Stream) Renew() {
	select {
	case s.renew <- struct{}{}:
	default:
	}
}

// Run keeps the stream up until ctx ends.
func (s *Stream) Run(ctx context.Context) error {
	options := append([]grpc.DialOption{grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64 << 20))}, s.opt.Dial...)
	if len(s.opt.Dial) == 0 {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	conn, err := grpc.NewClient("passthrough:///"+s.opt.Address, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	bound := s.opt.Least
	for ctx.Err() == nil {
		good, err := s.once(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		s.handler.Lost(err)
		if errors.Is(err, ErrRenewed) {
			continue
		}
		if good {
			bound = s.opt.Least
		}
		t := time.NewTimer(time.Duration(s.opt.Random() * float64(bound)))
		select {
		case <-ctx.Done():
		case <-s.again:
		case <-t.C:
		}
		t.Stop()
		bound = min(2*bound, s.opt.Most)
		conn.ResetConnectBackoff()
	}
	return nil
}

func (s *Stream) kinds() []control.Kind {
	if !s.opt.Settings {
		return []control.Kind{control.Nodes}
	}
	return []control.Kind{control.Classes, control.Tenants, control.Limits, control.Classification, control.Fronts,
		control.Nodes}
}

func (s *Stream) name(k control.Kind) string {
	if k == control.Nodes {
		return s.opt.Cluster
	}
	return SettingsName
}

// wire is one ADS stream in either variant.
type wire interface {
	subscribe(k control.Kind, name string) error
	reply(k control.Kind, name string, r Reply) error
	// recv returns the next response: its type, version, nonce and resources.
	recv() (url, version, nonce string, resources []*anypb.Any, err error)
}

// once runs one stream; good tells that something was offered on it.
func (s *Stream) once(ctx context.Context, conn *grpc.ClientConn) (good bool, err error) {
	for drained := false; !drained; { // replies to an older stream
		select {
		case <-s.replies:
		default:
			drained = true
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	w, err := s.open(ctx, conn)
	if err != nil {
		return false, err
	}
	for _, k := range s.kinds() {
		if err := w.subscribe(k, s.name(k)); err != nil {
			return false, err
		}
	}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-s.renew:
				return ErrRenewed
			case r := <-s.replies:
				if err := w.reply(r.Kind, s.name(r.Kind), r); err != nil {
					return err
				}
			}
		}
	})
	group.Go(func() error {
		for {
			url, version, nonce, resources, err := w.recv()
			if err != nil {
				return err
			}
			k, ok := kindOf(url)
			if !ok { // not asked for: there is nobody to reply for it
				continue
			}
			good = true
			ev := control.Offered{Kind: k, Version: version, Nonce: nonce}
			s.read(k, resources, &ev)
			s.handler.Offered(ev)
		}
	})
	return good, group.Wait()
}

// read takes the one resource out of a response.
func (s *Stream) read(k control.Kind, resources []*anypb.Any, ev *control.Offered) {
	if k == control.Nodes {
		ev.Nodes, ev.Bad = s.nodes(resources)
		return
	}
	if len(resources) != 1 {
		ev.Bad = fmt.Errorf("%s: %d resources, allowed is one, named %q", k, len(resources), SettingsName)
		return
	}
	message := map[control.Kind]proto.Message{control.Classes: &configv1.Classes{}, control.Tenants: &configv1.Tenants{},
		control.Limits: &configv1.Limits{}, control.Classification: &configv1.Classification{},
		control.Fronts: &configv1.Fronts{}}[k]
	if err := resources[0].UnmarshalTo(message); err != nil {
		ev.Bad = fmt.Errorf("%s: %w", k, err)
		return
	}
	ev.Message = message
}

func (s *Stream) nodes(resources []*anypb.Any) ([]nodelist.Node, error) {
	var found *endpointv3.ClusterLoadAssignment
	for i, r := range resources { // one that cannot be read spoils the response, wherever it stands
		c := &endpointv3.ClusterLoadAssignment{}
		if err := r.UnmarshalTo(c); err != nil {
			return nil, fmt.Errorf("nodes: resource %d: %w", i, err)
		}
		if c.GetClusterName() == s.opt.Cluster {
			found = c
		}
	}
	if found == nil {
		return nil, fmt.Errorf("nodes: cluster %q is not in the response", s.opt.Cluster)
	}
	return nodelist.FromAssignment(found, s.opt.Names)
}

func refusal(r Reply) *rpcstatus.Status {
	if len(r.Reasons) == 0 {
		return nil
	}
	text := r.Reasons[0]
	for _, more := range r.Reasons[1:] {
		text += "; " + more
	}
	return &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: text}
}

func (s *Stream) open(ctx context.Context, conn *grpc.ClientConn) (wire, error) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	node := &corev3.Node{Id: s.opt.Node, Cluster: s.opt.Cluster}
	if s.opt.Delta {
		c, err := client.DeltaAggregatedResources(ctx)
		return &delta{stream: c, node: node}, err
	}
	c, err := client.StreamAggregatedResources(ctx)
	return &world{stream: c, node: node}, err
}

// world is the state-of-the-world variant.
type world struct {
	stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	node   *corev3.Node
}

func (w *world) subscribe(k control.Kind, name string) error {
	return w.stream.Send(&discoveryv3.DiscoveryRequest{Node: w.node, TypeUrl: typeURLs[k], ResourceNames: []string{name}})
}

func (w *world) reply(k control.Kind, name string, r Reply) error {
	return w.stream.Send(&discoveryv3.DiscoveryRequest{TypeUrl: typeURLs[k], ResourceNames: []string{name},
		VersionInfo: r.Version, ResponseNonce: r.Nonce, ErrorDetail: refusal(r)})
}

func (w *world) recv() (url, version, nonce string, resources []*anypb.Any, err error) {
	a, err := w.stream.Recv()
	return a.GetTypeUrl(), a.GetVersionInfo(), a.GetNonce(), a.GetResources(), err
}

// delta is the incremental variant. Each type has one resource here, so a response holds it whole or removes it.
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
		ErrorDetail: refusal(r)})
}

var errNoVersion = errors.New("a resource without a version")

func (d *delta) recv() (url, version, nonce string, resources []*anypb.Any, err error) {
	a, err := d.stream.Recv()
	if err != nil {
		return "", "", "", nil, err
	}
	for _, r := range a.GetResources() {
		if version = r.GetVersion(); version == "" {
			return "", "", "", nil, errNoVersion
		}
		resources = append(resources, r.GetResource())
	}
	return a.GetTypeUrl(), version, a.GetNonce(), resources, nil
}
