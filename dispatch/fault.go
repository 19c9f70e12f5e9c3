package dispatch

// Fault is a violation of the ledger's rules by the gateway or the fleet; it is counted and logged with the query's history.
type Fault struct {
	Kind    FaultKind
	ID      string
	History string
}

// FaultKind names a fault, in logs and as the label of a metric.
type FaultKind string

// The faults.
const (
	FaultLateOutcome  FaultKind = "late_outcome"  // the end of an attempt that is not in the ledger
	FaultDoubleEnd    FaultKind = "double_end"    // a second end of one attempt
	FaultDoubleAnswer FaultKind = "double_answer" // a second final answer, withheld
	FaultForgotten    FaultKind = "forgotten"     // the deadline passed without an answer of the gateway
	FaultLateSend     FaultKind = "late_send"     // a send after the final answer or the deadline, withheld
	FaultForbidden    FaultKind = "forbidden"     // a retry that could have an effect twice, or run beside another one, withheld
	FaultUnknown      FaultKind = "unknown_query" // an action that names a query which is not in the ledger
	FaultDoubleID     FaultKind = "double_id"     // a query with the id of another in the ledger, rejected
)

// FaultKinds lists all of them, for counters that start at 0.
var FaultKinds = []FaultKind{FaultLateOutcome, FaultDoubleEnd, FaultDoubleAnswer, FaultForgotten, FaultLateSend,
	FaultForbidden, FaultUnknown, FaultDoubleID}
