// Package postgres is the frontend of the platform's clients: PostgreSQL wire protocol 3.0, simple queries, one at a time on a session,
// with the fields that the dispatcher needs in a comment before the statement. It knows no node and decides nothing.
//
// A session's states and transitions are in session_state.go; session.go reads its messages, session_worker.go answers them,
// session_close.go closes it. eviction.go chooses the session that makes room for another client.
package postgres

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/frontend"
	"embershunt/internal/pgwire"
	"embershunt/policy"
)

// Options are the frontend's settings; zero values mean the defaults.
type Options struct {
	Log          *slog.Logger
	Settings     policy.Settings // names of classes and tenants, deadlines, memory of machines
	MaxSessions  int             // open connections; default 256
	MaxStatement int             // bytes of one message; default 64 KiB
	IdleTimeout  time.Duration   // a session without a query for so long is closed; default 30 s
	BeginTimeout time.Duration   // from the connect to the first query, and from a message's first byte to its last; default 2 s
	WriteTimeout time.Duration   // for the client to take an answer; default 5 s
	DrainIdle    time.Duration   // the drain at the end is over after so long without a connection or a query; default 200 ms
	MaxClosing   int             // connections beyond MaxSessions that are closing; default 8
}

// setDefaults replaces zero values.
func (o *Options) setDefaults() {
	o.MaxSessions = cmp.Or(o.MaxSessions, 256)
	o.MaxStatement = cmp.Or(o.MaxStatement, 64<<10)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 30*time.Second)
	o.BeginTimeout = cmp.Or(o.BeginTimeout, 2*time.Second)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, 5*time.Second)
	o.DrainIdle = cmp.Or(o.DrainIdle, 200*time.Millisecond)
	o.MaxClosing = cmp.Or(o.MaxClosing, 8)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Front serves sessions.
type Front struct {
	options Options
	intake  *frontend.Intake
	group   errgroup.Group // every goroutine of the sessions

	mu          sync.Mutex
	sessions    map[uint32]*session // by the process number of their key
	traces      map[string]struct{} // of open queries
	closesBegun chan struct{}       // closed at the end, when every session was told to close

	startedAt      time.Time
	lastActivity   atomic.Int64 // of a connection or a query, in nanoseconds since startedAt
	acceptErrors   atomic.Int64
	closeCounts    closeCounts
	rejected       atomic.Int64 // connections closed because there were too many
	protocolErrors atomic.Int64 // messages that could not be read or used
}

// New returns a frontend; nothing is served before Serve.
func New(o Options, intake *frontend.Intake) *Front {
	o.setDefaults()
	return &Front{options: o, intake: intake, sessions: map[uint32]*session{}, traces: map[string]struct{}{},
		closesBegun: make(chan struct{}), startedAt: time.Now()}
}

// Counts is how many sessions are open and not closing, how many were rejected because there were too many, and how many messages
// could not be read or used.
func (f *Front) Counts() (open int, rejected, protocolErrors int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openSessions(), f.rejected.Load(), f.protocolErrors.Load()
}

// openSessions counts the sessions that are neither closing nor to be rejected; f.mu is held.
func (f *Front) openSessions() (open int) {
	for _, s := range f.sessions {
		if phase, _, _ := s.snapshot(); phase != closing && !s.state.overCapacity {
			open++
		}
	}
	return open
}

// Listener is where connections come from, such as a *net.TCPListener.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

var _ Listener = (*net.TCPListener)(nil)

// Serve accepts connections until ctx ends, which must not be before the loop has ended: then every query that was received has its
// answer, and new ones are refused. Serve accepts connections until none has come for a while, so that none is left in the system's
// backlog; then every session closes, behind its pending answers.
func (f *Front) Serve(ctx context.Context, l Listener) error {
	interrupt := func() {
		_ = l.SetDeadline(time.Now()) // fails only on a closed listener, whose Accept fails as well
	}
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	f.acceptUntilDrained(ctx, l)
	_ = l.Close() // it may be closed already
	f.mu.Lock()
	for _, s := range f.sessions { // each by itself: the order does not matter
		s.beginClose(dispatcherEnds)
	}
	f.mu.Unlock()
	close(f.closesBegun)
	return f.group.Wait()
}

