package postgres

import (
	"net"
	"strings"
	"testing"
	"time"
)

// Commands that a client sends at once, so many that the last ones stay in the socket while the first one is open.
const (
	floodCommands      = 60
	floodCommandLength = 1500
)

// flood sends floodCommands commands at once, and waits until the first one is open and the reader is held back, with unread commands
// before it. The function that it returns lets the reader go on.
func (s *testServer) flood(c *client) (open func()) {
	s.t.Helper()
	statement := "SELECT '" + strings.Repeat("x", floodCommandLength) + "'"
	send(c, queryWithFields(0, statement))
	s.waitForOpen(1)
	open = s.gate.close()
	var messages []byte
	for i := range floodCommands - 1 {
		messages = append(messages, queryWithFields(i+1, statement)...)
	}
	send(c, messages)
	<-s.gate.held
	return open
}

// expectDisconnected waits until the client of the query with an id is reported as disconnected.
func (s *testServer) expectDisconnected(id string) {
	s.t.Helper()
	select {
	case got := <-s.dispatcher.disconnected:
		if got != id {
			s.t.Errorf("the client of %s disconnected, want %s", got, id)
		}
	case <-time.After(5 * time.Second):
		s.t.Fatal("the client was not reported as disconnected")
	}
}

// expectNoneSubmitted ends the frontend and fails if a query was submitted after those that the test has seen.
func (s *testServer) expectNoneSubmitted() {
	s.t.Helper()
	s.dispatcher.stop()
	s.stop()
	if n := s.dispatcher.rejected + len(s.dispatcher.disconnected); n > 0 {
		s.t.Errorf("%d submitted after the client had gone", n)
	}
}

// Guards against attempts for a client that has closed its connection while commands of it were unread: the session did not see the end
// of the connection as long as its queue was full.
func TestCloseBehindUnreadCommands(t *testing.T) {
	for name, disconnect := range map[string]func(c *client) error{
		"close":        func(c *client) error { return c.Close() },
		"reset":        func(c *client) error { _ = c.Conn.(*net.TCPConn).SetLinger(0); return c.Close() },
		"sending side": func(c *client) error { return c.Conn.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{}, nil)
			c := s.session()
			open := s.flood(c)
			if err := disconnect(c); err != nil {
				t.Fatal(err)
			}
			open()
			s.expectDisconnected("0000000000000000")
			s.expectNoneSubmitted()
		})
	}
}

// Guards against attempts for a client that has cancelled while commands of it were unread: the cancel applied only to those that had been
// read. A command that the client sends after its answers is executed.
func TestCancelBeforeUnreadCommands(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	open := s.flood(c)
	s.frontend.cancel(c.key)
	open()
	s.expectDisconnected("0000000000000000")
	if got := c.until('Z'); got != "E(57014)Z" {
		t.Errorf("the open command got %s", got)
	}
	for i := range floodCommands - 1 {
		if got := c.until('Z'); got != "E(53000)Z" {
			t.Fatalf("command %d got %s", i+1, got)
		}
	}
	send(c, queryWithFields(floodCommands, "SELECT 1"))
	s.waitForOpen(1)
	s.frontend.cancel(c.key)
	s.expectDisconnected("000000000000003c")
	s.expectNoneSubmitted()
}

// Guards against an attempt for a command of which a part had arrived before the client cancelled.
func TestCancelBeforeTheEndOfACommand(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	second := queryWithFields(2, "SELECT 1")
	send(c, append(queryWithFields(1, "SELECT 1"), second[:len(second)/2]...))
	s.waitForOpen(1)
	s.awaitSession(func(state *sessionState) bool { return state.receiving && state.phase == working })
	s.frontend.cancel(c.key)
	s.expectDisconnected("0000000000000001")
	if got := c.until('Z'); got != "E(57014)Z" {
		t.Errorf("the open command got %s", got)
	}
	send(c, second[len(second)/2:])
	if got := c.until('Z'); got != "E(53000)Z" {
		t.Errorf("the command that was half received got %s", got)
	}
	s.expectNoneSubmitted()
}

// Guards against attempts for commands that arrived together, none of which had been read when their client cancelled.
func TestCancelBeforeItsCommands(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	open := s.gate.close()
	var messages []byte
	for i := range 3 {
		messages = append(messages, queryWithFields(i, "SELECT 1")...)
	}
	send(c, messages)
	<-s.gate.held
	s.frontend.cancel(c.key)
	open()
	if got := c.until('Z') + c.until('Z') + c.until('Z'); got != "E(57014)ZE(53000)ZE(53000)Z" {
		t.Errorf("answers %s", got)
	}
	s.expectNoneSubmitted()
}

// Cancelled commands take no memory, however many a client sends.
func TestCancelledCommandsTakeNoRoom(t *testing.T) {
	const sent = 1280
	s := sessionState{phase: working}
	now := time.Now()
	s.cancelCommands(true, now)
	for range sent {
		c := command{text: strings.Repeat("x", maxQueuedBytes), receivedAt: now}
		if !s.push(c, false) || s.mustWait() {
			t.Fatal("a cancelled command waits for room")
		}
	}
	if len(s.commands) > 1 || s.heldBytes() > 0 {
		t.Errorf("%d entries and %d bytes queued", len(s.commands), s.heldBytes())
	}
	for i := range sent {
		if c, ok := s.pop(); !ok || c.status != cancelledInQueue {
			t.Fatalf("command %d: %+v, %v", i, c, ok)
		}
	}
	if c, ok := s.pop(); ok {
		t.Errorf("one command too many: %+v", c)
	}
}

// The client's input is current again once a read that began after the cancel has found the socket empty, or after cancelWindow.
func TestEndOfCancelledInput(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		steps func(c *cancelState)
		want  commandStatus
	}{
		"a read that began before the cancel": {func(c *cancelState) { c.endRead() }, cancelledInQueue},
		"a read that began after the cancel":  {func(c *cancelState) { c.beginRead(); c.endRead() }, notCancelled},
		"another cancel":                      {func(c *cancelState) { c.beginRead(); c.begin(true, now); c.endRead() }, cancelledInQueue},
		"a message within the window":         {func(c *cancelState) { c.limitInput(now.Add(cancelWindow - 1)) }, cancelledInQueue},
		"a message after the window":          {func(c *cancelState) { c.limitInput(now.Add(cancelWindow)) }, notCancelled},
	} {
		var s cancelState
		s.begin(true, now)
		c.steps(&s)
		if got := s.commandReceived(now.Add(time.Millisecond)); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
