package server

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/backend"
	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/frontend/postgres"
	"embershunt/nodelist"
	"embershunt/nodelist/resolver"
	"embershunt/peers"
	"embershunt/policy"
)

// Platform is a dispatcher for the platform's protocols alone: clients speak the PostgreSQL protocol, nodes the line protocol. It has
// no other frontend, no admin socket, recording or store. Run and Drain may be called once.
type Platform struct {
	log      *slog.Logger
	clock    dispatch.Clock
	loop     *dispatch.Loop
	fleet    *backend.Fleet
	frontend *postgres.Frontend
	listener *net.TCPListener
	peers    *peers.Peers // nil: the settings do not allow gossip
	resolver *resolver.Resolver
	metrics  *platformMetrics
	nodes    []nodelist.Node // in force; once Run is called, only the resolver's goroutine uses it
	draining chan struct{}   // closed by Drain
}

// Division of the process's file descriptors (limits.sockets).
const (
	reservedDescriptors = 24  // for listeners, peers, name service, files and the like
	nodeDescriptorShare = 0.4 // share of the others for connections to nodes; the rest is for connections of clients
	// descriptorsPerQuery is the number of file descriptors for each query in flight: MaxInFlight is at most limits.sockets divided by it.
	descriptorsPerQuery = 3
)

// statementMemoryShare is the share of the memory allowed that clients' statements may take, beyond a small allotment of each session.
const statementMemoryShare = 0.125

// Settings of the garbage collector.
const (
	memoryLimitShare  = 0.6 // soft limit, as a share of the memory allowed: above it garbage is collected more often
	heapGrowthPercent = 50  // growth of the live heap that starts a collection
)

// Polling of the name service: several polls within the drain grace, so that a drain is noticed early in it.
const (
	pollsPerDrainGrace = 5
	minPollInterval    = 50 * time.Millisecond
	maxPollInterval    = 250 * time.Millisecond
)

// drainDelay is the time after the order to stop in which, by the platform's rules, clients may still send queries: they are served.
const drainDelay = 700 * time.Millisecond

// SetRuntimeLimits sets the Go runtime's limits by the processors and the memory that the configuration allows.
func SetRuntimeLimits(cfg *config.Platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitShare * (1 << 20)))
}

// NewPlatform builds a dispatcher and opens its listener; nothing is served before Run.
func NewPlatform(cfg *config.Platform, log *slog.Logger) (*Platform, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	p := &Platform{log: log.With("dispatcher", cfg.Name), clock: dispatch.NewClock(), draining: make(chan struct{}),
		metrics: newPlatformMetrics(log)}
	nodeDescriptors := int(float64(cfg.Sockets-reservedDescriptors) * nodeDescriptorShare)
	p.fleet = newPlatformFleet(cfg, p.log, p.clock, nodeDescriptors)
	core, err := dispatch.NewCore(cfg.Seed, platformSettings(cfg), p.fleet, p.metrics)
	if err != nil {
		return nil, err
	}
	p.loop = dispatch.NewLoop(core, p.clock)
	p.fleet.Bind(p.loop)
	p.frontend = postgres.New(postgres.Options{Log: p.log, Settings: cfg.Settings,
		MaxSessions: cfg.Sockets - reservedDescriptors - nodeDescriptors, IdleTimeout: duration(cfg.ConnectionSettings.ConnIdle),
		MaxHeldBytes: int(cfg.MemoryMB * statementMemoryShare * (1 << 20))},
		frontend.NewIntake(p.loop, p.clock, frontend.Settings{}))
	p.resolver = resolver.New(resolver.Options{Log: p.log, Address: cfg.Resolver, Names: cfg.Names, Initial: cfg.Initial,
		Interval: pollInterval(cfg), Apply: p.setNodes})
	if cfg.Settings.CanGossip {
		if p.peers, err = peers.Listen(cfg.PeerListen, cfg.Peers, cfg.Settings.PeerIndex); err != nil {
			return nil, err
		}
		p.fleet.OnGossip(p.peers.Send)
	}
	if err := p.fleet.SetNodes(cfg.Initial.Nodes); err != nil {
		return nil, err
	}
	p.nodes = cfg.Initial.Nodes
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = l.(*net.TCPListener) // the type that net.Listen returns for "tcp"
	return p, nil
}

