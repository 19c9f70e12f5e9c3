package session

// Reason is why a statement was rejected or a session ended, as clients are told.
type Reason string

// The reasons to reject a single statement; the session continues, except as noted.
const (
	ReasonBusy            Reason = "SESSION_BUSY"      // another statement of the session is running
	ReasonTooManySessions Reason = "TOO_MANY_SESSIONS" // in total, of its tenant or on its node; the last of these ends the session
	ReasonTooManyTables   Reason = "TOO_MANY_TABLES"   // the session has Limits.MaxTables temporary tables and options
	ReasonNoTransaction   Reason = "NO_TRANSACTION"    // there is none to commit, roll back or resume, or no table or option to drop
	ReasonTransactionOpen Reason = "TRANSACTION_OPEN"  // a begin within a transaction
	ReasonNodesUnknown    Reason = "NODES_NOT_KNOWN"   // this dispatcher has no node list yet
)

// The reasons that end a session.
const (
	ReasonNodeDrained     Reason = "NODE_DRAINED"     // its node has been draining for Limits.DrainGrace
	ReasonNodeRemoved     Reason = "NODE_GONE"        // its node left the list
	ReasonNodeRestarted   Reason = "NODE_RESTARTED"   // its node was restarted and lost the state
	ReasonStateUnknown    Reason = "STATE_UNKNOWN"    // it is not known what a statement did to the session's state
	ReasonStateMissing    Reason = "STATE_GONE"       // its node reports that it holds no state of the session
	ReasonCommitUnknown   Reason = "COMMIT_UNKNOWN"   // it is not known whether the commit took effect
	ReasonIdle            Reason = "SESSION_IDLE"     // no statement for Limits.IdleTimeout
	ReasonTooOld          Reason = "SESSION_TOO_OLD"  // its state is older than Limits.MaxAge
	ReasonClosed          Reason = "SESSION_CLOSED"   // by its client
	ReasonTransactionDone Reason = "TRANSACTION_DONE" // its last state was dropped, or its transaction ended and left no state
)
