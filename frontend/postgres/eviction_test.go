package postgres

import (
	"testing"
	"time"

	"embershunt/dispatch"
)

// At the bound on sessions silent connections are evicted, those with an open query never; where all have one, a new connection is rejected
// with the message that nothing was read.
func TestTooManyConnections(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 4, BeginTimeout: time.Minute}, nil)
	busy := s.session()
	send(busy, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	for range 20 { // silent ones
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
		t.Errorf("one too many: %s", got)
	}
	if open, rejected, _ := s.front.Counts(); open != 4 || rejected != 1 {
		t.Errorf("%d open, %d rejected", open, rejected)
	}
}

// In a flood of clients that send one query and stay, a client that has just connected is not the one to be evicted: its query is on its
// way, while an idle client only has to connect again.
func TestNewSessionsAreNotEvictedFirst(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 8, BeginTimeout: time.Minute}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true })
	for i := range 60 {
		fresh := s.session()
		for j := range 3 { // each sends one query and stays
			c := s.session()
			send(c, queryWithFields(10*i+j, "SELECT 1"))
			if got := c.until('Z'); got != "TCZ" {
				t.Fatalf("client %d.%d: %s", i, j, got)
			}
		}
		send(fresh, queryWithFields(10*i+9, "SELECT 1"))
		if got := fresh.until('Z'); got != "TCZ" {
			t.Fatalf("the newcomer %d: %s", i, got)
		}
	}
}

// Where all sessions are busy a client can still cancel its query, and a new connection is rejected with the message that nothing was
// read, whatever it has sent.
func TestCancelAtTheBound(t *testing.T) {
	s := startServer(t, Options{MaxSessions: 1}, nil)
	busy := s.session()
	send(busy, queryWithFields(1, "SELECT 1"))
	s.waitForOpen(1)
	for range 50 {
		c := s.connect()
		send(c, append(append([]byte{}, startupMessage...), queryWithFields(2, "SELECT 1")...))
		if got := c.until('Z'); got != "E(53300)." {
			t.Fatalf("a newcomer got %s", got)
		}
	}
	c := s.connect()
	send(c, cancelRequest(busy.key))
	if got := busy.until('Z'); got != "E(57014)Z" {
		t.Errorf("%s", got)
	}
}
