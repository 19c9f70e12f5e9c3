package postgres

import (
	"time"

	"embershunt/permit"
)

// phase is where a session stands. It changes by sessionState.apply only, under session.mu, so that a command and a close that cross
// each other have one order: a command is accepted as a whole, or nothing of it is.
type phase uint8

const (
	starting  phase = iota // no command was received yet
	idle                   // no answer is pending
	receiving              // starting or idle, with a message that is not complete; only in snapshots
	working                // commands were received whose answers are not written; a worker runs
	closing                // accepts no command: what was sent before the close is refused, what is sent after it is dropped
)

// event is what happens to a session.
type event uint8

const (
	messageStarted     event = iota // the first byte of a message is there
	messageEnded                    // the reader waits for the next message
	commandReceived                 // a command was read completely
	queryRecognized                 // a command can be used
	queueEmptied                    // the worker has written the last answer
	waitTimedOut                    // the wait for a message is over
	evicted                         // the connection is needed for another client
	dispatcherEnds                  // the frontend closes all sessions
	sendingEnded                    // the last message was written; what still arrives is discarded
	clientDisconnected              // the client is gone, or is treated as such: it cannot be read or written any more
)

// sessionState is the state machine of one session. It does no I/O and has no clock or lock: session.mu protects it.
//
//	event               starting, idle             working                  closing
//	messageStarted      message in progress        message in progress      not accepted
//	commandReceived     working                    -                        not accepted
//	queueEmptied        -                          idle, or closing where   idle (see below)
//	                                               a close is due
//	waitTimedOut        closing, unless a command  not accepted             -
//	                    or answer came first
//	evicted             closing, unless a message  not accepted             not accepted
//	                    is in progress
//	dispatcherEnds      closing                    not accepted; closes     not accepted
//	                                               behind its answers
//	sendingEnded        closing                    closing                  -
//
// A session whose sending ends while its worker runs is closing, and returns to idle or closing when the worker has finished.
type sessionState struct {
	overCapacity bool // it may only cancel another session's query, or is rejected; never changes
	startedAt    time.Time
	limits       waitLimits

	phase             phase
	receiving         bool      // a message has started and is not complete
	lastActivity      time.Time // of the last command or answer
	queried           bool      // it has sent a query
	closeWhenAnswered bool      // it closes as soon as no answer is pending
	disconnected      bool      // its client is gone, or treated as such
	lingering         bool      // the last message was written; what still arrives is discarded
	cancelledAt       time.Time // when the client cancelled while nothing was pending; zero: it did not

	commands             []command // pipelined: received and not yet begun
	queuedBytes          int       // of those
	protocolErrorsInARow int
}

// waitLimits bound how long a connection may go without a message.
type waitLimits struct {
	begin time.Duration // before its first query
	idle  time.Duration // after a query or an answer
}

// command is a query that was read completely and has no answer yet.
type command struct {
	text       string
	receivedAt time.Time // of its last byte; zero: it was cancelled
}

// Bounds of the commands that are pipelined on one session; beyond them the socket's buffer holds the rest.
const (
	maxPipelinedCommands = 128
	maxPipelinedBytes    = 32 << 10
)

// apply applies an event; false where the state does not accept it.
func (s *sessionState) apply(ev event, now time.Time) bool {
	switch ev {
	case messageStarted:
		if s.phase == closing {
			return false
		}
		s.receiving = true
	case messageEnded:
		s.receiving = false
	case commandReceived:
		if s.phase == closing {
			return false
		}
		s.phase = working
	case queryRecognized:
		s.queried, s.lastActivity = true, now
	case queueEmptied:
		s.phase, s.lastActivity, s.commands = idle, now, nil
		if s.closeWhenAnswered {
			s.phase = closing
		}
	case waitTimedOut:
		if s.phase != closing && (!s.mayClose(true) || now.Before(s.readDeadline(now))) {
			return false
		}
		s.phase = closing
	case evicted, dispatcherEnds:
		ending := ev == dispatcherEnds
		s.closeWhenAnswered = s.closeWhenAnswered || ending
		if s.phase == closing || !s.mayClose(ending) {
			return false
		}
		s.phase = closing
	case sendingEnded:
		s.phase, s.lingering = closing, true
	case clientDisconnected:
		s.disconnected = true
		s.commands, s.queuedBytes = nil, 0
	}
	return true
}

