package dispatch

import "embershunt/policy"

// Event is an input of a Core. QueryReceived and ClientDisconnected come from a frontend, the other events from the fleet or
// the server.
type Event interface{ isEvent() }

// The events.
type (
	// QueryReceived submits a query; the core gives it exactly one final answer.
	QueryReceived struct{ Query *Query }
	// ClientDisconnected reports that the client cancelled its query or that its connection broke.
	ClientDisconnected struct{ ID string }
	// ResponseReady reports that the first frame of an attempt's response has arrived. The attempt then waits for
	// Fleet.ForwardResponse or Fleet.Cancel.
	ResponseReady struct {
		ID     string
		Number int
	}
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID                string
		Number            int
		Code              policy.Code
		StatementRejected bool // the statement itself is in error: the node answered, and is not at fault
		Latency           Micros
		Load              *policy.Load
		WorkMicros        Micros  // CPU time of all threads; 0: the node does not report it
		NeededMB          float64 // peak memory; 0: the node does not report it
		Result            any
		Err               error
	}
	// PolicyEvent passes an event that does not concern the ledger to the gateway, such as policy.EndpointUpdate.
	PolicyEvent struct{ Event policy.Event }
	// SettingsChange replaces the settings between two steps of the gateway, completely or not at all. Done is called once with the
	// result, but never if the gateway panics first or the loop has ended.
	SettingsChange struct {
		Version  uint64
		Settings policy.Settings
		Done     func(error)
	}
	// Inspect calls Func on the loop's goroutine, between two events. Func must neither block nor change anything; it is
	// not called if the gateway panics first or the loop has ended.
	Inspect struct{ Func func(*Core) }
)

func (QueryReceived) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (ResponseReady) isEvent()      {}
func (AttemptEnded) isEvent()       {}
func (PolicyEvent) isEvent()        {}
func (SettingsChange) isEvent()     {}
func (Inspect) isEvent()            {}
