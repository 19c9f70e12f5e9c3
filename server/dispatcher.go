// Package server puts one dispatcher together, runs it and stops its parts in order: loop, fleet, frontends, control service, health,
// metrics, admin socket. It decides nothing.
package server

import (
	"fmt"
	"log/slog"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"

	"embershunt/backend"
	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/frontend/clickhouse"
	"embershunt/frontend/flightsql"
	"embershunt/internal/seal"
)

// Dispatcher is one dispatcher. Run it once.
type Dispatcher struct {
	cfg      *config.Config
	log      *slog.Logger
	clock    dispatch.Clock
	registry *prometheus.Registry
	health   *health.Server

	loop     *dispatch.Loop
	fleet    *backend.Fleet
	intake   *frontend.Intake
	sessions *frontend.Sessions

	flightFrontend *flightsql.Front
	nativeFrontend *clickhouse.Front
	grpcServer     *grpc.Server
	listeners      listeners

	controller    *controller         // nil: nothing is streamed
	learnedKeeper *learnedStateKeeper // nil: learned state ends with the process
	recording     *recording          // nil: decisions are not recorded
}

// Options are what a configuration file does not hold.
type Options struct {
	Log    *slog.Logger // nil: nothing is logged
	Seed   uint64       // of the decisions; 0: drawn
	Tracer trace.Tracer // nil: no spans
}

// New builds a dispatcher and listens; nothing is served before Run. After an error nothing listens and the store of versions is
// closed.
func New(cfg *config.Config, o Options) (*Dispatcher, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	d := &Dispatcher{cfg: cfg, log: o.Log.With("dispatcher", cfg.File.Name), clock: dispatch.NewClock(),
		registry: prometheus.NewRegistry(), health: health.NewServer()}
	if err := d.openController(); err != nil {
		return nil, err
	}
	if err := d.build(o); err != nil {
		d.closeStore()
		return nil, err
	}
	return d, nil
}

// openController makes the controller, where anything is streamed. It may start from a stored version of the configuration.
func (d *Dispatcher) openController() error {
	if d.cfg.File.Control == nil && d.cfg.File.Nodes.EDS == nil {
		return nil
	}
	c, cfg, err := newController(d.cfg, d.log)
	if err != nil {
		return err
	}
	c.dispatcher, d.controller, d.cfg = d, c, cfg
	return nil
}

// closeStore closes the store of a dispatcher that does not run.
func (d *Dispatcher) closeStore() {
	if d.controller == nil || d.controller.store == nil {
		return
	}
	if err := d.controller.store.Close(); err != nil {
		d.log.Warn("the store of versions cannot be closed", "error", err)
	}
}

// build makes the parts in the order in which they need each other, and listens.
func (d *Dispatcher) build(o Options) error {
	sealer, err := seal.New(d.cfg.Keys...)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	d.fleet = newFleet(d.cfg, d.log, d.clock)
	observer := newObserver(d.log, d.registry, o.Tracer, d.cfg)
	if err := d.buildLoop(o.Seed, observer); err != nil {
		return err
	}
	d.buildSessions()
	d.buildFrontends(sealer)
	observer.registerParts(d.intake, d.fleet, d.nativeFrontend, d.cfg.File.Front.MaxBufferedInsertBytes)
	observer.registerSessions(d.sessions, d.cfg.File.Sessions.Max)
	d.grpcServer = newGRPCServer(d.flightFrontend, d.health)
	d.listeners, err = listen(d.cfg.File.Listen)
	return err
}

// Address is where Flight SQL is served.
func (d *Dispatcher) Address() string { return d.listeners.flight.Addr().String() }

// NativeAddress is where the ClickHouse native protocol is served; "" where it is not.
func (d *Dispatcher) NativeAddress() string {
	if d.listeners.native == nil {
		return ""
	}
	return d.listeners.native.Addr().String()
}

// Native is the frontend of the ClickHouse native protocol.
func (d *Dispatcher) Native() *clickhouse.Front { return d.nativeFrontend }

// Sessions are those whose state one node holds.
func (d *Dispatcher) Sessions() *frontend.Sessions { return d.sessions }

// Fleet is the dispatcher's view of the query nodes.
func (d *Dispatcher) Fleet() *backend.Fleet { return d.fleet }

// Registry has the dispatcher's metrics.
func (d *Dispatcher) Registry() *prometheus.Registry { return d.registry }

// Drain begins a graceful shutdown: health reports it, new queries are rejected, pending ones get their answers, then Run
// returns nil.
func (d *Dispatcher) Drain() {
	d.log.Info("draining: new queries are rejected, queries in flight are answered")
	d.health.Shutdown()
	d.loop.Drain()
}

// Kill breaks every connection and stops listening without notice, as a crash does, for tests. Run must be ended by its context
// afterwards.
func (d *Dispatcher) Kill() {
	d.grpcServer.Stop()
}