// mayClose reports whether the session may be closed now; ending: the dispatcher ends.
func (s *sessionState) mayClose(ending bool) bool {
	c := permit.Connection{Receiving: s.receiving, DispatcherEnds: ending}
	if s.phase == working {
		c.PendingAnswers = 1
	}
	return c.Close() == permit.Permitted
}

// snapshot is the phase as others see it, whether the session has sent a query, and when the last command or answer was.
func (s *sessionState) snapshot() (p phase, queried bool, lastActivity time.Time) {
	if p = s.phase; s.receiving && (p == starting || p == idle) {
		p = receiving
	}
	return p, s.queried, s.lastActivity
}

// closeStage is how far the close of a session has come.
type closeStage uint8

const (
	notClosing    closeStage = iota // it does not close, or an answer is pending
	atCapacity                      // it is to be rejected
	drainingInput                   // commands that were sent before the close are read and refused
	lingering                       // the last message was written; what still arrives is discarded
)

// closeStage is the stage of the session's close.
func (s *sessionState) closeStage() closeStage {
	switch {
	case s.lingering:
		return lingering
	case !s.mayClose(false):
		return notClosing
	case s.phase == closing:
		return drainingInput
	case s.overCapacity:
		return atCapacity
	}
	return notClosing
}

// readDeadline is until when the next message may start; zero: there is no limit.
func (s *sessionState) readDeadline(now time.Time) time.Time {
	switch {
	case s.phase == closing:
		return now.Add(drainInputTimeout)
	case s.phase == working: // the deadlines of its queries hold
		return time.Time{}
	case s.overCapacity:
		return s.startedAt.Add(usualBegin)
	case !s.queried:
		return s.startedAt.Add(s.limits.begin)
	}
	return s.lastActivity.Add(s.limits.idle)
}

// mustWait reports whether a command must wait before it is accepted: too much is pipelined, or the session closes behind the answers
// that are pending.
func (s *sessionState) mustWait(c command) bool {
	return s.closeWhenAnswered && s.phase == working || len(s.commands) >= maxPipelinedCommands ||
		len(s.commands) > 0 && s.queuedBytes+len(c.text) > maxPipelinedBytes
}

// push adds a command that was accepted to the queue.
func (s *sessionState) push(c command) {
	s.commands, s.queuedBytes = append(s.commands, c), s.queuedBytes+len(c.text)
}

// pop takes the oldest command out of the queue; false where it is empty.
func (s *sessionState) pop() (c command, ok bool) {
	if len(s.commands) == 0 {
		return c, false
	}
	c = s.commands[0]
	s.commands, s.queuedBytes = s.commands[1:], s.queuedBytes-len(c.text)
	return c, true
}

// cancelWindow is how long after a cancel a query may be received that the cancel was meant for: clients close the session then.
const cancelWindow = 500 * time.Millisecond

// cancel cancels the queued commands, which were received before the cancel. Where nothing is pending the cancel holds for a query that
// is on its way.
func (s *sessionState) cancel(pending bool, now time.Time) {
	if !pending && len(s.commands) == 0 {
		s.cancelledAt = now
	}
	for i := range s.commands {
		s.commands[i].receivedAt = time.Time{}
	}
}

// maySubmit reports whether a query may be submitted: its client is there and did not cancel it. It uses up a cancel.
func (s *sessionState) maySubmit(now time.Time) bool {
	cancelled := !s.cancelledAt.IsZero() && now.Sub(s.cancelledAt) < cancelWindow
	s.cancelledAt = time.Time{}
	return !s.disconnected && !cancelled
}
