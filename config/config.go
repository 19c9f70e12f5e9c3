package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"golang.org/x/crypto/bcrypt"

	"embershunt/classify"
	"embershunt/policy"
)

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

// Config is a configuration in effect.
type Config struct {
	File     File
	Settings policy.Settings
	Classes  classify.Table
	Keys     [][]byte
}

// Load reads and validates a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// FromFile validates a configuration that was made in memory.
func FromFile(f File) (*Config, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	return Parse(f.Name, text)
}

// Parse validates a configuration. Its error is *Mistakes.
func Parse(name string, text []byte) (*Config, error) {
	c := &Config{}
	d, err := parse(name, text, &c.File)
	if err != nil {
		return nil, err
	}
	c.File.defaults()
	c.check(d)
	if len(d.violations) > 0 {
		return nil, &Violations{name, d.violations}
	}
	return c, nil
}

func or[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (f *File) defaults() {
	or(&f.Name, "dispatcher")
	if len(f.Zones) == 0 {
		f.Zones = []string{"hall"}
	}
	or(&f.Zone, f.Zones[0])
	or(&f.Peers, 1)
	or(&f.Listen.FlightSQL, "127.0.0.1:32010")
	if len(f.Classes) > 0 {
		or(&f.Default, f.Classes[0].Name)
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		or(&c.Effect, "safe")
		or(&c.Updates, "unsafe")
		or(&c.DedupScope, "all")
		or(&c.Threads, 1)
		or(&c.PriorityWeight, 1)
	}
	l := &f.Limits
	or(&l.Attempts, 3)
	or(&l.MaxInFlight, 20000)
	or(&l.MaxRetryAfter, Duration(2*time.Second))
	or(&l.DrainGrace, Duration(2*time.Second))
	or(&l.OrderingGap, Duration(time.Second))
	or(&l.SlowStartFloor, 0.34)
	or(&l.SlowStartDuration, Duration(15*time.Second))
	or(&l.OverloadMultiple, 2)
	or(&l.OverloadDuration, Duration(2*time.Second))
	or(&l.OverQuotaWeight, 0.05)
	s := &f.Sending
	or(&s.GrantShare, 0.4)
	or(&s.Shortage, "trim")
	or(&s.Connect, Duration(250*time.Millisecond))
	or(&s.MaxFrame, 16<<20)
	r := &f.Front
	or(&r.ResponseMargin, Duration(10*time.Millisecond))
	or(&r.TicketLife, Duration(10*time.Minute))
	or(&r.PreparedLife, Duration(24*time.Hour))
	or(&r.BearerLife, Duration(time.Hour))
	or(&r.SchemaLife, Duration(5*time.Minute))
	or(&r.MaxSchemas, 4096)
	or(&r.MaxStatement, 2<<20)
	or(&r.MaxParams, 256<<10)
	or(&r.MaxInsertBytes, 64<<20)
	e := &f.Sessions
	or(&e.Max, 100000)
	or(&e.Idle, Duration(5*time.Minute))
	or(&e.Age, Duration(time.Hour))
	or(&e.RetrySpread, Duration(5*time.Second))
	or(&e.Retention, Duration(time.Minute))
	or(&r.MaxBufferedInsertBytes, 512<<20)
	if k := f.Control; k != nil {
		or(&k.KeepVersions, 10)
		or(&k.Floor, 0.5)
		or(&k.FloorCount, 1)
		or(&k.RelistAfter, Duration(time.Minute))
		or(&k.Reconnect, Duration(30*time.Second))
	}
	or(&f.Log.Level, "info")
	or(&f.Log.Format, "json")
	or(&f.Log.MaxDecisionBytes, 1<<30)
	or(&f.Log.LearnedInterval, Duration(5*time.Second))
}

// Effective is the configuration with all defaults, as JSON.
func (c *Config) Effective() ([]byte, error) { return json.MarshalIndent(c.File, "", "  ") }

// UpdatesSuffix ends the name of the class that a class's updates fall in, where their effect differs.
const UpdatesSuffix = " (updates)"

// KeyedSuffix ends the name of the class that a class's inserts with a deduplication token fall in.
const KeyedSuffix = " (keyed)"

var (
	effects   = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
	groups    = map[string]policy.DedupScope{"all": policy.DedupFleet, "hall": policy.DedupZone, "cell": policy.DedupPlacementGroup}
	shortages = map[string]policy.Shortage{"queue": policy.ShortageQueues, "trim": policy.ShortageTrims,
		"swap": policy.ShortageSwaps}
)

// check validates what the types alone cannot say and derives what the module is told.
func (c *Config) check(d *decoder) {
	f := &c.File
	index := func(path, name string, names []string) int {
		for i, n := range names {
			if n == name {
				return i
			}
		}
		d.violation(path, quoted(name), strings.Join(names, ", "))
		return -1
	}
	unique := func(path string, names []string) {
		seen := map[string]bool{}
		for i, n := range names {
			at := fmt.Sprintf("%s[%d]", path, i)
			if n == "" {
				d.violation(at, "no name", "a name that is not empty")
			} else if seen[n] {
				d.violation(at, quoted(n)+" a second time", "each name once")
			}
			seen[n] = true
		}
	}
	within := func(path string, v, least, most float64) {
		if !(v >= least && v <= most) {
			d.violation(path, fmt.Sprint(v), fmt.Sprintf("%v to %v", least, most))
		}
	}
	span := func(path string, v Duration, least, most time.Duration) {
		if v.D() < least || v.D() > most {
			d.violation(path, v.D().String(), fmt.Sprintf("%v to %v", least, most))
		}
	}
	address := func(path, v string, empty bool) {
		if _, _, err := net.SplitHostPort(v); err != nil && !(empty && v == "") {
			d.violation(path, quoted(v), "host:port")
		}
	}
	pattern := func(path, v string) *regexp.Regexp {
		if v == "" {
			return nil
		}
		r, err := regexp.Compile(v)
		if err != nil {
			d.violation(path, err.Error(), "a regular expression (RE2)")
		}
		return r
	}
	unique("halls", f.Zones)
	hall := index("hall", f.Zone, f.Zones)
	within("dispatchers", float64(f.Peers), 1, 10000)
	within("number", float64(f.Number), 0, float64(max(f.Peers, 1)-1))
	address("listen.flightsql", f.Listen.FlightSQL, false)
	address("listen.metrics", f.Listen.Metrics, true)
	address("listen.native", f.Listen.Native, true)
	for i, k := range f.Keys {
		b, err := hex.DecodeString(k)
		if err != nil || len(b) != 32 {
			d.violation(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("%d characters", len(k)), "64 hex digits (32 bytes)")
		}
		c.Keys = append(c.Keys, b)
	}
	if f.AnyUser == (len(f.Users) > 0) {
		d.violation("users", fmt.Sprintf("%d users and any_user %v", len(f.Users), f.AnyUser),
			"either users or any_user: true")
	}
	for i, u := range f.Users {
		if u.Name == "" || strings.Contains(u.Name, ":") {
			d.violation(fmt.Sprintf("users[%d].name", i), quoted(u.Name), "a name without a colon")
		}
		if _, err := bcrypt.Cost([]byte(u.Bcrypt)); err != nil {
			d.violation(fmt.Sprintf("users[%d].bcrypt", i), fmt.Sprintf("%d characters", len(u.Bcrypt)), "a bcrypt hash ($2a$...)")
		}
	}
	c.checkNodes(d, address)

	s := &c.Settings
	l, send := &f.Limits, &f.Sending
	*s = policy.Settings{Zone: max(hall, 0), PeerIndex: f.Number, Peers: f.Peers, OverQuotaWeight: l.OverQuotaWeight,
		MaxAttempts: l.Attempts, MaxInFlight: l.MaxInFlight, MaxRetryAfter: l.MaxRetryAfter.D().Microseconds(), CanCancel: true,
		CanHealthCheck: send.HealthChecks, AllowHedging: l.Hedging, ReportsByAnswer: true, ReportsByHealthCheck: send.HealthChecks,
		HonorsGrants: send.Grants, HonorsPriority: send.Priorities, MaxGrantShare: send.GrantShare,
		Shortage: shortages[send.Shortage], SlowStartFloor: l.SlowStartFloor, SlowStartDuration: l.SlowStartDuration.D().Microseconds(),
		OverloadMultiple: l.OverloadMultiple, OverloadDuration: l.OverloadDuration.D().Microseconds(),
		DrainGrace: l.DrainGrace.D().Microseconds(), OrderingGap: l.OrderingGap.D().Microseconds(),
		RetryBudgetFloor: l.RetryBudgetFloor, RetryBudgetRatio: l.RetryBudgetRatio, RetryBudgetWindow: l.RetryBudgetWindow.D().Microseconds()}
	if _, ok := shortages[send.Shortage]; !ok {
		d.violation("sending.shortage", quoted(send.Shortage), "queue, trim, swap")
	}
	within("limits.attempts", float64(l.Attempts), 1, 16)
	within("limits.held", float64(l.MaxInFlight), 1, 1e6)
	within("limits.over_share_worth", l.OverQuotaWeight, 0, 1)
	within("limits.budget_free", l.RetryBudgetFloor, 0, 1e6)
	within("limits.budget_share", l.RetryBudgetRatio, 0, 100)
	within("limits.cold_from", l.SlowStartFloor, 0.01, 1)
	within("limits.cold_multiple", l.OverloadMultiple, 0.1, 100)
	within("sending.grant_share", send.GrantShare, 0.01, 1)
	within("sending.max_frame_bytes", float64(send.MaxFrame), 64<<10, 1<<30)
	span("limits.come_back", l.MaxRetryAfter, 0, time.Hour)
	span("limits.drain_grace", l.DrainGrace, 50*time.Millisecond, time.Hour)
	span("limits.turn_rest", l.OrderingGap, 0, time.Hour)
	span("limits.budget_span", l.RetryBudgetWindow, 0, time.Hour)
	span("limits.cold_for", l.SlowStartDuration, 0, time.Hour)
	span("limits.cold_span", l.OverloadDuration, time.Millisecond, time.Hour)
	span("sending.connect_timeout", send.Connect, time.Millisecond, time.Minute)
	span("front.way_back", f.Front.ResponseMargin, 0, 10*time.Second)
	for path, v := range map[string]Duration{"front.ticket_life": f.Front.TicketLife,
		"front.prepared_life": f.Front.PreparedLife, "front.bearer_life": f.Front.BearerLife,
		"front.schema_life": f.Front.SchemaLife} {
		span(path, v, time.Second, 30*24*time.Hour)
	}
	within("front.max_statement_bytes", float64(f.Front.MaxStatement), 1024, 64<<20)
	within("front.max_parameter_bytes", float64(f.Front.MaxParams), 1024, 64<<20)
	within("sessions.most", float64(f.Sessions.Max), 1, 1e7)
	within("sessions.per_tenant", float64(f.Sessions.PerTenant), 0, 1e7)
	within("sessions.per_node", float64(f.Sessions.PerNode), 0, 1e7)
	span("sessions.idle", f.Sessions.Idle, 10*time.Millisecond, 24*time.Hour)
	span("sessions.age", f.Sessions.Age, 10*time.Millisecond, 24*time.Hour)
	span("sessions.spread", f.Sessions.RetrySpread, 0, time.Hour)
	span("sessions.keep", f.Sessions.Retention, 0, time.Hour)
	within("front.max_insert_bytes", float64(f.Front.MaxInsertBytes), 1<<10, 1<<40)
	within("front.held_insert_bytes", float64(f.Front.MaxBufferedInsertBytes), float64(f.Front.MaxInsertBytes), 1<<40)
	within("front.schema_most", float64(f.Front.MaxSchemas), 1, 1e6)
	index("log.level", f.Log.Level, []string{"debug", "info", "warn", "error"})
	index("log.format", f.Log.Format, []string{"json", "console"})

	kinds := make([]string, len(f.Kinds))
	for i, k := range f.Kinds {
		kinds[i] = k.Name
		within(fmt.Sprintf("kinds[%d].cores", i), float64(k.Cores), 1, 10000)
		within(fmt.Sprintf("kinds[%d].memory_mb", i), k.MemoryMB, 0, 1e9)
		s.Kinds = append(s.Kinds, policy.Kind{Cores: k.Cores, MemoryMB: k.MemoryMB})
	}
	unique("kinds", kinds)
	if len(kinds) == 0 {
		d.violation("kinds", "none", "at least one kind of machine")
	}
	for i, t := range f.Tenants {
		c.Classes.Tenants = append(c.Classes.Tenants, t.Name)
		within(fmt.Sprintf("tenants[%d].per_second", i), t.Quota, 0, 1e9)
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota})
	}
	unique("tenants", c.Classes.Tenants)
	var updates []policy.Class // what writes is a class of its own, where its effect differs
	for i := range f.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		k := &f.Classes[i]
		c.Classes.Classes = append(c.Classes.Classes, k.Name)
		span(at+".deadline", k.Deadline, time.Millisecond, 24*time.Hour)
		span(at+".aim", k.LatencyObjective, time.Millisecond, 24*time.Hour)
		span(at+".window", k.DedupWindow, 0, 24*time.Hour)
		within(at+".worth", k.PriorityWeight, 0, 1e9)
		within(at+".late_worth", k.LateWeight, 0, 1)
		within(at+".aim_stretch", k.ObjectiveStretch, 0, 1000)
		within(at+".threads", float64(k.Threads), 1, 10000)
		m := policy.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, LateWeight: k.LateWeight, LatencyObjective: k.LatencyObjective.D().Microseconds(),
			ObjectiveStretch: k.ObjectiveStretch, Deadline: k.Deadline.D().Microseconds(), Threads: k.Threads, LocksTables: k.LocksTables,
			WaitsForTables: k.WaitsForTables, Ordered: k.Ordered, DedupWindow: k.DedupWindow.D().Microseconds()}
		for _, e := range []struct{ field, name string }{{".effect", k.Effect}, {".updates", k.Updates}} {
			if _, ok := effects[e.name]; !ok {
				d.violation(at+e.field, quoted(e.name), "safe, keyed, unsafe")
			}
			if e.name == "keyed" && k.DedupWindow == 0 {
				d.violation(at+".window", "none", "how long nodes remember a key, since the class is keyed")
			}
		}
		g, ok := groups[k.DedupScope]
		if !ok {
			d.violation(at+".group", quoted(k.DedupScope), "all, hall, cell")
		}
		m.Effect, m.DedupScope = effects[k.Effect], g
		for j, h := range k.Zones {
			m.Zones = append(m.Zones, index(fmt.Sprintf("%s.halls[%d]", at, j), h, f.Zones))
		}
		for j, n := range k.Kinds {
			m.Kinds = append(m.Kinds, index(fmt.Sprintf("%s.kinds[%d]", at, j), n, kinds))
		}
		s.Classes = append(s.Classes, m)
		c.Classes.Updates = append(c.Classes.Updates, i)
		if k.Updates != k.Effect {
			c.Classes.Updates[i] = len(f.Classes) + len(updates)
			m.Name, m.Effect = k.Name+UpdatesSuffix, effects[k.Updates]
			updates = append(updates, m)
		}
		c.Classes.Keyed = append(c.Classes.Keyed, -1)
		if k.Updates == "keyed" {
			c.Classes.Keyed[i] = c.Classes.Updates[i]
		} else if k.Updates == "unsafe" && k.DedupWindow > 0 { // nodes remember tokens
			c.Classes.Keyed[i] = len(f.Classes) + len(updates)
			m.Name, m.Effect = k.Name+KeyedSuffix, policy.IdempotentByKey
			updates = append(updates, m)
		}
	}
	unique("classes", c.Classes.Classes)
	if len(f.Classes) == 0 {
		d.violation("classes", "none", "at least one class")
		return
	}
	for i := range updates {
		s.Classes = append(s.Classes, updates[i])
		c.Classes.Updates = append(c.Classes.Updates, len(f.Classes)+i)
		c.Classes.Keyed = append(c.Classes.Keyed, -1)
	}
	c.Classes.Default = max(index("default_class", f.Default, c.Classes.Classes), 0)
	c.Classes.Hints = !f.NoHints
	names := make([]string, len(f.Rules))
	for i := range f.Rules {
		r, at := &f.Rules[i], fmt.Sprintf("rules[%d]", i)
		names[i] = r.Name
		out := classify.Rule{Name: r.Name, User: pattern(at+".user", r.User), Header: strings.ToLower(r.Header),
			Option: r.Option, Value: pattern(at+".value", r.Value), Statement: pattern(at+".statement", r.Statement),
			Command: pattern(at+".command", r.Command), Class: -1, Tenant: -1, Cost: r.Cost.D(), MemoryMB: r.MemoryMB,
			Key: r.Key, Tables: r.Tables}
		if r.Class != "" {
			out.Class = index(at+".class", r.Class, c.Classes.Classes)
		}
		if r.Tenant != "" {
			out.Tenant = index(at+".tenant", r.Tenant, c.Classes.Tenants)
		}
		if r.Value != "" && (r.Header == "") == (r.Option == "") {
			d.violation(at+".value", "a pattern", "one of header and option beside it")
		}
		for _, k := range []struct{ field, from string }{{".key", r.Key}, {".tables", r.Tables}} {
			kind, name, has := strings.Cut(k.from, ":")
			good := k.from == "" || !has && (kind == "user" || kind == "statement" || kind == "from") ||
				has && name != "" && (kind == "header" || kind == "option")
			if !good {
				d.violation(at+k.field, quoted(k.from), "user, statement, from, header:NAME, option:NAME")
			}
		}
		span(at+".cost", r.Cost, 0, 24*time.Hour)
		within(at+".memory_mb", r.MemoryMB, 0, 1e9)
		c.Classes.Rules = append(c.Classes.Rules, out)
	}
	unique("rules", names)
	if len(d.violations) == 0 {
		if _, err := policy.New(0, *s); err != nil { // the module's own word, should the checks above miss something
			d.violation("", err.Error(), "what the module takes")
		}
	}
}

