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

// answerCommands answers commands in their order, until there are none.
func (s *session) answerCommands() {
	for {
		c, ok := s.nextCommand()
		if !ok {
			return
		}
		if !s.answer(c) {
			s.recordClose(closedWriteFailed)
			s.disconnect()
			s.closeConn() // the reader notices it, and ends
		}
	}
}

// nextCommand takes the next command out of the queue. Where there is none the worker has ended: the next command starts another one.
func (s *session) nextCommand() (c command, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok = s.state.pop(); ok {
		s.queueShrunk.Signal()
		return c, true
	}
	now := time.Now()
	s.query = nil
	s.state.apply(queueEmptied, now)
	if s.state.phase == closing {
		s.recordClose(closedDispatcherEnds)
	}
	s.queueShrunk.Signal()
	if !s.state.receiving {
		s.setReadDeadline(s.state.readDeadline(now))
	}
	return c, false
}

// answer gives a command its one answer; false where it cannot be written.
func (s *session) answer(c command) bool {
	if strings.Trim(c.text, " \t\r\n;") == "" {
		s.recordUse()
		return s.write(pgwire.AppendReady(pgwire.AppendEmpty(nil)))
	}
	q, err := parseQuery(c.text, &s.front.options.Settings)
	if err != nil {
		return s.answerProtocolError(codeBadField, err.Error())
	}
	remaining := q.clientTimeout - time.Since(c.receivedAt)
	if c.receivedAt.IsZero() || remaining <= 0 { // cancelled, or its timeout was over before its turn: nothing was sent
		return s.writeError(codeOverload, "over before its turn; nothing was run")
	}
	if !s.front.registerTrace(q.trace) {
		return s.answerProtocolError(codeOpen, fmt.Sprintf("trace %s: the id is open already; allowed is a new one for each request", q.trace))
	}
	outcome, err := s.execute(q, remaining)
	s.front.releaseTrace(q.trace) // not open any more when the client reads the answer
	if err != nil {
		return s.answerProtocolError(codeBadField, err.Error())
	}
	s.mu.Lock()
	s.query = nil
	s.mu.Unlock()
	return s.write(encodeOutcome(outcome))
}

// execute submits a query and waits for its outcome. The error says that its fields cannot be used.
func (s *session) execute(q queryFields, remaining time.Duration) (dispatch.Outcome, error) {
	class := &s.front.options.Settings.Classes[q.class]
	work := &lineproto.Request{ID: q.trace, Class: class.Name, Text: q.text, Priority: -1}
	if class.Effect == policy.IdempotentByKey {
		work.Key = q.idempotencyKey
	}
	pending, err := s.submit(frontend.Call{Traits: q.traits(), Protocol: nodelist.Platform, Remaining: remaining, Work: work})
	if err != nil {
		return dispatch.Outcome{}, err
	}
	if pending == nil {
		return dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonClientDisconnected}, nil
	}
	return <-pending.Done, nil
}

// submit hands a query to the intake, unless its client has disconnected or cancelled it; nil then.
func (s *session) submit(c frontend.Call) (*frontend.PendingQuery, error) {
	s.recordUse()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.maySubmit(time.Now()) {
		return nil, nil
	}
	q, err := s.front.intake.Submit(c)
	if s.query = q; err == nil {
		s.state.protocolErrorsInARow = 0
	}
	return q, err
}

// recordUse records that a command can be used.
func (s *session) recordUse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.apply(queryRecognized, time.Now())
}

// Bounds of the pause after commands that cannot be used; it doubles with each in a row.
const (
	protocolErrorPause    = 20 * time.Millisecond
	maxProtocolErrorPause = time.Second
	maxPauseDoublings     = 10
)

// answerProtocolError answers a command that cannot be used; false where the answer cannot be written. A client that sends the next one
// at once waits for its answer, ever longer: the time of a dispatcher belongs to clients that can be served.
func (s *session) answerProtocolError(code, message string) bool {
	s.front.protocolErrors.Add(1)
	s.mu.Lock()
	s.state.protocolErrorsInARow++
	inARow := s.state.protocolErrorsInARow
	s.mu.Unlock()
	if !s.writeError(code, message) {
		return false
	}
	t := time.NewTimer(min(protocolErrorPause<<min(inARow-1, maxPauseDoublings), maxProtocolErrorPause))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.disconnected:
	}
	return true
}

// writeError answers a command with an error; the session goes on.
func (s *session) writeError(code, message string) bool {
	return s.write(appendError(nil, code, message))
}

// cancel cancels what the session's client has sent. The session goes on.
func (s *session) cancel() {
	s.mu.Lock()
	q := s.query
	s.state.cancel(q != nil, time.Now())
	s.mu.Unlock()
	if q != nil {
		q.Disconnect()
	}
}
