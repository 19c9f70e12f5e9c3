package postgres

import (
	"time"

	"embershunt/permit"
)

// phase is the state of a session. Only sessionState.apply changes it, under session.mu, so that a command and a close that come at the
// same time have one order: a command is accepted completely or not at all.
type phase uint8

const (
	starting  phase = iota // no command was received yet
	idle                   // no answer is pending
	receiving              // starting or idle, and a message was received in part; only snapshot returns it
	working                // answers are pending; a worker runs
	closing                // no command is accepted: one sent before the close is rejected, one sent after it is discarded
)

// event is an event that may change a session's state.
type event uint8

const (
	messageStarted     event = iota // the first byte of a message was received
	messageEnded                    // the reader waits for the next message
	commandReceived                 // a command was read completely
	queryRecognized                 // a command is empty, or has fields and an id that can be used
	queueEmptied                    // the worker has written the last pending answer
	waitTimedOut                    // the read deadline for the start of a message has passed
	evicted                         // the session is to make room for another client
	evictedReceiving                // the same, although a message may be in progress: it is read to its end, and rejected
	dispatcherEnds                  // the frontend closes all sessions
	sendingEnded                    // the last message was written; whatever still arrives is discarded
	clientDisconnected              // the client has disconnected, or its connection cannot be read or written any more
)

// sessionState is the state machine of one session. It does no I/O and has no clock or lock: session.mu protects it. In the table "-" means
// that the phase stays, and "message in progress" that receiving is set.
//
//	event               starting, idle             working                  closing
//	messageStarted      message in progress        message in progress      not accepted
//	commandReceived     working                    -                        not accepted
//	queueEmptied        -                          idle, or closing where   the same (see below)
//	                                               a close is due
//	waitTimedOut        closing, unless a command  not accepted             -
//	                    or answer came first
//	evicted             closing, unless a message  not accepted             not accepted
//	                    is in progress
//	evictedReceiving    closing                    not accepted             not accepted
//	dispatcherEnds      closing                    not accepted; closes     not accepted
//	                                               after its answers
//	sendingEnded        closing                    closing                  -
//
// A session whose sending ends while its worker runs is closing until the worker has finished. Then it is idle, or closing where a close is
// due; its reader ends in either case.
type sessionState struct {
	overCapacity bool // it may only cancel another session's query, and is rejected otherwise; never changes
	startedAt    time.Time
	limits       waitLimits

	phase             phase
	receiving         bool      // a message has started and is not complete
	lastActivity      time.Time // when the last command that can be used was begun, or the queue emptied; at first when the session started
	queried           bool      // the client has sent a command that can be used
	closeWhenAnswered bool      // the session closes as soon as no answer is pending
	disconnected      bool      // after clientDisconnected
	lingering         bool      // the last message was written; whatever still arrives is discarded
	cancel            cancelState

	commandQueue
	overrun              bool // more was rejected for lack of room than a client may have waiting; see rejectOverrun
	overrunsInARow       int
	protocolErrorsInARow int // commands in a row that could not be used
}

// waitLimits bound how long a session waits for the start of a message.
type waitLimits struct {
	begin time.Duration // from the connect to the first query
	idle  time.Duration // after the last activity
}

// apply applies an event; it returns false if the state does not accept it.
func (s *sessionState) apply(ev event, now time.Time) bool {
	switch ev {
	case messageStarted:
		if s.phase == closing {
			return false
		}
		s.receiving = true
		s.cancel.limitInput(now)
	case messageEnded:
		s.receiving = false
		s.cancel.beginRead()
	case commandReceived:
		if s.phase == closing {
			return false
		}
		s.phase = working
	case queryRecognized:
		s.queried, s.lastActivity = true, now
	case queueEmptied:
		s.endWork(now)
	case waitTimedOut:
		if s.phase != closing && (s.cancel.endRead() || !s.mayClose(true) || now.Before(s.readDeadline(now))) {
			return false
		}
		s.phase = closing
	case evicted, evictedReceiving, dispatcherEnds:
		s.closeWhenAnswered = s.closeWhenAnswered || ev == dispatcherEnds
		if s.phase == closing || !s.mayClose(ev != evicted) {
			return false
		}
		s.phase = closing
	case sendingEnded:
		s.phase, s.lingering = closing, true
	case clientDisconnected:
		s.disconnected = true
		s.clear()
	}
	return true
}

