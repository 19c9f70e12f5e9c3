package backend

import (
	"fmt"
	"testing"
	"time"

	"embershunt/internal/lineproto"
	"embershunt/policy"
	"embershunt/simulated"
)

// An id is remembered while an attempt of its request may start or a late answer may arrive, which bounds how many ids are kept.
func TestRequestIDs(t *testing.T) {
	const deadline policy.Micros = 5_000_000
	var ids requestIDs
	ids.add("a", 0, deadline)
	ids.add("b", deadline+lateAnswerTime-1, 2*deadline)
	if !ids.contains("a") || !ids.contains("b") || ids.contains("c") {
		t.Errorf("%+v, want a and b", ids)
	}
	ids.add("c", deadline+lateAnswerTime, 2*deadline)
	if ids.contains("a") || ids.size() != 2 {
		t.Errorf("%+v, want b and c", ids)
	}
	for i := range 100_000 {
		now := policy.Micros(i) * 1000
		ids.add(fmt.Sprint(i), now, now+deadline)
	}
	if most := int((deadline + lateAnswerTime) / 1000); ids.size() > most || len(ids.expiresAt) != ids.size() {
		t.Errorf("%d ids, %d expiry times; want at most %d", ids.size(), len(ids.expiresAt), most)
	}
}

// A connection that has carried maxCarriedIDs requests is replaced by a new one.
func TestConnectionIsReplacedAtMaxCarriedIDs(t *testing.T) {
	node, err := simulated.NewPlatformNode("", answering(string(lineproto.Data), "total=1", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	f := newPlatformFleet(t, Options{}, node.Address())
	for i := range maxCarriedIDs + 1 {
		f.send(fmt.Sprint(i), 0, "n0", 5*time.Second)
		if end := f.end(); end.Code != policy.OK {
			t.Fatalf("request %d: code %d (%v)", i, end.Code, end.Err)
		}
	}
	if node.Accepted() != 2 {
		t.Errorf("%d connections, want 2", node.Accepted())
	}
}
