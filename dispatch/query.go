package dispatch

import (
	"fmt"

	"embershunt/policy"
)

// Micros is a point in time or a span, in microseconds of the clock handed in.
type Micros = policy.Micros

// Query is one client's query as a front hands it over.
type Query struct {
	ID          string // never used twice by this dispatcher
	Version     uint64 // of the settings by which Class and Tenant are numbered
	Class       int    // index in policy.Settings.Classes
	Tenant      int    // index in policy.Settings.Tenants
	Cost        Micros // estimated work of all threads; 0: unknown
	MemoryMB    float64
	TableGroup  int64 // group of tables it reads or writes
	OrderKey    int64 // order, where HasOrderKey
	HasOrderKey bool
	ClientRetry bool   // a client's marked repeat
	Protocol    uint8  // bit of nodelist.Speaks that a node must have
	StickyTo    string // the node that holds its session's state; "": none
	Deadline    Micros // the final answer is owed by then
	Work        any    // what a node is to do; known to the front and the fleet alone
	Client      Client
}

// Client receives the final answer of one query, once. Answer must not block and may be called from the loop.
type Client interface{ Answer(Outcome) }

// Kind is the kind of a final answer.
type OutcomeKind uint8

// The final answers. Refused tells that trying again does no harm; Failed promises nothing.
const (
	Served OutcomeKind = iota + 1
	Shed
	Failed
)

func (f OutcomeKind) String() string {
	switch f {
	case Served:
		return "served"
	case Shed:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Final(%d)", uint8(f))
}

// Reason says in one word why a query was refused or failed; docs/operators.md lists them.
type Reason string

// The reasons.
const (
	ReasonNone               Reason = ""
	ReasonOverload           Reason = "OVERLOADED"         // the module gave it up: no room in time, or not worth its work
	ReasonFull               Reason = "DISPATCHER_FULL"    // as many queries are held as settings allow
	ReasonClassRemoved       Reason = "CLASS_GONE"         // its class left the configuration while it was on its way
	ReasonDraining           Reason = "DISPATCHER_STOPS"   // the dispatcher takes nothing new
	ReasonAttempt            Reason = "ATTEMPT_FAILED"     // an attempt may have run and no other is allowed
	ReasonBroken             Reason = "ANSWER_BROKEN"      // the answer had begun and its node went silent or broke off
	ReasonDeadline           Reason = "DEADLINE"           // the deadline came first
	ReasonStatement          Reason = "STATEMENT"          // the node says that the statement is wrong
	ReasonInternal           Reason = "DISPATCHER_FAULT"   // the dispatcher itself failed
	ReasonClientDisconnected Reason = "CLIENT_GONE"        // nobody is there to read an answer
	ReasonStopped            Reason = "DISPATCHER_STOPPED" // stopped before the answer was in
)

// Outcome is a final answer.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	RetryAfter Micros // Refused: not before this much time has gone; 0: no advice
	Result     any    // Served: what the fleet returned, where it was not streamed
	Cause      error  // the last attempt's error, where there was one
	Attempts   int
	Node       string // of the last attempt
}

// Attempt is one send of a query to a node.
type Attempt struct {
	Query        *Query
	Number       int // from 0
	Node         string
	Deadline     Micros // the attempt's time-out; never after Query.Due
	StartBefore  Micros // it must not begin at a node later than this; 0: until Until
	MemoryMB     float64
	Priority     int  // 0 to 3
	HasResources bool // MemoryMB and Priority were set by the module
}

// Fleet carries the module's actions out. No method blocks. Every Send ends in exactly one Ended event, also after
// Cancel and also where nothing was sent.
type Fleet interface {
	Send(Attempt)
	// ForwardResponse lets the answer of an attempt that has Begun flow to its client.
	ForwardResponse(id string, n int)
	Cancel(id string, n int)
	// SetResources changes what runs: for every attempt of the query that is out.
	SetResources(id string, memoryMB float64, priority int)
	HealthCheck(node string)
	WatchEndpoints()
	FetchEndpoints()
	SendGossip(peer int, data []byte)
}

// Event is what comes in: Taken from a front, the rest from the fleet or the clock.
type Event interface{ isEvent() }

// The events.
type (
	// QueryReceived hands over a query; from now on one final answer is owed.
	QueryReceived struct{ Query *Query }
	// ClientDisconnected tells that the client is gone: it cancelled, or its connection broke.
	ClientDisconnected struct{ ID string }
	// ResponseReady tells that an attempt has its first frame ready and waits for Open or Cancel.
	ResponseReady struct {
		ID     string
		Number int
	}
	// AttemptEnded is the end of an attempt.
	AttemptEnded struct {
		ID         string
		Number     int
		Code       policy.Code
		Rejected   bool // the node's word that the statement is wrong: an answer, no fault of the node
		Latency    Micros
		Load       *policy.Load
		WorkMicros Micros  // processor time of all threads, where the node tells; else 0
		NeededMB   float64 // most memory, where the node tells; else 0
		Result     any
		Err        error
	}
	// PolicyEvent passes on what needs no ledger: policy.Engines, Probed, Progress and Heard.
	PolicyEvent struct{ Event policy.Event }
	// Change puts new settings in force between two steps, whole or not at all. Done gets exactly one value.
	Change struct {
		Version  uint64
		Settings policy.Settings
		Done     func(error)
	}
	// Inspect lets the loop look at the core between two events; At must neither block nor change anything.
	Inspect struct{ Func func(*Core) }
)

func (QueryReceived) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (ResponseReady) isEvent()      {}
func (AttemptEnded) isEvent()       {}
func (PolicyEvent) isEvent()        {}
func (Change) isEvent()             {}
func (Inspect) isEvent()            {}
