package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"embershunt/policy"
)

// signallingConn signals on writing when a write begins.
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
	ours, node := net.Pipe() // unbuffered: a write blocks until it is read
	conn := signallingConn{ours, make(chan struct{}, 10)}
	f.dialPlatform = func(context.Context, string) (net.Conn, error) { return conn, nil }
	f.send("id", 0, "n0", 5*time.Second)
	<-conn.writing
	return node
}

// If the client disconnects while the write of its request blocks, no byte of the request may reach the node, and the attempt is reported
// as never sent.
func TestBlockedRequestOfDisconnectedClient(t *testing.T) {
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	node := blockedAttempt(t, f)
	defer func() { _ = node.Close() }()
	f.Cancel("q-id", 0)
	const disconnectSlack = 100 * time.Millisecond // no attempt may start this long after its client has disconnected
	_ = node.SetReadDeadline(time.Now().Add(2 * disconnectSlack))
	<-time.After(disconnectSlack)
	if n, err := node.Read(make([]byte, 1000)); n > 0 || err == nil {
		t.Errorf("the node received %d bytes (%v)", n, err)
	}
	if end := f.end(); end.Code != policy.NeverSent {
		t.Errorf("code %d (%v), want %d", end.Code, end.Err, policy.NeverSent)
	}
}

// A request whose write blocks is abandoned after 50 ms, the time by which package permit extends the deadline and the dedup window: a
// node that reads only later receives nothing.
func TestBlockedRequestTimesOut(t *testing.T) {
	const deadlineSlack = 50 * time.Millisecond
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	node := blockedAttempt(t, f)
	defer func() { _ = node.Close() }()
	<-time.After(2 * deadlineSlack)
	_ = node.SetReadDeadline(time.Now().Add(6 * deadlineSlack))
	if n, err := node.Read(make([]byte, 1000)); n > 0 || err == nil {
		t.Errorf("the node received %d bytes (%v)", n, err)
	}
	f.Cancel("q-id", 0)
	f.end()
}
