package config

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/crypto/bcrypt"

	"embershunt/policy"
)

// Limits shared by several sections.
const (
	maxDispatchers = 10_000
	maxSessions    = 10_000_000
	maxDuration    = 24 * time.Hour // of deadlines, objectives, dedup windows, costs, idle times and ages
)

// validate checks what the types do not express, section by section, and builds the settings of the policy and the
// classification table.
func (c *Config) validate(v validator) {
	zone := c.validateIdentity(v)
	c.validateKeys(v)
	c.validateUsers(v)
	c.validateNodeSource(v)
	c.Settings = c.policySettings(zone)
	c.validateNodeOptions(v)
	c.validateLimits(v)
	c.validateFrontend(v)
	c.validateSessions(v)
	c.validateLog(v)
	kinds := c.buildKinds(v)
	c.buildTenants(v)
	if !c.buildClasses(v, kinds) {
		return
	}
	c.buildRules(v)
	if len(v.violations) > 0 {
		return
	}
	if _, err := policy.New(0, c.Settings); err != nil { // in case the checks above miss something
		v.addViolation("", err.Error(), "settings that the policy accepts")
	}
}

// validateIdentity checks the zone, the index among the peers and the addresses of the dispatcher. It returns the index of its
// zone, 0 if the zone is unknown.
func (c *Config) validateIdentity(v validator) (zone int) {
	f := &c.File
	v.unique("halls", f.Zones)
	zone = v.indexOf("hall", f.Zone, f.Zones)
	v.count("dispatchers", f.Peers, 1, maxDispatchers)
	v.count("number", f.PeerIndex, 0, max(f.Peers, 1)-1)
	v.address("listen.flightsql", f.Listen.FlightSQL)
	v.optionalAddress("listen.metrics", f.Listen.Metrics)
	v.optionalAddress("listen.native", f.Listen.Native)
	return max(zone, 0)
}

// validateKeys validates and decodes the sealing keys.
func (c *Config) validateKeys(v validator) {
	for i, text := range c.File.Keys {
		key, ok := hexKey(text)
		if !ok {
			v.addViolation(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("%d characters", len(text)), "64 hex digits (32 bytes)")
		}
		c.Keys = append(c.Keys, key)
	}
}

func (c *Config) validateUsers(v validator) {
	f := &c.File
	if f.AnyUser == (len(f.Users) > 0) {
		v.addViolation("users", fmt.Sprintf("%d users and any_user %v", len(f.Users), f.AnyUser), "either users or any_user: true")
	}
	for i, u := range f.Users {
		if u.Name == "" || strings.Contains(u.Name, ":") {
			v.addViolation(fmt.Sprintf("users[%d].name", i), quoted(u.Name), "a name without a colon")
		}
		if _, err := bcrypt.Cost([]byte(u.Bcrypt)); err != nil {
			v.addViolation(fmt.Sprintf("users[%d].bcrypt", i), fmt.Sprintf("%d characters", len(u.Bcrypt)), "a bcrypt hash ($2a$...)")
		}
	}
}

// validateNodeSource checks that the node list has exactly one source, and validates that source.
func (c *Config) validateNodeSource(v validator) {
	n := &c.File.Nodes
	sources := 0
	for _, given := range []bool{n.File != "", n.EDS != nil, len(n.List) > 0, c.File.Control != nil} {
		if given {
			sources++
		}
	}
	if sources != 1 {
		v.addViolation("nodes", fmt.Sprintf("%d sources", sources), "exactly one of file, eds, list; or control in their place")
	}
	if c.File.Control != nil {
		c.File.Control.validate(v)
	}
	if n.EDS != nil {
		v.address("nodes.eds.address", n.EDS.Address)
		if n.EDS.Cluster == "" {
			v.addViolation("nodes.eds.cluster", "none", "the name of the cluster to watch")
		}
	}
	c.validateNodes(v, "nodes.list", n.List)
}

func (k *Control) validate(v validator) {
	v.address("control.address", k.Address)
	if k.Cluster == "" {
		v.addViolation("control.cluster", "none", "the name of the node list to watch")
	}
	if k.Floor < 0 || k.Floor > 1 || k.FloorCount < 0 || k.KeepVersions < 2 || k.KeepVersions > 1000 {
		v.addViolation("control", fmt.Sprintf("floor %v, floor_count %d, keep %d", k.Floor, k.FloorCount, k.KeepVersions),
			"floor 0 to 1, floor_count 0 or more, keep 2 to 1000")
	}
	if _, ok := hexKey(k.OperatorKey); !ok && k.OperatorKey != "" {
		v.addViolation("control.operator_key", fmt.Sprintf("%d characters", len(k.OperatorKey)), "64 hex digits (32 bytes), or empty")
	}
	if k.RelistAfter < 0 || k.MaxReconnectBackoff < 0 {
		v.addViolation("control", "a negative duration", "relist_after and reconnect_most of 0 or more")
	}
}

