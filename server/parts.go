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

// sessionDrainMargin is how long before the end of a drain's grace the sessions on that node end: their last statement must have
// been sent by then.
const sessionDrainMargin = 100 * time.Millisecond

// Keepalive of client connections: a client that vanished is noticed after keepaliveTime and keepaliveTimeout, so that nothing runs
// on for it.
const (
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 5 * time.Second
	keepaliveMinTime = 5 * time.Second // clients may not ping more often
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

// buildLoop makes the core with what was learned before, its recording and the loop.
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

// buildSessions makes the intake and the sessions, which follow the node list.
func (d *Dispatcher) buildSessions() {
	d.intake = frontend.NewIntake(d.loop, d.clock, frontendTables(d.cfg, 0))
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

// buildFrontends makes the frontends of both protocols.
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

// newGRPCServer returns the server of Flight SQL and of health.
func newGRPCServer(front *flightsql.Front, h *health.Server) *grpc.Server {
	server := grpc.NewServer(append(front.ServerOptions(),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinTime, PermitWithoutStream: true}))...)
	front.Register(server)
	healthpb.RegisterHealthServer(server, h)
	return server
}

// frontendTables are what a configuration says for the frontends; version numbers its settings.
func frontendTables(cfg *config.Config, version uint64) frontend.Tables {
	f := &cfg.File.Front
	t := frontend.Tables{
		SettingsSerial: version,
		Classes:        &cfg.Classes,
		Deadlines:      make([]time.Duration, len(cfg.Settings.Classes)),
		ResponseMargin: f.ResponseMargin.D(),
		TicketLife:     f.TicketLife.D(),
		PreparedLife:   f.PreparedLife.D(),
		BearerLife:     f.BearerLife.D(),
		MaxStatement:   f.MaxStatement,
		MaxParams:      f.MaxParams,
	}
	for i, c := range cfg.Settings.Classes {
		t.Deadlines[i] = time.Duration(c.Deadline) * time.Microsecond
	}
	return t
}
