package postgres

import (
	"bufio"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"embershunt/frontend"
	"embershunt/internal/pgwire"
)

// session is one client connection. Its reader (run) reads messages and closes the connection at the end. A worker, which runs while
// answers are pending, executes queued commands and writes their answers one after the other. The sessionState decides which event is
// accepted when.
//
// Locks are taken in the order Frontend.mu, session.mu; writeMu is never held together with another lock.
type session struct {
	frontend     *Frontend
	conn         clientConn
	key          pgwire.Key
	disconnected chan struct{} // closed by disconnect

	mu           sync.Mutex
	state        sessionState
	account      statementAccount       // of the memory that readingBytes and the commands in state take
	readingBytes int                    // size of the buffer of the message that is being read
	readerPaused bool                   // the reader waits until it may read on; see awaitReaderResumed
	inputRead    chan struct{}          // closed when the input that a cancel applies to was read; nil: no cancel is in progress
	answersAt    time.Time              // answers wait for inputRead until then
	query        *frontend.PendingQuery // the query whose outcome the worker waits for; nil: none

	writeMu  sync.Mutex
	finished bool        // the last message was written
	failing  atomic.Bool // the reader is about to write the last message: answers are dropped, even if the worker gets writeMu first

	closeOnce sync.Once // see recordClose
}

func newSession(f *Frontend, conn clientConn, overCapacity bool) *session {
	now := time.Now()
	return &session{frontend: f, conn: conn, disconnected: make(chan struct{}), account: statementAccount{memory: &f.statementMemory},
		state: sessionState{overCapacity: overCapacity, startedAt: now, lastActivity: now,
			limits: waitLimits{begin: f.options.BeginTimeout, idle: f.options.IdleTimeout}}}
}

// snapshot calls sessionState.snapshot under the session's lock.
func (s *session) snapshot() (p phase, queried bool, lastActivity time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot()
}

// closeStage calls sessionState.closeStage under the session's lock.
func (s *session) closeStage() closeStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.closeStage()
}

// readBufferBytes is the size of a session's read buffer. It is small because most connections are idle most of the time, and large enough
// to read a usual query in one or two pieces.
const readBufferBytes = 1 << 10

// maxReusedBytes is the size up to which a message's buffer is kept for the next message.
const maxReusedBytes = 4 << 10

// run reads messages until the session ends, and then closes the connection.
func (s *session) run() {
	defer s.frontend.removeSession(s)
	defer s.closeConn()
	defer s.disconnect()
	defer s.recordClose(closedByClient)
	r := bufio.NewReaderSize(s.conn, readBufferBytes)
	s.awaitMessage()
	if !s.handshake(r) {
		return
	}
	var buf []byte
	for more := true; more && s.awaitNextMessage(r); {
		buf, more = s.readMessage(r, buf)
	}
}

// awaitNextMessage waits until a message has begun; it returns false if the session ends before.
func (s *session) awaitNextMessage(r *bufio.Reader) bool {
	for {
		s.awaitMessage()
		_, err := r.Peek(1)
		switch {
		case err == nil && s.startMessage(time.Now()):
			return true
		case err == nil, isTimeout(err) && s.waitTimedOut():
			s.closeGracefully(r)
			return false
		case !isTimeout(err):
			return false
		}
	}
}

// readMessage reads and handles one message. It returns the buffer for the next one, which may be buf or nil, and false if the session ends
// with the message.
func (s *session) readMessage(r *bufio.Reader, buf []byte) (next []byte, more bool) {
	kind, body, err := pgwire.ReadMessageReserved(r, buf, s.frontend.options.MaxStatement, s.reserveMessage)
	if cap(body) <= maxReusedBytes {
		next = body
	}
	var noMemory *pgwire.NoMemoryError
	switch {
	case errors.As(err, &noMemory) && kind == pgwire.Query:
		return next, s.handleCommand(r, command{receivedAt: time.Now(), droppedAs: noMemory.BodyBytes})
	case err != nil && noMemory == nil:
		s.failRead(r, err)
		return nil, false
	}
	return next, s.handleMessage(r, kind, body)
}

// handleMessage handles one complete message; it returns false if the session ends with it.
func (s *session) handleMessage(r *bufio.Reader, kind byte, body []byte) bool {
	switch kind {
	case pgwire.Query:
		text, err := pgwire.Statement(body)
		if err != nil {
			s.failRead(r, err)
			return false
		}
		return s.handleCommand(r, command{text: text, receivedAt: time.Now()})
	case pgwire.Terminate:
		return false
	}
	s.frontend.protocolErrors.Add(1)
	s.fail(r, codeUnsupported, fmt.Sprintf("message type %q is not supported; allowed: simple queries", kind))
	return false
}

// handleCommand hands a command to the worker; it returns false if the session ends with it.
func (s *session) handleCommand(r *bufio.Reader, c command) bool {
	switch s.enqueue(c) {
	case commandQueued:
		return true
	case commandRejected: // the session began to close while the message was read
		s.rejectCommand()
		s.closeGracefully(r)
	case commandAbandoned:
	}
	return false
}

// maxStartMessages bounds the messages of a handshake: one request each for TLS and GSSAPI encryption, and the start-up message.
const maxStartMessages = 3

