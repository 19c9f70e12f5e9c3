package dispatch

import "embershunt/policy"

// Observer is notified of what a Core does, for metrics, logs and traces. It is called from the loop and must not block.
type Observer interface {
	QueryReceived(q *Query)
	// Answered reports a final answer; duration is that since the query's receipt.
	Answered(q *Query, outcome Outcome, duration Micros)
	Sent(a Attempt)
	AttemptEnded(q *Query, node string, ev AttemptEnded)
	Fault(f Fault)
	Changed(version uint64, s policy.Settings)
	// Paused reports how long a step with a change of settings took.
	Paused(d Micros)
	LogLine(text string)
	// StepCompleted counts the events and actions of a step and the queries pending after it.
	StepCompleted(events, actions, pending int)
}

// Recorder is notified of all inputs and outputs of the gateway, in order. It must not block and must copy what it keeps.
type Recorder interface {
	// Started reports what the gateway was made of; l is the learned state it began with, nil for none, and fleet says that
	// the part about endpoints was used too.
	Started(now Micros, seed uint64, s policy.Settings, l *policy.Learned, fleet bool)
	StepCompleted(now Micros, events []policy.Event, actions []policy.Action)
	Changed(now Micros, s policy.Settings, classes, tenants []int)
}
