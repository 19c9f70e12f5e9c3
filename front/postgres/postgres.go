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
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/choice"
	"embershunt/front"
	"embershunt/internal/pgwire"
)

// Options are the front's settings; zero values mean the defaults.
type Options struct {
	Log          *slog.Logger
	Settings     choice.Settings // names of classes and tenants, deadlines, memory of machines
	MostSessions int             // connections held at once; default 256
	MaxStatement int             // bytes of one message; default 64 KiB
	Idle         time.Duration   // a session without a query for so long ends; default 30 s
	Begin        time.Duration   // a connection has so long to bring its first query; default 2 s
	Write        time.Duration   // an answer has so long to be taken; default 5 s
}

// Front serves sessions.
type Front struct {
	opt   Options
	desk  *front.Desk
	group errgroup.Group

	mu       sync.Mutex
	sessions map[uint32]*session // by the process number of their key
	traces   map[string]struct{} // of open queries
	closed   bool
	answers  int           // queries whose answer has not been written
	flushed  chan struct{} // closed when the front is closed and there are none

	turnedAway atomic.Int64 // connections closed because there were too many
	unreadable atomic.Int64 // messages that could not be read or used
}

// New returns a front; nothing is served before Serve.
func New(o Options, d *front.Desk) *Front {
	if o.MostSessions == 0 {
		o.MostSessions = 256
	}
	if o.MaxStatement == 0 {
		o.MaxStatement = 64 << 10
	}
	if o.Idle == 0 {
		o.Idle = 30 * time.Second
	}
	if o.Begin == 0 {
		o.Begin = 2 * time.Second
	}
	if o.Write == 0 {
		o.Write = 5 * time.Second
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Front{opt: o, desk: d, sessions: map[uint32]*session{}, traces: map[string]struct{}{}, flushed: make(chan struct{})}
}

// Counts tells how many sessions are open, how many were turned away for their number, and how many messages could not be
// read or used.
func (f *Front) Counts() (open int, turnedAway, unreadable int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions), f.turnedAway.Load(), f.unreadable.Load()
}

// acceptPause is how long accepting rests after an error such as a lack of descriptors.
const acceptPause = 5 * time.Millisecond

// Serve takes connections until ctx ends, which may only be after the loop has: then every query taken has its answer, which
// is written before the connections are closed.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			break
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			f.opt.Log.Warn("a connection could not be taken", "error", err)
			f.evict()
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}
			continue
		}
		f.take(conn)
	}
	f.mu.Lock()
	f.closed = true
	f.flush()
	f.mu.Unlock()
	<-f.flushed
	f.mu.Lock()
	for _, s := range f.sessions { // each by itself: the order does not matter
		s.conn.Close()
	}
	f.mu.Unlock()
	return f.group.Wait()
}

// take starts a session, where there is room for it or room can be made.
func (f *Front) take(conn net.Conn) {
	f.mu.Lock()
	full := len(f.sessions) >= f.opt.MostSessions
	f.mu.Unlock()
	if full && !f.evict() {
		f.turnedAway.Add(1)
		conn.SetWriteDeadline(time.Now().Add(acceptPause))
		conn.Write(pgwire.AppendError(nil, pgwire.Fatal, codeFull, "too many connections; nothing was read"))
		conn.Close()
		return
	}
	s := &session{f: f, conn: conn, begun: time.Now()}
	s.last = s.begun
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		conn.Close()
		return
	}
	for {
		s.key = pgwire.Key{Process: rand.Uint32N(1<<31-1) + 1, Secret: rand.Uint32()}
		if _, taken := f.sessions[s.key.Process]; !taken {
			break
		}
	}
	f.sessions[s.key.Process] = s
	f.group.Go(func() error { s.run(); return nil })
}

// What makes a connection one of the first to go: clients close idle ones themselves after a while, and bring their first query
// at once.
const (
	usualIdle  = 5 * time.Second
	usualBegin = 500 * time.Millisecond
)

// evict closes one connection without an open query, the oldest of the first kind that there is: long idle, without a query
// for longer than usual, idle, new; false where all have open queries. An idle client only has to connect again; a new one
// may have a query on its way.
func (f *Front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var victim *session
	var oldest time.Time
	rank, now := 0, time.Now()
	for _, s := range f.sessions {
		last, asked, open := s.state()
		if open || s.evicted {
			continue
		}
		r, age := 1, now.Sub(last)
		switch {
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
	if victim == nil {
		return false
	}
	victim.evicted = true
	delete(f.sessions, victim.key.Process)
	victim.conn.Close()
	return true
}

// cancel calls off the open query of the session that a key names.
func (f *Front) cancel(k pgwire.Key) {
	f.mu.Lock()
	s := f.sessions[k.Process]
	f.mu.Unlock()
	if s != nil && s.key == k {
		s.leave()
	}
}

func (f *Front) forget(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessions[s.key.Process] == s {
		delete(f.sessions, s.key.Process)
	}
}

// Errors of open.
var (
	errOpen   = errors.New("the id is open already; allowed is a new one for each request")
	errClosed = errors.New("the dispatcher has stopped")
)

// open books a query by its id; every one that is open is ended by shut and written.
func (f *Front) open(trace string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errClosed
	}
	if _, is := f.traces[trace]; is {
		return errOpen
	}
	f.traces[trace] = struct{}{}
	f.answers++
	return nil
}

// shut lets an id go: it is not open any more when the client reads the answer.
func (f *Front) shut(trace string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.traces, trace)
}

// written tells that the answer of an open query has been written, or cannot be.
func (f *Front) written() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers--
	f.flush()
}

// flush tells that nothing is left to write, where the front is closed; f.mu is held.
func (f *Front) flush() {
	if f.closed && f.answers == 0 {
		close(f.flushed)
	}
}
