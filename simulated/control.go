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

// Control is a simulated control service: xDS v3 on ADS streams, state of the world and delta, for the endpoint list and any
// other resource type.
type Control struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	cluster string
	address string

	mu                sync.Mutex // guards what follows, but done
	nodes             []ListedNode
	resources         map[string]resource // by type URL
	version           int
	resourcesChanged  chan struct{} // closed and replaced at each change of what is to be sent
	dispatcherChanged chan struct{} // closed and replaced at each request or reply
	server            *grpc.Server
	done              sync.WaitGroup
	replies           []Reply
	pushed            []Push
	streamStarts      []time.Time // when each stream began
	sets              map[uint64][]*anypb.Any
	sentBytes         int // of all responses
	chooseSet         func(dispatcher string) uint64
	onReply           func(dispatcher string, number uint64, refused string)
}

// resource is one resource with the version that it was put with.
type resource struct {
	name    string
	content *anypb.Any // nil: an empty response
	version int
}

// NewControl returns a service that does not listen yet.
func NewControl(cluster string) *Control {
	return &Control{cluster: cluster, resourcesChanged: make(chan struct{}), dispatcherChanged: make(chan struct{}), resources: map[string]resource{}}
}

// At sets the address that the next Start listens at.
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
		_ = s.Serve(l) // Stop ends it
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

// Set changes the endpoint list and pushes it; bad is "", or "malformed" or "empty" for a list that is to be refused.
func (c *Control) Set(nodes []ListedNode, bad string) {
	if bad != "" {
		nodes = nil
	}
	list, err := anypb.New(Assignment(c.cluster, nodes))
	if err != nil || bad == "malformed" {
		list = &anypb.Any{TypeUrl: edsType, Value: []byte{0xff, 0xff, 0xff}}
	}
	c.mu.Lock()
	c.nodes = nodes
	c.mu.Unlock()
	c.Put(c.cluster, list)
}

// Put changes resources, whose Any messages have their types, and pushes them under a name.
func (c *Control) Put(name string, resources ...*anypb.Any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	for _, a := range resources {
		c.resources[a.GetTypeUrl()] = resource{name, a, c.version}
	}
	c.push()
}

// push wakes the streams. c.mu is held.
func (c *Control) push() {
	close(c.resourcesChanged)
	c.resourcesChanged = make(chan struct{})
}

// Stage gives each dispatcher a set of resources of its own: chooseSet returns the number of the set to offer, onReply is called with
// what the dispatcher replied. Both are called with the service's lock held.
func (c *Control) Stage(chooseSet func(dispatcher string) uint64, onReply func(dispatcher string, number uint64, refused string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooseSet, c.onReply, c.sets = chooseSet, onReply, map[uint64][]*anypb.Any{}
}

// Locked runs a function with the service's lock held, and pushes what it has changed.
func (c *Control) Locked(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.push()
}

// AddSet adds a set for Stage; call it in Locked.
func (c *Control) AddSet(number uint64, resources []*anypb.Any) { c.sets[number] = resources }

// resourcesFor are the resources to offer to a dispatcher. c.mu is held.
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
