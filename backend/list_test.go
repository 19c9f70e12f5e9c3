package backend

import (
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/policy"
)

// A node's start is the same by the dispatcher's clock in every list that has it: another one would look like a restart.
func TestStartIsConvertedOnce(t *testing.T) {
	f := New(Options{Clock: dispatch.NewClock()})
	recorder := eventRecorder{make(chan dispatch.Event, 100)}
	f.Bind(recorder)
	defer closeFleet(t, f)
	started := time.Now().Add(-time.Minute)
	seen := map[policy.Micros]bool{}
	for range 50 {
		if err := f.SetNodes([]nodelist.Node{{ID: "n", Address: "127.0.0.1:1", Started: started}}); err != nil {
			t.Fatal(err)
		}
		seen[(<-recorder.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started] = true
	}
	if len(seen) != 1 {
		t.Errorf("one start, reported as %d", len(seen))
	}
	if err := f.SetNodes([]nodelist.Node{{ID: "n", Address: "127.0.0.1:1", Started: started.Add(time.Second)}}); err != nil {
		t.Fatal(err)
	}
	if at := (<-recorder.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started; seen[at] {
		t.Error("another start is reported as the old one")
	}
}

// A wall clock that steps by an hour does not make a node that has just joined look old, nor one look as if it had yet to start.
func TestStartsAreBoundedByThePreviousList(t *testing.T) {
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
		t.Error("an unknown start is reported")
	}
}
