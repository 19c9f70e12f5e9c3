// Package server puts one dispatcher together: loop, fleet, front, health, metrics. It wires and it stops things in
// order; it decides nothing.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"embershunt/backend"
	"embershunt/config"
	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/frontend/clickhouse"
	"embershunt/frontend/flightsql"
	"embershunt/internal/seal"
	"embershunt/session"
)

// Dispatcher is one dispatcher. Run it once.
type Dispatcher struct {
	cfg      *config.Config
	log      *slog.Logger
	clock    dispatch.Clock
	loop     *dispatch.Loop
	fleet    *backend.Fleet
	desk     *frontend.Intake
	sessions *frontend.Sessions
	front    *flightsql.Front
	native   *clickhouse.Front
	natives  net.Listener
	server   *grpc.Server
	health   *health.Server
	registry *prometheus.Registry
	listener net.Listener
	metrics  net.Listener
	socket   net.Listener
	control  *controller // nil: nothing is streamed
	warmth   *warmth     // nil: what is learned ends with the process
	record   *recording  // nil: decisions are not recorded
}

// Options are what a configuration does not say.
type Options struct {
	Log    *slog.Logger
	Seed   uint64 // 0: drawn
	Tracer trace.Tracer
}

// New listens; nothing is served before Run.
func New(cfg *config.Config, o Options) (*Dispatcher, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	f := &cfg.File
	d := &Dispatcher{cfg: cfg, log: o.Log.With("dispatcher", f.Name), clock: dispatch.NewClock(),
		registry: prometheus.NewRegistry(), health: health.NewServer()}
	if f.Control != nil || f.Nodes.EDS != nil {
		var err error
		if d.control, cfg, err = newController(cfg, d.log); err != nil {
			return nil, err
		}
		d.control.d, d.cfg, f = d, cfg, &cfg.File
		defer func() {
			if d.listener == nil && d.control.store != nil { // it did not come to listen
				d.control.store.Close()
			}
		}()
	}
	sealer, err := seal.New(cfg.Keys...)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	d.fleet = backend.New(backend.Options{Log: d.log, Clock: d.clock, ConnectTimeout: f.Sending.Connect.D(),
		DrainGrace: time.Duration(cfg.Settings.DrainGrace) * time.Microsecond, MaxFrame: f.Sending.MaxFrame, NativeUser: f.Sending.NativeUser, NativePassword: f.Sending.NativePass})
	observer := newObserver(d.log, d.registry, o.Tracer, cfg)
	core, err := dispatch.NewCore(o.Seed, cfg.Settings, d.fleet, observer)
	if err != nil {
		return nil, err
	}
	d.warmth = newWarmth(f.Log.Learned, f.Log.LearnedInterval.D(), core, d.clock, d.log)
	if d.record, err = newRecording(f, core, d.clock, d.registry); err != nil {
		return nil, err
	}
	d.loop = dispatch.NewLoop(core, d.clock)
	d.fleet.Bind(d.loop)
	var auth frontend.Authenticator = flightsql.AnyUser{}
	if !f.AnyUser {
		hashes := map[string]string{}
		for _, u := range f.Users {
			hashes[u.Name] = u.Bcrypt
		}
		auth = flightsql.NewUsers(hashes)
	}
	r := &f.Front
	d.desk = frontend.NewIntake(d.loop, d.clock, tables(cfg, 0))
	e := &f.Sessions
	d.sessions = frontend.NewSessions(d.desk, d.clock, session.Limits{All: e.Max, PerTenant: e.PerTenant, PerNode: e.PerNode,
		Idle: e.Idle.D().Microseconds(), Age: e.Age.D().Microseconds(), RetrySpread: e.RetrySpread.D().Microseconds(), Retention: e.Retention.D().Microseconds(),
		DrainGrace: max(f.Limits.DrainGrace.D()-sessionMargin, 0).Microseconds()}, d.fleet)
	d.fleet.OnNodes(d.sessions.SetNodes)
	d.front = flightsql.New(flightsql.Options{Sessions: d.sessions, Idle: e.Idle.D(), Age: e.Age.D(), Log: d.log, Auth: auth, Seal: sealer, SchemaLife: r.SchemaLife.D(),
		MaxSchemas: r.MaxSchemas, PassHeaders: f.Sending.PassHeaders}, d.desk)
	d.native = clickhouse.New(clickhouse.Options{Log: d.log, Auth: auth, MaxPacket: f.Sending.MaxFrame, Revision: d.fleet.NativeRevision, Sessions: d.sessions,
		MaxInsertBytes: r.MaxInsertBytes, MaxBufferedInsertBytes: r.MaxBufferedInsertBytes, SampleLife: r.SchemaLife.D(), MaxSamples: r.MaxSchemas}, d.desk)
	observer.watch(d.desk, d.fleet, d.native, r.MaxBufferedInsertBytes)
	observer.watchSessions(d.sessions, e.Max)
	d.server = grpc.NewServer(append(d.front.ServerOptions(),
		// Clients that vanished are noticed within this time, so that nothing runs on for them.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second,
			PermitWithoutStream: true}))...)
	d.front.Register(d.server)
	healthpb.RegisterHealthServer(d.server, d.health)
	if d.listener, err = net.Listen("tcp", f.Listen.FlightSQL); err != nil {
		return nil, err
	}
	if f.Listen.Metrics != "" {
		if d.metrics, err = net.Listen("tcp", f.Listen.Metrics); err != nil {
			d.listener.Close()
			return nil, err
		}
	}
	if f.Listen.Native != "" {
		if d.natives, err = net.Listen("tcp", f.Listen.Native); err != nil {
			d.listener.Close()
			d.listener = nil
			return nil, err
		}
	}
	if d.socket, err = listenAdmin(f.Listen.Admin); err != nil {
		d.listener.Close()
		if d.metrics != nil {
			d.metrics.Close()
		}
		d.listener = nil
		return nil, err
	}
	return d, nil
}

