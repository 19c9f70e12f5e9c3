package backend

import (
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/policy"
)

// A node's start time is converted to the dispatcher's clock once. Converting it again for each list would give slightly different times,
// and a changed start time looks like a restart.
func TestStartIsConvertedOnce(t *testing.T) {
	f := New(Options{Clock: dispatch.NewClock()})
	recorder := eventRecorder{make(chan dispatch.Event, 100)}
	f.Bind(recorder)
	defer closeFleet(t, f)
	started := time.Now().Add(-time.Minute)
	seen := map[policy.Micros]bool{}
	for range 50 {
		if err := f.SetNodes([]nodelist.Node{{ID: "n", FlightSQLAddress: "127.0.0.1:1", Started: started}}); err != nil {
			t.Fatal(err)
		}
		seen[(<-recorder.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started] = true
	}
	if len(seen) != 1 {
		t.Errorf("one start time was reported as %d different ones", len(seen))
	}
	if err := f.SetNodes([]nodelist.Node{{ID: "n", FlightSQLAddress: "127.0.0.1:1", Started: started.Add(time.Second)}}); err != nil {
		t.Fatal(err)
	}
	if at := (<-recorder.events).(dispatch.PolicyEvent).Event.(policy.EndpointUpdate).Endpoints[0].Started; seen[at] {
		t.Error("a restart is reported with the old start time")
	}
}

// A wall clock that was stepped by an hour does not make a node that has just joined look old, or give it a start time in the future.
func TestStartsAreBoundedByThePreviousList(t *testing.T) {
	f := newPlatformFleet(t, Options{}, "127.0.0.1:1")
	listed := f.clock.Now()
	rows := []nodelist.Node{{ID: "n0", PlatformAddress: "127.0.0.1:1"},
		{ID: "old", PlatformAddress: "127.0.0.1:2", Started: time.Now().Add(-time.Hour)},
		{ID: "future", PlatformAddress: "127.0.0.1:3", Started: time.Now().Add(time.Hour)},
		{ID: "recent", PlatformAddress: "127.0.0.1:4", Started: time.Now().Add(-time.Second)}}
	if err := f.SetNodes(rows); err != nil {
		t.Fatal(err)
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.nodes["old"].startedAt; at < listed-maxListDelay.Microseconds()-100_000 {
		t.Errorf("node old: started %v ago", time.Duration(now-at)*time.Microsecond)
	}
	if at := f.nodes["future"].startedAt; at > now {
		t.Errorf("node future: starts %v from now", time.Duration(at-now)*time.Microsecond)
	}
	if age := now - f.nodes["recent"].startedAt; age < 900_000 || age > 2_000_000 {
		t.Errorf("node recent: started a second ago, but is %d us old", age)
	}
	if f.nodes["n0"].startedAt != 0 {
		t.Error("node n0: a start time is reported, though it is unknown")
	}
}
