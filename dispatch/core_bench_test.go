package dispatch

import (
	"fmt"
	"testing"

	"embershunt/policy"
)

// BenchmarkStep is the cost of one query through core and module: received, sent, response ready, ended.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{8, 34, 76} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			log := &quiet{}
			core, err := NewCore(1, policy.Settings{Peers: 1, MaxAttempts: 3, CanCancel: true, HonorsPriority: true,
				ReportsByAnswer: true, Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16384}},
				Classes: []policy.Class{{Name: "lookup", PriorityWeight: 1, LatencyObjective: 750 * ms, Deadline: 4000 * ms}}}, log, log)
			if err != nil {
				b.Fatal(err)
			}
			now := Micros(1e9)
			rows := make([]policy.Endpoint, nodes)
			for i := range rows {
				rows[i].ID = fmt.Sprintf("node-%d", i)
			}
			step(b, core, now, PolicyEvent{policy.EndpointUpdate{Complete: true, Endpoints: rows}})
			send := func(ev Event) { // without Helper, which would cost a good part of what is measured
				if err := core.Step(now, []Event{ev}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("q%d", i)
				log.node = ""
				send(QueryReceived{&Query{ID: id, Cost: 20 * ms, Deadline: now + 4000*ms, Client: log}})
				now += 100
				send(ResponseReady{id, 0})
				now += 100
				send(AttemptEnded{ID: id, Code: policy.OK, Latency: 200, Load: &policy.Load{Utilization: 0.3, InFlight: -1, Queue: -1, Memory: -1, Disk: -1}})
				now += 800
			}
			if log.served != b.N {
				b.Fatalf("%d of %d served", log.served, b.N)
			}
		})
	}
}

// quiet is a tape that keeps only a count.
type quiet struct {
	tape
	node   string
	served int
}

func (q *quiet) Send(a Attempt) { q.node = a.Node }

func (q *quiet) ForwardResponse(string, int) {}

func (q *quiet) Cancel(string, int) {}

func (q *quiet) SetResources(string, float64, int) {}

func (q *quiet) Answer(v Outcome) {
	if v.Kind == Served {
		q.served++
	}
}
