// Package postgres is the frontend for the platform's clients. It speaks PostgreSQL wire protocol 3.0 and executes simple queries, one at a
// time on each session. A comment before the statement has the fields that the dispatcher needs. Admission and routing are decided by the
// dispatcher's loop, not here.
//
// session_state.go has the states of a session and their transitions; session.go reads a session's messages, session_worker.go answers
// them, and session_close.go closes the session. command_queue.go holds the commands that wait for their turn, within the bounds of
// statement_memory.go. session_cancel.go decides which commands a cancel applies to, and hangup.go notices the end of a connection that is
// not read. eviction.go chooses the session that is closed to make room for another client.
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
	IdleTimeout  time.Duration   // a session that sends no query for this long is closed; default 30 s
	BeginTimeout time.Duration   // from the connect to the first query, and from a message's first byte to its last; default 2 s
	WriteTimeout time.Duration   // for the client to receive an answer; default 5 s
	DrainIdle    time.Duration   // the drain at shutdown is over after this long without a new connection or query; default 200 ms
	MaxClosing   int             // connections allowed beyond MaxSessions while sessions are closing; default 8
	MaxHeldBytes int             // of the statements that all sessions hold beyond a small allotment of each; default 8 MiB
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
	o.MaxHeldBytes = cmp.Or(o.MaxHeldBytes, 8<<20)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Frontend accepts clients' connections and serves their sessions.
type Frontend struct {
	options Options
	intake  *frontend.Intake
	group   errgroup.Group // every goroutine of the sessions

	mu          sync.Mutex
	sessions    map[uint32]*session // by the process number of their key
	traces      map[string]struct{} // ids of the open queries, as their clients state them
	closesBegun chan struct{}       // closed at shutdown, after beginClose was called for every session

	startedAt      time.Time
	lastActivity   atomic.Int64 // time of the last connect or query, in nanoseconds since startedAt
	acceptErrors   atomic.Int64
	closeCounts    closeCounts
	rejected       atomic.Int64 // connections rejected because there were too many
	protocolErrors atomic.Int64 // messages that were malformed, or could not be used

	statementMemory  statementMemory
	rejectedCommands atomic.Int64 // for lack of room
}

// New returns a frontend that hands its queries to intake. It accepts connections once Serve is called.
func New(o Options, intake *frontend.Intake) *Frontend {
	o.setDefaults()
	return &Frontend{options: o, intake: intake, sessions: map[uint32]*session{}, traces: map[string]struct{}{},
		closesBegun: make(chan struct{}), startedAt: time.Now(), statementMemory: statementMemory{limitBytes: int64(o.MaxHeldBytes)}}
}

// Counts returns the number of sessions that are open and not closing, of connections rejected because there were too many, and of messages
// that were malformed or could not be used.
func (f *Frontend) Counts() (open int, rejected, protocolErrors int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openSessions(), f.rejected.Load(), f.protocolErrors.Load()
}

// StatementCounts returns the number of commands that were rejected for lack of room, and the bytes that statements take at present beyond
// the allotments of their sessions.
func (f *Frontend) StatementCounts() (rejected, reservedBytes int64) {
	return f.rejectedCommands.Load(), f.statementMemory.usedBytes.Load()
}

// openSessions counts the sessions that are neither closing nor to be rejected; f.mu is held.
func (f *Frontend) openSessions() (open int) {
	for _, s := range f.sessions {
		if phase, _, _ := s.snapshot(); phase != closing && !s.state.overCapacity {
			open++
		}
	}
	return open
}

// Listener is a listener whose Accept can be interrupted by a deadline, such as a *net.TCPListener. Its connections have the methods of
// clientConn; others are closed at once.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

var _ Listener = (*net.TCPListener)(nil)

