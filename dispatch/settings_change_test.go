package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"embershunt/policy"
)

// A query that was classified by an older version gets the numbers in force; one whose class is gone is refused.
func TestChangeBetweenSteps(t *testing.T) {
	log := &tape{}
	settings := func(classes ...string) policy.Settings {
		s := policy.Settings{Peers: 1, MaxAttempts: 1, Kinds: []policy.Kind{{Cores: 8}}}
		for _, c := range classes {
			s.Classes = append(s.Classes, policy.Class{Name: c, PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 1000 * ms})
		}
		return s
	}
	core, err := NewCore(1, settings("lookup", "report"), log, log)
	if err != nil {
		t.Fatal(err)
	}
	var errs []error
	change := func(v uint64, s policy.Settings) Event {
		return Change{v, s, func(err error) { errs = append(errs, err) }}
	}
	query := func(id string, version uint64, class int) Event {
		q := log.query(id, 2000*ms)
		q.SettingsSerial, q.Class, q.Cost = version, class, ms
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
	if got := core.InFlight(); got["report"] != 2 || got["load"] != 1 {
		t.Errorf("in flight: %v", got)
	}
	step(change(2, settings("load")), change(1, settings("load")))
	if errs[0] != nil || errs[1] == nil || errs[2] == nil {
		t.Errorf("the changes ended with %v; want accepted, refused for its queries in flight, refused for its number", errs)
	}
	step(AttemptEnded{ID: "a", Code: policy.OK}, AttemptEnded{ID: "c", Code: policy.OK}, change(3, settings("load")))
	if errs[3] != nil {
		t.Errorf("with nothing of the class in flight: %v", errs[3])
	}
	want := "send a/0 n; answer b refused CLASS_GONE; send c/0 n; send d/0 n; answer a served ; answer c served "
	if got := strings.Join(log.lines, "; "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// BenchmarkChange is the pause of the loop while settings change, by the queries in flight.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("inflight=%d", n), func(b *testing.B) {
			log := &quiet{}
			s := policy.Settings{Peers: 1, MaxAttempts: 3, Kinds: []policy.Kind{{Cores: 100000}}, Classes: []policy.Class{
				{Name: "lookup", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}, {Name: "report", PriorityWeight: 1, LatencyObjective: 60e6, Deadline: 60e6}}}
			core, err := NewCore(1, s, log, log)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			step(b, core, now, PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
			for i := range n {
				step(b, core, now, QueryReceived{&Query{ID: fmt.Sprint(i), Class: i % 2, Cost: 1e3, Deadline: now + 60e6, Client: log}})
			}
			if core.Unanswered() != n {
				b.Fatalf("%d held", core.Unanswered())
			}
			version := uint64(0)
			for b.Loop() {
				version++
				s.Classes[0], s.Classes[1] = s.Classes[1], s.Classes[0]
				if err := core.changeSettings(0, Change{Serial: version, Settings: s}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
