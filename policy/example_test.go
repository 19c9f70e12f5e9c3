package policy_test

import (
	"fmt"

	"embershunt/policy"
)

// A dispatcher embeds a Gateway: it passes on what happened and does what the
// actions say. Nothing here knows of any wire.
func Example() {
	const second = policy.Micros(1e6)
	g, err := policy.New(42, policy.Settings{
		Peers: 1, MaxAttempts: 3, CanCancel: true, PriorityCount: true, MaxComeBack: 2 * second,
		Kinds: []policy.Kind{{Cores: 8, MemoryMB: 16384}},
		Classes: []policy.Class{
			{Name: "lookup", Worth: 1, Aim: second, Deadline: 4 * second, Threads: 1},
			{Name: "report", Worth: 10, Aim: 3 * second, Deadline: 15 * second, Threads: 4},
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
				fmt.Printf("send %s to %s\n", a.ID, a.Engine)
			case policy.Refuse:
				fmt.Printf("refuse %s\n", a.ID)
			case policy.Cancel:
				fmt.Printf("cancel attempt %d of %s\n", a.Attempt, a.ID)
			}
		}
	}
	do(policy.Engines{Whole: true, Rows: []policy.Engine{{ID: "engine-1"}}})
	do(policy.Request{ID: "q1", Class: 0, Cost: second / 10, Due: now + 4*second})
	now += second / 10
	do(policy.Outcome{ID: "q1", Engine: "engine-1", Code: policy.OK, Over: true, Took: second / 10})
	do(policy.Request{ID: "q2", Class: 1, Cost: 3600 * second, Due: now + 15*second})
	// Output:
	// send q1 to engine-1
	// refuse q2
}
