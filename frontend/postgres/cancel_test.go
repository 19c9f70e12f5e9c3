package postgres

import (
	"net"
	"testing"
	"time"

	"embershunt/internal/pgwire"
)

// The dispatcher is notified, once, of a client that cancels its query with the session's key or closes the connection. A cancel with
// another key has no effect.
func TestClientsThatDisconnect(t *testing.T) {
	s := startServer(t, Options{}, nil)
	wait := func() string {
		select {
		case id := <-s.dispatcher.disconnected:
			return id[14:]
		case <-time.After(5 * time.Second):
			t.Fatal("no client was reported as disconnected")
			return ""
		}
	}
	cancel := func(k pgwire.Key) {
		c := s.connect()
		send(c, cancelRequest(k))
		if _, err := c.r.ReadByte(); err == nil {
			t.Error("a cancel was answered")
		}
	}
	a, b := s.session(), s.session()
	send(a, queryWithFields(1, "SELECT 1"))
	send(b, queryWithFields(2, "SELECT 1"))
	s.waitForOpen(2)
	cancel(pgwire.Key{Process: a.key.Process, Secret: a.key.Secret + 1})
	cancel(a.key)
	if id := wait(); id != "01" {
		t.Errorf("%s disconnected, want 01", id)
	}
	if got := a.until('Z'); got != "E(57014)Z" {
		t.Errorf("the cancelled query got %s", got)
	}
	closeConn(t, b)
	if id := wait(); id != "02" {
		t.Errorf("%s disconnected, want 02", id)
	}
	send(a, queryWithFields(3, "SELECT 1")) // the session continues
	s.waitForOpen(1)
}

// A client that disconnects or cancels with pipelined commands cancels all of them: the one that was submitted is reported as disconnected,
// and the others are never submitted.
func TestDisconnectCancelsPipelinedCommands(t *testing.T) {
	for name, disconnect := range map[string]func(s *testServer, c *client){
		"close":     func(_ *testServer, c *client) { closeConn(c.t, c) },
		"terminate": func(_ *testServer, c *client) { send(c, message('X', "")) },
		"cancel":    func(s *testServer, c *client) { s.frontend.cancel(c.key) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{}, nil)
			c := s.session()
			send(c, append(queryWithFields(1, "SELECT 1"), append(queryWithFields(2, "SELECT 1"), queryWithFields(3, "SELECT 1")...)...))
			s.waitForOpen(1)
			s.awaitSession(func(state *sessionState) bool { return len(state.commands) == 2 }) // both were read
			disconnect(s, c)
			if id := <-s.dispatcher.disconnected; id[14:] != "01" {
				t.Errorf("%s disconnected", id)
			}
			if name == "cancel" {
				if got := c.until('Z') + c.until('Z') + c.until('Z'); got != "E(57014)ZE(53000)ZE(53000)Z" {
					t.Errorf("answers %s", got)
				}
			}
			s.stop()
			if len(s.dispatcher.open) > 0 || len(s.dispatcher.disconnected) > 0 {
				t.Errorf("%d submitted after the client had disconnected", len(s.dispatcher.open)+len(s.dispatcher.disconnected))
			}
		})
	}
}

// A query that the client has sent and cancelled, and that was not read before the cancel, is not submitted when it is read.
func TestCancelBeforeItsQuery(t *testing.T) {
	s := startServer(t, Options{}, nil)
	c := s.session()
	open := s.gate.close()
	send(c, queryWithFields(1, "SELECT 1"))
	<-s.gate.held
	s.frontend.cancel(c.key)
	open()
	if got := c.until('Z'); got != "E(57014)Z" {
		t.Errorf("the cancelled query got %s", got)
	}
	s.waitForOpen(0)
}

// A CancelRequest is carried out even if its connection is evicted before the request was read.
func TestCancelOnAnEvictedConnection(t *testing.T) {
	s := startServer(t, Options{}, nil)
	a := s.session()
	send(a, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(t, l)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(t, client)
	send(client, cancelRequest(a.key))
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	evictedSession := newSession(s.frontend, conn.(clientConn), false)
	if !evictedSession.beginClose(evicted) {
		t.Fatal("the session does not close")
	}
	evictedSession.run()
	select {
	case id := <-s.dispatcher.disconnected:
		if id[14:] != "01" {
			t.Errorf("%s disconnected, want 01", id)
		}
	default:
		t.Error("the cancel was not carried out")
	}
}