// endWork records that every command that was received has its answer.
func (s *sessionState) endWork(now time.Time) {
	s.phase, s.lastActivity, s.commands = idle, now, nil
	if s.closeWhenAnswered {
		s.phase = closing
	}
	if !s.overrun {
		s.overrunsInARow = 0
	}
	s.overrun = false
}

// mayClose reports whether the session may be closed now; withMessage says that it may be although a message is in progress.
func (s *sessionState) mayClose(withMessage bool) bool {
	c := permit.Connection{Receiving: s.receiving, DispatcherEnds: withMessage}
	if s.phase == working {
		c.PendingAnswers = 1
	}
	return c.Close() == permit.Permitted
}

// snapshot returns the phase, with receiving for a partly received message, whether a query was received, and the time of the last
// activity.
func (s *sessionState) snapshot() (p phase, queried bool, lastActivity time.Time) {
	if p = s.phase; s.receiving && (p == starting || p == idle) {
		p = receiving
	}
	return p, s.queried, s.lastActivity
}

// closeStage is the progress of a session's close. Later stages have higher values.
type closeStage uint8

const (
	notClosing    closeStage = iota // the session stays open, or has a pending answer or a partly received message
	atCapacity                      // the session is over capacity and is going to be rejected
	drainingInput                   // commands that were sent before the close are read and rejected
	lingering                       // the last message was written; whatever still arrives is discarded
)

// closeStage returns the stage of the session's close.
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

// readDeadline returns the deadline for the start of the next message; the zero time means none.
func (s *sessionState) readDeadline(now time.Time) time.Time {
	switch {
	case s.phase == closing:
		return now.Add(drainInputTimeout)
	case s.cancel.input != inputCurrent:
		return now.Add(cancelledInputTimeout)
	case s.phase == working: // the deadlines of its queries apply instead
		return time.Time{}
	case s.overCapacity:
		return s.startedAt.Add(usualFirstQueryDelay)
	case !s.queried:
		return s.startedAt.Add(s.limits.begin)
	}
	return s.lastActivity.Add(s.limits.idle)
}

// mustWait reports whether the reader must not read on: the session is to close after its pending answers, or has been overrun. In both
// cases no attempt begins for it any more. As long as one may begin, the reader reads, to see the end of the connection.
func (s *sessionState) mustWait() bool {
	return s.phase == working && (s.closeWhenAnswered || s.overrun)
}

// push adds an accepted command to the queue. reserved says that there is memory for the command, should it be executed. push returns false
// if the session is overrun by that command.
func (s *sessionState) push(c command, reserved bool) bool {
	c.status = s.cancel.commandReceived(c.receivedAt)
	if c.status == notCancelled && !reserved {
		c.status = rejectedQueueFull
	}
	s.add(c)
	return s.rejectedBytes <= maxRejectedBytes
}

// rejectOverrun rejects the commands of a session that has received far more of them than there is room for. None of them is executed,
// nor is the one in progress if it has not been submitted yet. The reader does not read on until all have their answers.
func (s *sessionState) rejectOverrun() {
	s.overrun = true
	s.overrunsInARow++
	s.cancel.current = true
	s.setStatus(rejectedQueueFull)
}

// pop removes the oldest command from the queue; ok is false if the queue is empty.
func (s *sessionState) pop() (c command, ok bool) {
	if c, ok = s.remove(); ok {
		s.cancel.current = false
	}
	return c, ok
}
