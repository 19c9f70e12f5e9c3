package policy

import (
	"encoding/json"
	"reflect"
	"testing"
)

// What a gateway has learned, stored and read again, is what the next one starts with, but for endpoints that have restarted
// since, and for what is stale.
func TestLearnedIsRestored(t *testing.T) {
	b := newHarness(t, testSettings(), 4)
	for i := range 600 {
		b.now += 20000
		for _, s := range actionsOf[Send](b.step(b.request(i % 2))) {
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
	start := func(l Learned, fresh bool, rows ...Endpoint) *Gateway {
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
	fresh, stale := start(l, true, rows...), start(l, false, rows...)
	for _, g := range []*Gateway{fresh, stale} {
		if got := g.Learned().Classes[0]; got.Fit != l.Classes[0].Fit || got.LatencyRatio != l.Classes[0].LatencyRatio || got.MeanWork != l.Classes[0].MeanWork {
			t.Errorf("the class: %+v, want %+v", got, l.Classes[0])
		}
	}
	slow := b.g.endpoints.byID["e1"].inflation
	inflation := func(g *Gateway, id string) float64 { return g.endpoints.byID[id].inflation }
	if slow == 0 || inflation(fresh, "e1") != slow || inflation(stale, "e1") != 0 ||
		inflation(fresh, "e2") != fresh.congestion.inflation.value {
		t.Errorf("e1 was %v: fresh %v, stale %v; e2 restarted %v", slow, inflation(fresh, "e1"), inflation(stale, "e1"),
			inflation(fresh, "e2"))
	}
	if err := fresh.Restore(l, true); err == nil {
		t.Error("restored after the first step")
	}
	l.Version++
	if g, _ := New(9, testSettings()); g.Restore(l, true) == nil {
		t.Error("another version was restored")
	}
}
