package config

// File is a configuration as it is written. docs/operators.md describes each field.
type File struct {
	Name     string   `json:"name"`
	Zones    []string `json:"halls"`
	Zone     string   `json:"hall"`
	Peers    int      `json:"dispatchers"` // that share the fleet, this one included
	Number   int      `json:"number"`      // of this one among them, from 0
	Listen   Listen   `json:"listen"`
	Keys     []string `json:"keys"` // hex, 32 bytes each; the first seals, all open
	AnyUser  bool     `json:"any_user"`
	Users    []User   `json:"users"`
	Nodes    Nodes    `json:"nodes"`
	Kinds    []Kind   `json:"kinds"`
	Classes  []Class  `json:"classes"`
	Default  string   `json:"default_class"`
	Tenants  []Tenant `json:"tenants"`
	Limits   Limits   `json:"limits"`
	Rules    []Rule   `json:"rules"`
	NoHints  bool     `json:"no_hints"` // hint comments and headers are not heeded
	Sending  Sending  `json:"sending"`
	Front    Front    `json:"front"`
	Sessions Sessions `json:"sessions"`
	Log      Log      `json:"log"`
	Control  *Control `json:"control"` // streams node list and settings; nodes is left out then
}

// Listen has the addresses served.
type Listen struct {
	FlightSQL string `json:"flightsql"`
	Native    string `json:"native"`  // ClickHouse native protocol; empty: none
	Metrics   string `json:"metrics"` // empty: none
	Admin     string `json:"admin"`   // path of a Unix socket for dispatcherctl; empty: none
}

// User may connect.
type User struct {
	Name   string `json:"name"`
	Bcrypt string `json:"bcrypt"`
}

// Nodes says where the node list comes from: exactly one of the three.
type Nodes struct {
	File string `json:"file"`
	EDS  *EDS   `json:"eds"`
	List []Node `json:"list"`
}

// EDS is an xDS v3 control service.
type EDS struct {
	Address string `json:"address"`
	Cluster string `json:"cluster"`
}

// Control is a control service that streams the node list and the settings: classes, tenants, limits, rules.
type Control struct {
	Address      string   `json:"address"`
	Cluster      string   `json:"cluster"` // name of the node list
	Delta        bool     `json:"delta"`   // the incremental variant of xDS
	Store        string   `json:"store"`   // file that keeps the versions taken; empty: none outlives the process
	KeepVersions int      `json:"keep"`    // how many of them
	Floor        float64  `json:"floor"`   // least share of the healthy nodes that a list may leave at once
	FloorCount   int      `json:"floor_count"`
	RelistAfter  Duration `json:"relist_after"`  // a drained node without a new start is believed healthy after this
	Shorter      bool     `json:"allow_shorter"` // of graces, rests and budgets, whatever is out
	Reconnect    Duration `json:"reconnect_most"`
	OperatorKey  string   `json:"operator_key"` // Ed25519, hex; who holds the other half may override; empty: nobody
}

// Node is one row of a list in a file.
type Node struct {
	Name           string  `json:"name"`
	Address        string  `json:"address"` // of Flight SQL
	Native         string  `json:"native"`  // of the ClickHouse native protocol
	Zone           string  `json:"hall"`
	Kind           string  `json:"kind"`
	PlacementGroup int     `json:"cell"`
	State          string  `json:"state"`    // healthy, draining or gone; empty: healthy
	Started        string  `json:"started"`  // RFC 3339; empty: long ago
	DrainAt        string  `json:"drain_at"` // RFC 3339, when a drain is announced for; empty: none
	Weight         float64 `json:"weight"`
}

// Kind is one kind of machine.
type Kind struct {
	Name     string  `json:"name"`
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
}

// Class is one class of queries.
type Class struct {
	Name             string   `json:"name"`
	PriorityWeight   float64  `json:"worth"`
	LateWeight       float64  `json:"late_worth"`
	LatencyObjective Duration `json:"aim"`
	ObjectiveStretch float64  `json:"aim_stretch"`
	Deadline         Duration `json:"deadline"`
	Threads          int      `json:"threads"`
	Effect           string   `json:"effect"`  // of what only reads: safe, keyed or unsafe; empty: safe
	Updates          string   `json:"updates"` // of what writes; empty: unsafe
	DedupScope       string   `json:"group"`   // all, hall or cell: nodes that drop repeats of a keyed query
	DedupWindow      Duration `json:"window"`  // how long they remember it
	Ordered          bool     `json:"in_turn"`
	Zones            []string `json:"halls"`
	Kinds            []string `json:"kinds"`
	LocksTables      bool     `json:"loads"`
	WaitsForTables   bool     `json:"waits"`
}

