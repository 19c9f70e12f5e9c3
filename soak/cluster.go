package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Options set the size of a deployment, the behavior of its clients and the faults that its servers always have.
type Options struct {
	Program     string // path of the dispatcher's executable
	Directory   string // of the dispatchers' configuration files and logs
	Seed        uint64
	Dispatchers int
	Servers     int // query nodes at the start
	Clients     int // of each dispatcher
	Descriptors int // file descriptors that each dispatcher may use
	Behavior    ClientBehavior
	BaseFaults  ServerFaults // of every server, while no other faults are injected into it
}

// Cluster is a deployment on loopback: dispatchers as separate processes, and simulated clients, query nodes and name services.
type Cluster struct {
	Record      *Record
	Dispatchers []*Dispatcher

	options Options
	clients errgroup.Group
	stop    context.CancelFunc

	mu           sync.Mutex
	servers      map[string]*Server // by ID, removed ones too
	endpoints    []nodelist.Node    // the current endpoint list
	serversAdded int                // servers added so far; the last of them has this number in its ID
}

// NewCluster starts servers and dispatchers, waits until all dispatchers are ready, and then starts the clients. The cluster is not nil
// even on an error, and the caller must close it.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Record: newRecord(), options: o, servers: map[string]*Server{}}
	for range o.Servers {
		if _, err := c.AddServer(); err != nil {
			return c, err
		}
	}
	var group errgroup.Group
	for i := range o.Dispatchers {
		nameService, err := newNameService(c.Record, i, o.Seed)
		if err != nil {
			return c, err
		}
		d, err := newDispatcher(c.Record, i, o, nameService)
		if err != nil {
			return c, err
		}
		if err := d.Start(c.endpointList()); err != nil {
			return c, err
		}
		c.Dispatchers = append(c.Dispatchers, d)
		group.Go(func() error {
			if !d.WaitReady(ctx) {
				return fmt.Errorf("dispatcher n%d was not ready", i)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return c, err
	}
	ctx, c.stop = context.WithCancel(ctx)
	for i, d := range c.Dispatchers {
		for k := range o.Clients {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(i*1000+k)))
			cl := &client{record: c.Record, dispatcher: d, behavior: o.Behavior, rng: rng}
			c.clients.Go(func() error { cl.run(ctx); return nil })
		}
	}
	return c, nil
}

// endpointList returns a copy of the current endpoint list.
func (c *Cluster) endpointList() []nodelist.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.endpoints)
}

// AddServer starts a server and publishes an endpoint list with it.
func (c *Cluster) AddServer() (*Server, error) {
	c.mu.Lock()
	c.serversAdded++
	id := fmt.Sprintf("s-%d", c.serversAdded)
	c.mu.Unlock()
	s, err := newServer(c.Record, id, c.options.Seed+uint64(c.serversAdded))
	if err != nil {
		return nil, err
	}
	s.SetFaults(c.options.BaseFaults)
	c.mu.Lock()
	c.servers[id] = s
	c.endpoints = append(slices.Clone(c.endpoints), s.Node())
	c.mu.Unlock()
	c.publish()
	return s, nil
}

// DrainServer publishes an endpoint list in which a server is draining.
func (c *Cluster) DrainServer(id string) {
	c.mu.Lock()
	c.endpoints = slices.Clone(c.endpoints)
	for i := range c.endpoints {
		if c.endpoints[i].ID == id {
			c.endpoints[i].State = policy.Draining
		}
	}
	c.mu.Unlock()
	c.publish()
}

// RemoveServer publishes an endpoint list without a server. The server itself keeps running until Crash is called on it.
func (c *Cluster) RemoveServer(id string) {
	c.mu.Lock()
	c.endpoints = slices.DeleteFunc(slices.Clone(c.endpoints), func(n nodelist.Node) bool { return n.ID == id })
	c.mu.Unlock()
	c.publish()
}

// Server returns a server by its ID, or nil where there is none.
func (c *Cluster) Server(id string) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id]
}

// HealthyServers returns the IDs of the servers that are healthy in the endpoint list.
func (c *Cluster) HealthyServers() (ids []string) {
	for _, n := range c.endpointList() {
		if n.State == policy.Healthy {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// publish gives the current endpoint list to every dispatcher's name service.
func (c *Cluster) publish() {
	nodes := c.endpointList()
	for _, d := range c.Dispatchers {
		d.nameService.SetEndpoints(nodes)
	}
}

// Restart starts a dispatcher's next process and waits until it is ready. A process that does not get ready in time is no error here:
// the checker reports it from the record.
func (c *Cluster) Restart(ctx context.Context, d *Dispatcher) error {
	if err := d.Start(c.endpointList()); err != nil {
		return err
	}
	d.WaitReady(ctx)
	return nil
}

// Close stops clients first, then dispatchers, then servers, and waits until all goroutines of the servers have ended.
func (c *Cluster) Close() error {
	if c.stop != nil {
		c.stop()
	}
	err := c.clients.Wait()
	for _, d := range c.Dispatchers {
		if closed := d.Close(); err == nil {
			err = closed
		}
	}
	c.mu.Lock()
	servers := make([]*Server, 0, len(c.servers))
	for _, s := range c.servers {
		servers = append(servers, s)
	}
	c.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	for _, s := range servers {
		s.Wait()
	}
	return err
}
