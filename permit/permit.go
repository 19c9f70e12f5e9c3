// Package permit says whether something may be started, sent, repeated or closed now. It is free of
// I/O, clocks and goroutines. Whoever is about to act asks it at the moment of the act, with what is
// known then: a permission that was given when the act was decided may have lapsed since.
//
// The rules are those of the platform: one final answer for each query and nothing sent for it after,
// no effect twice, nothing new to a server that drains or is gone.
package permit

import "embershunt/policy"

// Reason is why an act is not permitted; Permitted where it is.
type Reason uint8

// The reasons.
const (
	Permitted          Reason = iota
	Draining                  // the server drains or is gone
	ClientDisconnected        // nobody waits for the answer
	Deadline                  // the query's time is up
	DedupWindow               // servers may have forgotten the key of an attempt that may have run
	MayHaveRun                // an earlier attempt may have run, and a repeat would have its effect twice
	Answered                  // the query has its final answer, or one is on its way to the client
	Stopping                  // the dispatcher takes nothing new
	Full                      // as many queries are held as may be
	AnswersPending            // answers are owed on the connection
	Reading                   // a request is being read on the connection
	reasons
)

var names = [reasons]string{"permitted", "draining", "client_gone", "deadline", "window", "may_have_run",
	"answered", "stopping", "full", "owed", "reading"}

// String is the reason as logs and metrics name it.
func (r Reason) String() string { return names[r] }

// Intake is the state that decides whether a query may be taken.
type Intake struct {
	Stopping    bool
	InFlight    int
	MaxInFlight int // 0: no limit
}

// Start says whether a query may be taken on.
func (i Intake) Start() Reason {
	switch {
	case i.Stopping:
		return Stopping
	case i.MaxInFlight > 0 && i.InFlight >= i.MaxInFlight:
		return Full
	}
	return Permitted
}

// Sending is what is known of an attempt at the moment at which its first byte would leave.
type Sending struct {
	Now                policy.Micros
	Deadline           policy.Micros // the query's deadline, or the attempt's
	StartBefore        policy.Micros // the end of a keyed query's window; 0: there is none
	ClientDisconnected bool
	Notified           policy.Micros // when it was told that the server drains or is gone; 0: it is ready
	Sticky             bool          // the server holds the state of the query's session
	Grace              policy.Micros // for pinned queries, after Notified
}

// Send says whether an attempt may begin.
func (s Sending) Send() Reason {
	switch {
	case s.ClientDisconnected:
		return ClientDisconnected
	case s.Now >= s.Deadline:
		return Deadline
	case s.StartBefore > 0 && s.Now >= s.StartBefore:
		return DedupWindow
	case s.Notified > 0 && !(s.Sticky && s.Now < s.Notified+s.Grace):
		return Draining
	}
	return Permitted
}

// Slack of the rules on attempts that have begun: the time between the decision and the first byte.
const (
	clientSlack   = 100_000 // microseconds after the client has left
	deadlineSlack = 50_000
)

// Sent is what is known of an attempt whose first byte has left.
type Sent struct {
	At             policy.Micros // when the first byte had left, at the latest
	Deadline       policy.Micros
	StartBefore    policy.Micros
	DisconnectedAt policy.Micros // when the client left; 0: it is there
	Notified       policy.Micros // as in Sending
	Grace          policy.Micros
}

// Violation says which rule an attempt has broken; Permitted where it is none.
func (s Sent) Violation() Reason {
	switch {
	case s.Notified > 0 && s.At > s.Notified+s.Grace:
		return Draining
	case s.DisconnectedAt > 0 && s.At > s.DisconnectedAt+clientSlack:
		return ClientDisconnected
	case s.At > s.Deadline+deadlineSlack:
		return Deadline
	case s.StartBefore > 0 && s.At > s.StartBefore+deadlineSlack:
		return DedupWindow
	}
	return Permitted
}

// Attempt is one that was sent before.
type Attempt struct {
	Sent  policy.Micros
	Ended bool
	Code  policy.Code // of an attempt that has ended
}

// NeverRan tells that an attempt surely had no effect.
func (a Attempt) NeverRan() bool {
	return a.Ended && (a.Code == policy.Rejected || a.Code == policy.ConnectionRefused || a.Code == policy.NeverSent)
}

// Retrying is what is known of a query of which another attempt would be sent.
type Retrying struct {
	Now         policy.Micros
	Deadline    policy.Micros
	Answered    bool
	Effect      policy.Effect
	DedupWindow policy.Micros // of keyed queries; 0: no limit
	Earlier     []Attempt
}

// Retry says whether an attempt may be sent beside or after the earlier ones. That of a query without
// earlier attempts is its first.
func (r Retrying) Retry() Reason {
	switch {
	case r.Answered:
		return Answered
	case r.Now >= r.Deadline:
		return Deadline
	}
	for _, a := range r.Earlier {
		switch {
		case a.NeverRan():
		case r.Effect == policy.NonIdempotent:
			return MayHaveRun
		case r.Effect == policy.IdempotentByKey && r.DedupWindow > 0 && r.Now >= a.Sent+r.DedupWindow:
			return DedupWindow
		}
	}
	return Permitted
}

// Connection is what is known of a client's connection that is to be closed.
type Connection struct {
	PendingAnswers int  // answers
	Reading        bool // a request has begun and is not whole
	Ending         bool // the dispatcher ends: a request that is being read will be refused
}

// Close says whether a connection may be closed now.
func (c Connection) Close() Reason {
	switch {
	case c.PendingAnswers > 0:
		return AnswersPending
	case c.Reading && !c.Ending:
		return Reading
	}
	return Permitted
}
