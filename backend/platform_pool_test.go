package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// Checks the outcomes of attempts whose connections fail, and which of them prove that nothing ran: no process listens, a new connection is
// reset, the node has closed a pooled connection.
func TestOutcomesOfPlatformConnections(t *testing.T) {
	serve := func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
		}
	}
	node, err := simulated.NewPlatformNode("", serve)
	if err != nil {
		t.Fatal(err)
	}
	address := node.Address()
	f := newPlatformFleet(t, Options{}, address)
	dialsToReset := 2
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		if dialsToReset--; dialsToReset >= 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
		}
		return dialTCP(ctx, address)
	}
	f.send("a", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.OK {
		t.Errorf("two new connections were reset: code %d (%v)", end.Code, end.Err)
	}
	dialsToReset = maxPlatformConnAttempts
	f.send("b", 0, "n0", time.Second) // on the pooled connection
	if end := f.end(); end.Code != policy.OK || node.Accepted() != 1 {
		t.Errorf("code %d (%v), %d connections", end.Code, end.Err, node.Accepted())
	}
	f.send("c", 0, "unlisted", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused {
		t.Errorf("a node that is not listed: code %d", end.Code)
	}
	node.Close()
	dialsToReset = 0
	f.send("d", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused && end.Code != policy.ConnectionReset {
		t.Errorf("nobody listens: code %d (%v)", end.Code, end.Err)
	}
	f.send("e", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.ConnectionRefused {
		t.Errorf("nobody listens: code %d (%v)", end.Code, end.Err)
	}
	if node, err = simulated.NewPlatformNode(address, serve); err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f.send("f", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.OK {
		t.Errorf("the node listens again: code %d (%v)", end.Code, end.Err)
	}
}

// Health checks count against MaxPlatformConns, and a connection that was closed makes room at once.
func TestEveryConnectionIsCounted(t *testing.T) {
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	other, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, node.Address(), other.Address())
	dialled := make(chan int64, 1)
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		dialled <- f.PlatformConns()
		return dialTCP(ctx, address)
	}
	f.HealthCheck("n0")
	if n := <-dialled; n != 1 {
		t.Errorf("%d connections counted while a health check connects, want 1", n)
	}
	for f.PlatformConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 { // each needs the room of the other node's idle connection
		f.send(fmt.Sprintf("r%d", i), 0, fmt.Sprintf("n%d", i%2), time.Second)
		if end := f.end(); end.Code != policy.OK {
			t.Fatalf("attempt %d: code %d (%v)", i, end.Code, end.Err)
		}
		<-dialled
	}
}

// Attempts share a connection only if MaxPlatformConns is reached, and at most MaxAttemptsPerConn of them share one.
func TestAttemptsShareConnectionsAtTheBound(t *testing.T) {
	lastReceived := make(chan struct{})
	node, err := simulated.NewPlatformNode("", func(_ net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" && cmd.ID == "last" {
			close(lastReceived)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 2, MaxAttemptsPerConn: 2}, node.Address())
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		if i == 3 {
			id = "last"
		}
		f.send(id, 0, "n0", 3*time.Second)
		for len(node.Commands()) < i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	<-lastReceived
	if node.Accepted() != 2 {
		t.Errorf("%d connections for 4 attempts, want 2", node.Accepted())
	}
	f.send("more", 0, "n0", 3*time.Second)
	if end := f.end(); end.Code != policy.NeverSent {
		t.Errorf("every connection is full: code %d (%v)", end.Code, end.Err)
	}
}

// A node that takes over the address of another one does not inherit its connections, and a node that was removed keeps none. The progress
// reports of the first attempt reach the policy.
func TestNodeAtTheAddressOfAnother(t *testing.T) {
	node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(c, simulated.PlatformAnswer(cmd.ID, "news", "why=p,datum=0.5", "")+
				simulated.PlatformAnswer(cmd.ID, "news", "why=w,datum=2", "")+
				simulated.PlatformAnswer(cmd.ID, "data", "total=1", ""))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{}, node.Address())
	f.send("a", 0, "n0", time.Second)
	f.end()
	want := []policy.Progress{{ID: "q-a", Endpoint: "n0", Kind: policy.FractionDone, Value: 0.5},
		{ID: "q-a", Endpoint: "n0", Kind: policy.WaitingForTables, Value: 2}}
	if fmt.Sprint(f.progress) != fmt.Sprint(want) {
		t.Errorf("progress %v, want %v", f.progress, want)
	}
	f.setNodes([]nodelist.Node{{ID: "n1", PlatformAddress: node.Address()}})
	f.send("b", 0, "n1", time.Second)
	if f.end(); node.Accepted() != 2 {
		t.Errorf("%d connections, want one for each node", node.Accepted())
	}
	f.setNodes(nil)
	for f.PlatformConns() > 0 { // until readers notice the end of their connections
		time.Sleep(time.Millisecond)
	}
	if f.nodes["n0"] != nil || f.nodes["n1"] != nil || len(f.attempts) > 0 {
		t.Error("removed nodes or their attempts are still recorded")
	}
}

// timeoutConn delays the return of the first read that times out until proceed is closed.
type timeoutConn struct {
	net.Conn
	timedOut, proceed chan struct{}
	once              sync.Once
}

// Read implements net.Conn.
func (c *timeoutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(func() {
			close(c.timedOut)
			<-c.proceed
		})
	}
	return n, err
}

// The idle timeout of a connection may pass at the moment at which an attempt is added to it. The attempt must continue.
func TestIdleTimeoutAsAnAttemptIsAdded(t *testing.T) {
	node, err := simulated.NewPlatformNode("", answering("data", "total=1", "a\tb\tc\n"))
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{PlatformIdleTimeout: 10 * time.Millisecond}, node.Address())
	conn := &timeoutConn{timedOut: make(chan struct{}), proceed: make(chan struct{})}
	f.dialPlatform = func(ctx context.Context, address string) (net.Conn, error) {
		conn.Conn, err = dialTCP(ctx, address)
		return conn, err
	}
	f.send("a", 0, "n0", time.Second)
	f.end()
	<-conn.timedOut
	f.send("b", 0, "n0", time.Second)
	for len(node.Commands()) < 2 {
		time.Sleep(time.Millisecond)
	}
	close(conn.proceed)
	if end := f.end(); end.Code != policy.OK || node.Accepted() != 1 {
		t.Errorf("code %d (%v), %d connections; want %d on the first connection", end.Code, end.Err, node.Accepted(), policy.OK)
	}
}
