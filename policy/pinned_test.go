package policy

import (
	"fmt"
	"testing"
)

// A request whose state one engine holds goes there and nowhere else, while it drains too, as long as the grace allows;
// where that engine cannot take it any more it is refused at once.
func TestPinnedRequests(t *testing.T) {
	drain := func(b *bench, id string, s EndpointState) {
		b.step(EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: s}}})
	}
	cases := []struct {
		name   string
		before func(b *bench)
		only   string
		sent   bool
	}{
		{"healthy", func(*bench) {}, "e2", true},
		{"drains since a moment", func(b *bench) { drain(b, "e2", Draining); b.now += sec / 2 }, "e2", true},
		{"drains since the grace", func(b *bench) { drain(b, "e2", Draining); b.now += sec }, "e2", false},
		{"told to drain again", func(b *bench) {
			drain(b, "e2", Draining)
			b.now += sec / 2
			drain(b, "e2", Draining)
			b.now += sec / 2
		}, "e2", false},
		{"gone", func(b *bench) { drain(b, "e2", Removed) }, "e2", false},
		{"never heard of", func(*bench) {}, "nobody", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, testSettings(), 4)
			c.before(b)
			for range 20 {
				q := b.request(0)
				q.StickyTo = c.only
				acts := b.step(q)
				sends, refused := only[Send](acts), only[Shed](acts)
				if c.sent && (len(sends) != 1 || sends[0].Endpoint != c.only) || !c.sent && (len(sends) > 0 || len(refused) != 1) {
					t.Fatalf("%v", acts)
				}
				for _, s := range sends {
					b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 100000})
				}
			}
			if sends := only[Send](b.step(b.request(0))); len(sends) != 1 || c.name != "healthy" && sends[0].Endpoint == "e2" && c.only == "e2" {
				t.Errorf("one without state: %v", sends)
			}
		})
	}
}

// A queue behind one engine holds nobody else of its class.
func TestAQueueBehindAPinHoldsNobody(t *testing.T) {
	b := newBench(t, testSettings(), 2)
	for i := range 400 { // far more than e0 bears
		q := b.request(0)
		q.ID, q.StickyTo = fmt.Sprintf("pinned%d", i), "e0"
		b.step(q)
	}
	sent := 0
	for range 20 {
		b.now += 1000
		for _, s := range only[Send](b.step(b.request(0))) {
			if s.Endpoint == "e1" {
				sent++
				b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 1000})
			}
		}
	}
	if sent < 18 {
		t.Errorf("%d of 20 requests without state were sent beside the queue", sent)
	}
}
