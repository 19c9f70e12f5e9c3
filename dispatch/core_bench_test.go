package dispatch

import (
	"fmt"
	"testing"

	"embershunt/policy"
)

// BenchmarkStep measures the cost of one query in core and gateway: received, sent, response ready, ended.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{8, 34, 76} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			calls := &answerCounter{}
			core, err := NewCore(1, policy.Settings{Peers: 1, MaxAttempts: 3, CanCancel: true, HonorsPriority: true,
				ReportsByAnswer: true, Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16384}},
				Classes: []policy.Class{{Name: "lookup", PriorityWeight: 1, LatencyObjective: 750 * ms, Deadline: 4000 * ms}}},
				calls, calls)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			endpoints := make([]policy.Endpoint, nodes)
			for i := range endpoints {
				endpoints[i].ID = fmt.Sprintf("node-%d", i)
			}
			step(b, core, now, PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: endpoints}})
			send := func(ev Event) { // not step: its call of Helper would cost a large part of the measured time
				if err := core.Step(now, []Event{ev}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("q%d", i)
				calls.node = ""
				send(QueryReceived{&Query{ID: id, Cost: 20 * ms, Deadline: now + 4000*ms, Client: calls}})
				now += 100
				send(ResponseReady{id, 0})
				now += 100
				send(AttemptEnded{ID: id, Code: policy.OK, Latency: 200, Load: &policy.Load{Utilization: 0.3, InFlight: -1, Queue: -1, Memory: -1, Disk: -1}})
				now += 800
			}
			if calls.served != b.N {
				b.Fatalf("%d of %d served", calls.served, b.N)
			}
		})
	}
}

// answerCounter is a Fleet, an Observer and a Client that counts the served queries; it records no calls of attempts.
type answerCounter struct {
	callRecorder
	node   string
	served int
}

func (c *answerCounter) Send(a Attempt) { c.node = a.Node }

func (c *answerCounter) ForwardResponse(string, int) {}

func (c *answerCounter) Cancel(string, int) {}

func (c *answerCounter) SetResources(string, float64, int) {}

func (c *answerCounter) Answer(outcome Outcome) {
	if outcome.Kind == Served {
		c.served++
	}
}
