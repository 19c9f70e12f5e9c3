package dispatch

import "fmt"

// OutcomeKind is the kind of a final answer.
type OutcomeKind uint8

// The kinds of final answers.
const (
	Served OutcomeKind = iota + 1
	Shed               // rejected without an effect: a retry is safe
	Failed             // the query may have been executed
)

// String returns the name of the kind in logs.
func (k OutcomeKind) String() string {
	switch k {
	case Served:
		return "served"
	case Shed:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("OutcomeKind(%d)", uint8(k))
}

// Reason is a code that tells clients and operators why a query was shed or failed; docs/operators.md lists the reasons.
type Reason string

// The reasons.
const (
	ReasonNone               Reason = ""
	ReasonOverload           Reason = "OVERLOADED"         // the gateway shed it: no capacity in time, or too low a priority
	ReasonFull               Reason = "DISPATCHER_FULL"    // a limit of the dispatcher, such as that of pending queries, is reached
	ReasonClassRemoved       Reason = "CLASS_GONE"         // the query's class was removed, or it was classified with too old settings
	ReasonDraining           Reason = "DISPATCHER_STOPS"   // the dispatcher is draining or has stopped
	ReasonAttemptFailed      Reason = "ATTEMPT_FAILED"     // an attempt may have run and no further attempt is allowed
	ReasonResponseBroken     Reason = "ANSWER_BROKEN"      // the response broke off after forwarding to the client had begun
	ReasonDeadline           Reason = "DEADLINE"           // the query's deadline passed
	ReasonStatement          Reason = "STATEMENT"          // the node reported an error of the statement
	ReasonInternal           Reason = "DISPATCHER_FAULT"   // the dispatcher itself failed: a panic, or a query id already in use
	ReasonClientDisconnected Reason = "CLIENT_GONE"        // the client disconnected
	ReasonStopped            Reason = "DISPATCHER_STOPPED" // the dispatcher stopped while the query was pending
)

// Outcome is the final answer of a query.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	RetryAfter Micros // for Shed: time to wait before a retry; 0: no advice
	Result     any    // for Served: the result that the fleet returned, unless it was streamed
	Cause      error  // error of the last attempt that ended; nil: none
	Attempts   int
	Node       string // of the last attempt; "": none
}
