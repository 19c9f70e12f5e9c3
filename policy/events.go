package policy

// Event is an input of Gateway.Step.
type Event interface{ isEvent() }

// EndpointUpdate is a watch event of the endpoint list. A complete list replaces the old list, a partial
// list adds or changes rows. Failed says that the call failed; the update then has no rows.
type EndpointUpdate struct {
	Complete, Failed bool
	Endpoints        []Endpoint
}

// Endpoint is one row of the endpoint list: a query node that attempts can be sent to.
type Endpoint struct {
	ID                         string
	Zone, Kind, PlacementGroup int
	State                      EndpointState
	Weight                     float64
	Started                    Micros // time of the last start; 0: long ago
	Protocols                  uint8  // bit set of the protocols that the endpoint speaks
}

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Healthy EndpointState = iota
	Draining
	Removed
)

// Request is a client's request that this gateway received.
type Request struct {
	ID          string
	Class       int     // index into Settings.Classes
	Tenant      int     // index into Settings.Tenants; out of range: no known tenant
	Cost        Micros  // estimated work, summed over all threads; 0: unknown
	MemoryMB    float64 // estimated memory; 0: unknown
	TableGroup  int64   // group of tables that the request reads or writes
	OrderKey    int64   // requests of one key run one at a time; used if HasOrderKey and Class.Ordered
	HasOrderKey bool
	ClientRetry bool   // a retry by the client, where clients mark retries
	Protocol    uint8  // bit of the protocol that an endpoint must speak; 0: any
	StickyTo    string // ID of the endpoint that holds its session's state; "": any endpoint
	Deadline    Micros
}

// AttemptResult reports the end of an attempt.
type AttemptResult struct {
	ID         string
	Attempt    int
	Endpoint   string
	Code       Code
	Final      bool // the request has ended with this attempt
	Latency    Micros
	Load       *Load   // load report of the endpoint; nil: none
	WorkMicros Micros  // work done; 0: not reported
	NeededMB   float64 // memory needed; 0: not reported
}

// Load is an endpoint's load report. A negative value means that it was not reported.
type Load struct{ Utilization, InFlight, Queue, Memory, Disk float64 }

// Code is the result of an attempt or a health check.
type Code int

// The codes. Rejected, ConnectionRefused and NeverSent prove that the attempt never ran.
const (
	OK                Code = iota
	Failed                 // the endpoint answered with an error; may have run
	Rejected               // rejected before execution; never ran
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

// ProgressKind is the meaning of a Progress report.
type ProgressKind int

// The kinds of progress report.
const (
	FractionDone     ProgressKind = iota // Value is the share of the work that is done, 0 to 1
	MemorySpilled                        // Value is the missing memory in MB
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
	// StreamStarted reports that a streamed answer has begun: its attempt can no longer be cancelled or
	// retried.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected reports that the client is gone, so that the request needs no answer any more.
	ClientDisconnected struct{ ID string }
	// TimerFired reports that the timer set by SetTimer has expired.
	TimerFired struct{}
	// GossipReceived is a gossip message; From is the peer's index.
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
