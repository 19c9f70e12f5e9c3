package dispatch

// Fault is a violation of the ledger's rules by the gateway, the fleet or a frontend. Each fault is counted, and logged with the
// history of its query.
type Fault struct {
	Kind    FaultKind
	ID      string // of the query
	History string // events of the query; "": it is not in the ledger
}

// FaultKind names a kind of fault in logs and in a metric's label.
type FaultKind string

// The faults.
const (
	FaultUnknownAttempt FaultKind = "late_outcome"  // a response or an end of an unknown attempt, or a response after its end
	FaultDoubleEnd      FaultKind = "double_end"    // a second end of the same attempt
	FaultDoubleAnswer   FaultKind = "double_answer" // a second final answer, withheld
	FaultForgotten      FaultKind = "forgotten"     // the deadline passed without an answer of the gateway or a response being forwarded
	FaultLateSend       FaultKind = "late_send"     // a send after the deadline, the final answer or a forwarded response, withheld
	FaultForbidden      FaultKind = "forbidden"     // a send that could repeat an effect, or overlap another without hedging, withheld
	FaultUnknownQuery   FaultKind = "unknown_query" // an action for a query that is not in the ledger
	FaultDoubleID       FaultKind = "double_id"     // a query with the id of another one in the ledger; the new query is failed
)

// FaultKinds lists all kinds of faults, so that their counters can be exported as 0 from the start.
var FaultKinds = []FaultKind{FaultUnknownAttempt, FaultDoubleEnd, FaultDoubleAnswer, FaultForgotten, FaultLateSend,
	FaultForbidden, FaultUnknownQuery, FaultDoubleID}
