package dispatch

import "embershunt/policy"

// Observer receives notifications of a Core for metrics, logs and traces. Its methods are called by the goroutine that steps the
// core and must not block.
type Observer interface {
	QueryReceived(q *Query)
	// Answered reports a final answer and the time since the query's receipt. A query that is rejected on receipt has no
	// QueryReceived before it, and duration 0.
	Answered(q *Query, outcome Outcome, duration Micros)
	Sent(a Attempt)
	AttemptEnded(q *Query, node string, ev AttemptEnded)
	Fault(f Fault)
	SettingsChanged(version uint64, s policy.Settings)
	// SettingsChangeDuration reports the duration of a step that contained a change of settings.
	SettingsChangeDuration(d Micros)
	LogLine(text string)
	// StepCompleted reports the numbers of events and actions of a step, and of queries pending after the step.
	StepCompleted(events, actions, pending int)
}

// Recorder receives all inputs and outputs of the gateway, in order. Its methods must not block and must copy slices that they
// keep.
type Recorder interface {
	// Started reports the inputs that the gateway was created from. l is the learned state that it started with, nil for none;
	// fresh tells whether the part of l about the fleet was restored too, see policy.Gateway.Restore.
	Started(now Micros, seed uint64, s policy.Settings, l *policy.Learned, fresh bool)
	// StepCompleted reports one call of the gateway's Step.
	StepCompleted(now Micros, events []policy.Event, actions []policy.Action)
	// SettingsChanged reports a change of settings; classes and tenants hold, for each new index, the old one or -1.
	SettingsChanged(now Micros, s policy.Settings, classes, tenants []int)
}
