// Package server assembles one dispatcher, runs it and stops its parts in order. The parts are the loop, the fleet, the frontends, the
// client of the control service, health, metrics and the admin socket. The decisions are made in other packages.
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

// Dispatcher is a dispatcher for Flight SQL and native clients. Run may be called once.
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

	flightFrontend *flightsql.Frontend
	nativeFrontend *clickhouse.Frontend
	grpcServer     *grpc.Server
	listeners      listeners

	controller    *controller         // nil: nothing is streamed
	learnedKeeper *learnedStateKeeper // nil: learned state is lost when the process ends
	recording     *recording          // nil: decisions are not recorded
}

// Options are a dispatcher's settings that are not in its configuration file.
type Options struct {
	Log    *slog.Logger // nil: nothing is logged
	Seed   uint64       // of the policy's random choices; 0: drawn at random
	Tracer trace.Tracer // nil: no spans
}

// New builds a dispatcher and opens its listeners; nothing is served before Run. After an error the listeners and the store of
// versions are closed.
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

// openController creates the controller if the node list or the settings are streamed. It replaces the dispatcher's configuration by
// the last stored version, if there is one.
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

// closeStore closes the store of versions of a dispatcher that is not run; controller.run closes it otherwise.
func (d *Dispatcher) closeStore() {
	if d.controller == nil || d.controller.store == nil {
		return
	}
	if err := d.controller.store.Close(); err != nil {
		d.log.Warn("cannot close the store of versions", "error", err)
	}
}

// build creates the parts in the order of their dependencies and opens the listeners.
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
	observer.registerParts(d.intake, d.fleet, d.nativeFrontend, d.cfg.File.Frontend.MaxBufferedInsertBytes)
	observer.registerSessions(d.sessions, d.cfg.File.Sessions.Max)
	d.grpcServer = newGRPCServer(d.flightFrontend, d.health)
	d.listeners, err = listen(d.cfg.File.Listen)
	return err
}

// Address returns the address at which Flight SQL is served, as HOST:PORT.
func (d *Dispatcher) Address() string { return d.listeners.flight.Addr().String() }

// NativeAddress returns the address at which the ClickHouse native protocol is served, or "" where it is not served.
func (d *Dispatcher) NativeAddress() string {
	if d.listeners.native == nil {
		return ""
	}
	return d.listeners.native.Addr().String()
}

// NativeFrontend returns the frontend of the ClickHouse native protocol.
func (d *Dispatcher) NativeFrontend() *clickhouse.Frontend { return d.nativeFrontend }

// Sessions returns the sticky sessions: those whose state one node holds.
func (d *Dispatcher) Sessions() *frontend.Sessions { return d.sessions }

// Fleet returns the dispatcher's view of the query nodes.
func (d *Dispatcher) Fleet() *backend.Fleet { return d.fleet }

// Registry returns the registry of the dispatcher's metrics.
func (d *Dispatcher) Registry() *prometheus.Registry { return d.registry }

// Drain begins a graceful shutdown: health checks report NOT_SERVING, new queries are rejected, and Run returns nil when all pending
// queries have their answers.
func (d *Dispatcher) Drain() {
	d.log.Info("draining: new queries are rejected, queries in flight are answered")
	d.health.Shutdown()
	d.loop.Drain()
}

// Kill closes the Flight SQL listener and all its connections without notice, as a crash does. The other listeners stay open. It is for
// tests, which must then end Run by its context.
func (d *Dispatcher) Kill() {
	d.grpcServer.Stop()
}
