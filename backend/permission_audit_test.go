package backend

import (
	"net"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/permit"
	"embershunt/policy"
	"embershunt/simulated"
)

// An attempt that is not permitted is withheld and counted by reason. An attempt that has started in violation of a rule is counted as a
// violation.
func TestAttemptsAreAudited(t *testing.T) {
	node, err := simulated.NewPlatformNode("", func(conn net.Conn, cmd simulated.PlatformCommand) {
		if cmd.Verb == "GET" {
			reply(conn, simulated.PlatformAnswer(cmd.ID, "data", "total=1", "a\tb\tc\n"))
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
	f.setNodes([]nodelist.Node{{ID: "n0", PlatformAddress: node.Address(), State: policy.Draining}})
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
