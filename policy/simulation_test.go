package policy

import (
	"fmt"
	"testing"
)

// simulation is many gateways that share endpoints; answers come after half a second.
type simulation struct {
	t        *testing.T
	gs       []*Gateway
	now      Micros
	ids      int
	due      map[Micros][]func()
	sent     map[string]float64 // work sent to each endpoint, by its estimate
	sends    map[string][]Micros
	open     map[string]float64 // threads in flight on each endpoint
	peak     map[string]float64 // maximum of those
	checks   int                // health checks
	gossip   map[int]int        // messages by receiver
	received int                // requests
	acts     []Action
}

func newSimulation(t *testing.T, gateways, endpoints int, edit func(*Settings), row func(int, *Endpoint)) *simulation {
	t.Helper()
	c := &simulation{t: t, now: 100 * sec, due: map[Micros][]func(){}, sent: map[string]float64{},
		sends: map[string][]Micros{}, open: map[string]float64{}, peak: map[string]float64{}, gossip: map[int]int{}}
	var rows []Endpoint
	for i := range endpoints {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), PlacementGroup: i / 2}
		if row != nil {
			row(i, &e)
		}
		rows = append(rows, e)
	}
	for i := range gateways {
		s := testSettings()
		s.Peers, s.PeerIndex, s.CanGossip, s.CanHealthCheck = gateways, i, true, true
		if edit != nil {
			edit(&s)
		}
		g, err := New(uint64(i), s)
		if err != nil {
			t.Fatal(err)
		}
		c.gs = append(c.gs, g)
	}
	for i := range c.gs {
		c.play(i, EndpointUpdate{Complete: true, Endpoints: rows})
	}
	return c
}

// play steps one gateway and carries out its actions.
func (c *simulation) play(i int, evs ...Event) {
	acts := c.gs[i].Step(c.now, evs)
	c.acts = append(c.acts, acts...)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.sends[a.Endpoint] = append(c.sends[a.Endpoint], c.now)
			q := c.gs[i].ledger.requests[a.ID]
			c.sent[a.Endpoint] += q.work
			c.open[a.Endpoint] += q.class.threads
			c.peak[a.Endpoint] = max(c.peak[a.Endpoint], c.open[a.Endpoint])
			n := len(q.attempts) - 1
			c.after(sec/2, func() {
				c.open[a.Endpoint] -= q.class.threads
				c.play(i, AttemptResult{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Final: true, Latency: sec / 2, Load: c.load(a.Endpoint)})
			})
		case HealthCheck:
			c.checks++
			c.after(2000, func() { c.play(i, HealthCheckResult{Endpoint: a.Endpoint, Latency: 2000, Load: c.load(a.Endpoint)}) })
		case SendGossip:
			c.gossip[a.To]++
			if a.To < 0 || a.To >= len(c.gs) || a.To == i || len(a.Data) > 256 {
				c.t.Fatalf("gateway %d sent %d a message of %d bytes", i, a.To, len(a.Data))
			}
			c.after(5000, func() { c.play(a.To, GossipReceived{From: i, Data: a.Data}) })
		}
	}
}

func (c *simulation) load(endpoint string) *Load {
	return &Load{Utilization: min(1, c.open[endpoint]/8), InFlight: c.open[endpoint], Queue: -1, Memory: -1, Disk: -1}
}

func (c *simulation) after(d Micros, f func()) {
	at := (c.now + d + 9999) / 10000 * 10000
	c.due[at] = append(c.due[at], f)
}

// run goes on for a duration; every gateway receives a light query each gap, at times of its own.
func (c *simulation) run(d, gap Micros) {
	for end := c.now + d; c.now < end; {
		c.now += 10000
		for _, f := range c.due[c.now] {
			f()
		}
		delete(c.due, c.now)
		for i := range c.gs {
			if (c.now/10000+Micros(i*7))%(gap/10000) == 0 {
				c.ids++
				c.received++
				c.play(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			} else {
				c.play(i)
			}
		}
	}
}
