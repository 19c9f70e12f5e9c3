package session

import (
	"errors"
	"time"
)

// Kind is what a statement does to its session.
type Kind int

// The kinds of statements.
const (
	Plain       Kind = iota
	Begin            // begins a transaction
	Commit           // must not run twice
	Rollback         // ends a transaction without effect
	CreateState      // creates a temporary table, or sets an option that only the node knows
	DropState        // drops it
)

// String names the kind in logs.
func (k Kind) String() string {
	return [...]string{"plain", "begin", "commit", "rollback", "make", "drop"}[k]
}

// createsState says whether a node may hold state after the statement that it did not hold before.
func (k Kind) createsState() bool { return k == Begin || k == CreateState }

// Outcome is how a statement ended.
type Outcome int

// The outcomes.
const (
	OK           Outcome = iota
	NotRun               // it surely did not run
	NodeError            // the node answered with an error
	Unknown              // it may have run
	StateMissing         // it did not run: the node holds no state of the session
)

// ErrStateMissing is the cause of an answer whose outcome is StateMissing.
var ErrStateMissing = errors.New("the node has nothing of this session any more")

// Event is an input of a Machine.
type Event interface{ isEvent() }

// The events.
type (
	// StatementReceived is a statement to run. Exactly one Run or Reject answers it.
	StatementReceived struct {
		ID            string // of the session
		Serial        uint64 // of the statement, never used twice
		Tenant        string // by name: indexes change with the settings
		Kind          Kind
		Name          string // of the table or option, for CreateState and DropState
		ReadOnly      bool   // it changes nothing, not even within a transaction
		HasToken      bool   // its client has a token: it must not run where the state is not
		OutlivesState bool   // the session goes on without its state, as a connection does
	}
	// StatementEnded is the end of a statement that was run.
	StatementEnded struct {
		ID      string
		Serial  uint64
		Node    string    // of its last attempt; "": nothing was sent
		Started time.Time // of that node when it was sent
		Outcome Outcome
	}
	// Resumed is a session from a token that the caller has checked: another dispatcher made it, or this one before a
	// restart.
	Resumed struct {
		ID            string
		Tenant        string
		Node          string
		Started       time.Time // of the node, when the state was created
		Since         Micros    // when the state was created; may be below 0
		InTransaction bool
		Tables        []string
	}
	// ClientClosed says that the client has closed its session or has disconnected.
	ClientClosed struct{ ID string }
	// NodeListUpdated puts a node list in force.
	NodeListUpdated struct{ Nodes []Node }
	// Released is the end of a Release.
	Released struct {
		ID string
		OK bool
	}
	// TimerFired lets timers expire; Machine.Next says when it is due.
	TimerFired struct{}
)

// Node is a row of the node list.
type Node struct {
	ID       string
	Draining bool
	Started  time.Time // zero: long ago
	DrainsIn Micros    // until an announced drain; 0: none
}

func (StatementReceived) isEvent() {}
func (StatementEnded) isEvent()    {}
func (Resumed) isEvent()           {}
func (ClientClosed) isEvent()      {}
func (NodeListUpdated) isEvent()   {}
func (Released) isEvent()          {}
func (TimerFired) isEvent()        {}