// sessionMargin is how long before the end of a drain's grace sessions on that node end: their last statement must have left.
const sessionMargin = 100 * time.Millisecond

// tables are what a configuration tells the front.
func tables(cfg *config.Config, version uint64) frontend.Tables {
	r := &cfg.File.Front
	t := frontend.Tables{Version: version, Classes: &cfg.Classes, Deadlines: make([]time.Duration, len(cfg.Settings.Classes)),
		ResponseMargin: r.ResponseMargin.D(), TicketLife: r.TicketLife.D(), PreparedLife: r.PreparedLife.D(), BearerLife: r.BearerLife.D(),
		MaxStatement: r.MaxStatement, MaxParams: r.MaxParams}
	for i, c := range cfg.Settings.Classes {
		t.Deadlines[i] = time.Duration(c.Deadline) * time.Microsecond
	}
	return t
}

// Address is where Flight SQL is served.
func (d *Dispatcher) Address() string { return d.listener.Addr().String() }

// NativeAddress is where the ClickHouse native protocol is served; "" where it is not.
func (d *Dispatcher) NativeAddress() string {
	if d.natives == nil {
		return ""
	}
	return d.natives.Addr().String()
}

// Native is the front for the ClickHouse native protocol.
func (d *Dispatcher) Native() *clickhouse.Front { return d.native }

// Sessions are those whose state one node holds.
func (d *Dispatcher) Sessions() *frontend.Sessions { return d.sessions }

// Fleet is the dispatcher's view of the query nodes.
func (d *Dispatcher) Fleet() *backend.Fleet { return d.fleet }

// Registry has the dispatcher's metrics.
func (d *Dispatcher) Registry() *prometheus.Registry { return d.registry }

// Drain takes no new queries from now on: health says so, what is held gets its answers, then Run returns nil.
func (d *Dispatcher) Drain() {
	d.log.Info("draining: no new queries, those held get their answers")
	d.health.Shutdown()
	d.loop.Drain()
}

