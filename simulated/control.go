package simulated

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
)

// Listed is one node as the control service lists it.
type Listed struct {
	Name, Address, Hall, Kind string
	Native                    string
	Draining                  bool
	Started                   time.Time
}

// Control is a stand-in control service: xDS v3 on ADS streams, state of the world and delta, for the node list and any
// other resource type.
type Control struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	cluster string
	address string

	mu        sync.Mutex
	rows      []Listed
	resources map[string]resource // by type URL
	version   int
	changed   chan struct{} // closed at each change
	news      chan struct{} // closed at each word of a dispatcher
	server    *grpc.Server
	done      sync.WaitGroup
	replies   []Reply
	pushed    []Push
	streams   []time.Time // when each stream began
	sets      map[uint64][]*anypb.Any
	bytes     int // of all responses
	choose    func(dispatcher string) uint64
	reply     func(dispatcher string, number uint64, refused string)
}

// repliesMost bounds the replies remembered.
const repliesMost = 100000

type resource struct {
	name    string
	any     *anypb.Any // nil: an empty response
	version int
}

// Push is one node list as it was sent to one dispatcher.
type Push struct {
	At         time.Time
	Dispatcher string
	Draining   []string
	Healthy    []string
	Nonce      string
	Refused    bool
}

// Reply is what one dispatcher said of one response.
type Reply struct {
	At             time.Time
	Dispatcher     string
	Type           string
	Version, Nonce string
	Refused        string // the reasons; "" is an ACK
}

// NewControl returns a service that does not listen yet.
func NewControl(cluster string) *Control {
	return &Control{cluster: cluster, changed: make(chan struct{}), news: make(chan struct{}), resources: map[string]resource{}}
}

// At sets the address that Start listens at.
func (c *Control) At(address string) { c.address = address }

// Start listens, at the address it had before if it had one.
func (c *Control) Start() error {
	address := c.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, c)
	c.mu.Lock()
	c.address, c.server = l.Addr().String(), s
	c.mu.Unlock()
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		s.Serve(l)
	}()
	return nil
}

// Address is where it listens.
func (c *Control) Address() string { return c.address }

// Stop breaks all streams and stops listening.
func (c *Control) Stop() {
	c.mu.Lock()
	s := c.server
	c.server = nil
	c.mu.Unlock()
	if s != nil {
		s.Stop()
		c.done.Wait()
	}
}

// Set changes the list and pushes it; bad is "", "malformed" or "empty".
func (c *Control) Set(rows []Listed, bad string) {
	if bad != "" {
		rows = nil
	}
	any, err := anypb.New(Assignment(c.cluster, rows))
	if err != nil || bad == "malformed" {
		any = &anypb.Any{TypeUrl: edsType, Value: []byte{0xff, 0xff, 0xff}}
	}
	c.mu.Lock()
	c.rows = rows
	c.mu.Unlock()
	c.Put(c.cluster, any)
}

