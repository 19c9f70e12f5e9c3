package server

import (
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"embershunt/backend"
	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/frontend/clickhouse"
	"embershunt/frontend/flightsql"
	"embershunt/internal/seal"
	"embershunt/session"
)

// sessionDrainMargin is how long before the end of a node's drain grace its sessions end, since their last statement must have been
// sent when the grace ends.
const sessionDrainMargin = 100 * time.Millisecond

// Keepalive of gRPC client connections. The connection of a client that has vanished is closed keepaliveTime + keepaliveTimeout after
// its last activity, so that its queries do not keep running.
const (
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 5 * time.Second
	keepaliveMinTime = 5 * time.Second // least time between two pings of a client
)

func newFleet(cfg *config.Config, log *slog.Logger, clock dispatch.Clock) *backend.Fleet {
	sending := &cfg.File.Sending
	return backend.New(backend.Options{
		Log:            log,
		Clock:          clock,
		ConnectTimeout: sending.Connect.D(),
		DrainGrace:     time.Duration(cfg.Settings.DrainGrace) * time.Microsecond,
		MaxFrame:       sending.MaxFrame,
		NativeUser:     sending.NativeUser,
		NativePassword: sending.NativePass,
	})
}

// buildLoop creates the core and the loop. Learned state is restored before the recording starts, since the recording begins with it.
func (d *Dispatcher) buildLoop(seed uint64, observer dispatch.Observer) error {
	core, err := dispatch.NewCore(seed, d.cfg.Settings, d.fleet, observer)
	if err != nil {
		return err
	}
	f := &d.cfg.File
	d.learnedKeeper = newLearnedStateKeeper(f.Log.Learned, f.Log.LearnedInterval.D(), core, d.clock, d.log)
	if d.recording, err = newRecording(f, core, d.clock, d.registry); err != nil {
		return err
	}
	d.loop = dispatch.NewLoop(core, d.clock)
	d.fleet.Bind(d.loop)
	return nil
}

// buildSessions creates the intake and the sessions, and lets the sessions follow the node list.
func (d *Dispatcher) buildSessions() {
	d.intake = frontend.NewIntake(d.loop, d.clock, frontendSettings(d.cfg, 0))
	d.sessions = frontend.NewSessions(d.intake, d.clock, sessionLimits(&d.cfg.File), d.fleet)
	d.fleet.OnNodes(d.sessions.SetNodes)
}

func sessionLimits(f *config.File) session.Limits {
	s := &f.Sessions
	return session.Limits{
		MaxSessions:  s.Max,
		MaxPerTenant: s.PerTenant,
		MaxPerNode:   s.PerNode,
		IdleTimeout:  s.Idle.D().Microseconds(),
		MaxAge:       s.Age.D().Microseconds(),
		RetrySpread:  s.RetrySpread.D().Microseconds(),
		Retention:    s.Retention.D().Microseconds(),
		DrainGrace:   max(f.Limits.DrainGrace.D()-sessionDrainMargin, 0).Microseconds(),
	}
}

// buildFrontends creates the frontends of Flight SQL and of the ClickHouse native protocol.
func (d *Dispatcher) buildFrontends(sealer *seal.Sealer) {
	f := &d.cfg.File
	auth := newAuthenticator(f)
	d.flightFrontend = flightsql.New(flightsql.Options{
		Sessions:               d.sessions,
		TransactionIdleTimeout: f.Sessions.Idle.D(),
		TransactionMaxAge:      f.Sessions.Age.D(),
		Log:                    d.log,
		Auth:                   auth,
		Seal:                   sealer,
		SchemaTTL:              f.Front.SchemaLife.D(),
		MaxSchemas:             f.Front.MaxSchemas,
		PassHeaders:            f.Sending.PassHeaders,
	}, d.intake)
	d.nativeFrontend = clickhouse.New(clickhouse.Options{
		Log:                    d.log,
		Auth:                   auth,
		MaxPacketBytes:         f.Sending.MaxFrame,
		Revision:               d.fleet.NativeRevision,
		Sessions:               d.sessions,
		MaxInsertBytes:         f.Front.MaxInsertBytes,
		MaxBufferedInsertBytes: f.Front.MaxBufferedInsertBytes,
		SampleTTL:              f.Front.SchemaLife.D(),
		MaxSamples:             f.Front.MaxSchemas,
	}, d.intake)
}

func newAuthenticator(f *config.File) frontend.Authenticator {
	if f.AnyUser {
		return flightsql.AnyUser{}
	}
	hashes := map[string]string{}
	for _, u := range f.Users {
		hashes[u.Name] = u.Bcrypt
	}
	return flightsql.NewUsers(hashes)
}

// newGRPCServer returns the gRPC server of Flight SQL and of health checks.
func newGRPCServer(front *flightsql.Front, h *health.Server) *grpc.Server {
	server := grpc.NewServer(append(front.ServerOptions(),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinTime, PermitWithoutStream: true}))...)
	front.Register(server)
	healthpb.RegisterHealthServer(server, h)
	return server
}

// frontendSettings returns the part of a configuration that the frontends use; version is that of its settings in the loop.
func frontendSettings(cfg *config.Config, version uint64) frontend.Settings {
	f := &cfg.File.Front
	s := frontend.Settings{
		SettingsVersion:   version,
		Classes:           &cfg.Classes,
		Deadlines:         make([]time.Duration, len(cfg.Settings.Classes)),
		ResponseMargin:    f.ResponseMargin.D(),
		TicketTTL:         f.TicketLife.D(),
		PreparedTTL:       f.PreparedLife.D(),
		BearerTTL:         f.BearerLife.D(),
		MaxStatementBytes: f.MaxStatement,
		MaxParameterBytes: f.MaxParams,
	}
	for i, c := range cfg.Settings.Classes {
		s.Deadlines[i] = time.Duration(c.Deadline) * time.Microsecond
	}
	return s
}
