package session

import "time"

// Action is an output of a Machine, for the caller to carry out.
type Action interface{ isAction() }

// The actions, to be carried out in order.
type (
	// Run sends a statement to the node StickyTo, which holds the session's state, or to any node if StickyTo is "".
	Run struct {
		ID       string // of the session
		Serial   uint64 // of the statement
		StickyTo string
		DrainsIn Micros // how long the node still accepts the session's statements; 0: no drain is under way or announced
	}
	// Reject answers a statement that must not run.
	Reject struct {
		ID         string
		Serial     uint64
		Reason     Reason
		State      State  // of the session
		RetryAfter Micros // how long the client should wait before a new session or, for ReasonNodesUnknown, a retry; 0: no advice
	}
	// Cancel cancels a running statement whose session is ending.
	Cancel struct {
		ID         string
		Serial     uint64
		Reason     Reason
		RetryAfter Micros // as in Reject
	}
	// Stick reports that the session is sticky to a node from now on. Its fields go into the session's token.
	Stick struct {
		ID      string
		Node    string
		Started time.Time // of the node
		Since   Micros    // when the session's state was created
	}
	// Unstick reports that no node holds state of the session any more.
	Unstick struct{ ID string }
	// Release asks a node to roll back the session's transaction and drop its state. The caller reports the outcome as a
	// Released event.
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
