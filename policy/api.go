package policy

import "fmt"

// Micros is a point in time or a span, in microseconds of the caller's clock.
type Micros = int64

// Settings is what a gateway is told once, at its start. The zero value of a
// limit means "not allowed" and that of a rule "does not apply".
type Settings struct {
	Zone      int      `json:"Zone"`    // zone of this gateway
	PeerIndex int      `json:"Me"`      // number of this gateway among its peers
	Peers     int      `json:"Peers"`   // gateways that share the fleet, this one included
	Classes   []Class  `json:"Classes"` // request classes; a Request names one by index
	Kinds     []Kind   `json:"Kinds"`   // machine kinds; an Engine names one by index
	Tenants   []Tenant `json:"Tenants"` // empty where the site has none

	OverQuotaWeight float64 `json:"OverShareWorth"` // worth beyond a tenant's share, as part of the usual
	WeightByWork    bool    `json:"CountByWork"`    // worth counts by work instead of by request

	MaxAttempts    int    `json:"MaxAttempts"`  // attempts for one request; 0: one
	MaxInFlight    int    `json:"MaxHeld"`      // requests held open at once; 0: no limit
	MaxRetryAfter  Micros `json:"MaxComeBack"`  // longest come-back time a client heeds; 0: they heed none
	CanCancel      bool   `json:"CanCancel"`    // attempts may be cancelled
	CanHealthCheck bool   `json:"CanProbe"`     // engines may be probed
	CanGossip      bool   `json:"CanTell"`      // peers may be sent messages
	AllowHedging   bool   `json:"SecondCopies"` // a request may have two attempts out

	ReportsByAnswer      bool `json:"ReportsByAnswer"` // load reports come with every outcome
	ReportsByHealthCheck bool `json:"ReportsByProbe"`  // load reports come with probe results
	PollEndpoints        bool `json:"AskForList"`      // the engine list must be asked for

	HonorsGrants     bool     `json:"GrantsCount"`   // memory grants are heeded
	HonorsPriority   bool     `json:"PriorityCount"` // priorities are heeded
	MaxGrantShare    float64  `json:"MaxGrantShare"` // most of an engine's memory that one query gets; 0: all
	Shortage         Shortage `json:"Shortage"`
	ProgressInterval Micros   `json:"ProgressEvery"` // time between progress notes; 0: none come

	SlowStartFloor    float64 `json:"ColdFrom"`     // a new engine's least share of its capacity
	SlowStartDuration Micros  `json:"ColdFor"`      // a new engine is warm after this
	OverloadMultiple  float64 `json:"FallMultiple"` // a cold engine falls when sent this many times its capacity ...
	OverloadDuration  Micros  `json:"FallFor"`      // ... for this long
	DrainGrace        Micros  `json:"DrainGrace"`   // sends to a draining engine stop within this
	AnswerSlack       Micros  `json:"AnswerSlack"`  // a final answer counts this long after the deadline
	MaxPollInterval   Micros  `json:"AskWithin"`    // the list must be asked for at least this often
	OrderingGap       Micros  `json:"TurnGap"`      // rest of a key after an attempt that may still run
	RetryBudgetFloor  float64 `json:"BudgetFree"`   // further attempts allowed however little the traffic
	RetryBudgetRatio  float64 `json:"BudgetShare"`  // further attempts allowed for each request taken
	RetryBudgetWindow Micros  `json:"BudgetSpan"`   // span over which the budget counts; 0: no budget
}

// Class describes one class of requests.
type Class struct {
	Name             string     `json:"Name"`
	PriorityWeight   float64    `json:"Worth"`      // of one request answered in time
	LateWeight       float64    `json:"LateWorth"`  // part of the worth paid after the aim
	LatencyObjective Micros     `json:"Aim"`        // an answer within this earns full worth
	ObjectiveStretch float64    `json:"AimStretch"` // the aim grows by this times work ÷ threads
	Deadline         Micros     `json:"Deadline"`   // the client's patience
	Threads          int        `json:"Threads"`    // threads a query runs on; 0: one
	LocksTables      bool       `json:"Loads"`      // holds its table group on its engine while it runs
	WaitsForTables   bool       `json:"Waits"`      // stands still while a load holds its group
	Effect           Effect     `json:"Effect"`
	DedupScope       DedupScope `json:"Group"`  // engines that drop repeats of a Keyed request
	DedupWindow      Micros     `json:"Window"` // how long they remember it
	Ordered          bool       `json:"InTurn"` // requests of one key run one at a time, in order
	Zones            []int      `json:"Zones"`  // if set, the only zones allowed
	Kinds            []int      `json:"Kinds"`  // if set, the only machine kinds allowed
}

