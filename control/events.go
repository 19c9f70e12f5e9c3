package control

import (
	"google.golang.org/protobuf/proto"

	"embershunt/config"
	"embershunt/nodelist"
)

// LiveState is the part of the dispatcher's current state that the safety checks compare a set with.
type LiveState struct {
	PendingByClass map[string]int // queries without a final answer, by class
	Retries        int            // retries sent within the window of the retry budget
	Received       int            // queries received within the same window
	OrderKeyPaused bool           // an order key has an attempt in flight or is in its ordering gap
}

// Event is an input of Module.Step.
type Event interface{ isEvent() }

// The events that Step accepts.
type (
	// Offered is one resource, or one node list, from a response of the control service. Err is set where it cannot be
	// decoded; Message and Nodes are empty then.
	Offered struct {
		Kind    Kind
		Version string // of the response, opaque
		Nonce   string
		Message proto.Message   // for all kinds but Nodes
		Nodes   []nodelist.Node // for the kind Nodes
		Err     error
		Live    LiveState
	}
	// Stored is the completion of a Store action.
	Stored struct {
		Number uint64
		Err    error
	}
	// Applied is the completion of an Apply action.
	Applied struct {
		Number uint64
		Err    error
	}
	// StreamLost reports the end of the stream. The service sends responses without a reply again on the next stream.
	StreamLost struct{}
	// Override exempts the set or the node list with this number from the safety checks. It is used up when the set becomes
	// active or the node list is accepted. The caller has authenticated the operator.
	Override struct{ Number uint64 }
	// Pin with On set keeps the active set until a Pin without it: other sets that are offered are rejected.
	Pin struct{ On bool }
	// RollBack activates and pins an earlier set, which the caller has read from the store.
	RollBack struct {
		Set  Set
		Live LiveState
	}
)

func (Offered) isEvent()    {}
func (Stored) isEvent()     {}
func (Applied) isEvent()    {}
func (StreamLost) isEvent() {}
func (Override) isEvent()   {}
func (Pin) isEvent()        {}
func (RollBack) isEvent()   {}

// Action is an output of Module.Step, which the caller carries out.
type Action interface{ isAction() }

// The actions. The caller carries them out in the order that Step returns them in.
type (
	// Ack acknowledges a response.
	Ack struct {
		Kind           Kind
		Version, Nonce string
	}
	// Nack rejects a response. Version is the last one acknowledged for the kind, as xDS requires.
	Nack struct {
		Kind           Kind
		Version, Nonce string
		Reasons        []string
	}
	// Store makes a set durable; its completion is a Stored event.
	Store struct{ Set Set }
	// Apply activates a set; its completion is an Applied event.
	Apply struct {
		Set    Set
		Config *config.Config
	}
	// DeleteSet deletes a stored set that could not be activated.
	DeleteSet struct{ Number uint64 }
	// ApplyNodeList activates a complete node list.
	ApplyNodeList struct{ Nodes []nodelist.Node }
	// NodeListRejected reports a rejected node list to the decision module (package policy).
	NodeListRejected struct{ Reasons []string }
	// RenewStream replaces the stream by a new one: a set that was rejected may be accepted now, and a service sends each
	// version only once on a stream.
	RenewStream struct{}
	// Log is a log line for operators.
	Log struct{ Text string }
)

func (Ack) isAction()              {}
func (Nack) isAction()             {}
func (Store) isAction()            {}
func (Apply) isAction()            {}
func (DeleteSet) isAction()        {}
func (ApplyNodeList) isAction()    {}
func (NodeListRejected) isAction() {}
func (RenewStream) isAction()      {}
func (Log) isAction()              {}
