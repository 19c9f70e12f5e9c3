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

// Options are the size of a run.
type Options struct {
	Program     string // path of dispatcher
	Folder      string // for files and logs
	Seed        uint64
	Dispatchers int
	Servers     int
	Clients     int // of each dispatcher
	Sockets     int // descriptors of each dispatcher
	Habits      Habits
}

// Cluster is a deployment on loopback: dispatchers as processes, and stand-ins for all that they talk to.
type Cluster struct {
	Record      *Record
	Dispatchers []*Dispatcher

	options Options
	clients errgroup.Group
	stop    context.CancelFunc

	mu      sync.Mutex
	servers map[string]*Server
	nodes   []nodelist.Node // the list in force
	serial  int
}

// NewCluster starts servers and dispatchers and waits until all are ready; clients come from then on.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Record: newRecord(), options: o, servers: map[string]*Server{}}
	for range o.Servers {
		if _, err := c.Join(); err != nil {
			return c, err
		}
	}
	var group errgroup.Group
	for i := range o.Dispatchers {
		names, err := newNameService(c.Record, i, o.Seed)
		if err != nil {
			return c, err
		}
		d, err := newDispatcher(c.Record, i, o.Program, o.Folder, names, o.Sockets)
		if err != nil {
			return c, err
		}
		if err := d.Begin(c.list()); err != nil {
			return c, err
		}
		c.Dispatchers = append(c.Dispatchers, d)
		group.Go(func() error {
			if !d.Ready(ctx) {
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
			one := &client{record: c.Record, d: d, habits: o.Habits, rng: rng}
			c.clients.Go(func() error { one.run(ctx); return nil })
		}
	}
	return c, nil
}

// list is the list in force.
func (c *Cluster) list() []nodelist.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// Join starts a server and puts it on the list.
func (c *Cluster) Join() (*Server, error) {
	c.mu.Lock()
	c.serial++
	id := fmt.Sprintf("s-%d", c.serial)
	c.mu.Unlock()
	s, err := newServer(c.Record, id, c.options.Seed+uint64(c.serial))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.servers[id] = s
	c.nodes = append(slices.Clone(c.nodes), s.Node())
	c.mu.Unlock()
	c.announce()
	return s, nil
}

// Drain has the list say that a server drains.
func (c *Cluster) Drain(id string) {
	c.mu.Lock()
	c.nodes = slices.Clone(c.nodes)
	for i := range c.nodes {
		if c.nodes[i].ID == id {
			c.nodes[i].State = policy.Draining
		}
	}
	c.mu.Unlock()
	c.announce()
}

// Remove takes a server off the list; its process ends some time later.
func (c *Cluster) Remove(id string) {
	c.mu.Lock()
	c.nodes = slices.DeleteFunc(slices.Clone(c.nodes), func(n nodelist.Node) bool { return n.ID == id })
	c.mu.Unlock()
	c.announce()
}

// Server is a server by its name; nil where there is none.
func (c *Cluster) Server(id string) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id]
}

// Healthy are the names of the servers that the list calls ready.
func (c *Cluster) Healthy() (ids []string) {
	for _, n := range c.list() {
		if n.State == policy.Healthy {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// announce puts the list in force at every name service.
func (c *Cluster) announce() {
	nodes := c.list()
	for _, d := range c.Dispatchers {
		d.names.Set(nodes)
	}
}

// Restart starts a dispatcher's process again and waits until it is ready.
func (c *Cluster) Restart(ctx context.Context, d *Dispatcher) error {
	if err := d.Begin(c.list()); err != nil {
		return err
	}
	d.Ready(ctx)
	return nil
}

// Close ends the run: clients first, then dispatchers and servers.
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
	return err
}
