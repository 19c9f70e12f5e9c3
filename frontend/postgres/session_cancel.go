package postgres

import "time"

// cancelWindow is how long a cancel that found nothing pending applies to the next command of the session, and at most to the input that
// the reader goes on receiving. A later command is not one that the client meant: clients close the session after a cancel.
const cancelWindow = 500 * time.Millisecond

// cancelledInputTimeout is how long the socket stays empty until all that the client had sent before its cancel has been read: longer than
// the client's system takes to send what had no room in the receive buffer.
const cancelledInputTimeout = 5 * time.Millisecond

// cancelledInput is the reader's progress through what the client had sent before its cancel. A CancelRequest comes on a connection of
// its own, while earlier commands may still be in the socket or only half received: they count as cancelled too. The client's input is
// current again as soon as a read that began after the cancel finds the socket empty for cancelledInputTimeout.
type cancelledInput uint8

const (
	inputCurrent cancelledInput = iota // no cancel is in progress
	inputUnread                        // no read has begun since the cancel
	inputBeingRead
)

// cancelState is what a session knows of its client's cancels. It does no I/O and has no clock.
type cancelState struct {
	input      cancelledInput
	inputUntil time.Time // what the reader begins to receive after this time is not cancelled
	current    bool      // the cancel applies to the command that the worker executes
	nextUntil  time.Time // the cancel found nothing pending and applies to a command received until then; zero: it does not
}

// begin records a cancel; pending says that a command that was received is pending.
func (c *cancelState) begin(pending bool, now time.Time) {
	c.current = true
	c.input, c.inputUntil = inputUnread, now.Add(cancelWindow)
	if !pending {
		c.nextUntil = now.Add(cancelWindow)
	}
}

// beginRead records that the reader waits for a message.
func (c *cancelState) beginRead() {
	if c.input == inputUnread {
		c.input = inputBeingRead
	}
}

// endRead records that the reader has waited for a message in vain. It returns false if no cancel is in progress.
func (c *cancelState) endRead() bool {
	switch c.input {
	case inputCurrent:
		return false
	case inputBeingRead:
		c.input = inputCurrent
	case inputUnread: // the wait may have begun before the cancel, and its deadline passed before the socket was read again
	}
	return true
}

// limitInput records that a message has started, which is not cancelled if the client has been sending for cancelWindow without a pause.
func (c *cancelState) limitInput(now time.Time) {
	if !now.Before(c.inputUntil) {
		c.input = inputCurrent
	}
}

// commandReceived returns whether a command that was received at a time is cancelled. With a command that the cancel had not found, those
// that follow it at once are cancelled as well.
func (c *cancelState) commandReceived(at time.Time) commandStatus {
	if at.Before(c.nextUntil) {
		c.input, c.inputUntil, c.nextUntil = inputUnread, c.nextUntil, time.Time{}
		return cancelledOnArrival
	}
	c.nextUntil = time.Time{}
	if c.input != inputCurrent {
		return cancelledInQueue
	}
	return notCancelled
}

// cancelCommands cancels the commands that were received, and those that the client had sent before the cancel. submitted says that the
// worker waits for the outcome of a query. A session that is closing accepts no command, and a cancel has no effect on it.
func (s *sessionState) cancelCommands(submitted bool, now time.Time) {
	if s.phase == closing {
		return
	}
	s.cancel.begin(submitted || len(s.commands) > 0, now)
	s.setStatus(cancelledInQueue)
}

// maySubmit reports whether the query that the worker executes may be submitted: its client is connected and did not cancel it.
func (s *sessionState) maySubmit() bool {
	if s.cancel.current {
		s.cancel.nextUntil = time.Time{} // this was the command that the cancel meant
	}
	return !s.disconnected && !s.cancel.current
}

// cancel cancels the session's pending query, the queued commands, and those that the client had sent before the cancel and that are still
// to be read. The session continues.
func (s *session) cancel() {
	s.mu.Lock()
	q := s.query
	now := time.Now()
	s.state.cancelCommands(q != nil, now)
	s.trackCancelledInput(now)
	s.resumeReader(now)
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}

// trackCancelledInput makes answers wait while input is to be read that a cancel applies to; s.mu is held.
func (s *session) trackCancelledInput(now time.Time) {
	if s.inputRead == nil && s.state.cancel.input != inputCurrent {
		s.inputRead, s.answersAt = make(chan struct{}), now.Add(maxDrainInputTimeout)
	}
}

// resumeReader makes the reader go on to read what the client had sent before its cancel; s.mu is held.
func (s *session) resumeReader(now time.Time) {
	s.wakeReader()
	if !s.state.receiving {
		s.setReadDeadline(s.state.readDeadline(now))
	}
}

// notifyInputRead lets the worker go on if the input that a cancel applies to was read; s.mu is held.
func (s *session) notifyInputRead() {
	if s.inputRead != nil && s.state.cancel.input == inputCurrent {
		close(s.inputRead)
		s.inputRead = nil
	}
}

// writeAnswer writes a command's answer; it returns false if the answer could not be written. After a cancel the answers wait until the
// input that the cancel applies to was read, but not longer than maxDrainInputTimeout in total: a command that the client sends when it
// has its answers is a new one.
func (s *session) writeAnswer(b []byte) bool {
	s.mu.Lock()
	inputRead, until := s.inputRead, time.Until(s.answersAt)
	s.mu.Unlock()
	if inputRead != nil && until > 0 {
		t := time.NewTimer(until)
		defer t.Stop()
		select {
		case <-inputRead:
		case <-s.disconnected:
		case <-t.C:
		}
	}
	return s.write(b)
}
