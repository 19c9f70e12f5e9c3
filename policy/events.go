package policy

// Event is something that happened: input of Gateway.Step.
type Event interface{ isEvent() }

// EndpointUpdate is a watch event of the endpoint list. A complete list replaces the old one, a
// partial one adds and changes rows; a failed call carries no rows.
type EndpointUpdate struct {
	Complete, Failed bool
	Endpoints        []Endpoint
}

// Endpoint is one row of the endpoint list: a query node that can be sent attempts.
type Endpoint struct {
	ID                         string
	Zone, Kind, PlacementGroup int
	State                      EndpointState
	Weight                     float64
	Started                    Micros // last start; 0: long ago
	Protocols                  uint8  // protocols, a bit each; see Request.Protocol
}

// EndpointState is the state of an endpoint by the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Healthy EndpointState = iota
	Draining
	Removed
)

// Request is a client's request received by this gateway.
type Request struct {
	ID          string
	Class       int
	Tenant      int
	Cost        Micros  // estimated work of all threads; 0: unknown
	MemoryMB    float64 // estimated memory; 0: unknown
	TableGroup  int64   // group of tables it reads or writes
	OrderKey    int64   // for classes with Ordered
	HasOrderKey bool
	ClientRetry bool   // a client's retry, where clients mark them
	Protocol    uint8  // bit of the protocol that an endpoint must speak; 0: any
	StickyTo    string // the endpoint that holds its session's state, "" where there is none
	Deadline    Micros
}

// AttemptResult says how an attempt ended. Final: the request has ended with it.
type AttemptResult struct {
	ID         string
	Attempt    int
	Endpoint   string
	Code       Code
	Final      bool
	Latency    Micros
	Load       *Load
	WorkMicros Micros  // work done, where endpoints report it; else 0
	NeededMB   float64 // memory needed, where endpoints report it; else 0
}

// Load is an endpoint's load report; a negative value was not reported.
type Load struct{ Utilization, InFlight, Queue, Memory, Disk float64 }

// Code says how an attempt or a health check ended.
type Code int

// The codes. Rejected, ConnectionRefused and NeverSent prove that the attempt never ran.
const (
	OK                Code = iota
	Failed                 // the endpoint answered with an error; may have run
	Rejected               // rejected before execution
	TimedOut               // no reply in time; may have run
	ConnectionRefused      // no connection; never ran
	ConnectionReset        // the connection broke; may have run
	Cancelled              // cancelled; may have run
	NeverSent              // never sent
)

// Progress is a progress report of an attempt in flight.
type Progress struct {
	ID       string
	Attempt  int
	Endpoint string
	Kind     ProgressKind
	Value    float64
}

// ProgressKind says what a Progress report means.
type ProgressKind int

// The kinds of progress report.
const (
	FractionDone     ProgressKind = iota // Value is the share of the work done
	MemorySpilled                        // Value is the memory missing, in MB
	WaitingForMemory                     // blocked until memory is free
	WaitingForTables                     // blocked by a load that locks the table group
)

// The remaining events.
type (
	// HealthCheckResult is the result of a HealthCheck.
	HealthCheckResult struct {
		Endpoint string
		Code     Code
		Latency  Micros
		Load     *Load
	}
	// StreamStarted says that a streamed answer has begun: its attempt can be neither cancelled nor retried.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client is gone and no answer is owed any more.
	ClientDisconnected struct{ ID string }
	// TimerFired is the timer set by SetTimer.
	TimerFired struct{}
	// GossipReceived is a message from a peer.
	GossipReceived struct {
		From int
		Data []byte
	}
)

func (EndpointUpdate) isEvent()     {}
func (Request) isEvent()            {}
func (AttemptResult) isEvent()      {}
func (Progress) isEvent()           {}
func (HealthCheckResult) isEvent()  {}
func (StreamStarted) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (TimerFired) isEvent()         {}
func (GossipReceived) isEvent()     {}
