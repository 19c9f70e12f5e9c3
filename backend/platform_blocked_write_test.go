package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"embershunt/policy"
)

// signallingConn signals that a write begins.
type signallingConn struct {
	net.Conn
	writing chan struct{}
}

// Write implements net.Conn.
func (c signallingConn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	return c.Conn.Write(b)
}

// blockedAttempt sends the attempt "id" to a node that does not read, and returns the node's side of the connection.
func blockedAttempt(t *testing.T, f *platformFleet) (node net.Conn) {
	t.Helper()
	ours, node := net.Pipe() // holds no byte: a write lasts until it is read
	conn := signallingConn{ours, make(chan struct{}, 10)}
	f.dialPlatform = func(context.Context, string) (net.Conn, error) { return conn, nil }
	f.send("id", 0, "n0", 5*time.Second)
	<-conn.writing
	return node
}

// A request whose write blocks must not reach its node when the client has left meanwhile, and a bit of it less: nothing was sent.
func TestBlockedRequestOfAClientThatLeft(t *testing.T) {
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	node := blockedAttempt(t, f)
	defer func() { _ = node.Close() }()
	f.Cancel("q-id", 0)
	const clientLimit = 100 * time.Millisecond // after which no attempt may begin for a client that has left
	_ = node.SetReadDeadline(time.Now().Add(2 * clientLimit))
	<-time.After(clientLimit)
	if n, err := node.Read(make([]byte, 1000)); n > 0 || err == nil {
		t.Errorf("the node got %d bytes (%v)", n, err)
	}
	if end := f.end(); end.Code != policy.NeverSent {
		t.Errorf("code %d (%v), want %d", end.Code, end.Err, policy.NeverSent)
	}
}

// A request whose write blocks is given up at the 50 ms by which every limit is extended; the node reads when they are long over.
func TestBlockedRequestIsGivenUp(t *testing.T) {
	const limitSlack = 50 * time.Millisecond
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	node := blockedAttempt(t, f)
	defer func() { _ = node.Close() }()
	<-time.After(2 * limitSlack)
	_ = node.SetReadDeadline(time.Now().Add(6 * limitSlack))
	if n, err := node.Read(make([]byte, 1000)); n > 0 || err == nil {
		t.Errorf("the node got %d bytes (%v)", n, err)
	}
	f.Cancel("q-id", 0)
	f.end()
}