func (c *Config) checkNodes(d *decoder, address func(path, v string, empty bool)) {
	n := &c.File.Nodes
	sources := 0
	for _, has := range []bool{n.File != "", n.EDS != nil, len(n.List) > 0, c.File.Control != nil} {
		if has {
			sources++
		}
	}
	if sources != 1 {
		d.violation("nodes", fmt.Sprintf("%d sources", sources), "exactly one of file, eds, list; or control in their place")
	}
	if k := c.File.Control; k != nil {
		address("control.address", k.Address, false)
		if k.Cluster == "" {
			d.violation("control.cluster", "none", "the name of the node list to watch")
		}
		if k.Floor < 0 || k.Floor > 1 || k.FloorCount < 0 || k.KeepVersions < 2 || k.KeepVersions > 1000 {
			d.violation("control", fmt.Sprintf("floor %v, floor_count %d, keep %d", k.Floor, k.FloorCount, k.KeepVersions),
				"floor 0 to 1, floor_count 0 or more, keep 2 to 1000")
		}
		if b, err := hex.DecodeString(k.OperatorKey); err != nil || len(b) != 0 && len(b) != 32 {
			d.violation("control.operator_key", fmt.Sprintf("%d characters", len(k.OperatorKey)), "64 hex digits, or none")
		}
		if k.RelistAfter < 0 || k.Reconnect < 0 {
			d.violation("control", "a span under 0", "relist_after and reconnect_most of 0 or more")
		}
	}
	if n.EDS != nil {
		address("nodes.eds.address", n.EDS.Address, false)
		if n.EDS.Cluster == "" {
			d.violation("nodes.eds.cluster", "none", "the name of the cluster to watch")
		}
	}
	c.checkRows(d, "nodes.list", n.List)
}

func quoted(s string) string {
	if s == "" {
		return "nothing"
	}
	return fmt.Sprintf("%.60q", s)
}