// handshake reads messages up to the start-up message and answers them; it returns false if no session follows.
func (s *session) handshake(r *bufio.Reader) bool {
	for range maxStartMessages {
		_, err := r.Peek(1)
		if isTimeout(err) && s.state.overCapacity {
			s.reject(r)
			return false
		}
		closes := isTimeout(err) && s.waitTimedOut() || err == nil && !s.startMessage(s.state.startedAt)
		if closes && !s.startLastMessage(r) {
			s.linger(r) // nothing was read: the client may send a query to another dispatcher
			return false
		}
		m, err := pgwire.ReadStart(r)
		if err != nil {
			s.failRead(r, err)
			return false
		}
		switch {
		case m.Kind == pgwire.StartCancel:
			s.frontend.cancel(m.Key)
			return false
		case m.Kind == pgwire.StartTLS:
			s.write([]byte{'N'}) // a failed write is noticed by the next read
			continue
		case s.state.overCapacity:
			s.reject(r)
			return false
		case s.isClosing():
			s.fail(r, codeDraining, closingMessage)
			return false
		}
		return s.write(pgwire.AppendStartupResponse(make([]byte, 0, 256), s.key))
	}
	s.fail(r, codeProtocolViolation, "encryption requested too often; it is not supported")
	return false
}

// startLastMessage waits for drainInputTimeout for a message of a session that closes before its start, and reports whether one has begun. It
// is read to its end and answered like that of any other session: a cancel is carried out, and a start-up rejected.
func (s *session) startLastMessage(r *bufio.Reader) bool {
	s.setReadDeadline(time.Now().Add(drainInputTimeout))
	if _, err := r.Peek(1); err != nil {
		return false
	}
	s.setReceiving(true)
	s.setReadDeadline(time.Now().Add(s.frontend.options.BeginTimeout))
	return true
}

// isClosing reports whether the session is closing.
func (s *session) isClosing() bool {
	phase, _, _ := s.snapshot()
	return phase == closing
}

// reject ends a session that was accepted beyond the bound on sessions.
func (s *session) reject(r *bufio.Reader) {
	s.frontend.rejected.Add(1)
	s.recordClose(closedAtCapacity)
	s.fail(r, codeTooManyConnections, "too many connections; nothing was read")
}

// awaitMessage records that no message is in progress, and sets the deadline for the start of the next one.
func (s *session) awaitMessage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.state.apply(messageEnded, now)
	s.setReadDeadline(s.state.readDeadline(now))
}

// waitTimedOut begins the close of a session whose read deadline has passed; it returns false if a command or an answer came first.
func (s *session) waitTimedOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alreadyClosing := s.state.phase == closing
	accepted := s.state.apply(waitTimedOut, time.Now())
	s.notifyInputRead()
	if !accepted {
		return false
	}
	if !alreadyClosing {
		s.recordClose(closedIdle)
	}
	return true
}

// startMessage records that a message has started, which must be complete within BeginTimeout after from. It returns false if the session
// is closing.
func (s *session) startMessage(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := s.state.apply(messageStarted, time.Now())
	s.notifyInputRead()
	if !accepted {
		return false
	}
	s.setReadDeadline(from.Add(s.frontend.options.BeginTimeout))
	return true
}

// enqueueResult is what became of a command that was read.
type enqueueResult uint8

const (
	commandQueued    enqueueResult = iota
	commandRejected                // the session is closing
	commandAbandoned               // the client has closed the connection
)

// enqueue adds a command to the queue and starts a worker if none runs. A command for which there is no room is rejected when its turn
// comes. If the session is to close after its pending answers, enqueue waits for that close.
func (s *session) enqueue(c command) enqueueResult {
	s.frontend.recordActivity()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.endReading()
	for s.state.mustWait() {
		if !s.awaitReaderResumed() {
			return commandAbandoned
		}
	}
	workerRuns := s.state.phase == working
	if !s.state.apply(commandReceived, time.Now()) {
		return commandRejected
	}
	if !s.state.push(c, s.reserveCommand(c)) {
		s.rejectOverrun()
	}
	s.trackCancelledInput(c.receivedAt)
	if !workerRuns {
		s.frontend.group.Go(func() error { s.answerCommands(); return nil })
	}
	return commandQueued
}

// rejectOverrun rejects the commands of a session that is overrun, and cancels the query in progress; s.mu is held.
func (s *session) rejectOverrun() {
	s.state.rejectOverrun()
	if s.query != nil {
		s.query.Disconnect()
	}
}

// failRead ends the session after a message that could not be read, since nothing after that message can be read either. It sends the
// reason to the client, unless the connection itself failed.
func (s *session) failRead(r *bufio.Reader, err error) {
	var format *pgwire.FormatError
	switch {
	case errors.As(err, &format):
		s.frontend.protocolErrors.Add(1)
		s.fail(r, codeProtocolViolation, format.Detail)
	case errors.Is(err, pgwire.ErrTooLong):
		s.frontend.protocolErrors.Add(1)
		s.fail(r, codeTooLong, fmt.Sprintf("message too long; allowed: %d bytes", s.frontend.options.MaxStatement))
	case isTimeout(err):
		s.fail(r, codeProtocolViolation, "message not complete in time")
	}
}

// setReadDeadline sets the deadline of the reader's current or next read.
func (s *session) setReadDeadline(at time.Time) {
	_ = s.conn.SetReadDeadline(at) // fails only on a closed connection, which the reader notices
}

// write writes complete messages; it returns false if they could not be written. Messages that come after the session's last message, or
// while that is about to be written, are dropped.
func (s *session) write(b []byte) bool { return s.writeMessages(b, false) }

// writeLast writes the session's last message. An error is ignored: the close follows whether the client receives the message or not.
func (s *session) writeLast(b []byte) { s.writeMessages(b, true) }

func (s *session) writeMessages(b []byte, last bool) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.finished || s.failing.Load() && !last {
		return true
	}
	s.finished = last
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.frontend.options.WriteTimeout)) // fails only on a closed connection, as the write does
	_, err := s.conn.Write(b)
	return err == nil
}

// isTimeout reports whether a read or accept failed because its deadline passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
