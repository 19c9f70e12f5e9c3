// Package permit decides whether a query may be accepted, an attempt sent or retried, or a connection
// closed. It does no I/O and has no clock and no goroutines. Callers call it immediately before they act,
// with the state of that moment: an act that was permitted when it was decided may not be permitted any
// more.
//
// The rules are those of the platform: each query gets one final answer, and nothing is sent for it after
// that; no query takes effect twice; nothing new is sent to a node that drains or has been removed.
package permit

import "embershunt/policy"

// Reason is the reason why an act is not permitted, or Permitted.
type Reason uint8

// Reasons, and Permitted.
const (
	Permitted          Reason = iota
	Draining                  // the node drains or has been removed
	ClientDisconnected        // the client has disconnected
	Deadline                  // the query's deadline has passed
	DedupWindow               // nodes may have forgotten the idempotency key of an earlier attempt
	AttemptInFlight           // an earlier attempt is in flight, and hedging is not allowed
	MayHaveRun                // an earlier attempt may have run, and another one could repeat its effect
	Answered                  // the final answer has been given, or is on its way to the client
	Stopping                  // the dispatcher is shutting down
	Full                      // the limit of queries in flight is reached
	AnswersPending            // requests on the connection have no answer yet
	Reading                   // a request is being read on the connection
	reasonCount
)

var reasonNames = [reasonCount]string{"permitted", "draining", "client_gone", "deadline", "window",
	"attempt_in_flight", "may_have_run", "answered", "stopping", "full", "owed", "reading"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Intake is the state of a dispatcher when it receives a query.
type Intake struct {
	Stopping    bool
	InFlight    int // queries in flight
	MaxInFlight int // 0: no limit
}

// Start decides whether a query may be accepted.
func (i Intake) Start() Reason {
	switch {
	case i.Stopping:
		return Stopping
	case i.MaxInFlight > 0 && i.InFlight >= i.MaxInFlight:
		return Full
	}
	return Permitted
}

// Sending is the state of an attempt immediately before its first byte is sent.
type Sending struct {
	Now                policy.Micros
	Deadline           policy.Micros // of the query or of the attempt
	StartBefore        policy.Micros // end of the dedup window of the idempotency key; 0: no limit
	ClientDisconnected bool
	DrainNotifiedAt    policy.Micros // when the node was reported as draining or removed; 0: it is healthy
	Sticky             bool          // the node holds the state of the query's session
	Grace              policy.Micros // how long after DrainNotifiedAt sticky queries may still be sent
}

// inGrace reports whether the draining node still serves the query's session.
func (s Sending) inGrace() bool { return s.Sticky && s.Now < s.DrainNotifiedAt+s.Grace }

// Send decides whether the attempt may be sent.
func (s Sending) Send() Reason {
	switch {
	case s.ClientDisconnected:
		return ClientDisconnected
	case s.Now >= s.Deadline:
		return Deadline
	case s.StartBefore > 0 && s.Now >= s.StartBefore:
		return DedupWindow
	case s.DrainNotifiedAt > 0 && !s.inGrace():
		return Draining
	}
	return Permitted
}

// Tolerances of Violation, for the time that passes between the decision of Send and the first byte.
const (
	disconnectSlack policy.Micros = 100_000
	deadlineSlack   policy.Micros = 50_000 // of the deadline and of the end of the dedup window
)

// Sent is the state of an attempt whose first byte has been sent.
type Sent struct {
	At              policy.Micros // the first byte was sent at this time or earlier
	Deadline        policy.Micros // as in Sending
	StartBefore     policy.Micros // as in Sending
	DisconnectedAt  policy.Micros // when the client disconnected; 0: it is connected
	DrainNotifiedAt policy.Micros // as in Sending
	Grace           policy.Micros // tolerance after DrainNotifiedAt, for attempts of all queries
}

// Violation returns the rule that the attempt has violated, or Permitted.
func (s Sent) Violation() Reason {
	switch {
	case s.DrainNotifiedAt > 0 && s.At > s.DrainNotifiedAt+s.Grace:
		return Draining
	case s.DisconnectedAt > 0 && s.At > s.DisconnectedAt+disconnectSlack:
		return ClientDisconnected
	case s.At > s.Deadline+deadlineSlack:
		return Deadline
	case s.StartBefore > 0 && s.At > s.StartBefore+deadlineSlack:
		return DedupWindow
	}
	return Permitted
}

// Attempt is an earlier attempt of a query.
type Attempt struct {
	Sent  policy.Micros // when it was sent
	Ended bool
	Code  policy.Code // of an attempt that has ended
}

// NeverRan reports whether the attempt has certainly had no effect.
func (a Attempt) NeverRan() bool {
	return a.Ended &&
		(a.Code == policy.Rejected || a.Code == policy.ConnectionRefused || a.Code == policy.NeverSent)
}

// Retrying is the state of a query before another attempt is sent.
type Retrying struct {
	Now         policy.Micros
	Deadline    policy.Micros
	Answered    bool // the final answer has been given, or is on its way to the client
	Effect      policy.Effect
	DedupWindow policy.Micros // how long nodes remember an idempotency key; 0: no limit
	Hedging     bool          // another attempt may start while one is in flight
	Earlier     []Attempt
}

// Retry decides whether another attempt may be sent, beside or after the earlier ones. Without earlier
// attempts it decides on the first attempt of the query.
func (r Retrying) Retry() Reason {
	switch {
	case r.Answered:
		return Answered
	case r.Now >= r.Deadline:
		return Deadline
	}
	for _, a := range r.Earlier {
		switch {
		case !a.Ended && !r.Hedging:
			return AttemptInFlight
		case a.NeverRan():
		case r.Effect == policy.NonIdempotent:
			return MayHaveRun
		case r.Effect == policy.IdempotentByKey && r.DedupWindow > 0 && r.Now >= a.Sent+r.DedupWindow:
			return DedupWindow
		}
	}
	return Permitted
}

// Connection is the state of a client's connection that the dispatcher is about to close.
type Connection struct {
	PendingAnswers int  // requests without an answer
	Receiving      bool // a request has been received in part
	DispatcherEnds bool // the dispatcher is shutting down, and would reject a request received in part
}

// Close decides whether the connection may be closed now.
func (c Connection) Close() Reason {
	switch {
	case c.PendingAnswers > 0:
		return AnswersPending
	case c.Receiving && !c.DispatcherEnds:
		return Reading
	}
	return Permitted
}
