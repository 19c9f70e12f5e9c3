package session

// Reason is the reason of a rejection or an end, as clients are told it.
type Reason string

// The reasons that reject one statement and leave the session as it is.
const (
	ReasonBusy            Reason = "SESSION_BUSY"      // another statement of it is running
	ReasonTooManySessions Reason = "TOO_MANY_SESSIONS" // in all, of its tenant or on its node
	ReasonTooManyTables   Reason = "TOO_MANY_TABLES"
	ReasonNoTransaction   Reason = "NO_TRANSACTION" // to commit, to roll back or to drop
	ReasonTransactionOpen Reason = "TRANSACTION_OPEN"
	ReasonNodesUnknown    Reason = "NODES_NOT_KNOWN" // this dispatcher has no node list yet
)

// The reasons that end a session.
const (
	ReasonNodeDrained     Reason = "NODE_DRAINED"     // the grace of its node's drain is over
	ReasonNodeRemoved     Reason = "NODE_GONE"        // its node left the list
	ReasonNodeRestarted   Reason = "NODE_RESTARTED"   // its node was restarted and has lost the state
	ReasonStateUnknown    Reason = "STATE_UNKNOWN"    // what a statement did to its state is not known
	ReasonStateMissing    Reason = "STATE_GONE"       // its node holds no state of it
	ReasonCommitUnknown   Reason = "COMMIT_UNKNOWN"   // whether the commit happened is not known
	ReasonIdle            Reason = "SESSION_IDLE"     // Limits.IdleTimeout
	ReasonTooOld          Reason = "SESSION_TOO_OLD"  // Limits.MaxAge
	ReasonClosed          Reason = "SESSION_CLOSED"   // by its client
	ReasonTransactionDone Reason = "TRANSACTION_DONE" // committed or rolled back
)
