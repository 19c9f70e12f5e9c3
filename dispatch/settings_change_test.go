package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"embershunt/policy"
)

// TestSettingsChangeBetweenSteps checks that a query classified with an older version of the settings gets the current indexes,
// that a query whose class was removed is rejected, and that a change is refused if it removes the class of a pending query or
// reuses a version.
func TestSettingsChangeBetweenSteps(t *testing.T) {
	calls := &callRecorder{}
	settings := func(classes ...string) policy.Settings {
		s := policy.Settings{Peers: 1, MaxAttempts: 1, Kinds: []policy.Kind{{Cores: 8}}}
		for _, c := range classes {
			s.Classes = append(s.Classes, policy.Class{Name: c, PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 1000 * ms})
		}
		return s
	}
	core, err := NewCore(1, settings("lookup", "report"), calls, calls)
	if err != nil {
		t.Fatal(err)
	}
	var errs []error
	change := func(v uint64, s policy.Settings) Event {
		return SettingsChange{v, s, func(err error) { errs = append(errs, err) }}
	}
	query := func(id string, version uint64, class int) Event {
		q := calls.query(id, 2000*ms)
		q.SettingsVersion, q.Class, q.Cost = version, class, ms
		return QueryReceived{q}
	}
	now := Micros(1e9)
	step := func(in ...Event) {
		t.Helper()
		now += ms
		for _, e := range in {
			if q, ok := e.(QueryReceived); ok {
				q.Query.Deadline += now
			}
		}
		if err := core.Step(now, in); err != nil {
			t.Fatal(err)
		}
	}
	step(PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "n"}}}}, query("a", 0, 1))
	step(change(1, settings("report", "load")), query("b", 0, 0), query("c", 0, 1), query("d", 1, 1))
	if got := core.PendingByClass(); got["report"] != 2 || got["load"] != 1 {
		t.Errorf("in flight: %v", got)
	}
	step(change(2, settings("load")), change(1, settings("load")))
	if errs[0] != nil || errs[1] == nil || errs[2] == nil {
		t.Errorf("the changes ended with %v; want accepted, refused (a removed class has pending queries), refused (version used before)",
			errs)
	}
	step(AttemptEnded{ID: "a", Code: policy.OK}, AttemptEnded{ID: "c", Code: policy.OK}, change(3, settings("load")))
	if errs[3] != nil {
		t.Errorf("removing a class without pending queries: %v", errs[3])
	}
	want := "send a/0 n; answer b refused CLASS_GONE; send c/0 n; send d/0 n; answer a served ; answer c served "
	if got := strings.Join(calls.lines, "; "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// BenchmarkChange measures how long a change of settings blocks the loop, by the number of pending queries.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("inflight=%d", n), func(b *testing.B) {
			calls := &answerCounter{}
			s := policy.Settings{Peers: 1, MaxAttempts: 3, Kinds: []policy.Kind{{Cores: 100000}}, Classes: []policy.Class{
				{Name: "lookup", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}, {Name: "report", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}}}
			core, err := NewCore(1, s, calls, calls)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			step(b, core, now, PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
			for i := range n {
				step(b, core, now, QueryReceived{&Query{ID: fmt.Sprint(i), Class: i % 2, Cost: 1e3, Deadline: now + 60e6, Client: calls}})
			}
			if core.Unanswered() != n {
				b.Fatalf("%d queries unanswered", core.Unanswered())
			}
			version := uint64(0)
			for b.Loop() {
				version++
				s.Classes[0], s.Classes[1] = s.Classes[1], s.Classes[0]
				if err := core.changeSettings(0, SettingsChange{Version: version, Settings: s}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
