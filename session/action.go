package session

import "time"

// Action is something for the caller to do.
type Action interface{ isAction() }

// The actions, to be carried out in order.
type (
	// Run runs a statement on the node that holds the session's state, or anywhere where StickyTo is "".
	Run struct {
		ID       string // of the session
		Serial   uint64 // of the statement
		StickyTo string
		DrainsIn Micros // how long the node still accepts the session's statements; 0: it is not to drain
	}
	// Reject answers a statement that is not run.
	Reject struct {
		ID         string
		Serial     uint64
		Reason     Reason
		State      State  // of the session
		RetryAfter Micros // when the client may begin a new session; 0: no advice
	}
	// Cancel cancels a running statement whose session has ended.
	Cancel struct {
		ID         string
		Serial     uint64
		Reason     Reason
		RetryAfter Micros
	}
	// Stick says that the session is sticky to a node from now on, for its token.
	Stick struct {
		ID      string
		Node    string
		Started time.Time // of the node
		Since   Micros    // when the session's state was created
	}
	// Unstick says that no node holds state of the session any more.
	Unstick struct{ ID string }
	// Release asks a node to roll back and drop what it holds of a session. Its end is a Released event.
	Release struct {
		ID, Node string
	}
)

func (Run) isAction()     {}
func (Reject) isAction()  {}
func (Cancel) isAction()  {}
func (Stick) isAction()   {}
func (Unstick) isAction() {}
func (Release) isAction() {}
