package policy

import (
	"fmt"
	"testing"
)

// When endpoints are replaced by others with new IDs, the gateway keeps only the listed ones and those that
// have attempts in flight.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), 3)
	var inFlight Send
	for i := range 100 {
		b.now += sec
		b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: fmt.Sprintf("new%d", i)}}})
		for _, s := range actionsOf[Send](b.step(b.request(0))) {
			if i == 50 {
				inFlight = s
				continue
			}
			b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
		}
	}
	if inFlight.Endpoint == "" || len(b.g.endpoints.byID) != 2 || len(b.g.endpoints.byWireID) != 2 || b.g.endpoints.byID[inFlight.Endpoint] == nil {
		t.Errorf("%d endpoints kept, want the one in the list and %q", len(b.g.endpoints.byID), inFlight.Endpoint)
	}
	b.step(AttemptResult{ID: inFlight.ID, Endpoint: inFlight.Endpoint, Final: true, Latency: 100000})
	if b.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "last"}}}); len(b.g.endpoints.byID) != 1 {
		t.Errorf("%d endpoints kept after the last attempt, want 1", len(b.g.endpoints.byID))
	}
}

// Where the endpoint list has to be polled, the gateway calls for it at the start, within each poll interval,
// and soon after a failed call. Where the list is watched, it never calls.
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