// Tenant has a share of the service.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"per_second"`
}

// Limits bound what the dispatcher does. Zero values mean the defaults, which configcheck prints.
type Limits struct {
	Attempts          int      `json:"attempts"`
	MaxInFlight       int      `json:"held"`
	MaxRetryAfter     Duration `json:"come_back"`
	Hedging           bool     `json:"second_copies"`
	DrainGrace        Duration `json:"drain_grace"`
	OrderingGap       Duration `json:"turn_rest"`
	RetryBudgetFloor  float64  `json:"budget_free"`
	RetryBudgetRatio  float64  `json:"budget_share"`
	RetryBudgetWindow Duration `json:"budget_span"` // 0: no budget
	SlowStartFloor    float64  `json:"cold_from"`
	SlowStartDuration Duration `json:"cold_for"`
	OverloadMultiple  float64  `json:"cold_multiple"`
	OverloadDuration  Duration `json:"cold_span"`
	OverQuotaWeight   float64  `json:"over_share_worth"`
}

// Sending says what nodes heed.
type Sending struct {
	Grants       bool     `json:"grants"`
	GrantShare   float64  `json:"grant_share"`
	Priorities   bool     `json:"priorities"`
	HealthChecks bool     `json:"probes"`
	Shortage     string   `json:"shortage"` // queue, trim or swap
	Connect      Duration `json:"connect_timeout"`
	MaxFrame     int      `json:"max_frame_bytes"`
	PassHeaders  []string `json:"pass_headers"`
	NativeUser   string   `json:"native_user"` // towards nodes, for the native protocol
	NativePass   string   `json:"native_password"`
}

// Front bounds what clients may do.
type Front struct {
	ResponseMargin         Duration `json:"way_back"`
	TicketLife             Duration `json:"ticket_life"`
	PreparedLife           Duration `json:"prepared_life"`
	BearerLife             Duration `json:"bearer_life"`
	SchemaLife             Duration `json:"schema_life"`
	MaxSchemas             int      `json:"schema_most"`
	MaxStatement           int      `json:"max_statement_bytes"`
	MaxParams              int      `json:"max_parameter_bytes"`
	MaxInsertBytes         int      `json:"max_insert_bytes"`  // rows and external tables of one native query
	MaxBufferedInsertBytes int      `json:"held_insert_bytes"` // of all of them together, until they have their answers
}

// Sessions bounds what has its state on one node: transactions.
type Sessions struct {
	Max         int      `json:"most"`
	PerTenant   int      `json:"per_tenant"` // 0: no limit of its own
	PerNode     int      `json:"per_node"`   // of this dispatcher; 0: no limit of its own
	Idle        Duration `json:"idle"`       // without a statement: rolled back
	Age         Duration `json:"age"`        // since its begin: rolled back; its token is valid for so long
	RetrySpread Duration `json:"spread"`     // clients of a lost node are told to come back over this time
	Retention   Duration `json:"keep"`       // how long an ended one is remembered, to tell its client why
}

// Log says what is logged.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // json or console
	// Decisions is the file that all decisions are recorded in, for decisionreplay; empty: none. It ends at MaxDecisionBytes bytes.
	Decisions        string `json:"decisions"`
	MaxDecisionBytes int    `json:"decisions_most_bytes"`
	// Learned is the file that what the module has learned is kept in for the next start, each LearnedInterval; empty: none.
	Learned         string   `json:"learned"`
	LearnedInterval Duration `json:"learned_every"`
	Traces          string   `json:"traces"` // file that spans are appended to, as JSON; empty: none
}

// Rule gives traits to queries that meet all of its conditions.
type Rule struct {
	Name      string   `json:"name"`
	User      string   `json:"user"`      // pattern, as all below
	Header    string   `json:"header"`    // name of a call header
	Option    string   `json:"option"`    // name of a session option
	Value     string   `json:"value"`     // pattern for the header or option
	Statement string   `json:"statement"` // pattern
	Command   string   `json:"command"`   // pattern for the name of the Flight SQL command
	Class     string   `json:"class"`
	Tenant    string   `json:"tenant"`
	Cost      Duration `json:"cost"`
	MemoryMB  float64  `json:"memory_mb"`
	Key       string   `json:"key"`
	Tables    string   `json:"tables"`
}
