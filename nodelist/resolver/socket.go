package resolver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"embershunt/nodelist"
)

// Limits of sockets.
const (
	activeSockets     = 2 // polled in turn
	maxRetiredSockets = 3
	retiredLifetime   = queryLifetime // later responses are not accepted

	// A socket is unresponsive if at least unresponsiveQueries in a row have no response, and the oldest of them is older
	// than unresponsiveIntervals intervals and unresponsiveResponseTimes expected response times; see responseTimeout.
	unresponsiveQueries       = 3
	unresponsiveIntervals     = 3
	unresponsiveResponseTimes = 2
	maxBackoffTimeout         = 5 * time.Second // limit to which repeated replacements raise the response timeout

	readErrorPause = 10 * time.Millisecond // between reads that fail; see pause
)

// socket is a UDP socket to the name service, which forms a flow of its own. Its reader goroutine reads conn until the socket
// is closed; only the goroutine of Run uses unanswered and retiredAt.
type socket struct {
	conn       net.Conn
	closed     chan struct{}
	unanswered []query // sent on this socket after the newest query that has a response here
	retiredAt  time.Time
}

// packet is a message that a socket's reader has received, or its read error.
type packet struct {
	socket  *socket
	message []byte
	err     error
}

var errTooLong = fmt.Errorf("resolver: the response is longer than %d bytes", nodelist.MaxResponseBytes)

// sent records a query. Beyond maxPendingQueries unanswered ones it is not recorded.
func (s *socket) sent(serial uint64, now time.Time) {
	if len(s.unanswered) < maxPendingQueries {
		s.unanswered = append(s.unanswered, query{serial, now})
	}
}

// responded records a response to a query. Older unanswered queries are dropped too: once a newer one has a response, they no
// longer show whether the flow is responsive.
func (s *socket) responded(serial uint64) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(q query) bool { return q.serial <= serial })
}

// unresponsiveFor returns the age of the oldest unanswered query, or 0 if fewer than unresponsiveQueries are unanswered.
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

// read passes the packets and the read errors of a socket to Run until the socket is closed.
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

// pause waits after a read error, so that reads which keep failing at once do not occupy a CPU. It returns false if the
// socket is closed meanwhile.
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

// maintainSockets replaces unresponsive sockets, opens missing ones and closes expired ones. An unresponsive socket stays
// active if its replacement cannot be opened.
func (r *Resolver) maintainSockets(ctx context.Context, now time.Time) {
	for i, s := range r.active {
		if s.unresponsiveFor(now) < r.responseTimeout() {
			continue
		}
		r.logUnresponsive()
		replacement, err := r.open(ctx)
		if err != nil {
			r.countFailure("cannot open a socket", err)
			break
		}
		r.replacements++
		r.retire(now, s)
		r.active[i] = replacement
	}
	for len(r.active) < activeSockets {
		s, err := r.open(ctx)
		if err != nil {
			r.countFailure("cannot open a socket", err)
			break
		}
		r.active = append(r.active, s)
	}
	r.closeExpired(now)
}

// closeExpired closes the sockets that have been retired for longer than retiredLifetime.
func (r *Resolver) closeExpired(now time.Time) {
	r.retired = slices.DeleteFunc(r.retired, func(s *socket) bool {
		expired := now.Sub(s.retiredAt) > retiredLifetime
		if expired {
			s.close()
		}
		return expired
	})
}

// responseTimeout returns how old the oldest of the unanswered queries may be before a socket is replaced. While no socket
// receives a response, the timeout doubles with every activeSockets replacements, up to maxBackoffTimeout, so that some
// socket stays active long enough for a slow response.
func (r *Resolver) responseTimeout() time.Duration {
	base := max(unresponsiveIntervals*r.options.Interval, unresponsiveResponseTimes*r.schedule.responseTime)
	return max(base, min(base<<min(r.replacements/activeSockets, 10), maxBackoffTimeout))
}

// retire keeps a socket open for late responses. Beyond maxRetiredSockets it closes the one retired first.
func (r *Resolver) retire(now time.Time, s *socket) {
	s.retiredAt = now
	if r.retired = append(r.retired, s); len(r.retired) > maxRetiredSockets {
		r.retired[0].close()
		r.retired = r.retired[1:]
	}
}

// replaceSockets opens sockets to the new address and retires those to the old one, whose late responses are still used.
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

// logUnresponsive logs that responses are missing, once until a response is received again.
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
