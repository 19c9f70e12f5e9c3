package simulated

import (
	"maps"
	"net"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"
)

// Control is a simulated control service. It serves xDS v3 over ADS streams, in the state-of-the-world and the delta variant, for
// the endpoint list and any other resource type.
type Control struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	cluster string
	address string

	mu                sync.Mutex // guards the fields below except done
	nodes             []ListedNode
	resources         map[string]resource // by type URL
	version           int
	resourcesChanged  chan struct{} // closed and replaced at each change of the resources to send
	dispatcherChanged chan struct{} // closed and replaced at each request from a dispatcher
	server            *grpc.Server
	done              sync.WaitGroup
	replies           []Reply
	pushed            []Push
	streamStarts      []time.Time             // when each stream had its first request
	sets              map[uint64][]*anypb.Any // by number, for SetRollout
	sentBytes         int                     // size of all resources sent
	chooseSet         func(dispatcher string) uint64
	onReply           func(dispatcher string, number uint64, errorMessage string)
}

// resource is one resource and the version it was set with.
type resource struct {
	name    string
	content *anypb.Any
	version int
}

// NewControl returns a control service for a cluster. It listens after Start.
func NewControl(cluster string) *Control {
	return &Control{cluster: cluster, resourcesChanged: make(chan struct{}), dispatcherChanged: make(chan struct{}),
		resources: map[string]resource{}}
}

// SetAddress sets the address that the next Start listens on, as host:port.
func (c *Control) SetAddress(address string) { c.address = address }

// Start listens on the address of SetAddress or of the previous Start; without either, on any free port on loopback.
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
		_ = s.Serve(l) // Stop ends it
	}()
	return nil
}

// Address returns the address that the service listens on, as host:port.
func (c *Control) Address() string { return c.address }

// Stop closes all streams and stops listening.
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

// SetEndpoints replaces the endpoint list and pushes it. fault is "", or "empty" or "malformed" to push such a list in place of
// nodes, which dispatchers are expected to reject.
func (c *Control) SetEndpoints(nodes []ListedNode, fault string) {
	if fault != "" {
		nodes = nil
	}
	list, err := anypb.New(Assignment(c.cluster, nodes))
	if err != nil || fault == "malformed" {
		list = &anypb.Any{TypeUrl: edsType, Value: []byte{0xff, 0xff, 0xff}}
	}
	c.mu.Lock()
	c.nodes = nodes
	c.mu.Unlock()
	c.SetResources(c.cluster, list)
}

// SetResources replaces the resource of each given resource's type and pushes it under name. All get one new version.
func (c *Control) SetResources(name string, resources ...*anypb.Any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	for _, a := range resources {
		c.resources[a.GetTypeUrl()] = resource{name, a, c.version}
	}
	c.push()
}

// push wakes all streams, so that they send changed resources. The caller holds c.mu.
func (c *Control) push() {
	close(c.resourcesChanged)
	c.resourcesChanged = make(chan struct{})
}

// SetRollout offers each dispatcher a set of resources of its own, besides those of SetResources. chooseSet returns the number of
// the set to offer. onReply is called for each reply to a response other than an endpoint list, with the response's nonce, which is
// the number of its set, and the error message of a NACK, "" for an ACK. Both are called with the service's lock held.
func (c *Control) SetRollout(chooseSet func(dispatcher string) uint64,
	onReply func(dispatcher string, number uint64, errorMessage string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooseSet, c.onReply, c.sets = chooseSet, onReply, map[uint64][]*anypb.Any{}
}

// Update calls change with the service's lock held, and pushes the changed resources.
func (c *Control) Update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.push()
}

// AddSet adds a set of resources for SetRollout. Call it within Update.
func (c *Control) AddSet(number uint64, resources []*anypb.Any) { c.sets[number] = resources }

// resourcesFor returns the resources to offer to a dispatcher, by type URL. The caller holds c.mu.
func (c *Control) resourcesFor(dispatcher string) map[string]resource {
	if c.chooseSet == nil {
		return c.resources
	}
	out := maps.Clone(c.resources)
	number := c.chooseSet(dispatcher)
	for _, a := range c.sets[number] {
		out[a.GetTypeUrl()] = resource{"default", a, int(number)}
	}
	return out
}
