package policy

import "testing"

// The traffic of a gateway bounds its health checks and its gossip, whatever the size of the fleet. Messages
// are spread evenly over the gateways, and most gateways know the load of an endpoint within three seconds.
func TestHealthChecksAndGossipFollowTraffic(t *testing.T) {
	c := newSimulation(t, 60, 20, nil, nil)
	c.run(8*sec, sec/2)
	var total, largest int
	for _, n := range c.messages {
		total, largest = total+n, max(largest, n)
	}
	if c.healthChecks > c.received || total > c.received || total < c.received/4 {
		t.Errorf("%d requests, %d health checks, %d messages", c.received, c.healthChecks, total)
	}
	if largest*60 > total*3 {
		t.Errorf("one gateway was sent %d of %d messages", largest, total)
	}
	known := 0
	for _, g := range c.gateways {
		for _, e := range g.endpoints.list {
			if g.secondsSince(max(e.loadAt, e.lastResponse)) < 3 {
				known++
			}
		}
	}
	if known*4 < 60*20*3 {
		t.Errorf("%d of %d endpoints known within three seconds", known, 60*20)
	}
	received, healthChecks := c.received, c.healthChecks
	c.run(5*sec, 3600*sec)
	if idle := len(c.acts); c.healthChecks-healthChecks > received || idle == 0 {
		t.Errorf("idle gateways sent %d health checks", c.healthChecks-healthChecks)
	}
}
