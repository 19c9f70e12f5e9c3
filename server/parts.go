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
	nodeOptions := &cfg.File.NodeOptions
	return backend.New(backend.Options{
		Log:            log,
		Clock:          clock,
		ConnectTimeout: nodeOptions.ConnectTimeout.D(),
		DrainGrace:     time.Duration(cfg.Settings.DrainGrace) * time.Microsecond,
		MaxFrame:       nodeOptions.MaxFrameBytes,
		NativeUser:     nodeOptions.NativeUser,
		NativePassword: nodeOptions.NativePassword,
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
		IdleTimeout:  s.IdleTimeout.D().Microseconds(),
		MaxAge:       s.MaxAge.D().Microseconds(),
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
		TransactionIdleTimeout: f.Sessions.IdleTimeout.D(),
		TransactionMaxAge:      f.Sessions.MaxAge.D(),
		Log:                    d.log,
		Auth:                   auth,
		Seal:                   sealer,
		AnswerTTL:              f.Frontend.SchemaTTL.D(),
		MaxCachedAnswers:       f.Frontend.MaxCachedAnswers,
		PassHeaders:            f.NodeOptions.PassHeaders,
	}, d.intake)
	d.nativeFrontend = clickhouse.New(clickhouse.Options{
		Log:                    d.log,
		Auth:                   auth,
		MaxPacketBytes:         f.NodeOptions.MaxFrameBytes,
		Revision:               d.fleet.NativeRevision,
		Sessions:               d.sessions,
		MaxInsertBytes:         f.Frontend.MaxInsertBytes,
		MaxBufferedInsertBytes: f.Frontend.MaxBufferedInsertBytes,
		SampleTTL:              f.Frontend.SchemaTTL.D(),
		MaxSamples:             f.Frontend.MaxCachedAnswers,
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
func newGRPCServer(flightFrontend *flightsql.Frontend, h *health.Server) *grpc.Server {
	server := grpc.NewServer(append(flightFrontend.ServerOptions(),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinTime, PermitWithoutStream: true}))...)
	flightFrontend.Register(server)
	healthpb.RegisterHealthServer(server, h)
	return server
}

// frontendSettings returns the part of a configuration that the frontends use; version is that of its settings in the loop.
func frontendSettings(cfg *config.Config, version uint64) frontend.Settings {
	f := &cfg.File.Frontend
	s := frontend.Settings{
		SettingsVersion:   version,
		Classes:           &cfg.Classes,
		Deadlines:         make([]time.Duration, len(cfg.Settings.Classes)),
		ResponseMargin:    f.ResponseMargin.D(),
		TicketTTL:         f.TicketTTL.D(),
		PreparedTTL:       f.PreparedTTL.D(),
		BearerTTL:         f.BearerTTL.D(),
		MaxStatementBytes: f.MaxStatementBytes,
		MaxParameterBytes: f.MaxParameterBytes,
	}
	for i, c := range cfg.Settings.Classes {
		s.Deadlines[i] = time.Duration(c.Deadline) * time.Microsecond
	}
	return s
}
