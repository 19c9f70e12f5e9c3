package frontend

import (
	"fmt"
	"time"

	"embershunt/session"
)

// SessionError is the error of a statement that its session rejected, or that failed because its session ended.
type SessionError struct {
	Reason     session.Reason
	State      session.State // of the session
	RetryAfter time.Duration // when the client may begin a new session; 0: no advice
	Stopped    bool          // the statement had been started; false: it was rejected
}

// Error implements error.
func (e *SessionError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, reasonTexts[e.Reason]) }

// reasonTexts describe the reasons to clients.
var reasonTexts = map[session.Reason]string{
	session.ReasonBusy:            "another statement of this session runs",
	session.ReasonTooManySessions: "no room for another session: not begun",
	session.ReasonTooManyTables:   "this session has as many temporary tables as allowed",
	session.ReasonNoTransaction:   "no such transaction is open here",
	session.ReasonTransactionOpen: "a transaction is open already",
	session.ReasonNodesUnknown:    "this dispatcher has no node list yet",
	session.ReasonNodeDrained:     "its node drains and takes nothing new: the state is lost, begin again",
	session.ReasonNodeRemoved:     "its node is gone: the state is lost, begin again",
	session.ReasonNodeRestarted:   "its node was restarted: the state is lost, begin again",
	session.ReasonStateUnknown:    "what a statement did to its state is not known: the state is lost, begin again",
	session.ReasonStateMissing:    "its node has nothing of it any more: the state is lost, begin again",
	session.ReasonCommitUnknown:   "the commit may have happened or not; it is not repeated",
	session.ReasonIdle:            "it was idle for too long: rolled back",
	session.ReasonTooOld:          "it was open for too long: rolled back",
	session.ReasonClosed:          "it was closed by its client",
	session.ReasonTransactionDone: "the transaction was committed or rolled back already",
}

// NothingCommitted reports whether it is certain that the failed statement committed nothing.
func (e *SessionError) NothingCommitted() bool { return e.Reason != session.ReasonCommitUnknown }
