package config

// File holds the fields of a configuration file. docs/operators.md describes each field.
type File struct {
	Name         string      `json:"name"`
	Zones        []string    `json:"halls"`
	Zone         string      `json:"hall"`
	Peers        int         `json:"dispatchers"` // number of dispatchers that share the fleet, including this one
	PeerIndex    int         `json:"number"`      // index of this dispatcher among them, from 0
	Listen       Listen      `json:"listen"`
	Keys         []string    `json:"keys"` // sealing keys in hex, 32 bytes each; the first seals tokens, all of them open tokens
	AnyUser      bool        `json:"any_user"`
	Users        []User      `json:"users"`
	Nodes        Nodes       `json:"nodes"`
	Kinds        []Kind      `json:"kinds"`
	Classes      []Class     `json:"classes"`
	DefaultClass string      `json:"default_class"`
	Tenants      []Tenant    `json:"tenants"`
	Limits       Limits      `json:"limits"`
	Rules        []Rule      `json:"rules"`
	NoHints      bool        `json:"no_hints"` // hint comments and hint headers are ignored
	NodeOptions  NodeOptions `json:"sending"`
	Frontend     Frontend    `json:"front"`
	Sessions     Sessions    `json:"sessions"`
	Log          Log         `json:"log"`
	Control      *Control    `json:"control"` // streams the node list and the settings; replaces Nodes
}

// Listen holds the addresses that the dispatcher listens on.
type Listen struct {
	FlightSQL string `json:"flightsql"`
	Native    string `json:"native"`  // ClickHouse native protocol; empty: not served
	Metrics   string `json:"metrics"` // empty: not served
	Admin     string `json:"admin"`   // path of the Unix socket for dispatcherctl; empty: not served
}

// User holds the credentials of a user who may connect.
type User struct {
	Name   string `json:"name"`
	Bcrypt string `json:"bcrypt"`
}

// Nodes is the source of the node list: exactly one field is set, or none if File.Control is set.
type Nodes struct {
	File string `json:"file"` // path of a node list file
	EDS  *EDS   `json:"eds"`
	List []Node `json:"list"`
}

// EDS is an xDS v3 control service that streams the node list.
type EDS struct {
	Address string `json:"address"`
	Cluster string `json:"cluster"`
}

// Control is a control service that streams the node list and the settings: classes, tenants, limits, rules.
type Control struct {
	Address             string   `json:"address"`
	Cluster             string   `json:"cluster"`        // name of the node list
	Delta               bool     `json:"delta"`          // uses the incremental variant of xDS
	Store               string   `json:"store"`          // file that keeps the accepted versions; empty: they do not survive a restart
	KeepVersions        int      `json:"keep"`           // number of versions kept
	Floor               float64  `json:"floor"`          // minimum share of the healthy nodes that one node list must keep
	FloorCount          int      `json:"floor_count"`    // minimum number of healthy nodes that one node list must keep
	RelistAfter         Duration `json:"relist_after"`   // a withdrawn node listed as healthy without a new start is accepted after this
	AllowShorter        bool     `json:"allow_shorter"`  // drain grace, ordering gap and retry budget may shrink even while in use
	MaxReconnectBackoff Duration `json:"reconnect_most"` // longest backoff between connection attempts
	OperatorKey         string   `json:"operator_key"`   // Ed25519 public key in hex; its private key signs overrides; empty: no overrides
}

// Node is a row of a node list in a file.
type Node struct {
	Name           string  `json:"name"`
	Address        string  `json:"address"` // for Flight SQL
	Native         string  `json:"native"`  // for the ClickHouse native protocol
	Zone           string  `json:"hall"`
	Kind           string  `json:"kind"`
	PlacementGroup int     `json:"cell"`
	State          string  `json:"state"`    // healthy, draining or gone; empty: healthy
	Started        string  `json:"started"`  // RFC 3339; empty: long ago
	DrainAt        string  `json:"drain_at"` // RFC 3339, time of an announced drain; empty: none announced
	Weight         float64 `json:"weight"`
}

// Kind describes a kind of machine by its size.
type Kind struct {
	Name     string  `json:"name"`
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
}

// Class describes a class of queries.
type Class struct {
	Name             string   `json:"name"`
	PriorityWeight   float64  `json:"worth"`
	LateWeight       float64  `json:"late_worth"`
	LatencyObjective Duration `json:"aim"`
	ObjectiveStretch float64  `json:"aim_stretch"`
	Deadline         Duration `json:"deadline"`
	Threads          int      `json:"threads"`
	Effect           string   `json:"effect"`  // effect of running a read twice: safe, keyed or unsafe; empty: safe
	Updates          string   `json:"updates"` // the same for an update; empty: unsafe
	DedupScope       string   `json:"group"`   // nodes that share the deduplication of keyed queries: all, hall or cell; empty: all
	DedupWindow      Duration `json:"window"`  // how long nodes remember the key of a query
	Ordered          bool     `json:"in_turn"`
	Zones            []string `json:"halls"`
	Kinds            []string `json:"kinds"`
	LocksTables      bool     `json:"loads"`
	WaitsForTables   bool     `json:"waits"`
}

