package postgres

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/dispatch"
)

// Every submitted query has exactly one answer, in order, whatever the order in which queries arrive, are answered and cancelled, the
// session is evicted, the frontend ends or the client closes. Unless a close came in between, every query sent has an answer.
func TestEveryQueryHasOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newSessionModel(t)
		defer m.server.stop()
		for _, op := range rapid.SliceOfN(rapid.SampledFrom([]string{"send", "send", "send", "two", "half", "answer", "answer", "cancel",
			"evict", "end", "close"}), 1, 12).Draw(rt, "ops") {
			if m.closed {
				break
			}
			m.step(op)
		}
		m.check(rt, m.finish())
	})
}

// sessionModel drives one session and counts the queries that must be answered.
type sessionModel struct {
	server    *testServer
	client    *client
	submitted chan *dispatch.Query

	sent         int  // queries
	taken        int  // submitted queries that the model has seen
	closeCrossed bool // the session was evicted, or the frontend ended, while queries might not have been read yet
	closed       bool // by the client
}

func newSessionModel(t *testing.T) *sessionModel {
	m := &sessionModel{submitted: make(chan *dispatch.Query, 100)}
	m.server = startServer(t, Options{DrainIdle: 5 * time.Millisecond}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		m.submitted <- q
		return dispatch.Outcome{}, false
	})
	m.client = m.server.session()
	return m
}

// step carries out one operation of the client, the dispatcher or the frontend.
func (m *sessionModel) step(op string) {
	switch op {
	case "send":
		send(m.client, m.nextQuery())
	case "two":
		send(m.client, append(m.nextQuery(), m.nextQuery()...))
	case "half":
		q := m.nextQuery()
		send(m.client, q[:7])
		send(m.client, q[7:])
	case "answer":
		select {
		case q := <-m.submitted:
			m.answer(q)
		default:
		}
	case "cancel":
		m.server.frontend.cancel(m.client.key)
	case "evict":
		m.closeCrossed = m.server.frontend.evict(false) || m.closeCrossed
	case "end":
		m.server.beginEnd()
		m.closeCrossed = true
	case "close":
		closeConn(m.client.t, m.client)
		m.closed = true
	}
}

// nextQuery returns the next query to send, and counts it as sent.
func (m *sessionModel) nextQuery() []byte {
	m.sent++
	return queryWithFields(m.sent-1, "SELECT 1")
}

// answer answers a query, unless the dispatcher has answered it because its client disconnected.
func (m *sessionModel) answer(q *dispatch.Query) {
	m.taken++
	d := m.server.dispatcher
	d.mu.Lock()
	_, open := d.open[q.ID]
	delete(d.open, q.ID)
	d.mu.Unlock()
	if open {
		q.Client.Answer(servedRows(1))
	}
}

// finish ends the frontend, answers the queries that are open meanwhile, and returns the kinds of the messages that the client has read.
func (m *sessionModel) finish() (read string) {
	m.server.beginEnd()
	stopped := make(chan struct{})
	go func() { m.server.stop(); close(stopped) }()
	answers := make(chan string, 1)
	go func() {
		if m.closed {
			answers <- ""
			return
		}
		answers <- m.client.until(0)
	}()
	for done := false; !done; {
		select {
		case q := <-m.submitted:
			m.answer(q)
		case <-stopped:
			done = true
		}
	}
	m.taken += len(m.submitted)
	return <-answers
}

// check compares the answers that the client has read with the queries sent and submitted, and checks that no state is left.
func (m *sessionModel) check(rt *rapid.T, read string) {
	for _, answer := range []string{"TDCZ", "E(57014)Z", "E(57P03)Z", "E(53000)Z"} {
		read = strings.ReplaceAll(read, answer, "+")
	}
	answers := strings.Count(read, "+")
	if !m.closed && read != strings.Repeat("+", answers)+"." {
		rt.Fatalf("incomplete or unknown answer: %s", read)
	}
	if !m.closed && (answers < m.taken || answers > m.sent || !m.closeCrossed && answers != m.sent) {
		rt.Fatalf("%d queries sent, %d submitted, %d answers", m.sent, m.taken, answers)
	}
	d, f := m.server.dispatcher, m.server.frontend
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) > 0 || len(f.sessions) > 0 || len(f.traces) > 0 {
		rt.Fatalf("%d queries, %d sessions and %d ids are left", len(d.open), len(f.sessions), len(f.traces))
	}
}

// No state of sessions and ids is left after thousands of them: only a bounded number of sessions while serving, and none at the end.
func TestEndedSessionsLeaveNoState(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 16}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
	for i := range 2000 {
		c := s.connect()
		send(c, append(append([]byte{}, startupMessage...), queryWithFields(i, "SELECT 1")...))
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "TDCZ") && !strings.HasSuffix(got, "E(53300)..") {
			t.Fatalf("session %d got %s", i, got)
		}
		if i%2 == 0 {
			closeConn(t, c)
		}
	}
	s.frontend.mu.Lock()
	sessions, traces := len(s.frontend.sessions), len(s.frontend.traces)
	s.frontend.mu.Unlock()
	if sessions > s.frontend.options.MaxSessions+s.frontend.options.MaxClosing || traces > 0 {
		t.Errorf("%d sessions, %d ids", sessions, traces)
	}
	s.stop()
	if len(s.frontend.sessions) > 0 {
		t.Errorf("%d sessions after the end", len(s.frontend.sessions))
	}
}
