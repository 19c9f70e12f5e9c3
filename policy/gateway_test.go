package policy

import (
	"fmt"
	"reflect"
	"testing"
)

func TestNoSendOrAnswerAfterTheFinalAnswer(t *testing.T) {
	b := newHarness(t, testSettings(), 4)
	q := b.request(0)
	acts := b.step(q)
	sends := actionsOf[Send](acts)
	if len(sends) != 1 || sends[0].ID != q.ID {
		t.Fatalf("want one Send for %s, got %v", q.ID, acts)
	}
	b.now += 100000
	b.step(AttemptResult{ID: q.ID, Endpoint: sends[0].Endpoint, Code: OK, Final: true, Latency: 100000})
	rest := b.runUntil(b.now + 5*sec)
	if n := len(actionsOf[Send](rest)) + len(actionsOf[Fail](rest)) + len(actionsOf[Shed](rest)); n != 0 {
		t.Fatalf("%d Send, Fail or Shed actions after the final answer", n)
	}
}

// The actions of a gateway depend on its own events alone: gateways in the same process share no state.
func TestSameEventsSameActions(t *testing.T) {
	run := func(between func(*harness)) (all []Action) {
		b := newHarness(t, testSettings(), 5)
		for i := range 200 {
			b.now += 7000
			acts := b.step(b.request(i % 2))
			all = append(all, acts...)
			for _, s := range actionsOf[Send](acts) {
				if i%3 > 0 {
					all = append(all, b.step(AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: i%3 == 1,
						Code: Code(i % 3 * 2 % 3), Latency: 5000})...)
				}
			}
			if between != nil {
				between(newHarness(t, testSettings(), 3))
			}
		}
		return all
	}
	alone := run(nil)
	mixed := run(func(o *harness) { o.step(o.request(1)) })
	if !reflect.DeepEqual(alone, mixed) {
		t.Fatal("a gateway's actions depend on other gateways in the process")
	}
}

// The events of 200 gateways are interleaved. Two runs with equal events give equal actions.
func TestManyGatewaysAreDeterministic(t *testing.T) {
	simulate := func() []Action {
		c := newSimulation(t, 200, 12, nil, nil)
		c.run(sec, sec/2)
		return c.acts
	}
	if a, b := simulate(), simulate(); !reflect.DeepEqual(a, b) {
		t.Fatal("the actions of two runs differ")
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	b := newHarness(t, testSettings(), 2)
	q := b.request(0)
	s := actionsOf[Send](b.step(q))[0]
	b.step(AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Final: true, Latency: 1000})
	acts := b.step(
		AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Final: true}, AttemptResult{ID: "none"}, AttemptResult{ID: q.ID, Attempt: 7},
		Progress{ID: "none"}, Progress{ID: q.ID, Attempt: -1}, HealthCheckResult{Endpoint: "none", Load: &Load{}},
		StreamStarted{ID: "none"}, ClientDisconnected{ID: q.ID}, ClientDisconnected{ID: "none"}, GossipReceived{From: 9, Data: []byte{1, 2}},
		GossipReceived{From: 1, Data: nil}, GossipReceived{From: 1, Data: []byte{0, 1, 3}}, GossipReceived{From: 1, Data: []byte{200, 1}},
		Request{ID: "odd", Class: 9, Deadline: b.now + sec}, EndpointUpdate{Failed: true})
	if len(actionsOf[Send](acts)) != 0 {
		t.Fatalf("events of unknown objects led to sends: %v", acts)
	}
	noCost := b.request(0)
	noCost.Cost, noCost.MemoryMB, noCost.Tenant = 0, 0, 0
	if len(actionsOf[Send](b.step(noCost))) != 1 || b.g.ledger.requests[noCost.ID].work <= 0 {
		t.Fatal(fmt.Sprint("a missing estimate must not count as zero work: ", b.g.ledger.requests[noCost.ID].work))
	}
}

// Step must not panic, whatever the order of the events and their IDs.
func FuzzStep(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	f.Add([]byte{1, 1, 1, 2, 0, 2, 8, 2, 16, 3, 3, 4, 5, 9, 17, 25})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := testSettings()
		s.CanGossip, s.CanHealthCheck, s.ProgressInterval = true, true, sec
		s.Classes[1].Ordered, s.OrderingGap = true, sec
		b := newHarness(t, s, 3)
		for i, x := range data[:min(len(data), 200)] {
			b.now += Micros(x) * 5000
			id, e := fmt.Sprintf("q%d", i%5+1), fmt.Sprintf("e%d", x%4)
			switch x % 8 {
			case 0, 1:
				q := b.request(int(x/8) % 2)
				q.OrderKey, q.HasOrderKey = 1, x%8 == 1
				b.step(q)
			case 2:
				b.step(AttemptResult{ID: id, Attempt: int(x/8) % 3, Endpoint: e, Code: Code(x/8) % 8, Final: x > 128})
			case 3:
				b.step(ClientDisconnected{ID: id})
			case 4:
				b.step(Progress{ID: id, Attempt: int(x/8) % 2, Kind: ProgressKind(x / 8 % 4), Value: float64(x) / 100})
			case 5:
				b.step(HealthCheckResult{Endpoint: e, Code: Code(x / 8 % 2), Load: &Load{Utilization: float64(x) / 100, InFlight: -1, Memory: -1}})
			case 6:
				b.step(EndpointUpdate{Complete: x > 128, Endpoints: []Endpoint{{ID: e, Started: b.now, State: EndpointState(x / 8 % 3)}}})
			default:
				b.step(StreamStarted{ID: id}, GossipReceived{From: 1, Data: data[:i]})
			}
		}
	})
}

// BenchmarkStep measures the time for one request and one gossip message, by the number of gateways and
// endpoints.
func BenchmarkStep(b *testing.B) {
	for _, size := range [][2]int{{3, 8}, {100, 8}, {300, 8}, {3, 40}, {300, 40}} {
		b.Run(fmt.Sprintf("gateways=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			s := testSettings()
			s.Peers, s.CanGossip = size[0], true
			g, err := New(1, s)
			if err != nil {
				b.Fatal(err)
			}
			var rows []Endpoint
			var gossip []gossipRow
			for i := range size[1] {
				rows = append(rows, Endpoint{ID: fmt.Sprintf("e%02d", i)})
				gossip = append(gossip, gossipRow{wireID: wireID(rows[i].ID), utilization: 0.5, inFlight: 4, memory: -1, threads: 1})
			}
			now := 100 * sec
			g.Step(now, []Event{EndpointUpdate{Complete: true, Endpoints: rows}})
			data := encodeGossip([]float64{1}, gossip)
			for i := 0; b.Loop(); i++ {
				now += 20000
				id := fmt.Sprint(i)
				for _, a := range g.Step(now, []Event{Request{ID: id, Cost: 100000, Deadline: now + 4*sec}, GossipReceived{From: 1 + i%(size[0]-1), Data: data}}) {
					if s, ok := a.(Send); ok {
						g.Step(now, []Event{AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Final: true, Latency: 50000}})
					}
				}
			}
		})
	}
}