// Put changes one resource, whose Any tells its type, and pushes it.
func (c *Control) Put(name string, resources ...*anypb.Any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	for _, a := range resources {
		c.resources[a.GetTypeUrl()] = resource{name, a, c.version}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Stage gives each dispatcher a set of its own: choose names the one to offer, reply is told what was said of it. Both
// are called with the service's lock held.
func (c *Control) Stage(choose func(dispatcher string) uint64, reply func(dispatcher string, number uint64, refused string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choose, c.reply, c.sets = choose, reply, map[uint64][]*anypb.Any{}
}

// Locked runs something with the service's lock held, and pushes what has changed by it.
func (c *Control) Locked(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// AddSet makes a set known; call it in Locked.
func (c *Control) AddSet(number uint64, resources []*anypb.Any) { c.sets[number] = resources }

// staged are the resources that one dispatcher is to be offered.
func (c *Control) staged(who string) map[string]resource {
	if c.choose == nil {
		return c.resources
	}
	out := maps.Clone(c.resources)
	number := c.choose(who)
	for _, a := range c.sets[number] {
		out[a.GetTypeUrl()] = resource{"default", a, int(number)}
	}
	return out
}

// Pushed returns the node lists that were sent, those turned down among them.
func (c *Control) Pushed() []Push {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Push(nil), c.pushed...)
}

// Replies returns what dispatchers said, in order.
func (c *Control) Replies() []Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Reply(nil), c.replies...)
}

// Await returns when what dispatchers did satisfies good, which may ask this service anything, or with the context's error.
func (c *Control) Await(ctx context.Context, good func() bool) error {
	for {
		c.mu.Lock()
		news := c.news
		c.mu.Unlock()
		if good() {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Bytes is the size of all resources sent.
func (c *Control) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Streams returns when each stream began, in order.
func (c *Control) Streams() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.streams...)
}

// Nacks returns the reasons of responses that dispatchers turned down.
func (c *Control) Nacks() (out []string) {
	for _, r := range c.Replies() {
		if r.Refused != "" {
			out = append(out, r.Refused)
		}
	}
	return out
}

// session is one stream in either variant.
type session struct {
	who  string
	want map[string]bool // types asked for
	sent map[string]int  // version sent last, by type
	news chan struct{}   // a token while something was asked for
}

// heard books what a dispatcher asks or replies.
func (c *Control) heard(s *session, who, url, version, nonce, refused string, subscribes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		close(c.news)
		c.news = make(chan struct{})
	}()
	if s.who == "" {
		s.who = who
		c.streams = append(c.streams, time.Now())
	}
	if subscribes && !s.want[url] {
		s.want[url] = true
		select {
		case s.news <- struct{}{}:
		default:
		}
	}
	if nonce == "" {
		return
	}
	if n, err := strconv.ParseUint(nonce, 10, 64); err == nil && c.reply != nil && url != edsType {
		c.reply(s.who, n, refused)
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.replies = append(c.replies[max(0, len(c.replies)-repliesMost):], Reply{time.Now(), s.who, url, version, nonce, refused})
	for i := range c.pushed {
		if p := &c.pushed[i]; refused != "" && url == edsType && p.Dispatcher == s.who && p.Nonce == nonce {
			p.Refused = true
		}
	}
}

// next is what a stream has not been sent yet.
func (c *Control) next(s *session) (out []resource, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.who == "" { // nothing was asked for yet
		return nil, c.changed
	}
	resources := c.staged(s.who)
	for _, url := range slices.Sorted(maps.Keys(resources)) {
		r := resources[url]
		if !s.want[url] || s.sent[url] == r.version {
			continue
		}
		s.sent[url] = r.version
		c.bytes += proto.Size(r.any)
		out = append(out, r)
		if url == edsType && r.any.GetValue() != nil && r.any.GetValue()[0] != 0xff {
			p := Push{At: time.Now(), Dispatcher: s.who, Nonce: strconv.Itoa(r.version)}
			for _, row := range c.rows {
				if row.Draining {
					p.Draining = append(p.Draining, row.Name)
				} else {
					p.Healthy = append(p.Healthy, row.Name)
				}
			}
			c.pushed = append(c.pushed, p)
		}
	}
	return out, c.changed
}

// serve runs a stream: recv books one request, send sends one resource.
func (c *Control) serve(ctx context.Context, recv func(*session) error, send func(resource) error) error {
	s := &session{want: map[string]bool{}, sent: map[string]int{}, news: make(chan struct{}, 1)}
	broken := make(chan error, 1)
	go func() {
		for {
			if err := recv(s); err != nil {
				broken <- err
				return
			}
		}
	}()
	for {
		resources, changed := c.next(s)
		for _, r := range resources {
			if err := send(r); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-s.news:
		case err := <-broken:
			return err
		case <-ctx.Done():
			return errors.New("stream ended")
		}
	}
}

// StreamAggregatedResources implements the service, state of the world.
func (c *Control) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return c.serve(s.Context(), func(o *session) error {
		r, err := s.Recv()
		if err == nil {
			c.heard(o, r.GetNode().GetId(), r.GetTypeUrl(), r.GetVersionInfo(), r.GetResponseNonce(),
				r.GetErrorDetail().GetMessage(), true)
		}
		return err
	}, func(r resource) error {
		v := strconv.Itoa(r.version)
		return s.Send(&discoveryv3.DiscoveryResponse{VersionInfo: v, Nonce: v, TypeUrl: r.any.GetTypeUrl(),
			Resources: []*anypb.Any{r.any}})
	})
}

// DeltaAggregatedResources implements the service, incrementally.
func (c *Control) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return c.serve(s.Context(), func(o *session) error {
		r, err := s.Recv()
		if err == nil {
			c.heard(o, r.GetNode().GetId(), r.GetTypeUrl(), "", r.GetResponseNonce(), r.GetErrorDetail().GetMessage(),
				len(r.GetResourceNamesSubscribe()) > 0)
		}
		return err
	}, func(r resource) error {
		v := strconv.Itoa(r.version)
		return s.Send(&discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: v, Nonce: v, TypeUrl: r.any.GetTypeUrl(),
			Resources: []*discoveryv3.Resource{{Name: r.name, Version: v, Resource: r.any}}})
	})
}

// Assignment is a node list as EDS has it.
func Assignment(cluster string, rows []Listed) *endpointv3.ClusterLoadAssignment {
	list := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for _, r := range rows {
		list.Endpoints = append(list.Endpoints, r.endpoint())
	}
	return list
}

const edsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

func (r Listed) endpoint() *endpointv3.LocalityLbEndpoints {
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
	return &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: r.Hall},
		LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: state,
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"embershunt": {Fields: fields}}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
				Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)}}}}}}}}}
}
