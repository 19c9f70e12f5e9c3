package dispatch

import "embershunt/policy"

// Event is an input of a Core: QueryReceived and ClientDisconnected come from a frontend, the others from the fleet or the
// server.
type Event interface{ isEvent() }

// The events.
type (
	// QueryReceived hands over a query; the core owes it one final answer.
	QueryReceived struct{ Query *Query }
	// ClientDisconnected says that the client cancelled its query or that its connection broke.
	ClientDisconnected struct{ ID string }
	// ResponseReady says that the first frame of an attempt's response has arrived; the attempt waits for
	// Fleet.ForwardResponse or Fleet.Cancel.
	ResponseReady struct {
		ID     string
		Number int
	}
	// AttemptEnded is the end of an attempt.
	AttemptEnded struct {
		ID                string
		Number            int
		Code              policy.Code
		StatementRejected bool // the node reports an error of the statement: an answer, no fault of the node
		Latency           Micros
		Load              *policy.Load
		WorkMicros        Micros  // processor time of all threads; 0: the node does not report it
		NeededMB          float64 // peak memory; 0: the node does not report it
		Result            any
		Err               error
	}
	// PolicyEvent passes an event to the gateway that does not concern the ledger, such as policy.EndpointUpdate.
	PolicyEvent struct{ Event policy.Event }
	// Change puts new settings in force between two steps, completely or not at all. Done is called once.
	Change struct {
		Serial   uint64
		Settings policy.Settings
		Done     func(error)
	}
	// Inspect calls Func on the loop, between two events; Func must neither block nor change anything.
	Inspect struct{ Func func(*Core) }
)

func (QueryReceived) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (ResponseReady) isEvent()      {}
func (AttemptEnded) isEvent()       {}
func (PolicyEvent) isEvent()        {}
func (Change) isEvent()             {}
func (Inspect) isEvent()            {}
