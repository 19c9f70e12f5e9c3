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

// Platform is a dispatcher on the platform's protocol alone: it has no other frontend, no admin socket, recording or store. Run it
// once.
type Platform struct {
	log      *slog.Logger
	clock    dispatch.Clock
	loop     *dispatch.Loop
	fleet    *backend.Fleet
	frontend *postgres.Front
	listener *net.TCPListener
	peers    *peers.Peers // nil: the settings allow none
	resolver *resolver.Resolver
	metrics  *platformMetrics
	nodes    []nodelist.Node // in force; used by the resolver's goroutine alone
	draining chan struct{}   // closed by Drain
}

// How the process's file descriptors are divided.
const (
	reservedDescriptors = 24  // listeners, peers, name service, files and the like
	nodeDescriptorShare = 0.4 // of the others: connections to nodes; the rest are clients'
	// descriptorsPerQuery bounds the queries in flight: no more than one for so many descriptors.
	descriptorsPerQuery = 3
)

// How the process uses its memory.
const (
	memoryLimitShare  = 0.6 // of the memory allowed: above it the garbage collector works harder
	heapGrowthPercent = 50  // between two collections
)

// The name service is polled several times within the grace of a drain, so that a drain is noticed early in it.
const (
	pollsPerDrainGrace = 5
	minPollInterval    = 50 * time.Millisecond
	maxPollInterval    = 250 * time.Millisecond
)

// drainDelay is how long after the order to stop clients may still send queries, as the platform says: they are served.
const drainDelay = 700 * time.Millisecond

// Limit fits the Go runtime to the processors and the memory that the configuration allows.
func Limit(cfg *config.Platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitShare * (1 << 20)))
}

// NewPlatform builds a dispatcher and listens; nothing is served before Run.
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
		MaxSessions: cfg.Sockets - reservedDescriptors - nodeDescriptors, IdleTimeout: duration(cfg.SocketLimits.ConnIdle)},
		frontend.NewIntake(p.loop, p.clock, frontend.Tables{}))
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
	p.listener = l.(*net.TCPListener) // the type that Listen documents for "tcp"
	return p, nil
}

func newPlatformFleet(cfg *config.Platform, log *slog.Logger, clock dispatch.Clock, maxConnections int) *backend.Fleet {
	limits := &cfg.SocketLimits
	return backend.New(backend.Options{
		Log:                 log,
		Clock:               clock,
		ConnectTimeout:      duration(limits.ConnectTimeout),
		MaxPlatformConns:    maxConnections,
		MaxAttemptsPerConn:  limits.StreamsPerConn,
		PlatformIdleTimeout: duration(limits.ConnIdle) / 2,
		DrainGrace:          duration(cfg.Settings.DrainGrace),
	})
}

// platformSettings are the settings with a bound on the queries in flight that the descriptors allow.
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

// Address is where clients are served.
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

// Reload reads the configuration again and follows the address of the name service, unless the file has an error. Other changes
// need a restart.
func (p *Platform) Reload(path string) {
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		p.log.Error("new configuration rejected; the old one stays in effect", "error", err)
		return
	}
	p.log.Info("configuration reloaded", "resolver", cfg.Resolver)
	p.resolver.SetAddress(cfg.Resolver)
}

// Drain begins a graceful shutdown: queries are accepted for drainDelay more, later ones are rejected, and Run returns when all have
// their answers. It must be called once at most.
func (p *Platform) Drain() { close(p.draining) }

// Run serves until the dispatcher has drained (nil), ctx ends, or something fails.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	whileLoop, loopEnded := context.WithCancel(context.WithoutCancel(ctx)) // ends with the loop, whatever ends that
	group.Go(func() error {
		defer loopEnded()
		return p.loop.Run(ctx)
	})
	group.Go(func() error { return p.frontend.Serve(whileLoop, p.listener) })
	p.fleet.Go(p.resolver.Run)
	if p.peers != nil {
		group.Go(func() error { return p.peers.Run(whileLoop, policyEventPoster{p.loop}) })
	}
	group.Go(func() error { p.metrics.run(whileLoop, p); return nil })
	group.Go(func() error { p.awaitDrain(whileLoop); return nil })
	group.Go(func() error {
		<-whileLoop.Done()
		return p.fleet.Close()
	})
	return group.Wait()
}

// awaitDrain drains the loop drainDelay after Drain, unless ctx ends before.
func (p *Platform) awaitDrain(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.draining:
	}
	p.log.Info("draining: queries are accepted for a moment more, then rejected", "moment", drainDelay)
	t := time.NewTimer(drainDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
		p.loop.Drain()
	}
}

// policyEventPoster passes gossip to the loop.
type policyEventPoster struct{ *dispatch.Loop }

// Notify posts an event that does not concern the ledger.
func (l policyEventPoster) Notify(ev policy.Event) { l.Post(dispatch.PolicyEvent{Event: ev}) }