// Kind describes one kind of machine.
type Kind struct {
	Cores    int     `json:"Cores"`
	MemoryMB float64 `json:"MemoryMB"`
}

// Tenant describes one tenant.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Allowance"` // requests a second inside its share, over all gateways
}

// Effect tells what a repeat of a request does.
type Effect int

// The effects of a repeat.
const (
	Idempotent      Effect = iota // may be repeated at will
	IdempotentByKey               // repeats are dropped within a group, for a while
	NonIdempotent                 // must not run twice
)

// DedupScope tells which engines drop a keyed request's repeats.
type DedupScope int

// The groups of engines.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupPlacementGroup
)

// Shortage tells what an engine does when grants pass its memory.
type Shortage int

// The ways out of a shortage.
const (
	ShortageQueues Shortage = iota // queries wait in line
	ShortageTrims                  // a query gets what is left
	ShortageSwaps                  // all are let in and all slow down
)

// Event is something that happened; Action is something to do about it.
type (
	Event  interface{ isEvent() }
	Action interface{ isAction() }
)

// Endpoints is news of the engine list. A whole list replaces the old one, a
// change adds to it; a failed call carries no rows.
type EndpointUpdate struct {
	Complete, Failed bool
	Endpoints        []Endpoint
}

// Endpoint is one row of the list.
type Endpoint struct {
	ID                         string
	Zone, Kind, PlacementGroup int
	State                      EndpointState
	Weight                     float64
	Started                    Micros // last start; 0: long ago
	Protocols                  uint8  // protocols, a bit each; see Request.Protocol
}

// EndpointState is what the list knows of an engine.
type EndpointState int

// The states of an engine.
const (
	Healthy EndpointState = iota
	Draining
	Removed
)

// Request is a client's request taken by this gateway.
type Request struct {
	ID          string
	Class       int
	Tenant      int
	Cost        Micros  // estimated work of all threads; 0: unknown
	MemoryMB    float64 // estimated memory; 0: unknown
	TableGroup  int64   // group of tables it reads or writes
	OrderKey    int64   // for classes in turn
	HasOrderKey bool
	ClientRetry bool   // a client's repeat, where clients mark them
	Protocol    uint8  // bit of the protocol that an engine must speak; 0: any will do
	StickyTo    string // the engine that holds its session's state, "" where there is none
	Deadline    Micros
}

// AttemptResult tells how an attempt ended. Over: the request has ended with it.
type AttemptResult struct {
	ID         string
	Attempt    int
	Endpoint   string
	Code       Code
	Final      bool
	Latency    Micros
	Load       *Load
	WorkMicros Micros  // work done, where engines tell; else 0
	NeededMB   float64 // memory needed, where engines tell; else 0
}

// Load is an engine's report; a negative value was not reported.
type Load struct{ Util, InFlight, Queue, Memory, Disk float64 }

// Code says how an attempt or a probe ended.
type Code int

// The codes. Full, Refused and Moot prove that the attempt never ran.
const (
	OK                Code = iota
	Failed                 // the engine answered with an error; may have run
	Rejected               // turned away unseen
	TimedOut               // no reply in time; may have run
	ConnectionRefused      // no connection; never ran
	ConnectionReset        // the connection broke; may have run
	Cancelled              // called off; may have run
	NeverSent              // never sent
)

// Progress is a note on an attempt that is out.
type Progress struct {
	ID       string
	Attempt  int
	Endpoint string
	Kind     ProgressKind
	Value    float64
}

// ProgressKind says what a Progress note means.
type ProgressKind int

// The kinds of note: share done, megabytes missing, waiting for memory or a load.
const (
	FractionDone ProgressKind = iota
	MemorySpilled
	WaitingForMemory
	WaitingForTables
)

