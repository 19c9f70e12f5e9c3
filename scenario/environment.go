package scenario

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"embershunt/internal/clock"
	"embershunt/policy"
	"embershunt/simulated"
)

// environment holds the processes of a day while it is played, and what their clients recorded.
type environment struct {
	script  *Script
	log     *slog.Logger
	rng     *rand.Rand // seeds nodes and client groups; used by one goroutine
	nodes   []*simulated.Node
	rows    []simulated.ListedNode // current list; guarded by mu once the day has begun
	control *simulated.Control
	begin   time.Time

	mu           sync.Mutex
	queries      []*ClientQuery
	transactions []*Transaction
	dispatchers  []*dispatcherProcess
	restarts     []restart // of nodes
	outages      []outage  // of dispatchers
	listFault    string    // "", or the fault of the list that the control service sends
}

// outage is a time in which a dispatcher was down.
type outage struct {
	dispatcher int
	from, to   time.Time
}

// restart is the start of a node's new process during the day.
type restart struct {
	node string
	at   time.Time
}

// start starts the control service, the nodes and the dispatchers.
func (e *environment) start(ctx context.Context) error {
	if err := e.control.Start(); err != nil {
		return err
	}
	if err := e.startNodes(); err != nil { //nolint:contextcheck // nodes end with Crash
		return err
	}
	e.control.SetEndpoints(e.listedNodes(), "")
	return e.startDispatchers(ctx)
}

// startNodes starts the nodes of all groups. The nodes of one zone share their deduplication tokens.
func (e *environment) startNodes() error {
	s := e.script
	tokens := map[string]*simulated.DedupTokens{}
	for _, g := range s.Nodes {
		if tokens[g.Zone] == nil {
			tokens[g.Zone] = simulated.NewDedupTokens(s.longestDedupWindow())
		}
		model := simulated.MachineModel{WarmUpTime: s.Config.Limits.SlowStartDuration.D(), ColdCapacity: s.Config.Limits.SlowStartFloor}
		for _, k := range s.Config.Kinds {
			if k.Name == g.Kind || g.Kind == "" {
				model.Cores, model.MemoryMB = k.Cores, k.MemoryMB
				break
			}
		}
		for range g.Count {
			n := simulated.NewNode(fmt.Sprintf("node-%d", len(e.nodes)), model, e.rng.Uint64())
			n.ShareTokens(tokens[g.Zone])
			if err := n.Start("127.0.0.1:0", false); err != nil {
				return err
			}
			e.nodes = append(e.nodes, n)
			e.rows = append(e.rows, simulated.ListedNode{Name: n.Name, Address: n.Address, NativeAddress: n.NativeAddress,
				Zone: g.Zone, Kind: g.Kind})
		}
	}
	return nil
}

// startDispatchers starts the dispatchers and opens a Flight SQL client for each.
func (e *environment) startDispatchers(ctx context.Context) error {
	s := e.script
	for i := range s.Dispatchers {
		p := &dispatcherProcess{}
		cfg, err := s.config(i, e.control.Address())
		if err != nil {
			return err
		}
		p.config = cfg
		e.dispatchers = append(e.dispatchers, p)
		if err := e.startDispatcher(ctx, i); err != nil {
			return err
		}
		p.client, err = flightsql.NewClient(p.address, nil, nil,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
		if err != nil {
			return err
		}
	}
	return nil
}

// stop closes the clients and stops all processes; it may be called twice.
func (e *environment) stop() {
	for _, p := range e.dispatchers {
		if p.client != nil {
			_ = p.client.Close() // no query needs it any more
			p.client = nil
			p.native.close()
		}
		if p.cancel != nil {
			p.cancel()
			if err := <-p.ended; err != nil {
				e.log.Debug("dispatcher ended", "error", err)
			}
			p.cancel = nil
		}
	}
	for _, n := range e.nodes {
		n.Crash()
	}
	e.control.Stop()
}

// listedNodes returns a copy of the node list.
func (e *environment) listedNodes() []simulated.ListedNode {
	return append([]simulated.ListedNode(nil), e.rows...)
}

// updateList changes the node list of the control service, after the script's list delay.
func (e *environment) updateList(ctx context.Context, change func(rows []simulated.ListedNode) []simulated.ListedNode) {
	if !clock.Sleep(ctx, e.script.ListDelay.D()) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rows = change(e.listedNodes())
	e.control.SetEndpoints(e.listedNodes(), e.listFault)
}

// placementOf returns the zone and the kind of node i.
func (e *environment) placementOf(i int) (zone, kind string) {
	for _, g := range e.script.Nodes {
		if i < g.Count {
			return g.Zone, g.Kind
		}
		i -= g.Count
	}
	return "", ""
}

// classOf returns the policy class of a client group's queries: updates and keyed INSERTs may have classes of their own.
func (e *environment) classOf(g int) policy.Class {
	cfg := e.dispatchers[0].config
	for i, c := range cfg.Settings.Classes {
		if c.Name == e.script.Clients[g].Class {
			if k := cfg.Classes.Keyed[i]; e.script.Clients[g].Keyed && k >= 0 {
				return cfg.Settings.Classes[k]
			}
			if e.script.Clients[g].Update || e.script.Clients[g].Keyed || e.script.Clients[g].Statements > 0 {
				return cfg.Settings.Classes[cfg.Classes.Updates[i]]
			}
			return c
		}
	}
	return policy.Class{}
}

// streamVersions has the control service send each version of the settings at its time.
func (e *environment) streamVersions(ctx context.Context) error {
	for i := range e.script.Versions {
		v := &e.script.Versions[i]
		if !clock.Sleep(ctx, time.Until(e.begin.Add(v.At.D()))) {
			return nil
		}
		resources, err := e.script.resources(v)
		if err != nil {
			return err
		}
		e.log.Info("streaming settings version", "number", v.Number)
		e.control.SetResources("default", resources...)
	}
	return nil
}
