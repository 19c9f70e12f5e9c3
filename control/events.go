package control

import (
	"google.golang.org/protobuf/proto"

	"embershunt/config"
	"embershunt/nodelist"
)

// LiveState is the dispatcher's state at the moment of a decision, as far as the safety checks need it.
type LiveState struct {
	InFlight        map[string]int // queries without a final answer, by class
	Retries         int            // retries within the window of the retry budget
	Received        int            // queries received within it
	OrderKeyResting bool           // an order key is in its ordering gap, or may be
}

// Event is an input of the module.
type Event interface{ isEvent() }

// The events.
type (
	// Offered is one resource of one response of the control service. Err is why it cannot be decoded; Message and
	// Nodes are empty then.
	Offered struct {
		Kind    Kind
		Version string // of the response, opaque
		Nonce   string
		Message proto.Message   // for the kinds of settings
		Nodes   []nodelist.Node // for Nodes
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
	// StreamLost is the end of the stream: responses without a reply will be sent again on the next one.
	StreamLost struct{}
	// Override exempts one set number from the safety checks, once. The caller has authenticated the operator.
	Override struct{ Number uint64 }
	// Pin holds the settings at the active set until it is switched off.
	Pin struct{ On bool }
	// RollBack activates an earlier set, which the caller has read from the store.
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

// Action is an output of the module: something that the caller carries out.
type Action interface{ isAction() }

// The actions, to be carried out in order.
type (
	// Ack acknowledges a response.
	Ack struct {
		Kind           Kind
		Version, Nonce string
	}
	// Nack rejects a response with the reasons; Version is the last one acknowledged.
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
	// ApplyNodeList activates a node list.
	ApplyNodeList struct{ Nodes []nodelist.Node }
	// NodeListRejected reports to the decision module that a node list was rejected.
	NodeListRejected struct{ Reasons []string }
	// Renew opens a new stream: a response that was rejected may be accepted now, and a service sends a version only
	// once a stream.
	Renew struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Ack) isAction()              {}
func (Nack) isAction()             {}
func (Store) isAction()            {}
func (Apply) isAction()            {}
func (DeleteSet) isAction()        {}
func (ApplyNodeList) isAction()    {}
func (NodeListRejected) isAction() {}
func (Renew) isAction()            {}
func (Log) isAction()              {}
