package policy

import (
	"encoding/json"
	"reflect"
	"testing"
)

// Learned state that was stored and read again is restored in the next gateway, except that of endpoints that
// have restarted since, and what does not hold any more where the state is stale.
func TestLearnedIsRestored(t *testing.T) {
	b := newHarness(t, testSettings(), 4)
	for i := range 600 {
		b.now += 20000
		for _, s := range actionsOf[Send](b.step(b.request(i % 2))) {
			latency := Micros(80000)
			if s.Endpoint == "e1" {
				latency = 400000
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: latency})
		}
	}
	text, err := json.Marshal(b.g.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(text, &l); err != nil || !reflect.DeepEqual(l, b.g.Learned()) {
		t.Fatalf("the learned state differs after it was stored and read: %v", err)
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
			t.Errorf("restored class %+v, want %+v", got, l.Classes[0])
		}
	}
	e1Inflation := b.g.endpoints.byID["e1"].inflation
	inflation := func(g *Gateway, id string) float64 { return g.endpoints.byID[id].inflation }
	if e1Inflation == 0 || inflation(fresh, "e1") != e1Inflation || inflation(stale, "e1") != 0 ||
		inflation(fresh, "e2") != fresh.congestion.inflation.value {
		t.Errorf("inflation of e1 was %v, is %v if fresh, %v if stale; of e2, which restarted, %v",
			e1Inflation, inflation(fresh, "e1"), inflation(stale, "e1"), inflation(fresh, "e2"))
	}
	if err := fresh.Restore(l, true); err == nil {
		t.Error("Restore after the first step: no error")
	}
	l.Version++
	if g, _ := New(9, testSettings()); g.Restore(l, true) == nil {
		t.Error("Restore of another version: no error")
	}
}
