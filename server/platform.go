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

// Platform is a dispatcher on the platform's protocol. Every other front, listener, recording and store is off in it. Run it
// once.
type Platform struct {
	log      *slog.Logger
	clock    dispatch.Clock
	loop     *dispatch.Loop
	fleet    *backend.Fleet
	front    *postgres.Front
	listener *net.TCPListener
	peers    *peers.Peers // nil: the settings allow none
	resolver *resolver.Resolver
	tally    *tally
	nodes    []nodelist.Node // in force; the resolver's goroutine's own
	drain    chan struct{}
}

// Shares of the descriptors: what the process itself holds, and of the rest what connections to nodes may take.
const (
	ownSockets = 24
	nodesPart  = 0.4
	// clientsPart: clients keep to one descriptor in so many, and each asks one query at a time. More are never held.
	clientsPart = 3
)

// Parts of the memory limit: where the collector works harder, and what is never given back between two collections.
const (
	memoryPart = 0.6
	growth     = 50 // percent that the heap may grow between two collections
)

// Limit fits the runtime to the processors and the memory that the configuration allows.
func Limit(cfg *config.Platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(growth)
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryPart * (1 << 20)))
}

// askParts is how often the name service is asked within the grace of a drain; asking costs it little.
const (
	askParts = 5
	askMost  = 250 * time.Millisecond
	askLeast = 50 * time.Millisecond
)

// NewPlatform listens; nothing is served before Run.
func NewPlatform(cfg *config.Platform, log *slog.Logger) (*Platform, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	p := &Platform{log: log.With("dispatcher", cfg.Name), clock: dispatch.NewClock(), drain: make(chan struct{}),
		tally: newTally(log)}
	span := func(us policy.Micros) time.Duration { return time.Duration(us) * time.Microsecond }
	nodes := int(float64(cfg.Sockets-ownSockets) * nodesPart)
	p.fleet = backend.New(backend.Options{Log: p.log, Clock: p.clock, ConnectTimeout: span(cfg.SocketLimits.ConnectTimeout),
		MaxPlatformConns: nodes, MaxAttemptsPerConn: cfg.SocketLimits.StreamsPerConn, PlatformIdleTimeout: span(cfg.SocketLimits.ConnIdle) / 2,
		DrainGrace: span(cfg.Settings.DrainGrace)})
	settings := cfg.Settings
	if most := cfg.Sockets / clientsPart; settings.MaxInFlight == 0 || settings.MaxInFlight > most {
		settings.MaxInFlight = most
	}
	core, err := dispatch.NewCore(cfg.Seed, settings, p.fleet, p.tally)
	if err != nil {
		return nil, err
	}
	p.loop = dispatch.NewLoop(core, p.clock)
	p.fleet.Bind(p.loop)
	desk := frontend.NewIntake(p.loop, p.clock, frontend.Tables{})
	p.front = postgres.New(postgres.Options{Log: p.log, Settings: cfg.Settings, MostSessions: cfg.Sockets - ownSockets - nodes,
		Idle: span(cfg.SocketLimits.ConnIdle)}, desk)
	every := min(max(span(cfg.Settings.DrainGrace)/askParts, askLeast), askMost)
	p.resolver = resolver.New(resolver.Options{Log: p.log, Address: cfg.Resolver, Names: cfg.Names, Initial: cfg.Initial, Interval: every,
		Apply: p.setNodes})
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
	p.listener = l.(*net.TCPListener) // what Listen gives for "tcp"
	return p, nil
}

// Address is where clients are served.
func (p *Platform) Address() string { return p.listener.Addr().String() }

func (p *Platform) setNodes(nodes []nodelist.Node) {
	if err := p.fleet.SetNodes(nodes); err != nil {
		p.log.Warn("a node list was not taken", "error", err)
		return
	}
	p.log.Info("node list in force", "version", p.resolver.Stats().Version, "changes", fmt.Sprint(nodelist.Changes(p.nodes, nodes)))
	p.nodes = nodes
}

// Reload takes the file anew, as a whole or not at all: the name service may have moved. What else it holds is for the next
// start.
func (p *Platform) Reload(path string) {
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		p.log.Error("the new configuration is not taken; the old one stays", "error", err)
		return
	}
	p.log.Info("configuration taken", "resolver", cfg.Resolver)
	p.resolver.Move(cfg.Resolver)
}

// takesOn is how long after an order to stop clients still come, as the platform says: they are served.
const takesOn = 700 * time.Millisecond

// Drain has the dispatcher stop: it takes queries for a moment more, refuses what comes later, and ends when all that it has
// taken has its answer. It must be called once at most.
func (p *Platform) Drain() { close(p.drain) }

// Run serves until the dispatcher has drained (nil), ctx ends, or something fails.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	during, over := context.WithCancel(context.WithoutCancel(ctx)) // ends with the loop, whatever ends that
	group.Go(func() error {
		defer over()
		return p.loop.Run(ctx)
	})
	group.Go(func() error { return p.front.Serve(during, p.listener) })
	p.fleet.Go(p.resolver.Run)
	if p.peers != nil {
		group.Go(func() error { return p.peers.Run(during, toLoop{p.loop}) })
	}
	group.Go(func() error { p.tally.run(during, p); return nil })
	group.Go(func() error {
		select {
		case <-during.Done():
			return nil
		case <-p.drain:
		}
		p.log.Info("draining: queries are taken for a moment more, then refused", "moment", takesOn)
		t := time.NewTimer(takesOn)
		defer t.Stop()
		select {
		case <-during.Done():
		case <-t.C:
			p.loop.Drain()
		}
		return nil
	})
	group.Go(func() error {
		<-during.Done()
		return p.fleet.Close()
	})
	return group.Wait()
}

// toLoop passes on what needs no ledger.
type toLoop struct{ *dispatch.Loop }

func (l toLoop) Notify(ev policy.Event) { l.Post(dispatch.PolicyEvent{Event: ev}) }
