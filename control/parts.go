package control

import (
	"google.golang.org/protobuf/proto"

	"embershunt/config"
	"embershunt/control/configv1"
)

// FileParts are the streamed parts of a configuration, as a control service reads them from a file. Fields left out mean
// the defaults.
type FileParts struct {
	Classes     []config.Class  `json:"classes"`
	Default     string          `json:"default_class"`
	Tenants     []config.Tenant `json:"tenants"`
	Limits      config.Limits   `json:"limits"`
	Dispatchers int             `json:"dispatchers"`
	Kinds       []config.Kind   `json:"kinds"`
	Rules       []config.Rule   `json:"rules"`
	NoHints     bool            `json:"no_hints"`
	Front       config.Front    `json:"front"` // all but schema_life, schema_most, max_insert_bytes and held_insert_bytes
}

func us(d config.Duration) int64 { return d.D().Microseconds() }

// Set is the version that they make: the inverse of what a dispatcher merges.
func (f FileParts) Set(n uint64) Set {
	s := Set{Number: n, Classes: &configv1.Classes{Set: n, DefaultClass: f.Default}, Tenants: &configv1.Tenants{Set: n},
		Classification: &configv1.Classification{Set: n, NoHints: f.NoHints}}
	for _, c := range f.Classes {
		s.Classes.Classes = append(s.Classes.Classes, &configv1.Class{Name: c.Name, Worth: c.PriorityWeight, LateWorth: c.LateWeight,
			AimUs: us(c.LatencyObjective), AimStretch: c.ObjectiveStretch, DeadlineUs: us(c.Deadline), Threads: int32(c.Threads), Effect: c.Effect,
			Updates: c.Updates, Group: c.DedupScope, WindowUs: us(c.DedupWindow), InTurn: c.Ordered, Halls: c.Zones, Kinds: c.Kinds,
			Loads: c.LocksTables, Waits: c.WaitsForTables})
	}
	for _, t := range f.Tenants {
		s.Tenants.Tenants = append(s.Tenants.Tenants, &configv1.Tenant{Name: t.Name, PerSecond: t.Quota})
	}
	s.Fronts = &configv1.Fronts{Set: n, WayBackUs: us(f.Front.ResponseMargin), TicketLifeUs: us(f.Front.TicketLife),
		PreparedLifeUs: us(f.Front.PreparedLife), BearerLifeUs: us(f.Front.BearerLife),
		MaxStatementBytes: int32(f.Front.MaxStatement), MaxParameterBytes: int32(f.Front.MaxParams)}
	l := f.Limits
	s.Limits = &configv1.Limits{Set: n, Attempts: int32(l.Attempts), Held: int32(l.MaxInFlight), ComeBackUs: us(l.MaxRetryAfter),
		SecondCopies: l.Hedging, DrainGraceUs: us(l.DrainGrace), TurnRestUs: us(l.OrderingGap), BudgetFree: l.RetryBudgetFloor,
		BudgetShare: l.RetryBudgetRatio, BudgetSpanUs: us(l.RetryBudgetWindow), ColdFrom: l.SlowStartFloor, ColdForUs: us(l.SlowStartDuration),
		ColdMultiple: l.OverloadMultiple, ColdSpanUs: us(l.OverloadDuration), OverShareWorth: l.OverQuotaWeight, Dispatchers: int32(f.Dispatchers)}
	for _, k := range f.Kinds {
		s.Limits.Kinds = append(s.Limits.Kinds, &configv1.Kind{Name: k.Name, Cores: int32(k.Cores), MemoryMb: k.MemoryMB})
	}
	for _, r := range f.Rules {
		s.Classification.Rules = append(s.Classification.Rules, &configv1.Rule{Name: r.Name, User: r.User, Header: r.Header,
			Option: r.Option, Value: r.Value, Statement: r.Statement, Command: r.Command, Class: r.Class, Tenant: r.Tenant,
			CostUs: us(r.Cost), MemoryMb: r.MemoryMB, Key: r.Key, Tables: r.Tables})
	}
	return s
}

// Parts are a set's resources, in the order of their kinds.
func (s Set) Parts() []proto.Message {
	return []proto.Message{s.Classes, s.Tenants, s.Limits, s.Classification, s.Fronts}
}
