package postgres

import (
	"testing"
	"time"

	"embershunt/dispatch"
)

// At the bound on sessions, sessions without a query are evicted, and those with an open query never. If all have an open query, a new
// connection is rejected with the code for too many connections.
func TestTooManyConnections(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 4, BeginTimeout: time.Minute}, nil)
	busy := s.session()
	send(busy, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	for range 20 { // they send nothing
		s.connect()
	}
	other := s.session()
	send(other, queryWithFields(2, "SELECT 1"))
	s.waitForOpen(2)
	for i := range 2 {
		c := s.session()
		send(c, queryWithFields(3+i, "SELECT 1"))
		s.waitForOpen(3 + i)
	}
	if got := s.connect().until('Z'); got != "E(53300)." {
		t.Errorf("the connection above the bound got %s", got)
	}
	if open, rejected, _ := s.frontend.Counts(); open != 4 || rejected != 1 {
		t.Errorf("%d open, %d rejected", open, rejected)
	}
}

// At the bound on sessions, an idle session is evicted before one that has just been opened: the new client's query may be on its way,
// while the idle client only has to connect again. Without that order, a flood of clients that send one query and stay starves new clients.
func TestNewSessionsAreNotEvictedFirst(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 8, BeginTimeout: time.Minute},
		func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true })
	for i := range 60 {
		fresh := s.session()
		for j := range 3 { // each sends one query and stays connected
			c := s.session()
			send(c, queryWithFields(10*i+j, "SELECT 1"))
			if got := c.until('Z'); got != "TCZ" {
				t.Fatalf("client %d.%d: %s", i, j, got)
			}
		}
		send(fresh, queryWithFields(10*i+9, "SELECT 1"))
		if got := fresh.until('Z'); got != "TCZ" {
			t.Fatalf("new client %d: %s", i, got)
		}
	}
}

// At the bound on sessions, with an open query on each, a client can still cancel its query. Any other new connection is rejected with the
// code for too many connections, whatever it has sent.
func TestCancelAtTheBound(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 1}, nil)
	busy := s.session()
	send(busy, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	for range 50 {
		c := s.connect()
		send(c, append(append([]byte{}, startupMessage...), queryWithFields(2, "SELECT 1")...))
		if got := c.until('Z'); got != "E(53300)." {
			t.Fatalf("a new client got %s", got)
		}
	}
	c := s.connect()
	send(c, cancelRequest(busy.key))
	if got := busy.until('Z'); got != "E(57014)Z" {
		t.Errorf("the cancelled query got %s", got)
	}
}
