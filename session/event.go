package session

import (
	"errors"
	"time"
)

// Kind is the effect of a statement on its session's state.
type Kind int

// The kinds of statements.
const (
	Plain       Kind = iota // neither creates nor drops state
	Begin                   // begins a transaction
	Commit                  // ends a transaction; must not run twice
	Rollback                // ends a transaction without effect
	CreateState             // creates a temporary table, or sets an option that only the node stores
	DropState               // drops a temporary table or resets an option
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"plain", "begin", "commit", "rollback", "make", "drop"}[k]
}

// createsState reports whether a node may hold new state after a statement of the kind.
func (k Kind) createsState() bool { return k == Begin || k == CreateState }

// Outcome classifies how a statement ended.
type Outcome int

// The outcomes.
const (
	OK           Outcome = iota
	NotRun               // it is certain that the statement did not run
	NodeError            // the node answered with an error
	Unknown              // the statement may have run
	StateMissing         // the statement did not run: the node holds no state of the session
)

// ErrStateMissing is the error of an attempt whose node holds no state of the session; its outcome is StateMissing.
var ErrStateMissing = errors.New("the node has nothing of this session any more")

// Event is an input of a Machine.
type Event interface{ isEvent() }

// The events.
type (
	// StatementReceived is a statement to run. Exactly one Run or Reject answers it.
	StatementReceived struct {
		ID       string // of the session
		Serial   uint64 // of the statement, never used twice
		Tenant   string // by name, because the indexes of tenants change with the settings
		Kind     Kind
		Name     string // of the table or option, for CreateState and DropState
		ReadOnly bool   // the statement changes nothing, not even within a transaction
		HasToken bool   // the client presented a token: the statement must run on the node that holds the state or not at all
		// OutlivesState says that the session's client may go on after the session's last state is dropped, as a client does whose
		// session is its connection. Without it, the session then expires, and its later statements are rejected.
		OutlivesState bool
	}
	// StatementEnded reports the end of a statement for which the machine emitted a Run.
	StatementEnded struct {
		ID      string
		Serial  uint64
		Node    string    // of its last attempt; "": nothing was sent
		Started time.Time // start time of that node's incarnation when the statement was sent
		Outcome Outcome
	}
	// Resumed is a session read from a token that the caller has verified. Another dispatcher issued the token, or this
	// one before a restart.
	Resumed struct {
		ID            string
		Tenant        string
		Node          string
		Started       time.Time // start time of the node's incarnation that holds the state
		Since         Micros    // when the state was created; negative if that was before the zero of the caller's clock
		InTransaction bool
		Tables        []string
	}
	// ClientClosed reports that the client has closed its session or has disconnected.
	ClientClosed struct{ ID string }
	// NodeListUpdated puts a node list in force.
	NodeListUpdated struct{ Nodes []Node }
	// Released reports the outcome of a Release.
	Released struct {
		ID string
		OK bool // the node has released the state
	}
	// TimerFired expires the timers that are due; Machine.Next returns when the next one is.
	TimerFired struct{}
)

// Node is one row of a node list.
type Node struct {
	ID       string
	Draining bool
	Started  time.Time // when the node's incarnation started; zero: the list gives none
	DrainsIn Micros    // time until an announced drain begins; 0: none is announced
}

func (StatementReceived) isEvent() {}
func (StatementEnded) isEvent()    {}
func (Resumed) isEvent()           {}
func (ClientClosed) isEvent()      {}
func (NodeListUpdated) isEvent()   {}
func (Released) isEvent()          {}
func (TimerFired) isEvent()        {}