func newPlatformFleet(cfg *config.Platform, log *slog.Logger, clock dispatch.Clock, maxConnections int) *backend.Fleet {
	connections := &cfg.ConnectionSettings
	return backend.New(backend.Options{
		Log:                 log,
		Clock:               clock,
		ConnectTimeout:      duration(connections.ConnectTimeout),
		MaxPlatformConns:    maxConnections,
		MaxAttemptsPerConn:  connections.StreamsPerConn,
		PlatformIdleTimeout: duration(connections.ConnIdle) / 2,
		DrainGrace:          duration(cfg.Settings.DrainGrace),
	})
}

// platformSettings returns the settings, with the limit of queries in flight lowered to what the file descriptors allow.
func platformSettings(cfg *config.Platform) policy.Settings {
	settings := cfg.Settings
	if limit := cfg.Sockets / descriptorsPerQuery; settings.MaxInFlight == 0 || settings.MaxInFlight > limit {
		settings.MaxInFlight = limit
	}
	return settings
}

func pollInterval(cfg *config.Platform) time.Duration {
	return min(max(duration(cfg.Settings.DrainGrace)/pollsPerDrainGrace, minPollInterval), maxPollInterval)
}

func duration(micros policy.Micros) time.Duration { return time.Duration(micros) * time.Microsecond }

// Address returns the address at which clients are served, as HOST:PORT.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// setNodes puts a node list of the resolver in force.
func (p *Platform) setNodes(nodes []nodelist.Node) {
	if err := p.fleet.SetNodes(nodes); err != nil {
		p.log.Warn("node list rejected", "error", err)
		return
	}
	p.log.Info("node list applied", "version", p.resolver.Stats().Version, "changes", fmt.Sprint(nodelist.Changes(p.nodes, nodes)))
	p.nodes = nodes
}

// Reload reads the configuration file again and applies the address of the name service; other changes need a restart. A file with an
// error changes nothing.
func (p *Platform) Reload(path string) {
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		p.log.Error("new configuration rejected; the old one stays in effect", "error", err)
		return
	}
	p.log.Info("configuration reloaded", "resolver", cfg.Resolver)
	p.resolver.SetAddress(cfg.Resolver)
}

// Drain begins a graceful shutdown: queries are accepted for another drainDelay, later ones are rejected, and Run returns when all
// pending queries have their answers. It must be called once at most.
func (p *Platform) Drain() { close(p.draining) }

// Run serves until the dispatcher has drained, ctx ends or a part fails. The error is nil after a drain.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loopCtx, cancelLoopCtx := context.WithCancel(context.WithoutCancel(ctx)) // ends when the loop has ended, and not before
	group.Go(func() error {
		defer cancelLoopCtx()
		return p.loop.Run(ctx)
	})
	group.Go(func() error { return p.frontend.Serve(loopCtx, p.listener) })
	p.fleet.Go(p.resolver.Run)
	if p.peers != nil {
		group.Go(func() error { return p.peers.Run(loopCtx, policyEventPoster{p.loop}) })
	}
	group.Go(func() error { p.metrics.run(loopCtx, p); return nil })
	group.Go(func() error { p.drainAfterDelay(loopCtx); return nil })
	group.Go(func() error {
		<-loopCtx.Done()
		return p.fleet.Close()
	})
	return group.Wait()
}

// drainAfterDelay waits for Drain and then for drainDelay, and drains the loop, unless ctx ends first.
func (p *Platform) drainAfterDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.draining:
	}
	p.log.Info("draining: queries are accepted for a moment more, then rejected", "moment", drainDelay)
	timer := time.NewTimer(drainDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		p.loop.Drain()
	}
}

// policyEventPoster implements peers.Receiver: it posts gossip to the loop.
type policyEventPoster struct{ *dispatch.Loop }

// Notify posts an event that goes to the policy and does not concern the ledger.
func (l policyEventPoster) Notify(ev policy.Event) { l.Post(dispatch.PolicyEvent{Event: ev}) }
