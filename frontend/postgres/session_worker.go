package postgres

import (
	"fmt"
	"strings"
	"time"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/lineproto"
	"embershunt/internal/pgwire"
	"embershunt/nodelist"
	"embershunt/policy"
)

// answerCommands is the session's worker: it answers queued commands in order until the queue is empty.
func (s *session) answerCommands() {
	for {
		c, ok := s.nextCommand()
		if !ok {
			return
		}
		if !s.answer(c) {
			s.recordClose(closedWriteFailed)
			s.disconnect()
			s.closeConn() // ends the reader
		}
		s.pauseAfterOverrun()
	}
}

// nextCommand takes the next command from the queue. If the queue is empty, it records that the worker has ended; the next command starts
// another worker.
func (s *session) nextCommand() (c command, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok = s.state.pop()
	s.releaseMemory()
	if ok {
		return c, true
	}
	now := time.Now()
	s.query = nil
	s.state.apply(queueEmptied, now)
	if s.state.phase == closing {
		s.recordClose(closedDispatcherEnds)
	}
	s.wakeReader()
	if !s.state.receiving {
		s.setReadDeadline(s.state.readDeadline(now))
	}
	return c, false
}

// endedInQueue is the message of the answer to a command that was cancelled, or timed out, in the queue.
const endedInQueue = "over before its turn; nothing was run"

// answer executes a command and writes its one answer; it returns false if the answer could not be written.
func (s *session) answer(c command) bool {
	switch c.status {
	case rejectedQueueFull:
		return s.rejectQueueFull()
	case cancelledInQueue:
		return s.writeAnswer(encodeError(codeOverload, endedInQueue))
	case cancelledOnArrival:
		s.recordQueryRecognized()
		return s.writeAnswer(encodeFailure(dispatch.ReasonClientDisconnected))
	case notCancelled:
	}
	if strings.Trim(c.text, " \t\r\n;") == "" {
		s.recordQueryRecognized()
		return s.writeAnswer(pgwire.AppendReady(pgwire.AppendEmpty(nil)))
	}
	q, err := parseQuery(c.text, &s.frontend.options.Settings)
	if err != nil {
		return s.answerProtocolError(codeBadField, err.Error())
	}
	remaining := q.clientTimeout - time.Since(c.receivedAt)
	if remaining <= 0 { // timed out in the queue: nothing was sent
		return s.writeAnswer(encodeError(codeOverload, endedInQueue))
	}
	if !s.frontend.registerTrace(q.trace) {
		return s.answerProtocolError(codeIDInUse,
			fmt.Sprintf("trace %s: a query with this id is open already; allowed: a new id for each query", q.trace))
	}
	outcome, err := s.execute(q, remaining)
	s.frontend.releaseTrace(q.trace) // before the client can read the answer and use the id again
	if err != nil {
		return s.answerProtocolError(codeBadField, err.Error())
	}
	s.mu.Lock()
	s.query = nil
	s.mu.Unlock()
	return s.writeAnswer(encodeOutcome(outcome))
}

// execute submits a query and waits for its outcome. An error means that the query's fields cannot be used.
func (s *session) execute(q queryFields, remaining time.Duration) (dispatch.Outcome, error) {
	class := &s.frontend.options.Settings.Classes[q.class]
	work := &lineproto.Request{ID: q.trace, Class: class.Name, Text: q.text, Priority: -1}
	if class.Effect == policy.IdempotentByKey {
		work.Key = q.idempotencyKey
	}
	pending, err := s.submit(frontend.Call{Traits: q.traits(), Protocol: nodelist.Platform, Remaining: remaining, Payload: work})
	if err != nil {
		return dispatch.Outcome{}, err
	}
	if pending == nil {
		return dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonClientDisconnected}, nil
	}
	return <-pending.Done, nil
}

// submit hands a query to the intake. It returns nil if the client has disconnected or cancelled the query.
func (s *session) submit(c frontend.Call) (*frontend.PendingQuery, error) {
	s.recordQueryRecognized()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.maySubmit() {
		return nil, nil
	}
	q, err := s.frontend.intake.Submit(c)
	if s.query = q; err == nil {
		s.state.protocolErrorsInARow = 0
	}
	return q, err
}

// recordQueryRecognized records that a command can be used.
func (s *session) recordQueryRecognized() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.apply(queryRecognized, time.Now())
}

// Answer to a command for which there was no room, and how long its client is asked to wait before a retry.
const (
	queueFullMessage    = "too many commands wait for their answers; nothing was run"
	queueFullRetryAfter = 100 * time.Millisecond
)

// rejectQueueFull answers a command for which there was no room; it returns false if the answer could not be written.
func (s *session) rejectQueueFull() bool {
	s.frontend.rejectedCommands.Add(1)
	s.recordQueryRecognized()
	retryAfter := min(queueFullRetryAfter.Microseconds(), s.frontend.options.Settings.MaxRetryAfter)
	return s.writeAnswer(encodeRefusal(codeOverload, queueFullMessage, retryAfter))
}

// The pause after a command that cannot be used, and after an overrun. It doubles with each in a row.
const (
	firstPause        = 20 * time.Millisecond
	maxPause          = time.Second
	maxPauseDoublings = 10 // keeps the shift from overflowing
)

// pause makes the worker wait after the n-th event in a row for which its client is slowed down, so that the client takes little time from
// others. It ends with the connection.
func (s *session) pause(n int) {
	t := time.NewTimer(min(firstPause<<min(n-1, maxPauseDoublings), maxPause))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.disconnected:
	}
}

// pauseAfterOverrun pauses the worker if its session was overrun and every command that had been received has its answer.
func (s *session) pauseAfterOverrun() {
	s.mu.Lock()
	overruns := s.state.overrunsInARow
	due := s.state.overrun && len(s.state.commands) == 0
	s.mu.Unlock()
	if due {
		s.pause(overruns)
	}
}

// answerProtocolError answers a command that cannot be used, and then pauses the worker; it returns false if the answer could not be
// written. A client that sends such commands in a row waits ever longer for the next answer.
func (s *session) answerProtocolError(code, message string) bool {
	s.frontend.protocolErrors.Add(1)
	s.mu.Lock()
	s.state.protocolErrorsInARow++
	inARow := s.state.protocolErrorsInARow
	s.mu.Unlock()
	if !s.writeAnswer(encodeError(code, message)) {
		return false
	}
	s.pause(inARow)
	return true
}
