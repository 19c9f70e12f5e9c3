package policy

import (
	"encoding/json"
	"reflect"
	"testing"
)

// What a gateway has learned, written down and read again, is what the next one begins with; of engines in another life, and
// of anything where it is stale, nothing is taken.
func TestLearnedIsRecalled(t *testing.T) {
	b := newBench(t, testSettings(), 4)
	for i := range 600 {
		b.now += 20000
		for _, s := range only[Send](b.step(b.request(i % 2))) {
			took := Micros(80000)
			if s.Endpoint == "e1" {
				took = 400000
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: took})
		}
	}
	text, err := json.Marshal(b.g.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(text, &l); err != nil || !reflect.DeepEqual(l, b.g.Learned()) {
		t.Fatalf("read again it differs: %v", err)
	}
	begin := func(l Learned, fresh bool, rows ...Endpoint) *Gateway {
		t.Helper()
		g, err := New(9, testSettings())
		if err == nil {
			err = g.Restore(l, fresh)
		}
		if err != nil {
			t.Fatal(err)
		}
		g.Step(1, []Event{EndpointUpdate{Complete: true, Endpoints: rows}})
		return g
	}
	rows := []Endpoint{{ID: "e0"}, {ID: "e1"}, {ID: "e2", Started: 5 * sec}}
	warm, stale := begin(l, true, rows...), begin(l, false, rows...)
	for _, g := range []*Gateway{warm, stale} {
		if got := g.Learned().Classes[0]; got.Fit != l.Classes[0].Fit || got.Ratio != l.Classes[0].Ratio || got.Mean != l.Classes[0].Mean {
			t.Errorf("the class: %+v, want %+v", got, l.Classes[0])
		}
	}
	slow := b.g.endpoints.byID["e1"].inflation
	if slow == 0 || warm.endpoints.byID["e1"].inflation != slow || stale.endpoints.byID["e1"].inflation != 0 || warm.endpoints.byID["e2"].inflation != warm.congestion.inflation.value {
		t.Errorf("e1 was %v: warm %v, stale %v; e2 in another life %v", slow, warm.endpoints.byID["e1"].inflation, stale.endpoints.byID["e1"].inflation, warm.endpoints.byID["e2"].inflation)
	}
	if err := warm.Restore(l, true); err == nil {
		t.Error("recalled after the first step")
	}
	l.Version++
	if g, _ := New(9, testSettings()); g.Restore(l, true) == nil {
		t.Error("another version was taken")
	}
}
