package policy

import (
	"fmt"
	"testing"
)

// simulation steps many gateways that share endpoints. Each attempt is answered after half a second.
type simulation struct {
	t            *testing.T
	gateways     []*Gateway
	now          Micros
	ids          int                 // requests numbered so far
	due          map[Micros][]func() // callbacks by the time at which they run
	sentWork     map[string]float64  // estimated work sent to each endpoint, seconds
	sentAt       map[string][]Micros // times of the sends to each endpoint
	threads      map[string]float64  // threads in flight on each endpoint
	peakThreads  map[string]float64  // maximum of threads
	healthChecks int                 // health checks sent
	messages     map[int]int         // gossip messages by receiver
	received     int                 // requests received from run
	acts         []Action            // actions of all gateways
}

// newSimulation returns a simulation in which all gateways have the endpoints in their list. The function
// edit changes the settings of each gateway, and row the row of each endpoint; either may be nil.
func newSimulation(t *testing.T, gateways, endpoints int, edit func(*Settings), row func(int, *Endpoint)) *simulation {
	t.Helper()
	c := &simulation{t: t, now: 100 * sec, due: map[Micros][]func(){}, sentWork: map[string]float64{},
		sentAt: map[string][]Micros{}, threads: map[string]float64{}, peakThreads: map[string]float64{},
		messages: map[int]int{}}
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
		c.gateways = append(c.gateways, g)
	}
	for i := range c.gateways {
		c.step(i, EndpointUpdate{Complete: true, Endpoints: rows})
	}
	return c
}

// step steps one gateway and carries out its actions.
func (c *simulation) step(i int, evs ...Event) {
	acts := c.gateways[i].Step(c.now, evs)
	c.acts = append(c.acts, acts...)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.sentAt[a.Endpoint] = append(c.sentAt[a.Endpoint], c.now)
			q := c.gateways[i].ledger.requests[a.ID]
			c.sentWork[a.Endpoint] += q.work
			c.threads[a.Endpoint] += q.class.threads
			c.peakThreads[a.Endpoint] = max(c.peakThreads[a.Endpoint], c.threads[a.Endpoint])
			n := len(q.attempts) - 1
			c.after(sec/2, func() {
				c.threads[a.Endpoint] -= q.class.threads
				c.step(i, AttemptResult{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Final: true, Latency: sec / 2, Load: c.load(a.Endpoint)})
			})
		case HealthCheck:
			c.healthChecks++
			c.after(2000, func() { c.step(i, HealthCheckResult{Endpoint: a.Endpoint, Latency: 2000, Load: c.load(a.Endpoint)}) })
		case SendGossip:
			c.messages[a.To]++
			if a.To < 0 || a.To >= len(c.gateways) || a.To == i || len(a.Data) > 256 {
				c.t.Fatalf("gateway %d sent %d a message of %d bytes", i, a.To, len(a.Data))
			}
			c.after(5000, func() { c.step(a.To, GossipReceived{From: i, Data: a.Data}) })
		}
	}
}

// load returns the load report of an endpoint of 8 cores.
func (c *simulation) load(endpoint string) *Load {
	return &Load{Utilization: min(1, c.threads[endpoint]/8), InFlight: c.threads[endpoint], Queue: -1,
		Memory: -1, Disk: -1}
}

// after schedules f after d, rounded up to the next step of 10 ms.
func (c *simulation) after(d Micros, f func()) {
	at := (c.now + d + 9999) / 10000 * 10000
	c.due[at] = append(c.due[at], f)
}

// run steps all gateways every 10 ms for the duration d. Every gateway receives a light query each gap, at
// times of its own.
func (c *simulation) run(d, gap Micros) {
	for end := c.now + d; c.now < end; {
		c.now += 10000
		for _, f := range c.due[c.now] {
			f()
		}
		delete(c.due, c.now)
		for i := range c.gateways {
			if (c.now/10000+Micros(i*7))%(gap/10000) == 0 {
				c.ids++
				c.received++
				c.step(i, Request{ID: fmt.Sprint(c.ids), Cost: 100000, MemoryMB: 100, Deadline: c.now + 4*sec})
			} else {
				c.step(i)
			}
		}
	}
}