// maxDrainIdles is how long the drain at the end lasts at most, in times of DrainIdle.
const maxDrainIdles = 8

// acceptUntilDrained accepts connections until ctx has ended and nothing has come for DrainIdle, or the listener is closed.
func (f *Front) acceptUntilDrained(ctx context.Context, l Listener) {
	var endedAt time.Time // when ctx was seen to have ended
	for {
		conn, err := l.Accept()
		if err == nil {
			f.recordActivity()
			f.accept(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if ctx.Err() == nil {
			if !isTimeout(err) {
				f.handleAcceptError(ctx, err)
			}
			continue
		}
		if endedAt.IsZero() {
			endedAt = time.Now()
			f.recordActivity()
		}
		until := f.startedAt.Add(time.Duration(f.lastActivity.Load()) + f.options.DrainIdle)
		if last := endedAt.Add(maxDrainIdles * f.options.DrainIdle); until.After(last) {
			until = last
		}
		if !time.Now().Before(until) {
			return
		}
		_ = l.SetDeadline(until) // fails only on a closed listener, whose Accept fails as well
	}
}

// recordActivity records that a client has connected or sent a query.
func (f *Front) recordActivity() { f.lastActivity.Store(int64(time.Since(f.startedAt))) }

// acceptPause is how long accepting pauses after an error such as a lack of descriptors.
const acceptPause = 5 * time.Millisecond

// handleAcceptError handles an error of accept(2). A connection that was aborted before it was accepted says nothing about the next one.
// Where this process has no descriptor left an idle connection makes room; what the whole system lacks is no client's fault here.
func (f *Front) handleAcceptError(ctx context.Context, err error) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EPROTO) {
		return
	}
	f.acceptErrors.Add(1)
	f.options.Log.Warn("connection not accepted", "error", err)
	if errors.Is(err, syscall.EMFILE) {
		f.evict(true)
	}
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// accept starts a session. Where the bound is reached and no session can be evicted, the new one may only cancel another session's
// query, or is rejected.
func (f *Front) accept(conn net.Conn) {
	f.mu.Lock()
	atBound := len(f.sessions) >= f.options.MaxSessions && f.openSessions() >= f.options.MaxSessions
	f.mu.Unlock()
	overCapacity := atBound && !f.evict(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sessions) >= f.options.MaxSessions+f.options.MaxClosing && !f.disconnectClosing() {
		f.rejected.Add(1)
		_ = conn.Close() // nothing was read from it
		return
	}
	s := newSession(f, conn, overCapacity)
	s.key = f.newKey()
	f.sessions[s.key.Process] = s
	f.group.Go(func() error { s.run(); return nil })
}

// newKey is a key whose process number no session has; f.mu is held.
func (f *Front) newKey() pgwire.Key {
	for {
		k := pgwire.Key{Process: rand.Uint32N(1<<31-1) + 1, Secret: rand.Uint32()}
		if _, taken := f.sessions[k.Process]; !taken {
			return k
		}
	}
}

// cancel cancels what the client of the session with a key has sent.
func (f *Front) cancel(k pgwire.Key) {
	f.mu.Lock()
	s := f.sessions[k.Process]
	f.mu.Unlock()
	if s != nil && s.key == k {
		s.cancel()
	}
}

// forget removes a session that has ended.
func (f *Front) forget(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessions[s.key.Process] == s {
		delete(f.sessions, s.key.Process)
	}
}

// registerTrace registers an open query by its id; false where a query with that id is open already.
func (f *Front) registerTrace(trace string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, open := f.traces[trace]
	f.traces[trace] = struct{}{}
	return !open
}

// releaseTrace removes a query's id.
func (f *Front) releaseTrace(trace string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.traces, trace)
}
