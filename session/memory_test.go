package session

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkIdleSessions measures the memory for one idle sticky session, out of 100,000 on 76 nodes, and the time to apply a node
// list that removes one of these nodes.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions, nodes = 100000, 76
	heapBytes := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heapBytes()
		m := New(Limits{IdleTimeout: 300 * sec, MaxAge: 3600 * sec, DrainGrace: 2 * sec, Retention: 60 * sec, RetrySpread: 5 * sec})
		var all NodeListUpdated
		for i := range nodes {
			all.Nodes = append(all.Nodes, Node{ID: fmt.Sprintf("node-%d", i), Started: time.Unix(int64(i), 0)})
		}
		m.Step(1, all)
		for i := range sessions {
			id := fmt.Sprintf("%032x", i)
			n := all.Nodes[i%nodes]
			m.Step(Micros(i), StatementReceived{ID: id, Serial: uint64(i), Kind: Begin})
			m.Step(Micros(i), StatementEnded{ID: id, Serial: uint64(i), Node: n.ID, Started: n.Started, Outcome: OK})
		}
		b.ReportMetric(float64(heapBytes()-before)/sessions, "B/session")
		begin := time.Now()
		actions := m.Step(sec, NodeListUpdated{Nodes: all.Nodes[1:]})
		b.ReportMetric(float64(time.Since(begin).Microseconds()), "us/lost-node")
		if n := m.Reserved(); n != sessions-(sessions+nodes-1)/nodes {
			b.Fatalf("%d sessions with state, %d actions", n, len(actions))
		}
		runtime.KeepAlive(m)
	}
}
