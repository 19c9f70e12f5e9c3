// Package postgres is the front of the platform's clients: PostgreSQL wire 3.0, simple queries, one at a time on a session,
// with what the dispatcher must know in a comment before the statement. It knows no node and makes no choice.
package postgres

import (
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

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log          *slog.Logger
	Settings     policy.Settings // names of classes and tenants, deadlines, memory of machines
	MostSessions int             // connections held at once; default 256
	MaxStatement int             // bytes of one message; default 64 KiB
	Idle         time.Duration   // a session without a query for so long ends; default 30 s
	BeginTimeout time.Duration   // a connection has so long to bring its first query; default 2 s
	WriteTimeout time.Duration   // an answer has so long to be taken; default 5 s
	DrainIdle    time.Duration   // at the end, so long without a connection or a query; default 200 ms
	MaxClosing   int             // connections beyond MostSessions that are on their way out; default 8
}

// Front serves sessions.
type Front struct {
	options Options
	intake  *frontend.Intake
	group   errgroup.Group

	mu          sync.Mutex
	sessions    map[uint32]*session // by the process number of their key
	traces      map[string]struct{} // of open queries
	closesBegun chan struct{}       // closed at the end, when all sessions have been told to close

	startedAt      time.Time
	lastActivity   atomic.Int64 // when a connection or a query came, in nanoseconds since began
	acceptErrors   atomic.Int64
	closures       closures
	rejected       atomic.Int64 // connections closed because there were too many
	protocolErrors atomic.Int64 // messages that could not be read or used
}

