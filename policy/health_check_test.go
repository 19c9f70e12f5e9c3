package policy

import "testing"

// Probes and messages go with own traffic, whatever the fleet; messages are spread,
// and news of an engine reaches most gateways within three seconds.
func TestAsksAndTellsGoWithTraffic(t *testing.T) {
	c := newCrowd(t, 60, 20, nil, nil)
	c.run(8*sec, sec/2)
	var tells, most int
	for _, n := range c.tells {
		tells, most = tells+n, max(most, n)
	}
	if c.probes > c.taken || tells > c.taken || tells < c.taken/4 {
		t.Errorf("%d requests, %d probes, %d messages", c.taken, c.probes, tells)
	}
	if most*60 > tells*3 {
		t.Errorf("one gateway was told %d of %d messages", most, tells)
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
		t.Errorf("%d of %d engines known within three seconds", known, 60*20)
	}
	taken, probes := c.taken, c.probes
	c.run(5*sec, 3600*sec)
	if idle := len(c.acts); c.probes-probes > taken || idle == 0 {
		t.Errorf("idle gateways probed %d times", c.probes-probes)
	}
}
