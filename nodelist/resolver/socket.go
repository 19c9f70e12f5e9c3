package resolver

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"embershunt/nodelist"
)

// Limits of sockets. One is unresponsive when so many of its queries in a row have had no response for a time that is the
// longest of so many intervals and so many response times; see responseTimeout.
const (
	activeSockets     = 2 // polled in turn
	maxRetiredSockets = 3
	retiredLifetime   = queryLifetime

	unresponsiveQueries       = 3
	unresponsiveIntervals     = 3
	unresponsiveResponseTimes = 2
	maxBackoffTimeout         = 5 * time.Second // of a timeout that has been doubled

	readErrorPause = 10 * time.Millisecond
)

// socket is one flow to the name service. A goroutine reads it until it is closed; the goroutine of Run owns the rest.
type socket struct {
	conn       net.Conn
	closed     chan struct{}
	unanswered []query // sent here after the newest one that has a response
	retiredAt  time.Time
}

// packet is what a reader has received, or its error.
type packet struct {
	socket  *socket
	message []byte
	err     error
}

var errTooLong = errors.New("resolver: the answer is longer than an answer may be")

func (s *socket) sent(serial uint64, now time.Time) {
	if len(s.unanswered) < maxPendingQueries {
		s.unanswered = append(s.unanswered, query{serial, now})
	}
}

// responded records a response. Queries older than its own do not show any more whether the flow is responsive.
func (s *socket) responded(serial uint64) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(q query) bool { return q.serial <= serial })
}

// unresponsiveFor is the age of the oldest unanswered query; 0 where there are too few to tell.
func (s *socket) unresponsiveFor(now time.Time) time.Duration {
	if len(s.unanswered) < unresponsiveQueries {
		return 0
	}
	return now.Sub(s.unanswered[0].at)
}

// close closes the socket, which ends its reader.
func (s *socket) close() {
	close(s.closed)
	_ = s.conn.Close() // a UDP socket has nothing to flush
}

// open opens a socket to the name service and starts its reader.
func (r *Resolver) open(ctx context.Context) (*socket, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "udp", r.currentAddress())
	if err != nil {
		return nil, err
	}
	s := &socket{conn: conn, closed: make(chan struct{})}
	r.stats.sockets.Add(1)
	r.readers.Go(func() error { r.read(s); return nil })
	return s, nil
}

// read hands on what a socket receives until it is closed.
func (r *Resolver) read(s *socket) {
	buffer := make([]byte, nodelist.MaxResponseBytes+1)
	for {
		n, err := s.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p := packet{socket: s, err: err}
		if err == nil {
			p.message = slices.Clone(buffer[:n])
		}
		select {
		case r.packets <- p:
		case <-s.closed:
			return
		}
		if err != nil && !s.pause() {
			return
		}
	}
}

// pause waits after an error, so that one which repeats at once does not use up a processor; false where the socket has
// been closed.
func (s *socket) pause() bool {
	timer := time.NewTimer(readErrorPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// maintainSockets replaces unresponsive sockets, opens missing ones and closes old ones. A socket stays where its
// replacement cannot be opened.
func (r *Resolver) maintainSockets(ctx context.Context, now time.Time) {
	for i, s := range r.active {
		if s.unresponsiveFor(now) < r.responseTimeout() {
			continue
		}
		r.logUnresponsive()
		replacement, err := r.open(ctx)
		if err != nil {
			r.countFailure("no socket", err)
			break
		}
		r.replacements++
		r.retire(now, s)
		r.active[i] = replacement
	}
	for len(r.active) < activeSockets {
		s, err := r.open(ctx)
		if err != nil {
			r.countFailure("no socket", err)
			break
		}
		r.active = append(r.active, s)
	}
	r.closeExpired(now)
}

// closeExpired closes the sockets that have been retired for their lifetime.
func (r *Resolver) closeExpired(now time.Time) {
	r.retired = slices.DeleteFunc(r.retired, func(s *socket) bool {
		expired := now.Sub(s.retiredAt) > retiredLifetime
		if expired {
			s.close()
		}
		return expired
	})
}

// responseTimeout is how long a socket may be unresponsive. It doubles while there is no response at all, so that some
// socket lives long enough for a slow response.
func (r *Resolver) responseTimeout() time.Duration {
	base := max(unresponsiveIntervals*r.options.Interval, unresponsiveResponseTimes*r.schedule.responseTime)
	return max(base, min(base<<min(r.replacements/activeSockets, 10), maxBackoffTimeout))
}

// retire keeps a socket for responses that are still on their way.
func (r *Resolver) retire(now time.Time, s *socket) {
	s.retiredAt = now
	if r.retired = append(r.retired, s); len(r.retired) > maxRetiredSockets {
		r.retired[0].close()
		r.retired = r.retired[1:]
	}
}

// replaceSockets polls the new address from now on. Responses from the old one are still used.
func (r *Resolver) replaceSockets(ctx context.Context) {
	now := time.Now()
	old := r.active
	r.active, r.replacements, r.schedule.extra = nil, 0, maxExtraQueries
	r.maintainSockets(ctx, now)
	for _, s := range old {
		r.retire(now, s)
	}
	r.schedule.nextRegularAt = now
}

// logUnresponsive logs once that responses are missing.
func (r *Resolver) logUnresponsive() {
	if r.unresponsive {
		return
	}
	r.unresponsive = true
	r.log.Warn("node list: a socket receives no responses", "age_ms", r.age().Milliseconds(), "version", r.view.Number(),
		"questions", r.stats.queries.Load(), "unusable", r.stats.unusable.Load())
}

// close closes all sockets and waits for their readers.
func (r *Resolver) close() {
	for _, s := range append(r.active, r.retired...) {
		s.close()
	}
	_ = r.readers.Wait() // readers return no error
}