// The remaining events.
type (
	// HealthCheckResult is the result of a Probe.
	HealthCheckResult struct {
		Endpoint string
		Code     Code
		Latency  Micros
		Load     *Load
	}
	// StreamStarted tells that a streamed answer has begun: the client owns it now.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected tells that the client is gone; no answer is owed any more.
	ClientDisconnected struct{ ID string }
	// TimerFired is the timer set by Wake.
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

// The actions. Attempts of a request count from 0 in the order of their Send.
type (
	// Send starts an attempt; Timeout 0 lasts until the client gives up. One that has not begun by Before must not begin any
	// more: engines may have forgotten a keyed request by then (0: it may).
	Send struct {
		ID, Endpoint string
		Timeout      Micros
		StartBefore  Micros
	}
	// Resources sets memory for further sends, and priority (0 to 3) at once.
	Resources struct {
		ID       string
		MemoryMB float64
		Priority int
	}
	// Cancel calls one attempt off.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Shed is a final answer: trying again does no harm, RetryAfter from now.
	Shed struct {
		ID         string
		RetryAfter Micros
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// HealthCheck asks an engine for its state.
	HealthCheck struct{ Endpoint string }
	// SetTimer asks for an Alarm.
	SetTimer struct{ After Micros }
	// SendGossip sends a message of up to 256 bytes to one peer.
	SendGossip struct {
		To   int
		Data []byte
	}
	// WatchEndpoints subscribes to the engine list, Fetch asks for it once.
	WatchEndpoints struct{}
	// FetchEndpoints asks for the whole list once.
	FetchEndpoints struct{}
	// LogLine is a line for the operators' log.
	LogLine struct{ Text string }
)

func (Send) isAction()           {}
func (Resources) isAction()      {}
func (Cancel) isAction()         {}
func (Shed) isAction()           {}
func (Fail) isAction()           {}
func (HealthCheck) isAction()    {}
func (SetTimer) isAction()       {}
func (SendGossip) isAction()     {}
func (WatchEndpoints) isAction() {}
func (FetchEndpoints) isAction() {}
func (LogLine) isAction()        {}

// validate names the first field that cannot be used.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: Classes: at least one is needed")
	}
	type check struct {
		field string
		bad   bool
	}
	checks := []check{
		{"Peers", s.Peers < 0}, {"Me", s.PeerIndex < 0}, {"Zone", s.Zone < 0},
		{"OverShareWorth", !(s.OverQuotaWeight >= 0)}, {"MaxAttempts", s.MaxAttempts < 0},
		{"MaxHeld", s.MaxInFlight < 0}, {"MaxComeBack", s.MaxRetryAfter < 0},
		{"MaxGrantShare", !(s.MaxGrantShare >= 0)}, {"Shortage", s.Shortage < 0 || s.Shortage > ShortageSwaps},
		{"ProgressEvery", s.ProgressInterval < 0}, {"ColdFrom", !(s.SlowStartFloor >= 0)},
		{"ColdFor", s.SlowStartDuration < 0}, {"FallMultiple", !(s.OverloadMultiple >= 0)}, {"FallFor", s.OverloadDuration < 0},
		{"DrainGrace", s.DrainGrace < 0}, {"AnswerSlack", s.AnswerSlack < 0}, {"AskWithin", s.MaxPollInterval < 0},
		{"TurnGap", s.OrderingGap < 0}, {"BudgetFree", s.RetryBudgetFloor < 0}, {"BudgetShare", !(s.RetryBudgetRatio >= 0)},
		{"BudgetSpan", s.RetryBudgetWindow < 0},
	}
	for i, c := range s.Classes {
		bad := func(field string, is bool) {
			checks = append(checks, check{fmt.Sprintf("Classes[%d].%s", i, field), is})
		}
		bad("Worth", !(c.PriorityWeight >= 0))
		bad("LateWorth", !(c.LateWeight >= 0))
		bad("Aim", c.LatencyObjective < 0)
		bad("AimStretch", !(c.ObjectiveStretch >= 0))
		bad("Deadline", c.Deadline <= 0)
		bad("Threads", c.Threads < 0)
		bad("Effect", c.Effect < Idempotent || c.Effect > NonIdempotent)
		bad("Group", c.DedupScope < DedupFleet || c.DedupScope > DedupPlacementGroup)
		bad("Window", c.DedupWindow < 0)
		for _, z := range c.Zones {
			bad("Zones", z < 0)
		}
		for _, k := range c.Kinds {
			bad("Kinds", k < 0 || k >= len(s.Kinds) && len(s.Kinds) > 0)
		}
	}
	for i, k := range s.Kinds {
		checks = append(checks, check{fmt.Sprintf("Kinds[%d]", i), k.Cores < 0 || !(k.MemoryMB >= 0)})
	}
	for i, t := range s.Tenants {
		checks = append(checks, check{fmt.Sprintf("Tenants[%d].Allowance", i), !(t.Quota >= 0)})
	}
	for _, c := range checks {
		if c.bad {
			return fmt.Errorf("policy: %s: out of range", c.field)
		}
	}
	return nil
}
