package postgres

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"embershunt/frontend"
	"embershunt/internal/pgwire"
)

// session is one client connection. Its reader (run) owns the end of the connection; a worker, which runs while answers are pending,
// writes them one after the other. What may happen when is decided by its sessionState.
//
// Locks are taken in the order Front.mu, session.mu; writeMu is never held together with another one.
type session struct {
	front        *Front
	conn         net.Conn
	key          pgwire.Key
	disconnected chan struct{} // closed when the client has disconnected

	mu          sync.Mutex
	state       sessionState
	queueShrunk sync.Cond              // signalled when the queue of commands gets shorter
	query       *frontend.PendingQuery // the one that the worker waits for; nil: none

	writeMu  sync.Mutex
	finished bool        // the last message was written
	failing  atomic.Bool // the last message is about to be written: pending answers are dropped, whichever goroutine is faster

	closeOnce sync.Once // see recordClose
}

func newSession(f *Front, conn net.Conn, overCapacity bool) *session {
	now := time.Now()
	s := &session{front: f, conn: conn, disconnected: make(chan struct{}), state: sessionState{overCapacity: overCapacity,
		startedAt: now, lastActivity: now, limits: waitLimits{begin: f.options.BeginTimeout, idle: f.options.IdleTimeout}}}
	s.queueShrunk.L = &s.mu
	return s
}

// snapshot is sessionState.snapshot under the session's lock.
func (s *session) snapshot() (p phase, queried bool, lastActivity time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot()
}

// closeStage is sessionState.closeStage under the session's lock.
func (s *session) closeStage() closeStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.closeStage()
}

// readBufferBytes is small: a query is read in one or two pieces, and most connections are idle most of the time.
const readBufferBytes = 1 << 10

// run reads messages until the session ends, and closes the connection.
func (s *session) run() {
	defer s.front.forget(s)
	defer s.closeConn()
	defer s.disconnect()
	defer s.recordClose(closedByClient)
	r := bufio.NewReaderSize(s.conn, readBufferBytes)
	s.awaitMessage()
	if !s.handshake(r) {
		return
	}
	var buf []byte
	for {
		s.awaitMessage()
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return
			}
			if s.waitTimedOut() {
				s.closeGracefully(r)
				return
			}
			continue
		}
		if !s.startMessage(time.Now()) {
			s.closeGracefully(r)
			return
		}
		kind, body, err := pgwire.ReadMessage(r, buf, s.front.options.MaxStatement)
		if buf = body; cap(buf) > 4*readBufferBytes { // the buffer of a long statement is not reused
			buf = nil
		}
		if err != nil {
			s.failRead(r, err)
			return
		}
		if !s.handleMessage(r, kind, body) {
			return
		}
	}
}

// handleMessage handles one complete message; false where the session has ended with it.
func (s *session) handleMessage(r *bufio.Reader, kind byte, body []byte) bool {
	switch kind {
	case pgwire.Query:
		text, err := pgwire.Statement(body)
		if err != nil {
			s.failRead(r, err)
			return false
		}
		if !s.enqueue(command{text, time.Now()}) { // the session was closed meanwhile
			s.refuseCommand()
			s.closeGracefully(r)
			return false
		}
		return true
	case pgwire.Terminate:
		return false
	}
	s.front.protocolErrors.Add(1)
	s.fail(r, codeUnknown, fmt.Sprintf("message type %q; allowed are simple queries", kind))
	return false
}

// maxStartMessages bounds the first messages of a connection: one request each for two kinds of encryption, and the start-up.
const maxStartMessages = 3