// Tenant holds the quota of a tenant.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"per_second"` // queries per second at full weight, over all dispatchers
}

// Limits holds the limits of the dispatcher. A zero value means the default, which configcheck prints.
type Limits struct {
	MaxAttempts       int      `json:"attempts"`
	MaxInFlight       int      `json:"held"`
	MaxRetryAfter     Duration `json:"come_back"`
	Hedging           bool     `json:"second_copies"`
	DrainGrace        Duration `json:"drain_grace"`
	OrderingGap       Duration `json:"turn_rest"`
	RetryBudgetFloor  float64  `json:"budget_free"`
	RetryBudgetRatio  float64  `json:"budget_share"`
	RetryBudgetWindow Duration `json:"budget_span"` // 0: retries have no budget
	SlowStartFloor    float64  `json:"cold_from"`
	SlowStartDuration Duration `json:"cold_for"`
	OverloadMultiple  float64  `json:"cold_multiple"`
	OverloadDuration  Duration `json:"cold_span"`
	OverQuotaWeight   float64  `json:"over_share_worth"`
}

// NodeOptions holds the settings of connections to nodes, and which features nodes support.
type NodeOptions struct {
	Grants         bool     `json:"grants"`
	GrantShare     float64  `json:"grant_share"`
	Priorities     bool     `json:"priorities"`
	HealthChecks   bool     `json:"probes"`
	Shortage       string   `json:"shortage"` // what a node does when grants exceed its memory: queue, trim or swap
	ConnectTimeout Duration `json:"connect_timeout"`
	MaxFrameBytes  int      `json:"max_frame_bytes"`
	PassHeaders    []string `json:"pass_headers"`
	NativeUser     string   `json:"native_user"` // user of the dispatcher at nodes, in the native protocol
	NativePassword string   `json:"native_password"`
}

// Frontend holds the limits of the frontends.
type Frontend struct {
	ResponseMargin         Duration `json:"way_back"` // taken off the deadline, at most a tenth of it, for the way back to the client
	TicketTTL              Duration `json:"ticket_life"`
	PreparedTTL            Duration `json:"prepared_life"`
	BearerTTL              Duration `json:"bearer_life"`
	SchemaTTL              Duration `json:"schema_life"`
	MaxCachedAnswers       int      `json:"schema_most"`
	MaxStatementBytes      int      `json:"max_statement_bytes"`
	MaxParameterBytes      int      `json:"max_parameter_bytes"`
	MaxInsertBytes         int      `json:"max_insert_bytes"`  // of the rows and external tables of one native query
	MaxBufferedInsertBytes int      `json:"held_insert_bytes"` // of all native queries together, until they are answered
}

// Sessions holds the limits of sticky sessions, whose state is on one node: transactions and temporary tables.
type Sessions struct {
	Max         int      `json:"most"`
	PerTenant   int      `json:"per_tenant"` // 0: no limit per tenant
	PerNode     int      `json:"per_node"`   // counts sessions of this dispatcher; 0: no limit per node
	IdleTimeout Duration `json:"idle"`       // a session is rolled back after this time without a statement
	MaxAge      Duration `json:"age"`        // a session is rolled back when its state is this old; its token is valid for as long
	RetrySpread Duration `json:"spread"`     // clients of a lost node are told to retry at different times within this
	Retention   Duration `json:"keep"`       // how long an ended session is remembered, to tell its client the reason
}

// Log configures the log and the files that the dispatcher writes.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // json or console
	// Decisions is the file in which all decisions are recorded for decisionreplay; empty: none. The recording ends at
	// MaxDecisionBytes bytes.
	Decisions        string `json:"decisions"`
	MaxDecisionBytes int    `json:"decisions_most_bytes"`
	// Learned is the file in which the policy's learned state is saved every LearnedInterval, for the next start; empty: none.
	Learned         string   `json:"learned"`
	LearnedInterval Duration `json:"learned_every"`
	Traces          string   `json:"traces"` // file to which trace spans are appended as JSON; empty: none
}

// Rule sets traits of queries that match all of its conditions.
type Rule struct {
	Name      string   `json:"name"`
	User      string   `json:"user"`      // regular expression, as all patterns below
	Header    string   `json:"header"`    // name of a call header that must be present
	Option    string   `json:"option"`    // name of a session option that must be present
	Value     string   `json:"value"`     // pattern for the header or option
	Statement string   `json:"statement"` // pattern
	Command   string   `json:"command"`   // pattern for the name of the Flight SQL command
	Class     string   `json:"class"`
	Tenant    string   `json:"tenant"`
	Cost      Duration `json:"cost"`
	MemoryMB  float64  `json:"memory_mb"`
	Key       string   `json:"key"`    // source of the order key, see validateSource
	Tables    string   `json:"tables"` // source of the table group, see validateSource
}
