package backend

import (
	"net"
	"sync"
	"testing"
	"time"

	"embershunt/policy"
	"embershunt/simulated"
)

// lateNode answers the first attempt of a request so that the attempt fails. When the next attempt arrives it sends another answer to the
// first one before it answers the new one.
type lateNode struct {
	first, late string // the answer to the first attempt, and the one sent when the next attempt arrives

	mu        sync.Mutex
	firstConn net.Conn // connection of the first attempt
	attempts  int
}

// handle implements nodeBehavior.
func (l *lateNode) handle(c net.Conn, cmd simulated.PlatformCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cmd.Verb == "PAGE" && cmd.Number == 1:
		reply(c, simulated.PlatformAnswer(cmd.ID, "failed", "", ""))
	case cmd.Verb != "GET":
	case l.attempts == 0:
		l.attempts, l.firstConn = 1, c
		reply(c, l.first)
	default:
		l.attempts++
		reply(l.firstConn, l.late)
		reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
	}
}

// A retry at the same node has the same request id. A late answer to the earlier attempt must not be taken for the retry's answer,
// whether it is an error, which would start another attempt while the retry runs, rows, or the statement that nothing ran.
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
	failed := simulated.PlatformAnswer("id", "failed", "", "")
	threePages := simulated.PlatformAnswer("id", "data", "total=3", "x\ty\tz\n")
	for name, node := range map[string]*lateNode{
		"a second error for a page": {first: threePages, late: failed},
		"an error again":            {first: failed, late: failed},
		"rows after an error":       {first: failed, late: simulated.PlatformAnswer("id", "data", "total=1", "x\ty\tz\n")},
		"at capacity again": {first: simulated.PlatformAnswer("id", "full", "", ""),
			late: simulated.PlatformAnswer("id", "full", "", "")},
		"expired again": {first: simulated.PlatformAnswer("id", "moot", "", ""),
			late: simulated.PlatformAnswer("id", "moot", "", "")},
		"a page": {first: threePages, late: simulated.PlatformAnswer("id", "page", "index=1", "x\ty\tz\n")},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := simulated.NewPlatformNode("", node.handle)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			f := newPlatformFleet(t, Options{}, server.Address())
			f.send("id", 0, "n0", time.Second)
			if end := f.end(); end.Code == policy.OK {
				t.Fatal("the first attempt succeeded")
			}
			f.send("id", 1, "n0", time.Second)
			if end := f.end(); end.Code != policy.OK || rowsOf(end.Result) != "a|b|c;" {
				t.Errorf("code %d (%v), rows %q; want %d, the rows of the second attempt", end.Code, end.Err, rowsOf(end.Result), policy.OK)
			}
		})
	}
}

// As TestLateAnswerOfEarlierAttempt, but all attempts share one connection because MaxPlatformConns is reached. The retry is not sent, as
// the connection has carried the earlier attempt.
func TestLateAnswerOnASharedConnection(t *testing.T) {
	failed := simulated.PlatformAnswer("id", "failed", "", "")
	node := &lateNode{first: failed, late: failed}
	held := make(chan struct{})
	server, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
		if cmd.ID == "id" {
			node.handle(c, cmd)
		} else if cmd.Verb == "GET" {
			close(held)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	f := newPlatformFleet(t, Options{MaxPlatformConns: 1}, server.Address())
	f.send("other", 0, "n0", 5*time.Second) // holds the connection
	<-held
	f.send("id", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.Failed {
		t.Fatalf("the first attempt: code %d (%v)", end.Code, end.Err)
	}
	f.send("id", 1, "n0", time.Second)
	if end := f.end(); end.Code != policy.NeverSent {
		t.Errorf("code %d (%v), want %d: the only connection has carried the earlier attempt", end.Code, end.Err, policy.NeverSent)
	}
	f.Cancel("q-other", 0)
	f.end()
}

// A retry at the node of a cancelled attempt waits until the node has read the cancel. The cancel names the request, so a node that reads
// the cancel after the retry would cancel the retry.
func TestRetryWaitsForCancelOfEarlierAttempt(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"the node reads the cancel late": 5 * time.Second,
		"the node never reads the cancel": 5 * time.Second, "the deadline passes first": 20 * time.Millisecond} {
		nodeReads := name == "the node reads the cancel late"
		t.Run(name, func(t *testing.T) {
			got, read := make(chan struct{}, 2), make(chan struct{})
			node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
				switch {
				case cmd.Verb == "PING":
					reply(c, simulated.PlatformAnswer(cmd.ID, "well", "", ""))
				case cmd.Verb != "GET":
				case len(got) == 0: // reads no further command until read is closed
					got <- struct{}{}
					<-read
				default:
					reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", ""))
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer node.Close()
			f := newPlatformFleet(t, Options{}, node.Address())
			f.send("id", 0, "n0", 5*time.Second)
			for len(got) == 0 {
				time.Sleep(time.Millisecond)
			}
			f.Cancel("q-id", 0)
			f.end()
			f.send("id", 1, "n0", timeout)
			want := policy.NeverSent
			if nodeReads {
				want = policy.OK
				close(read)
			} else {
				defer close(read)
			}
			if end := f.end(); end.Code != want {
				t.Errorf("code %d (%v), want %d", end.Code, end.Err, want)
			}
			cancelled := false
			for _, cmd := range node.Commands()[1:] {
				cancelled = cancelled || cmd.Verb == "DROP"
				if cmd.Verb == "GET" && !cancelled {
					t.Errorf("the retry came before the cancel: %v", node.Commands())
				}
			}
		})
	}
}
