package standin

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
)

// Listed is one node as the control service lists it.
type Listed struct {
	Name, Address, Hall, Kind string
	Draining                  bool
	Started                   time.Time
}

// Control is a stand-in control service: xDS v3 endpoint discovery on ADS streams, state of the world.
type Control struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	cluster string
	address string

	mu      sync.Mutex
	rows    []Listed
	bad     string // "malformed" or "empty": what is sent instead of the rows
	version int
	changed chan struct{} // closed at each change
	server  *grpc.Server
	done    sync.WaitGroup
	acks    map[string]string // last accepted version by dispatcher
	nacks   []string
	pushed  []Push
}

// Push is one list as it was sent to one dispatcher.
type Push struct {
	At         time.Time
	Dispatcher string
	Draining   []string
	Healthy    []string
}

// NewControl returns a service that does not listen yet.
func NewControl(cluster string) *Control {
	return &Control{cluster: cluster, changed: make(chan struct{}), acks: map[string]string{}}
}

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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows, c.bad = rows, bad
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Pushed returns what was sent to whom.
func (c *Control) Pushed() []Push {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Push(nil), c.pushed...)
}

// Nacks returns the reasons of lists that dispatchers turned down.
func (c *Control) Nacks() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.nacks...)
}

// StreamAggregatedResources implements the service.
func (c *Control) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	who := first.GetNode().GetId()
	broken := make(chan error, 1)
	go func() {
		for {
			r, err := s.Recv()
			if err != nil {
				broken <- err
				return
			}
			c.mu.Lock()
			if r.GetErrorDetail() != nil {
				c.nacks = append(c.nacks, r.GetErrorDetail().GetMessage())
			} else {
				c.acks[who] = r.GetVersionInfo()
			}
			c.mu.Unlock()
		}
	}()
	for {
		answer, changed := c.answer(who)
		if err := s.Send(answer); err != nil {
			return err
		}
		select {
		case <-changed:
		case err := <-broken:
			return err
		case <-s.Context().Done():
			return errors.New("stream ended")
		}
	}
}

func (c *Control) answer(who string) (*discoveryv3.DiscoveryResponse, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := strconv.Itoa(c.version)
	out := &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: version, TypeUrl: edsType}
	push := Push{At: time.Now(), Dispatcher: who}
	list := &endpointv3.ClusterLoadAssignment{ClusterName: c.cluster}
	if c.bad == "" {
		for _, r := range c.rows {
			list.Endpoints = append(list.Endpoints, r.endpoint())
			if r.Draining {
				push.Draining = append(push.Draining, r.Name)
			} else {
				push.Healthy = append(push.Healthy, r.Name)
			}
		}
	}
	any, err := anypb.New(list)
	if err != nil || c.bad == "malformed" {
		any = &anypb.Any{TypeUrl: edsType, Value: []byte{0xff, 0xff, 0xff}}
	} else {
		c.pushed = append(c.pushed, push)
	}
	out.Resources = []*anypb.Any{any}
	return out, c.changed
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
