package policy_test

import (
	"fmt"

	"embershunt/policy"
)

// A dispatcher embeds a Gateway: it passes events to Step and carries out the actions that Step returns. The
// package knows no wire protocol.
func Example() {
	const second = policy.Micros(1e6)
	g, err := policy.New(42, policy.Settings{
		Peers: 1, MaxAttempts: 3, CanCancel: true, HonorsPriority: true, MaxRetryAfter: 2 * second,
		Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16384}},
		Classes: []policy.Class{
			{Name: "lookup", PriorityWeight: 1, LatencyObjective: second, Deadline: 4 * second, Threads: 1},
			{Name: "report", PriorityWeight: 10, LatencyObjective: 3 * second, Deadline: 15 * second, Threads: 4},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := policy.Micros(0)
	do := func(events ...policy.Event) {
		for _, a := range g.Step(now, events) {
			switch a := a.(type) {
			case policy.Send:
				fmt.Printf("send %s to %s\n", a.ID, a.Endpoint)
			case policy.Shed:
				fmt.Printf("shed %s\n", a.ID)
			case policy.Cancel:
				fmt.Printf("cancel attempt %d of %s\n", a.Attempt, a.ID)
			}
		}
	}
	do(policy.EndpointUpdate{Complete: true, Endpoints: []policy.Endpoint{{ID: "endpoint-1"}}})
	do(policy.Request{ID: "q1", Class: 0, Cost: second / 10, Deadline: now + 4*second})
	now += second / 10
	do(policy.AttemptResult{ID: "q1", Endpoint: "endpoint-1", Code: policy.OK, Final: true, Latency: second / 10})
	do(policy.Request{ID: "q2", Class: 1, Cost: 3600 * second, Deadline: now + 15*second})
	// Output:
	// send q1 to endpoint-1
	// shed q2
}
