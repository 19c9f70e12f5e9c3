package policy

import "testing"

// Health checks and gossip follow own traffic, whatever the fleet; messages are spread evenly,
// and the load of an endpoint reaches most gateways within three seconds.
func TestHealthChecksAndGossipFollowTraffic(t *testing.T) {
	c := newSimulation(t, 60, 20, nil, nil)
	c.run(8*sec, sec/2)
	var total, largest int
	for _, n := range c.gossip {
		total, largest = total+n, max(largest, n)
	}
	if c.checks > c.received || total > c.received || total < c.received/4 {
		t.Errorf("%d requests, %d health checks, %d messages", c.received, c.checks, total)
	}
	if largest*60 > total*3 {
		t.Errorf("one gateway was sent %d of %d messages", largest, total)
	}
	known := 0
	for _, g := range c.gs {
		for _, e := range g.endpoints.list {
			if g.secondsSince(max(e.loadAt, e.lastResponse)) < 3 {
				known++
			}
		}
	}
	if known*4 < 60*20*3 {
		t.Errorf("%d of %d endpoints known within three seconds", known, 60*20)
	}
	taken, probes := c.received, c.checks
	c.run(5*sec, 3600*sec)
	if idle := len(c.acts); c.checks-probes > taken || idle == 0 {
		t.Errorf("idle gateways sent %d health checks", c.checks-probes)
	}
}
