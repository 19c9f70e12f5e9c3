package policy

import (
	"fmt"
	"testing"
)

// Endpoints that are replaced, each by one with a new ID, leave nothing behind but attempts in flight.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), 3)
	var out Send
	for i := range 100 {
		b.now += sec
		b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: fmt.Sprintf("new%d", i)}}})
		for _, s := range actionsOf[Send](b.step(b.request(0))) {
			if i == 50 {
				out = s
				continue
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	if out.Endpoint == "" || len(b.g.endpoints.byID) != 2 || len(b.g.endpoints.byWireID) != 2 || b.g.endpoints.byID[out.Endpoint] == nil {
		t.Errorf("%d endpoints kept, want the one in the list and %q", len(b.g.endpoints.byID), out.Endpoint)
	}
	b.step(AttemptResult{ID: out.ID, Endpoint: out.Endpoint, Final: true, Latency: 100000})
	if b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "last"}}}); len(b.g.endpoints.byID) != 1 {
		t.Errorf("%d endpoints kept at last", len(b.g.endpoints.byID))
	}
}

// Where the list has to be polled, a call goes out at once, within the poll interval, and soon
// after one that failed; elsewhere none does.
func TestEndpointListIsPolled(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.MaxPollInterval = true, 100*sec
	g, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, g: g, now: 100 * sec}
	if n := len(actionsOf[WatchEndpoints](b.step())); n != 1 {
		t.Fatalf("%d calls at the start", n)
	}
	if n := len(actionsOf[WatchEndpoints](b.runUntil(b.now + 26*sec))); n < 1 || n > 2 {
		t.Fatalf("%d calls within the poll interval", n)
	}
	b.step(EndpointUpdate{Failed: true})
	if n := len(actionsOf[WatchEndpoints](b.runUntil(b.now + 3*sec/2))); n < 1 || n > 2 {
		t.Fatalf("%d calls after a failed one", n)
	}
	plain := newHarness(t, testSettings(), 1)
	if n := len(actionsOf[WatchEndpoints](plain.runUntil(plain.now + 20*sec))); n != 0 {
		t.Fatalf("%d calls where the list is watched", n)
	}
}