// Run serves until the dispatcher has drained (nil), the context ends, or something fails.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := make(chan struct{}) // closed when the loop has ended
	if d.control != nil {
		d.startControl(ctx, group, stop)
	} else if err := d.watchNodes(); err != nil {
		d.listener.Close()
		return err
	}
	group.Go(func() error {
		defer close(stop)
		return d.loop.Run(ctx)
	})
	if d.record != nil {
		group.Go(func() error { return d.record.run(stop, d.log) })
	}
	during, over := context.WithCancel(ctx)
	group.Go(func() error {
		defer over()
		select {
		case <-stop:
		case <-ctx.Done():
		}
		return nil
	})
	group.Go(func() error { return d.sessions.Run(during) })
	if d.warmth != nil {
		group.Go(func() error { return d.warmth.run(during, d.loop) })
	}
	if d.natives != nil {
		natives, end := context.WithCancel(ctx)
		group.Go(func() error {
			<-stop
			end()
			return nil
		})
		group.Go(func() error {
			defer end()
			return d.native.Serve(natives, d.natives)
		})
	}
	group.Go(func() error {
		err := d.server.Serve(d.listener)
		if errors.Is(err, grpc.ErrServerStopped) {
			err = nil
		}
		return err
	})
	group.Go(func() error {
		<-stop
		d.health.Shutdown()
		d.finish(ctx)
		return d.fleet.Close()
	})
	serve := func(l net.Listener, h http.Handler) {
		if l == nil {
			return
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		group.Go(func() error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func() error {
			<-stop
			return server.Close()
		})
	}
	serve(d.metrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	serve(d.socket, d.AdminHandler())
	return group.Wait()
}

// startControl keeps the stream to the control service up until the loop has ended.
func (d *Dispatcher) startControl(ctx context.Context, group *errgroup.Group, stop <-chan struct{}) {
	f := &d.cfg.File
	o := stream.Options{Node: f.Name, Names: d.cfg.Names(), Most: 5 * time.Second}
	if f.Control != nil {
		o.Address, o.Cluster, o.Settings, o.Delta = f.Control.Address, f.Control.Cluster, true, f.Control.Delta
		o.Most = f.Control.Reconnect.D()
	} else {
		o.Address, o.Cluster = f.Nodes.EDS.Address, f.Nodes.EDS.Cluster
	}
	ctx, cancel := context.WithCancel(ctx)
	d.control.stream = stream.New(o, handler{d.control, ctx})
	d.fleet.OnFetch(d.control.stream.Again)
	group.Go(func() error {
		<-stop
		cancel()
		return nil
	})
	group.Go(func() error {
		defer cancel()
		return d.control.run(ctx)
	})
}

// AwaitControl returns when the state of streamed versions satisfies good, or with the context's error.
func (d *Dispatcher) AwaitControl(ctx context.Context, good func(control.Status) bool) error {
	if d.control == nil {
		return errNothingStreamed
	}
	return d.control.await(ctx, good)
}

// ControlStatus tells where streamed versions stand; ok is false where nothing is streamed.
func (d *Dispatcher) ControlStatus() (control.Status, bool) {
	if d.control == nil {
		return control.Status{}, false
	}
	if s := d.control.status.Load(); s != nil {
		return *s, true
	}
	return control.Status{}, true
}

// finish lets the last answers reach their clients, for a moment: every query has its verdict by now.
func (d *Dispatcher) finish(ctx context.Context) {
	gone := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(gone)
		d.server.GracefulStop()
		return nil
	})
	t := time.NewTimer(2 * time.Second)
	defer t.Stop()
	select {
	case <-gone:
	case <-t.C:
		d.server.Stop()
	case <-ctx.Done():
		select { // what was failed at the end of the context still gets its word
		case <-gone:
		case <-time.After(100 * time.Millisecond):
			d.server.Stop()
		}
	}
	group.Wait()
}

// Kill breaks every connection and stops listening, without a word to anybody: a crash, for tests. Run must be ended
// by its context afterwards.
func (d *Dispatcher) Kill() {
	d.server.Stop()
}
