package postgres

import (
	"bufio"
	"io"
	"net"
	"time"

	"embershunt/internal/pgwire"
)

// How a session is closed: what was sent before the close is read for drainInputTimeout and refused. After the last message what still
// arrives is discarded, because a close with unread bytes resets the connection, and the client may lose that message.
const (
	drainInputTimeout    = time.Millisecond       // without another message
	maxDrainInputTimeout = 50 * time.Millisecond  // in all: a client may connect again as soon as it is refused
	lingerTimeout        = 250 * time.Millisecond // several times the delay between a request and a close that cross each other
	maxLingerBytes       = 256 << 10
)

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

var _ halfCloser = (*net.TCPConn)(nil)

// beginClose begins the close of a session without pending answers. A session with pending answers closes behind them where the
// dispatcher ends (ev is dispatcherEnds, else evicted). It reports whether the session closes now.
func (s *session) beginClose(ev event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.state.apply(ev, now) {
		return false
	}
	if ev == dispatcherEnds {
		s.recordClose(closedDispatcherEnds)
	} else {
		s.recordClose(closedEvicted)
	}
	if !s.state.receiving { // else the message that has started is read to its end, and refused
		s.setReadDeadline(s.state.readDeadline(now))
	}
	return true
}

// closeGracefully ends a session without pending answers. Queries that were sent before are refused: nothing runs for them.
func (s *session) closeGracefully(r *bufio.Reader) {
	defer s.setReceiving(false)
	for until := time.Now().Add(maxDrainInputTimeout); !s.state.overCapacity && time.Now().Before(until); {
		s.setReceiving(false)
		s.setReadDeadline(time.Now().Add(drainInputTimeout))
		if _, err := r.Peek(1); err != nil {
			break
		}
		s.setReceiving(true)
		s.setReadDeadline(time.Now().Add(s.front.options.BeginTimeout))
		kind, _, err := pgwire.ReadMessage(r, nil, s.front.options.MaxStatement)
		if err != nil || kind != pgwire.Query {
			break
		}
		s.refuseCommand()
	}
	s.linger(r)
}

// setReceiving records whether a message of a closing session is being read and refused.
func (s *session) setReceiving(receiving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.receiving = receiving
}

// refuseCommand answers a command that came too late. The write may fail: the session ends anyway.
func (s *session) refuseCommand() {
	s.writeError(codeDraining, "the dispatcher closes this session; nothing was run")
}

// linger ends the sending side and discards what arrives, within bounds.
func (s *session) linger(r *bufio.Reader) {
	s.mu.Lock()
	s.state.apply(sendingEnded, time.Now())
	s.mu.Unlock()
	half, ok := s.conn.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.setReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, r, maxLingerBytes) // ends at the deadline, the bound or the client's close
}

// fail writes the session's last message and closes it; the queries of its client are cancelled.
func (s *session) fail(r *bufio.Reader, code, message string) {
	s.recordClose(closedUnreadable)
	s.failing.Store(true)
	s.disconnect()
	s.writeLast(pgwire.AppendError(nil, pgwire.Fatal, code, message))
	s.linger(r)
}

// disconnect records that the client is gone, or cannot be read or written any more: its queries are cancelled.
func (s *session) disconnect() {
	s.mu.Lock()
	if !s.state.disconnected {
		close(s.disconnected)
	}
	s.state.apply(clientDisconnected, time.Now())
	s.queueShrunk.Signal()
	q := s.query
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}

// closeConn closes the connection.
func (s *session) closeConn() {
	_ = s.conn.Close() // its reader and worker may both close it
}
