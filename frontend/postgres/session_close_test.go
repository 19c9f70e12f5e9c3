package postgres

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"embershunt/dispatch"
)

// A query that has arrived, but was not read when its session begins to close, is accepted completely or not at all. Here the close comes
// first: the query is rejected with the code for draining, and never submitted.
func TestQueryReadAfterCloseBegan(t *testing.T) {
	for name, beginClose := range map[string]func(s *testServer) bool{
		"evicted":  func(s *testServer) bool { return s.frontend.evict(false) },
		"shutdown": func(s *testServer) bool { s.beginEnd(); <-s.frontend.closesBegun; return true },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{DrainIdle: time.Millisecond},
				func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(1), true })
			c := s.session()
			send(c, queryWithFields(1, "SELECT 1"))
			c.until('Z')
			s.awaitSession(func(state *sessionState) bool { // the client may read the answer before the worker has ended
				phase, _, _ := state.snapshot()
				return phase == idle
			})
			open := s.gate.close()
			send(c, queryWithFields(2, "SELECT 1"))
			<-s.gate.held
			closed := beginClose(s)
			open()
			if !closed {
				t.Fatal("the session does not close")
			}
			if got := c.until('.'); got != "E(57P03)Z." {
				t.Errorf("the query got %s", got)
			}
		})
	}
}

// Guards against a query that is read and never answered because its session began to close before its start-up message was read: the
// start-up message was taken for a message of a started session, and the query behind it for a part of that.
func TestStartupReadAfterCloseBegan(t *testing.T) {
	tls := []byte{0, 0, 0, 8, 4, 210, 22, 47}
	for name, beginClose := range map[string]func(s *testServer) bool{
		"evicted":                  func(s *testServer) bool { return s.frontend.evict(false) },
		"shutdown":                 func(s *testServer) bool { s.beginEnd(); <-s.frontend.closesBegun; return true },
		"evicted within a message": func(s *testServer) bool { return s.onlySession().beginClose(evictedReceiving) },
	} {
		for first, messages := range map[string][]byte{"start-up": nil, "encryption": tls} {
			t.Run(name+", "+first, func(t *testing.T) {
				s := startServer(t, Options{DrainIdle: time.Millisecond, BeginTimeout: time.Minute}, nil)
				c := s.connect()
				open := s.gate.close()
				messages := append(append(append([]byte{}, messages...), startupMessage...), queryWithFields(1, "SELECT 1")...)
				send(c, messages)
				<-s.gate.held
				closed := beginClose(s)
				open()
				if !closed {
					t.Fatal("the session does not close")
				}
				if first == "encryption" {
					if b, err := c.r.ReadByte(); b != 'N' || err != nil {
						t.Errorf("encryption answered with %q, %v", b, err)
					}
				}
				if got := c.until('.'); got != "E(57P03)." {
					t.Errorf("the start-up and its query got %s", got)
				}
			})
		}
	}
}

// A session that begins to close before anything was read of it is closed without a word: its client may send a query elsewhere.
func TestSilentSessionIsClosedWithoutAWord(t *testing.T) {
	s := startServer(t, Options{BeginTimeout: time.Minute}, nil)
	c := s.connect()
	s.awaitSession(func(*sessionState) bool { return true })
	if !s.frontend.evict(false) {
		t.Fatal("the session does not close")
	}
	if got := c.until('.'); got != "." {
		t.Errorf("a silent client got %s", got)
	}
}

// onlySession returns the session of a frontend that has one.
func (s *testServer) onlySession() *session {
	s.frontend.mu.Lock()
	defer s.frontend.mu.Unlock()
	for _, only := range s.frontend.sessions {
		return only
	}
	s.t.Fatal("no session")
	return nil
}

// A query that is open when its session is to close has its complete answer, and no other message, before the close.
func TestNoCloseBeforeTheAnswer(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 1}, nil)
	c := s.session()
	send(c, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	if s.frontend.evict(false) {
		t.Fatal("a session with an open query was evicted")
	}
	s.beginEnd()
	s.dispatcher.mu.Lock()
	for _, q := range s.dispatcher.open {
		q.Client.Answer(servedRows(1000))
	}
	s.dispatcher.mu.Unlock()
	if got := c.until('.'); got != "T"+strings.Repeat("D", 1000)+"CZ." {
		t.Errorf("%d messages of the answer", len(got))
	}
}

// Connections that arrive during shutdown are accepted and answered: the frontend accepts until none has come for DrainIdle. Idle sessions
// are closed without a reset.
func TestConnectionsDuringShutdown(t *testing.T) {
	stopped := make(chan struct{})
	s := startServer(t, Options{DrainIdle: 50 * time.Millisecond}, func(*dispatch.Query) (dispatch.Outcome, bool) {
		<-stopped
		return dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonDraining}, true
	})
	idleClient := s.session()
	late := s.connect()
	send(late, append(append([]byte{}, startupMessage...), queryWithFields(1, "SELECT 1")...))
	s.beginEnd()
	later := s.connect()
	send(later, append(append([]byte{}, startupMessage...), queryWithFields(2, "SELECT 1")...))
	close(stopped)
	for _, c := range []*client{late, later} {
		if got := c.until('Z') + c.until('Z'); !strings.HasSuffix(got, "ZE(57P03)Z") {
			t.Errorf("a late connection got %s", got)
		}
	}
	if _, err := idleClient.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle session ends with %v, want EOF", err)
	}
}

// A client that never stops sending does not delay the shutdown, neither while it is served nor while its session closes.
func TestFloodDoesNotDelayShutdown(t *testing.T) {
	var group sync.WaitGroup
	var s *testServer
	s = startServer(t, Options{DrainIdle: 5 * time.Millisecond}, func(q *dispatch.Query) (dispatch.Outcome, bool) {
		group.Go(func() { // answers when another command is queued, or after 100 ms
			for i, queued := 0, false; i < 100 && !queued; i++ {
				time.Sleep(time.Millisecond)
				queued = s.anySession(func(state *sessionState) bool { return len(state.commands) > 0 })
			}
			q.Client.Answer(servedRows(1))
		})
		return dispatch.Outcome{}, false
	})
	c := s.session()
	group.Go(func() { _, _ = io.Copy(io.Discard, c.r) }) // ends with the connection
	group.Go(func() {
		batch := append(queryWithFields(1, "SELECT 1"), queryWithFields(2, "SELECT 1")...)
		for {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
	})
	begun := time.Now()
	s.stop()
	if took := time.Since(begun); took > 5*time.Second { // far longer than DrainIdle, draining input and lingering; the flood has no end
		t.Errorf("the shutdown took %v", took)
	}
	closeConn(t, c)
	group.Wait()
}

// Queries that are open when the frontend ends are answered before their connections are closed.
func TestOpenQueriesAreAnsweredAtShutdown(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	send(c, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	done := make(chan struct{})
	go func() { s.stop(); close(done) }()
	for _, q := range s.dispatcher.open { // without lock: no event is posted any more
		q.Client.Answer(servedRows(1000))
	}
	if got := c.until('Z'); strings.Count(got, "D") != 1000 {
		t.Errorf("%d rows of 1000", strings.Count(got, "D"))
	}
	<-done
}
