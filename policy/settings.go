package policy

// Micros is a point in time or a duration, in microseconds of the caller's clock.
type Micros = int64

// Settings configures a gateway. The zero value of a capability means that it is not available; the
// zero value of a rule means that the rule does not apply. The json tags are the keys of the stored form,
// which recordings contain: a field that is renamed keeps its key.
type Settings struct {
	Zone      int      `json:"Zone"`    // zone of this gateway
	PeerIndex int      `json:"Me"`      // index of this gateway among its peers
	Peers     int      `json:"Peers"`   // gateways that share the fleet, including this one
	Classes   []Class  `json:"Classes"` // request classes; Request.Class is an index into them
	Kinds     []Kind   `json:"Kinds"`   // machine kinds; Endpoint.Kind is an index into them
	Tenants   []Tenant `json:"Tenants"` // Request.Tenant is an index into them; empty: no tenants

	OverQuotaWeight float64 `json:"OverShareWorth"` // factor on the weight of requests over a tenant's quota
	WeightByWork    bool    `json:"CountByWork"`    // priority weight is in proportion to a request's work

	MaxAttempts    int    `json:"MaxAttempts"`  // maximum attempts of one request; 0: one
	MaxInFlight    int    `json:"MaxHeld"`      // maximum requests open at once; 0: no limit
	MaxRetryAfter  Micros `json:"MaxComeBack"`  // maximum Retry-After that clients honor; 0: none
	CanCancel      bool   `json:"CanCancel"`    // attempts can be cancelled
	CanHealthCheck bool   `json:"CanProbe"`     // endpoints answer health checks
	CanGossip      bool   `json:"CanTell"`      // gossip can be sent to peers
	AllowHedging   bool   `json:"SecondCopies"` // a request may have two attempts in flight (hedging)

	ReportsByAnswer      bool `json:"ReportsByAnswer"` // load reports come with attempt results
	ReportsByHealthCheck bool `json:"ReportsByProbe"`  // load reports come with health check results
	PollEndpoints        bool `json:"AskForList"`      // the endpoint list has to be polled

	HonorsGrants     bool     `json:"GrantsCount"`   // endpoints honor memory grants
	HonorsPriority   bool     `json:"PriorityCount"` // endpoints honor priorities
	MaxGrantShare    float64  `json:"MaxGrantShare"` // maximum share of memory for one query; 0: no limit
	Shortage         Shortage `json:"Shortage"`      // behavior of endpoints when memory is short
	ProgressInterval Micros   `json:"ProgressEvery"` // time between progress reports; 0: none are sent

	SlowStartFloor    float64 `json:"ColdFrom"` // share of its capacity that an endpoint starts with
	SlowStartDuration Micros  `json:"ColdFor"`  // time from its start until an endpoint has full capacity
	// A starting endpoint fails if its load is at OverloadMultiple times its capacity for OverloadDuration.
	OverloadMultiple float64 `json:"FallMultiple"`
	OverloadDuration Micros  `json:"FallFor"`
	// Sends to a draining endpoint stop within DrainGrace; only sticky requests are sent there at all.
	DrainGrace Micros `json:"DrainGrace"`

	AnswerSlack       Micros  `json:"AnswerSlack"` // a final answer counts this long after the deadline
	MaxPollInterval   Micros  `json:"AskWithin"`   // maximum time between two polls of the endpoint list
	OrderingGap       Micros  `json:"TurnGap"`     // pause of an order key while an attempt may still run
	RetryBudgetFloor  float64 `json:"BudgetFree"`  // retries allowed in a window, whatever the traffic
	RetryBudgetRatio  float64 `json:"BudgetShare"` // further retries allowed per request received
	RetryBudgetWindow Micros  `json:"BudgetSpan"`  // sliding window of the budget; 0: no budget
}

// Class describes one class of requests: its priority weight, latency objective and rules.
type Class struct {
	Name             string     `json:"Name"`
	PriorityWeight   float64    `json:"Worth"`      // value of a request answered within its objective
	LateWeight       float64    `json:"LateWorth"`  // share of PriorityWeight that a later answer keeps
	LatencyObjective Micros     `json:"Aim"`        // time within which an answer has the full weight
	ObjectiveStretch float64    `json:"AimStretch"` // the objective is extended by this times work ÷ threads
	Deadline         Micros     `json:"Deadline"`   // time after which the client gives up
	Threads          int        `json:"Threads"`    // threads that a query runs on; 0: one
	LocksTables      bool       `json:"Loads"`      // a load: locks its table group on its endpoint
	WaitsForTables   bool       `json:"Waits"`      // blocks while a load locks its table group
	Effect           Effect     `json:"Effect"`     // effect of a repeated execution
	DedupScope       DedupScope `json:"Group"`      // endpoints that share the deduplication by key
	DedupWindow      Micros     `json:"Window"`     // time for which they remember the key
	Ordered          bool       `json:"InTurn"`     // requests of one order key run one at a time, in order
	Zones            []int      `json:"Zones"`      // if set, the only zones allowed
	Kinds            []int      `json:"Kinds"`      // if set, the only machine kinds allowed
}

// Kind describes the size of one kind of machine.
type Kind struct {
	Cores    int     `json:"Cores"`
	MemoryMB float64 `json:"MemoryMB"`
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Allowance"` // requests a second at full weight, over all gateways
}

// Effect tells whether a request may be executed more than once.
type Effect int

// The values of Effect.
const (
	Idempotent      Effect = iota // may be repeated at any time
	IdempotentByKey               // endpoints deduplicate repeats within DedupScope for DedupWindow
	NonIdempotent                 // must not run twice
)

// DedupScope is the set of endpoints that share the deduplication of an idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet          DedupScope = iota // all endpoints
	DedupZone                             // the endpoints of a zone
	DedupPlacementGroup                   // the endpoints of a placement group
)

// Shortage is the behavior of an endpoint whose memory grants exceed its memory.
type Shortage int

// The behaviors in a memory shortage.
const (
	ShortageQueues Shortage = iota // queries wait for memory
	ShortageTrims                  // a query gets the memory that is left
	ShortageSwaps                  // all queries are admitted and all slow down
)
