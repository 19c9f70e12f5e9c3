// Package permit decides whether something may be started, sent, retried or closed now. It is free of
// I/O, clocks and goroutines. It is called at the moment of the act, with the state of that moment: what
// was permitted when the act was decided may not be any more.
//
// The rules are those of the platform: one final answer for each query and nothing sent for it after
// that, no effect twice, nothing new to a server that drains or has been removed.
package permit

import "embershunt/policy"

// Reason is the reason why an act is not permitted; Permitted where it is.
type Reason uint8

// The reasons.
const (
	Permitted          Reason = iota
	Draining                  // the server drains or has been removed
	ClientDisconnected        // the client has disconnected
	Deadline                  // the query's deadline has passed
	DedupWindow               // servers may not recognize the key of an earlier attempt any more
	AttemptInFlight           // an earlier attempt is in flight, and hedging is not allowed
	MayHaveRun                // an earlier attempt may have run, and another one would have its effect twice
	Answered                  // the final answer has been given, or is on its way to the client
	Stopping                  // the dispatcher shuts down
	Full                      // the limit of queries in flight is reached
	AnswersPending            // requests on the connection have no answer yet
	Reading                   // a request is being read on the connection
	reasonCount
)

var reasonNames = [reasonCount]string{"permitted", "draining", "client_gone", "deadline", "window",
	"attempt_in_flight", "may_have_run", "answered", "stopping", "full", "owed", "reading"}

// String is the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Intake is the state of a dispatcher that receives a query.
type Intake struct {
	Stopping    bool
	InFlight    int
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

// Sending is the state of an attempt at the moment when its first byte would be sent.
type Sending struct {
	Now                policy.Micros
	Deadline           policy.Micros // the query's deadline, or the attempt's
	StartBefore        policy.Micros // the end of the deduplication window of its key; 0: none
	ClientDisconnected bool
	DrainNotifiedAt    policy.Micros // when the server was reported as draining or removed; 0: it is healthy
	Sticky             bool          // the server has the state of the query's session
	Grace              policy.Micros // for sticky queries, after DrainNotifiedAt
}

// inGrace tells whether the server still serves the session while it drains.
func (s Sending) inGrace() bool { return s.Sticky && s.Now < s.DrainNotifiedAt+s.Grace }

// Send decides whether an attempt may begin.
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

// Slack of the rules on attempts that have begun: the time between the decision and the first byte.
const (
	disconnectSlack policy.Micros = 100_000
	deadlineSlack   policy.Micros = 50_000
)

// Sent is the state of an attempt whose first byte has been sent.
type Sent struct {
	At              policy.Micros // when the first byte had been sent, at the latest
	Deadline        policy.Micros
	StartBefore     policy.Micros
	DisconnectedAt  policy.Micros // when the client disconnected; 0: it is connected
	DrainNotifiedAt policy.Micros // as in Sending
	Grace           policy.Micros
}

// Violation is the rule that an attempt has violated; Permitted where it is none.
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
	Sent  policy.Micros
	Ended bool
	Code  policy.Code // of an attempt that has ended
}

// NeverRan tells whether an attempt certainly had no effect.
func (a Attempt) NeverRan() bool {
	return a.Ended &&
		(a.Code == policy.Rejected || a.Code == policy.ConnectionRefused || a.Code == policy.NeverSent)
}

// Retrying is the state of a query of which another attempt would be sent.
type Retrying struct {
	Now         policy.Micros
	Deadline    policy.Micros
	Answered    bool
	Effect      policy.Effect
	DedupWindow policy.Micros // of queries with an idempotency key; 0: no limit
	Hedging     bool          // another attempt may start while one is in flight
	Earlier     []Attempt
}

// Retry decides whether an attempt may be sent beside or after the earlier ones. Without earlier ones it is
// the first of the query.
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

// Connection is the state of a client's connection that is to be closed.
type Connection struct {
	PendingAnswers int  // requests without an answer
	Receiving      bool // a request has been received in part
	DispatcherEnds bool // the dispatcher ends: a request received in part would be rejected
}

// Close decides whether a connection may be closed now.
func (c Connection) Close() Reason {
	switch {
	case c.PendingAnswers > 0:
		return AnswersPending
	case c.Receiving && !c.DispatcherEnds:
		return Reading
	}
	return Permitted
}