// New returns a front; nothing is served before Serve.
func New(o Options, d *frontend.Intake) *Front {
	if o.MostSessions == 0 {
		o.MostSessions = 256
	}
	if o.MaxStatement == 0 {
		o.MaxStatement = 64 << 10
	}
	if o.Idle == 0 {
		o.Idle = 30 * time.Second
	}
	if o.BeginTimeout == 0 {
		o.BeginTimeout = 2 * time.Second
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 5 * time.Second
	}
	if o.DrainIdle == 0 {
		o.DrainIdle = 200 * time.Millisecond
	}
	if o.MaxClosing == 0 {
		o.MaxClosing = 8
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Front{options: o, intake: d, sessions: map[uint32]*session{}, traces: map[string]struct{}{}, closesBegun: make(chan struct{}),
		startedAt: time.Now()}
}

// Counts tells how many sessions are open and do not close, how many were turned away for their number, and how many messages could not be
// read or used.
func (f *Front) Counts() (open int, turnedAway, unreadable int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sessions {
		if phase, _, _ := s.snapshot(); phase != closing && !s.overCapacity {
			open++
		}
	}
	return open, f.rejected.Load(), f.protocolErrors.Load()
}

// acceptPause is how long accepting rests after an error such as a lack of descriptors.
const acceptPause = 5 * time.Millisecond

// Listener is what connections come from, such as a *net.TCPListener.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// maxDrainIdles is how many times Quiet the front goes on at the end, at most.
const maxDrainIdles = 8

// Serve takes connections until ctx ends, which may only be after the loop has: then every query taken has its answer, and
// what comes is refused. It goes on with that until nothing has come for a while, so that nothing is left in a queue of the
// system's; then every session closes, behind the answers it owes.
func (f *Front) Serve(ctx context.Context, l Listener) error {
	defer l.Close()
	stop := context.AfterFunc(ctx, func() { l.SetDeadline(time.Now()) })
	defer stop()
	var over time.Time // when ctx was seen to have ended
	for {
		conn, err := l.Accept()
		if err == nil {
			f.recordActivity()
			f.accept(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if ctx.Err() == nil {
			if !isTimeout(err) {
				f.handleAcceptError(ctx, err)
			}
			continue
		}
		if over.IsZero() {
			over = time.Now()
			f.recordActivity()
		}
		until := f.startedAt.Add(time.Duration(f.lastActivity.Load()) + f.options.DrainIdle)
		if last := over.Add(maxDrainIdles * f.options.DrainIdle); until.After(last) {
			until = last
		}
		if !time.Now().Before(until) {
			break
		}
		l.SetDeadline(until)
	}
	l.Close()
	f.mu.Lock()
	for _, s := range f.sessions { // each by itself: the order does not matter
		s.shut(true)
	}
	f.mu.Unlock()
	close(f.closesBegun)
	return f.group.Wait()
}

// recordActivity notes that a client has brought something.
func (f *Front) recordActivity() { f.lastActivity.Store(int64(time.Since(f.startedAt))) }

// handleAcceptError deals with an error of accept(2). A connection that ended before it was taken says nothing of the next one. Where this
// process has no descriptor left an idle connection makes room; what the whole system lacks no client here is to blame for.
func (f *Front) handleAcceptError(ctx context.Context, err error) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EPROTO) {
		return
	}
	f.acceptErrors.Add(1)
	f.options.Log.Warn("a connection could not be taken", "error", err)
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

// accept starts a session. Where there is no room and none can be made it may call off another session's query, or is turned
// away.
func (f *Front) accept(conn net.Conn) {
	f.mu.Lock()
	count := len(f.sessions)
	if count >= f.options.MostSessions {
		for _, s := range f.sessions {
			if phase, _, _ := s.snapshot(); phase == closing || s.overCapacity {
				count--
			}
		}
	}
	f.mu.Unlock()
	full := count >= f.options.MostSessions && !f.evict(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sessions) >= f.options.MostSessions+f.options.MaxClosing && !f.disconnectClosing() {
		f.rejected.Add(1)
		conn.Close()
		return
	}
	s := newSession(f, conn, full)
	for {
		s.key = pgwire.Key{Process: rand.Uint32N(1<<31-1) + 1, Secret: rand.Uint32()}
		if _, taken := f.sessions[s.key.Process]; !taken {
			break
		}
	}
	f.sessions[s.key.Process] = s
	f.group.Go(func() error { s.run(); return nil })
}

// disconnectClosing closes a connection that is on its way out and owes nothing, the one whose close has come furthest and of those the oldest; false
// where there is none. f.mu is held.
func (f *Front) disconnectClosing() bool {
	var oldest *session
	furthest := onItsWay
	for _, s := range f.sessions {
		stage := s.leaving()
		if stage == onItsWay || stage < furthest || stage == furthest && !s.startedAt.Before(oldest.startedAt) {
			continue
		}
		oldest, furthest = s, stage
	}
	if oldest == nil {
		return false
	}
	delete(f.sessions, oldest.key.Process)
	oldest.because(byCut)
	oldest.conn.Close()
	return true
}

// What makes a connection one of the first to go: clients close idle ones themselves after a while, and bring their first query
// at once.
const (
	usualIdle  = 5 * time.Second
	usualBegin = 500 * time.Millisecond
)

// evict has one connection without an open query close, the oldest of the first kind that there is: long idle, without a query
// for longer than usual, idle, new, within a message; false where all have open queries. An idle client only has to connect
// again; a new one may have a query on its way. With now, what is on its way out goes first, at once.
func (f *Front) evict(now bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now && f.disconnectClosing() {
		return true
	}
	for {
		var victim *session
		var oldest time.Time
		rank, at := 0, time.Now()
		for _, s := range f.sessions {
			phase, asked, last := s.snapshot()
			if phase == working || phase == closing || s.overCapacity {
				continue
			}
			r, age := 1, at.Sub(last)
			switch {
			case phase == receiving:
				r = 0
			case asked && age > usualIdle:
				r = 4
			case !asked && age > usualBegin:
				r = 3
			case asked:
				r = 2
			}
			if victim == nil || r > rank || r == rank && last.Before(oldest) {
				victim, rank, oldest = s, r, last
			}
		}
		if victim == nil || victim.shut(rank == 0) {
			return victim != nil
		}
	}
}

// cancel calls off what the session that a key names has asked for.
func (f *Front) cancel(k pgwire.Key) {
	f.mu.Lock()
	s := f.sessions[k.Process]
	f.mu.Unlock()
	if s != nil && s.key == k {
		s.cancel()
	}
}

func (f *Front) forget(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessions[s.key.Process] == s {
		delete(f.sessions, s.key.Process)
	}
}

// registerTrace books a query by its id; false where that is open already.
func (f *Front) registerTrace(trace string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, is := f.traces[trace]
	f.traces[trace] = struct{}{}
	return !is
}

// close lets an id go.
func (f *Front) releaseTrace(trace string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.traces, trace)
}
