package backend

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/permit"
	"embershunt/policy"
	"embershunt/simulated"
)

// An error of this machine at a connect tells nothing of the node and proves that nothing ran; a refused connection is the node's.
func TestLocalConnectErrors(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Code{syscall.EMFILE: policy.NeverSent, syscall.ENFILE: policy.NeverSent, syscall.ENOBUFS: policy.NeverSent,
		syscall.EADDRNOTAVAIL: policy.NeverSent, syscall.ENETUNREACH: policy.NeverSent, syscall.ECONNREFUSED: policy.ConnectionRefused,
		syscall.EHOSTUNREACH: policy.ConnectionRefused, syscall.ETIMEDOUT: policy.ConnectionRefused} {
		f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
		f.dialPlatform = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		f.send("id", 0, "n0", time.Second)
		if end := f.end(); end.Code != want {
			t.Errorf("%v: code %d (%v), want %d", errno, end.Code, end.Err, want)
		}
		if n := f.PlatformConns(); n != 0 {
			t.Errorf("%v: %d connections on the books", errno, n)
		}
	}
}

// What was withheld is counted by reason; what begins against a rule is a violation.
func TestAttemptsAreAudited(t *testing.T) {
	node, err := simulated.NewLineNode("", func(conn net.Conn, cmd simulated.LineCommand) {
		if cmd.Verb == "GET" {
			fmt.Fprint(conn, simulated.LineAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{DrainGrace: time.Millisecond}, node.Address())
	f.send("one", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.OK || len(f.Audit().Counts()) != 0 {
		t.Fatalf("code %d (%v), counts %v", end.Code, end.Err, f.Audit().Counts())
	}
	f.SetNodes([]nodelist.Node{{ID: "n0", Platform: node.Address(), State: policy.Draining}})
	f.send("two", 0, "n0", time.Second)
	if end := f.end(); end.Code != policy.NeverSent || f.Audit().Withheld(permit.Draining) != 1 || f.Audit().Violated(permit.Draining) != 0 {
		t.Errorf("code %d (%v), counts %v", end.Code, end.Err, f.Audit().Counts())
	}
	n := f.acquire("n0")
	defer f.release(n)
	a := &attempt{fleet: f.Fleet}
	a.spec.Query, a.spec.Deadline = &dispatch.Query{ID: "q"}, f.clock.Now()+1e6
	n.drainNotifiedAt.Store(f.clock.Now() - 1e6)
	if a.auditStart(n); f.Audit().Violated(permit.Draining) != 1 {
		t.Errorf("counts %v", f.Audit().Counts())
	}
}

// A wall clock that steps by an hour does not make a node that has just joined look old, nor one look as if it had yet to start.
func TestStartsAreBoundedByTheListsBefore(t *testing.T) {
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	listed := f.clock.Now()
	rows := []nodelist.Node{{ID: "n0", Platform: "127.0.0.1:1"}, {ID: "old", Platform: "127.0.0.1:2", Started: time.Now().Add(-time.Hour)},
		{ID: "early", Platform: "127.0.0.1:3", Started: time.Now().Add(time.Hour)}, {ID: "true", Platform: "127.0.0.1:4", Started: time.Now().Add(-time.Second)}}
	if err := f.SetNodes(rows); err != nil {
		t.Fatal(err)
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.nodes["old"].startedAt; at < listed-maxListDelay.Microseconds()-100_000 {
		t.Errorf("started %v ago", time.Duration(now-at)*time.Microsecond)
	}
	if at := f.nodes["early"].startedAt; at > now {
		t.Errorf("starts %v from now", time.Duration(at-now)*time.Microsecond)
	}
	if age := now - f.nodes["true"].startedAt; age < 900_000 || age > 2_000_000 {
		t.Errorf("one that started a second ago is %d us old", age)
	}
	if f.nodes["n0"].startedAt != 0 {
		t.Error("a start that is not told is told")
	}
}
