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

// Options are the size of a deployment and the behavior of its clients.
type Options struct {
	Program     string // path of the dispatcher's executable
	Directory   string // for files and logs
	Seed        uint64
	Dispatchers int
	Servers     int
	Clients     int // of each dispatcher
	Descriptors int // file descriptors that each dispatcher may use
	Behavior    ClientBehavior
	BaseFaults  ServerFaults // of every server, while no others are injected
}

// Cluster is a deployment on loopback: dispatchers as processes, and simulated peers.
type Cluster struct {
	Record      *Record
	Dispatchers []*Dispatcher

	options Options
	clients errgroup.Group
	stop    context.CancelFunc

	mu        sync.Mutex
	servers   map[string]*Server
	endpoints []nodelist.Node // the current endpoint list
	serial    int
}

// NewCluster starts servers and dispatchers and waits until all are ready; clients start then. On an error the cluster is to be closed.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Record: newRecord(), options: o, servers: map[string]*Server{}}
	for range o.Servers {
		if _, err := c.AddServer(); err != nil {
			return c, err
		}
	}
	var group errgroup.Group
	for i := range o.Dispatchers {
		names, err := newNameService(c.Record, i, o.Seed)
		if err != nil {
			return c, err
		}
		d, err := newDispatcher(c.Record, i, o, names)
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
			one := &client{record: c.Record, dispatcher: d, behavior: o.Behavior, rng: rng}
			c.clients.Go(func() error { one.run(ctx); return nil })
		}
	}
	return c, nil
}

// endpointList is the current list.
func (c *Cluster) endpointList() []nodelist.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.endpoints)
}

// AddServer starts a server and adds it to the list.
func (c *Cluster) AddServer() (*Server, error) {
	c.mu.Lock()
	c.serial++
	id := fmt.Sprintf("s-%d", c.serial)
	c.mu.Unlock()
	s, err := newServer(c.Record, id, c.options.Seed+uint64(c.serial))
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

// DrainServer marks a server as draining in the list.
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

// RemoveServer removes a server from the list; it runs on until it is crashed.
func (c *Cluster) RemoveServer(id string) {
	c.mu.Lock()
	c.endpoints = slices.DeleteFunc(slices.Clone(c.endpoints), func(n nodelist.Node) bool { return n.ID == id })
	c.mu.Unlock()
	c.publish()
}

// Server returns a server by its ID; nil where there is none.
func (c *Cluster) Server(id string) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id]
}

// HealthyServers are the IDs of the servers that the list calls healthy.
func (c *Cluster) HealthyServers() (ids []string) {
	for _, n := range c.endpointList() {
		if n.State == policy.Healthy {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// publish hands the current list to every name service.
func (c *Cluster) publish() {
	nodes := c.endpointList()
	for _, d := range c.Dispatchers {
		d.nameService.SetEndpoints(nodes)
	}
}

// Restart starts a dispatcher's next process and waits until it is ready; one that is not shows in the record.
func (c *Cluster) Restart(ctx context.Context, d *Dispatcher) error {
	if err := d.Start(c.endpointList()); err != nil {
		return err
	}
	d.WaitReady(ctx)
	return nil
}

// Close ends the run: clients first, then dispatchers, then servers; all goroutines of the servers have ended then.
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