// handshake reads the first messages; false where no session follows.
func (s *session) handshake(r *bufio.Reader) bool {
	for range maxStartMessages {
		_, err := r.Peek(1)
		if isTimeout(err) && s.state.overCapacity {
			s.reject(r)
			return false
		}
		// A first query that is on its way may be sent elsewhere.
		if isTimeout(err) && s.waitTimedOut() || err == nil && !s.startMessage(s.state.startedAt) {
			if !s.awaitCancel(r) {
				s.closeGracefully(r)
				return false
			}
		}
		m, err := pgwire.ReadStart(r)
		if err != nil {
			s.failRead(r, err)
			return false
		}
		switch {
		case m.Kind == pgwire.StartCancel:
			s.front.cancel(m.Key)
			return false
		case m.Kind == pgwire.StartTLS:
			s.write([]byte{'N'}) // a failed write is noticed by the next read
			continue
		case s.state.overCapacity:
			s.reject(r)
			return false
		}
		return s.write(pgwire.AppendStartupResponse(make([]byte, 0, 256), s.key))
	}
	s.fail(r, codeProtocol, "encryption was asked for again; there is none")
	return false
}

// awaitCancel tells whether the first message of a closing session is a cancel of another one: that is heard all the same.
func (s *session) awaitCancel(r *bufio.Reader) bool {
	s.setReadDeadline(time.Now().Add(drainInputTimeout))
	return pgwire.PeekCancel(r)
}

// reject ends a session for which there is no capacity.
func (s *session) reject(r *bufio.Reader) {
	s.front.rejected.Add(1)
	s.recordClose(closedAtCapacity)
	s.fail(r, codeFull, "too many connections; nothing was read")
}

// awaitMessage sets until when the next message may start.
func (s *session) awaitMessage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.state.apply(messageEnded, now)
	s.setReadDeadline(s.state.readDeadline(now))
}

// waitTimedOut begins the close of a session whose wait for a message is over; false where a command or an answer came first.
func (s *session) waitTimedOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alreadyClosing := s.state.phase == closing
	if !s.state.apply(waitTimedOut, time.Now()) {
		return false
	}
	if !alreadyClosing {
		s.recordClose(closedIdle)
	}
	return true
}

// startMessage notes that a message has started, which must be complete within the begin timeout after from; false where the session
// closes.
func (s *session) startMessage(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.apply(messageStarted, time.Now()) {
		return false
	}
	s.setReadDeadline(from.Add(s.front.options.BeginTimeout))
	return true
}

// enqueue accepts a command; false where the session closes. It waits while too much is pipelined, and where the session closes behind
// the answers that are pending.
func (s *session) enqueue(c command) bool {
	s.front.recordActivity()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.state.mustWait(c) {
		s.queueShrunk.Wait()
	}
	workerRuns := s.state.phase == working
	if !s.state.apply(commandReceived, time.Now()) {
		return false
	}
	s.state.push(c)
	if !workerRuns {
		s.front.group.Go(func() error { s.answerCommands(); return nil })
	}
	return true
}

// failRead answers a message that cannot be read; nothing after it can be read either.
func (s *session) failRead(r *bufio.Reader, err error) {
	var format *pgwire.FormatError
	switch {
	case errors.As(err, &format):
		s.front.protocolErrors.Add(1)
		s.fail(r, codeProtocol, format.What)
	case errors.Is(err, pgwire.ErrTooLong):
		s.front.protocolErrors.Add(1)
		s.fail(r, codeTooLong, fmt.Sprintf("message too long; allowed are %d bytes", s.front.options.MaxStatement))
	case isTimeout(err):
		s.fail(r, codeProtocol, "no whole message came in time")
	}
}

// setReadDeadline sets until when the reader waits.
func (s *session) setReadDeadline(at time.Time) {
	_ = s.conn.SetReadDeadline(at) // fails only on a closed connection, which the reader notices
}

// write writes complete messages, and nothing after the last one; false where they could not be written.
func (s *session) write(b []byte) bool { return s.writeMessages(b, false) }

// writeLast writes the last messages of the session.
func (s *session) writeLast(b []byte) { s.writeMessages(b, true) } // the close follows whether the client takes them or not

func (s *session) writeMessages(b []byte, last bool) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.finished || s.failing.Load() && !last {
		return true
	}
	s.finished = last
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.front.options.WriteTimeout)) // fails only on a closed connection, as the write does
	_, err := s.conn.Write(b)
	return err == nil
}

// isTimeout reports whether a read or accept ended by its deadline.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
