package choice_test

import (
	"fmt"

	"embershunt/choice"
)

// A dispatcher embeds a Gateway: it passes on what happened and does what the
// actions say. Nothing here knows of any wire.
func Example() {
	const second = choice.Micros(1e6)
	g, err := choice.New(42, choice.Settings{
		Peers: 1, MaxAttempts: 3, CanCancel: true, PriorityCount: true, MaxComeBack: 2 * second,
		Kinds: []choice.Kind{{Cores: 8, MemoryMB: 16384}},
		Classes: []choice.Class{
			{Name: "lookup", Worth: 1, Aim: second, Deadline: 4 * second, Threads: 1},
			{Name: "report", Worth: 10, Aim: 3 * second, Deadline: 15 * second, Threads: 4},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := choice.Micros(0)
	do := func(events ...choice.Event) {
		for _, a := range g.Step(now, events) {
			switch a := a.(type) {
			case choice.Send:
				fmt.Printf("send %s to %s\n", a.ID, a.Engine)
			case choice.Refuse:
				fmt.Printf("refuse %s\n", a.ID)
			case choice.Cancel:
				fmt.Printf("cancel attempt %d of %s\n", a.Attempt, a.ID)
			}
		}
	}
	do(choice.Engines{Whole: true, Rows: []choice.Engine{{ID: "engine-1"}}})
	do(choice.Request{ID: "q1", Class: 0, Cost: second / 10, Due: now + 4*second})
	now += second / 10
	do(choice.Outcome{ID: "q1", Engine: "engine-1", Code: choice.OK, Over: true, Took: second / 10})
	do(choice.Request{ID: "q2", Class: 1, Cost: 3600 * second, Due: now + 15*second})
	// Output:
	// send q1 to engine-1
	// refuse q2
}