func (c *Config) validateNodeOptions(v validator) {
	s := &c.File.NodeOptions
	if _, ok := shortages[s.Shortage]; !ok {
		v.addViolation("sending.shortage", quoted(s.Shortage), "queue, trim, swap")
	}
	v.inRange("sending.grant_share", s.GrantShare, 0.01, 1)
	v.count("sending.max_frame_bytes", s.MaxFrameBytes, 64<<10, 1<<30)
	v.duration("sending.connect_timeout", s.ConnectTimeout, time.Millisecond, time.Minute)
}

func (c *Config) validateLimits(v validator) {
	l := &c.File.Limits
	v.count("limits.attempts", l.MaxAttempts, 1, 16)
	v.count("limits.held", l.MaxInFlight, 1, 1_000_000)
	v.inRange("limits.over_share_worth", l.OverQuotaWeight, 0, 1)
	v.inRange("limits.budget_free", l.RetryBudgetFloor, 0, 1e6)
	v.inRange("limits.budget_share", l.RetryBudgetRatio, 0, 100)
	v.inRange("limits.cold_from", l.SlowStartFloor, 0.01, 1)
	v.inRange("limits.cold_multiple", l.OverloadMultiple, 0.1, 100)
	v.duration("limits.come_back", l.MaxRetryAfter, 0, time.Hour)
	v.duration("limits.drain_grace", l.DrainGrace, 50*time.Millisecond, time.Hour)
	v.duration("limits.turn_rest", l.OrderingGap, 0, time.Hour)
	v.duration("limits.budget_span", l.RetryBudgetWindow, 0, time.Hour)
	v.duration("limits.cold_for", l.SlowStartDuration, 0, time.Hour)
	v.duration("limits.cold_span", l.OverloadDuration, time.Millisecond, time.Hour)
}

// maxTokenLife is the longest validity allowed of tickets, prepared statement handles, bearer tokens and cached schemas.
const maxTokenLife = 30 * 24 * time.Hour

func (c *Config) validateFrontend(v validator) {
	f := &c.File.Frontend
	v.duration("front.way_back", f.ResponseMargin, 0, 10*time.Second)
	v.duration("front.ticket_life", f.TicketTTL, time.Second, maxTokenLife)
	v.duration("front.prepared_life", f.PreparedTTL, time.Second, maxTokenLife)
	v.duration("front.bearer_life", f.BearerTTL, time.Second, maxTokenLife)
	v.duration("front.schema_life", f.SchemaTTL, time.Second, maxTokenLife)
	v.count("front.max_statement_bytes", f.MaxStatementBytes, 1<<10, 64<<20)
	v.count("front.max_parameter_bytes", f.MaxParameterBytes, 1<<10, 64<<20)
	v.count("front.max_insert_bytes", f.MaxInsertBytes, 1<<10, 1<<40)
	v.count("front.held_insert_bytes", f.MaxBufferedInsertBytes, f.MaxInsertBytes, 1<<40)
	v.count("front.schema_most", f.MaxCachedAnswers, 1, 1_000_000)
}

func (c *Config) validateSessions(v validator) {
	s := &c.File.Sessions
	v.count("sessions.most", s.Max, 1, maxSessions)
	v.count("sessions.per_tenant", s.PerTenant, 0, maxSessions)
	v.count("sessions.per_node", s.PerNode, 0, maxSessions)
	v.duration("sessions.idle", s.IdleTimeout, 10*time.Millisecond, maxDuration)
	v.duration("sessions.age", s.MaxAge, 10*time.Millisecond, maxDuration)
	v.duration("sessions.spread", s.RetrySpread, 0, time.Hour)
	v.duration("sessions.keep", s.Retention, 0, time.Hour)
}

func (c *Config) validateLog(v validator) {
	v.indexOf("log.level", c.File.Log.Level, []string{"debug", "info", "warn", "error"})
	v.indexOf("log.format", c.File.Log.Format, []string{"json", "console"})
}
