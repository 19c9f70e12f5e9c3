package policy

// Micros is a point in time or a duration, in microseconds of the caller's clock.
type Micros = int64

// Settings configures a gateway. The zero value of a capability means that it is not available, the
// zero value of a rule that the rule does not apply. The json tags are the stored form: recordings
// hold these keys, and a renamed field keeps its key.
type Settings struct {
	Zone      int      `json:"Zone"`    // zone of this gateway
	PeerIndex int      `json:"Me"`      // index of this gateway among its peers
	Peers     int      `json:"Peers"`   // gateways that share the fleet, including this one
	Classes   []Class  `json:"Classes"` // request classes; Request.Class is an index into them
	Kinds     []Kind   `json:"Kinds"`   // machine kinds; Endpoint.Kind is an index into them
	Tenants   []Tenant `json:"Tenants"` // empty where the site has no tenants

	OverQuotaWeight float64 `json:"OverShareWorth"` // factor on the weight of requests over a tenant's quota
	WeightByWork    bool    `json:"CountByWork"`    // priority weight is by work instead of by request

	MaxAttempts    int    `json:"MaxAttempts"`  // attempts for one request; 0: one
	MaxInFlight    int    `json:"MaxHeld"`      // requests open at once; 0: no limit
	MaxRetryAfter  Micros `json:"MaxComeBack"`  // longest Retry-After that clients honor; 0: they honor none
	CanCancel      bool   `json:"CanCancel"`    // attempts can be cancelled
	CanHealthCheck bool   `json:"CanProbe"`     // endpoints answer health checks
	CanGossip      bool   `json:"CanTell"`      // peers can be sent gossip
	AllowHedging   bool   `json:"SecondCopies"` // a request may have two attempts in flight (hedging)

	ReportsByAnswer      bool `json:"ReportsByAnswer"` // load reports come with attempt results
	ReportsByHealthCheck bool `json:"ReportsByProbe"`  // load reports come with health check results
	PollEndpoints        bool `json:"AskForList"`      // the endpoint list has to be polled

	HonorsGrants     bool     `json:"GrantsCount"`   // endpoints honor memory grants
	HonorsPriority   bool     `json:"PriorityCount"` // endpoints honor priorities
	MaxGrantShare    float64  `json:"MaxGrantShare"` // maximum share of memory for one query; 0: all
	Shortage         Shortage `json:"Shortage"`
	ProgressInterval Micros   `json:"ProgressEvery"` // time between progress reports; 0: there are none

	SlowStartFloor    float64 `json:"ColdFrom"`     // share of its capacity that a new endpoint starts with
	SlowStartDuration Micros  `json:"ColdFor"`      // a new endpoint has its full capacity after this
	OverloadMultiple  float64 `json:"FallMultiple"` // a new endpoint fails at this multiple of capacity ...
	OverloadDuration  Micros  `json:"FallFor"`      // ... for this long
	DrainGrace        Micros  `json:"DrainGrace"`   // sends to a draining endpoint stop within this; only sticky requests use it
	AnswerSlack       Micros  `json:"AnswerSlack"`  // a final answer counts this long after the deadline
	MaxPollInterval   Micros  `json:"AskWithin"`    // the list has to be polled at least this often
	OrderingGap       Micros  `json:"TurnGap"`      // pause of an order key after an attempt that may run on
	RetryBudgetFloor  float64 `json:"BudgetFree"`   // retries allowed however little the traffic
	RetryBudgetRatio  float64 `json:"BudgetShare"`  // retries allowed for each request received
	RetryBudgetWindow Micros  `json:"BudgetSpan"`   // sliding window of the budget; 0: no budget
}

// Class describes one class of requests: its priority weight, latency objective and rules.
type Class struct {
	Name             string     `json:"Name"`
	PriorityWeight   float64    `json:"Worth"`      // value of one request answered within its objective
	LateWeight       float64    `json:"LateWorth"`  // share of it that an answer after the objective keeps
	LatencyObjective Micros     `json:"Aim"`        // an answer within this has the full weight
	ObjectiveStretch float64    `json:"AimStretch"` // the objective grows by this times work ÷ threads
	Deadline         Micros     `json:"Deadline"`   // time after which the client gives up
	Threads          int        `json:"Threads"`    // threads a query runs on; 0: one
	LocksTables      bool       `json:"Loads"`      // locks its table group on its endpoint while it runs
	WaitsForTables   bool       `json:"Waits"`      // blocks while a load holds the lock of its table group
	Effect           Effect     `json:"Effect"`
	DedupScope       DedupScope `json:"Group"`  // endpoints that share deduplication by key
	DedupWindow      Micros     `json:"Window"` // how long they remember the key
	Ordered          bool       `json:"InTurn"` // requests of one order key run one at a time, in order
	Zones            []int      `json:"Zones"`  // if set, the only zones allowed
	Kinds            []int      `json:"Kinds"`  // if set, the only machine kinds allowed
}

// Kind describes one kind of machine by its size.
type Kind struct {
	Cores    int     `json:"Cores"`
	MemoryMB float64 `json:"MemoryMB"`
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Allowance"` // requests a second at full weight, over all gateways
}

// Effect says what executing a request twice does.
type Effect int

// The effects of executing a request twice.
const (
	Idempotent      Effect = iota // may be repeated at any time
	IdempotentByKey               // repeats are deduplicated within DedupScope for DedupWindow
	NonIdempotent                 // must not run twice
)

// DedupScope says which endpoints share the deduplication of an idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupPlacementGroup
)

// Shortage says what an endpoint does when grants exceed its memory.
type Shortage int

// The behaviors in a memory shortage.
const (
	ShortageQueues Shortage = iota // queries wait for memory
	ShortageTrims                  // a query gets the memory that is left
	ShortageSwaps                  // all queries are admitted and all slow down
)