// Serve accepts connections until ctx ends. ctx must not end before the dispatcher's loop has ended: from then on every query that was
// received has its answer, and new queries are rejected. After ctx has ended, Serve goes on accepting until nothing has come for DrainIdle,
// or for maxDrainIdles times DrainIdle, so that no connection is left in the listener's backlog. Then it closes every session after its
// pending answers, and returns.
func (f *Frontend) Serve(ctx context.Context, l Listener) error {
	interrupt := func() {
		_ = l.SetDeadline(time.Now()) // fails only on a closed listener, whose Accept fails as well
	}
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	f.acceptUntilDrained(ctx, l)
	_ = l.Close() // it may be closed already
	f.mu.Lock()
	for _, s := range f.sessions { // in any order: a close does not depend on other sessions
		s.beginClose(dispatcherEnds)
	}
	f.mu.Unlock()
	close(f.closesBegun)
	return f.group.Wait()
}

// maxDrainIdles bounds the duration of the drain at shutdown, as a multiple of DrainIdle, so that clients that never stop sending do not
// delay the shutdown.
const maxDrainIdles = 8

// acceptUntilDrained accepts connections until ctx has ended and no connection or query has come for DrainIdle, or until the listener is
// closed.
func (f *Frontend) acceptUntilDrained(ctx context.Context, l Listener) {
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
func (f *Frontend) recordActivity() { f.lastActivity.Store(int64(time.Since(f.startedAt))) }

// acceptPause is the pause after an error of Accept such as a lack of file descriptors.
const acceptPause = 5 * time.Millisecond

// handleAcceptError handles an error of accept(2). An interrupted call or a connection that was aborted before it was accepted is ignored,
// because the next Accept may succeed at once; after any other error accepting pauses. If this process has no file descriptor left
// (EMFILE), a session is evicted to free one. If the whole system is short of a resource, sessions stay open: their clients did not cause
// that.
func (f *Frontend) handleAcceptError(ctx context.Context, err error) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EPROTO) {
		return
	}
	f.acceptErrors.Add(1)
	f.options.Log.Warn("accept failed", "error", err)
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

// accept starts a session for a connection. At the bound on sessions it evicts one first. If none can be evicted, the new session may only
// cancel another session's query, and is rejected otherwise. If too many sessions are closing besides, one of them is aborted; if that is
// not possible either, the new connection is closed at once.
func (f *Frontend) accept(accepted net.Conn) {
	conn, ok := accepted.(clientConn)
	if !ok {
		f.rejected.Add(1)
		_ = accepted.Close() // nothing was read from it
		return
	}
	f.mu.Lock()
	atBound := len(f.sessions) >= f.options.MaxSessions && f.openSessions() >= f.options.MaxSessions
	f.mu.Unlock()
	overCapacity := atBound && !f.evict(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sessions) >= f.options.MaxSessions+f.options.MaxClosing && !f.abortClosing() {
		f.rejected.Add(1)
		_ = conn.Close() // nothing was read from it
		return
	}
	s := newSession(f, conn, overCapacity)
	s.key = f.newKey()
	f.sessions[s.key.Process] = s
	f.group.Go(func() error { s.run(); return nil })
}

// newKey returns a random key with a process number that no session has; f.mu is held.
func (f *Frontend) newKey() pgwire.Key {
	for {
		k := pgwire.Key{Process: rand.Uint32N(1<<31-1) + 1, Secret: rand.Uint32()}
		if _, taken := f.sessions[k.Process]; !taken {
			return k
		}
	}
}

// cancel cancels the queries of the session with key k; it does nothing if no session has that key.
func (f *Frontend) cancel(k pgwire.Key) {
	f.mu.Lock()
	s := f.sessions[k.Process]
	f.mu.Unlock()
	if s != nil && s.key == k {
		s.cancel()
	}
}

// removeSession removes a session that has ended. It may have been removed already, and its process number assigned to another session.
func (f *Frontend) removeSession(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessions[s.key.Process] == s {
		delete(f.sessions, s.key.Process)
	}
}

// registerTrace registers the id of an open query; it returns false if a query with that id is open already.
func (f *Frontend) registerTrace(trace string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, open := f.traces[trace]
	f.traces[trace] = struct{}{}
	return !open
}

// releaseTrace removes the id of a query that is not open any more.
func (f *Frontend) releaseTrace(trace string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.traces, trace)
}
