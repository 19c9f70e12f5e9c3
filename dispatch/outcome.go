package dispatch

import "fmt"

// OutcomeKind is the kind of a final answer.
type OutcomeKind uint8

// The kinds of final answers.
const (
	Served OutcomeKind = iota + 1
	Shed               // rejected without an effect: a retry is safe
	Failed             // it may have run
)

// String names the kind in logs.
func (k OutcomeKind) String() string {
	switch k {
	case Served:
		return "served"
	case Shed:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Final(%d)", uint8(k))
}

// Reason says in one word why a query was shed or failed; docs/operators.md lists the reasons.
type Reason string

// The reasons.
const (
	ReasonNone               Reason = ""
	ReasonOverload           Reason = "OVERLOADED"         // the gateway shed it: no capacity in time, or too low a priority
	ReasonFull               Reason = "DISPATCHER_FULL"    // as many queries are pending as settings allow
	ReasonClassRemoved       Reason = "CLASS_GONE"         // its class was removed from the configuration before it was received
	ReasonDraining           Reason = "DISPATCHER_STOPS"   // the dispatcher is draining
	ReasonAttempt            Reason = "ATTEMPT_FAILED"     // an attempt may have run and no other is allowed
	ReasonBroken             Reason = "ANSWER_BROKEN"      // the response broke off after a part of it had been forwarded
	ReasonDeadline           Reason = "DEADLINE"           // the deadline passed
	ReasonStatement          Reason = "STATEMENT"          // the node reports an error of the statement
	ReasonInternal           Reason = "DISPATCHER_FAULT"   // the dispatcher itself failed
	ReasonClientDisconnected Reason = "CLIENT_GONE"        // the client disconnected
	ReasonStopped            Reason = "DISPATCHER_STOPPED" // the dispatcher stopped before the answer came
)

// Outcome is a final answer.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	RetryAfter Micros // of Shed: a retry should wait for so long; 0: no advice
	Result     any    // of Served: what the fleet returned, where it was not streamed
	Cause      error  // error of the last attempt, where there was one
	Attempts   int
	Node       string // of the last attempt
}
