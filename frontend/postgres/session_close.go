package postgres

import (
	"bufio"
	"io"
	"time"

	"embershunt/internal/pgwire"
)

// Bounds of the close of a session. Commands that were sent before the close are read and rejected until none has come for
// drainInputTimeout. Whatever arrives after the last message was written is discarded: closing a connection with unread bytes resets it,
// and the client may lose the last message.
const (
	drainInputTimeout    = time.Millisecond       // without another message
	maxDrainInputTimeout = 50 * time.Millisecond  // in total: a client may connect again as soon as its command is rejected
	lingerTimeout        = 250 * time.Millisecond // several times the delay by which a request may cross the close
	maxLingerBytes       = 256 << 10
)

// beginClose begins the close of a session without pending answers; ev is evicted, evictedReceiving or dispatcherEnds. A session with
// pending answers closes after them for dispatcherEnds, and stays open otherwise. beginClose reports whether the close has begun.
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
	if !s.state.receiving { // else the message that has started is read to its end, and rejected
		s.setReadDeadline(s.state.readDeadline(now))
	}
	return true
}

// closeGracefully ends a session without pending answers. Commands that were sent before the close are read and rejected; they are not
// submitted.
func (s *session) closeGracefully(r *bufio.Reader) {
	defer s.setReceiving(false)
	for until := time.Now().Add(maxDrainInputTimeout); !s.state.overCapacity && time.Now().Before(until); {
		s.setReceiving(false)
		s.setReadDeadline(time.Now().Add(drainInputTimeout))
		if _, err := r.Peek(1); err != nil {
			break
		}
		s.setReceiving(true)
		s.setReadDeadline(time.Now().Add(s.frontend.options.BeginTimeout))
		kind, err := pgwire.SkipMessage(r, s.frontend.options.MaxStatement)
		if err != nil || kind != pgwire.Query {
			break
		}
		s.rejectCommand()
	}
	s.linger(r)
}

// setReceiving records whether the reader of a closing session is reading a message in order to reject it.
func (s *session) setReceiving(receiving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.receiving = receiving
}

// closingMessage is the message of the answer to a command or start-up that is read after the close has begun.
const closingMessage = "the dispatcher closes this session; nothing was run"

// rejectCommand rejects a command that was read after the close had begun. The write may fail: the session ends anyway.
func (s *session) rejectCommand() { s.write(encodeError(codeDraining, closingMessage)) }

// linger closes the sending side and discards whatever arrives, until the client closes its side or a bound is reached.
func (s *session) linger(r *bufio.Reader) {
	s.mu.Lock()
	s.state.apply(sendingEnded, time.Now())
	s.mu.Unlock()
	if s.conn.CloseWrite() != nil {
		return
	}
	s.setReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, r, maxLingerBytes) // ends at the deadline, the bound or the client's close
}

// fail ends the session with an error as its last message, and cancels its queries.
func (s *session) fail(r *bufio.Reader, code, message string) {
	s.recordClose(closedUnreadable)
	s.failing.Store(true)
	s.disconnect()
	s.writeLast(pgwire.AppendError(nil, pgwire.Fatal, code, message))
	s.linger(r)
}

// disconnect records that the client has disconnected, or that its connection cannot be read or written any more, and cancels its queries.
func (s *session) disconnect() {
	s.mu.Lock()
	if !s.state.disconnected {
		close(s.disconnected)
	}
	s.state.apply(clientDisconnected, time.Now())
	s.endReading()
	s.wakeReader()
	q := s.query
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}

// closeConn closes the connection. It may be called more than once.
func (s *session) closeConn() {
	_ = s.conn.Close() // an error means that it was closed before: reader, worker and abortClosing may each close it
}
