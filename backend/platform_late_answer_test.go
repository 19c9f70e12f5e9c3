package backend

import (
	"net"
	"sync"
	"testing"
	"time"

	"embershunt/policy"
	"embershunt/simulated"
)

// lateNode answers the first attempt of a request with an error, and repeats a line about it when the next attempt is there, before it
// answers that.
type lateNode struct {
	first, late string // what the first attempt is answered with, and what comes late

	mu       sync.Mutex
	earlier  net.Conn // of the first attempt
	attempts int
}

// handle is a nodeBehavior.
func (l *lateNode) handle(c net.Conn, cmd simulated.PlatformCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cmd.Verb == "PAGE" && cmd.N == 1:
		reply(c, simulated.PlatformAnswer(cmd.ID, "failed", "", ""))
	case cmd.Verb != "GET":
	case l.attempts == 0:
		l.attempts, l.earlier = 1, c
		reply(c, l.first)
	default:
		l.attempts++
		reply(l.earlier, l.late)
		reply(c, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
	}
}

// A retry goes to the same node under the same id. A line about the attempt before it that comes late must not be taken for the
// retry's answer: not an error, which would open another attempt beside it, not rows, not the claim that nothing ran.
func TestLateAnswerOfTheAttemptBefore(t *testing.T) {
	failed := simulated.PlatformAnswer("id", "failed", "", "")
	threePages := simulated.PlatformAnswer("id", "data", "total=3", "x\ty\tz\n")
	for name, node := range map[string]*lateNode{
		"a second lost page": {first: threePages, late: failed},
		"an error again":     {first: failed, late: failed},
		"rows after all":     {first: failed, late: simulated.PlatformAnswer("id", "data", "total=1", "x\ty\tz\n")},
		"full again":         {first: simulated.PlatformAnswer("id", "full", "", ""), late: simulated.PlatformAnswer("id", "full", "", "")},
		"expired again":      {first: simulated.PlatformAnswer("id", "moot", "", ""), late: simulated.PlatformAnswer("id", "moot", "", "")},
		"a page":             {first: threePages, late: simulated.PlatformAnswer("id", "page", "index=1", "x\ty\tz\n")},
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
				t.Fatal("the first attempt ended well")
			}
			f.send("id", 1, "n0", time.Second)
			if end := f.end(); end.Code != policy.OK || rowsOf(end.Result) != "a|b|c;" {
				t.Errorf("code %d (%v), rows %q; want %d, the rows of the second attempt", end.Code, end.Err, rowsOf(end.Result), policy.OK)
			}
		})
	}
}

// As above where all attempts share one connection, since descriptors have run out.
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
		t.Errorf("code %d (%v), want %d: no connection is free of the attempt before", end.Code, end.Err, policy.NeverSent)
	}
	f.Cancel("q-other", 0)
	f.end()
}

// A retry at the node of an attempt that was cancelled waits until the node has read the cancel, which names the request: read behind the
// retry it would cancel that.
func TestRetryWaitsForTheCancelBefore(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"the node reads it late": 5 * time.Second, "the node reads no more": 5 * time.Second,
		"the deadline comes first": 20 * time.Millisecond} {
		reads := name == "the node reads it late"
		t.Run(name, func(t *testing.T) {
			got, read := make(chan struct{}, 2), make(chan struct{})
			node, err := simulated.NewPlatformNode("", func(c net.Conn, cmd simulated.PlatformCommand) {
				switch {
				case cmd.Verb == "PING":
					reply(c, simulated.PlatformAnswer(cmd.ID, "well", "", ""))
				case cmd.Verb != "GET":
				case len(got) == 0: // reads on when it is told to
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
			if reads {
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
