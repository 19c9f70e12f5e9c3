package control

import (
	"embershunt/config"
	"embershunt/control/configv1"
)

// FileParts are the streamed parts of a configuration, as a control service reads them from a file. A field that is left
// out has its default.
type FileParts struct {
	Classes     []config.Class  `json:"classes"`
	Default     string          `json:"default_class"`
	Tenants     []config.Tenant `json:"tenants"`
	Limits      config.Limits   `json:"limits"`
	Dispatchers int             `json:"dispatchers"`
	Kinds       []config.Kind   `json:"kinds"`
	Rules       []config.Rule   `json:"rules"`
	NoHints     bool            `json:"no_hints"`
	Front       config.Frontend `json:"front"` // all but schema_life, schema_most, max_insert_bytes and held_insert_bytes
}

// Set returns the parts as the set with number n. It is the inverse of Merge.
func (f FileParts) Set(n uint64) Set {
	s := Set{Number: n, Classes: f.classes(n), Tenants: &configv1.Tenants{Set: n}, Limits: f.limits(n),
		Classification: f.classification(n),
		Fronts: &configv1.Fronts{Set: n, WayBackUs: micros(f.Front.ResponseMargin), TicketLifeUs: micros(f.Front.TicketTTL),
			PreparedLifeUs: micros(f.Front.PreparedTTL), BearerLifeUs: micros(f.Front.BearerTTL),
			MaxStatementBytes: int32(f.Front.MaxStatementBytes), MaxParameterBytes: int32(f.Front.MaxParameterBytes)}}
	for _, t := range f.Tenants {
		s.Tenants.Tenants = append(s.Tenants.Tenants, &configv1.Tenant{Name: t.Name, PerSecond: t.Quota})
	}
	return s
}

func (f FileParts) classes(n uint64) *configv1.Classes {
	out := &configv1.Classes{Set: n, DefaultClass: f.Default}
	for _, c := range f.Classes {
		out.Classes = append(out.Classes, &configv1.Class{Name: c.Name, Worth: c.PriorityWeight, LateWorth: c.LateWeight,
			AimUs: micros(c.LatencyObjective), AimStretch: c.ObjectiveStretch, DeadlineUs: micros(c.Deadline), Threads: int32(c.Threads),
			Effect: c.Effect, Updates: c.Updates, Group: c.DedupScope, WindowUs: micros(c.DedupWindow), InTurn: c.Ordered,
			Halls: c.Zones, Kinds: c.Kinds, Loads: c.LocksTables, Waits: c.WaitsForTables})
	}
	return out
}

func (f FileParts) limits(n uint64) *configv1.Limits {
	l := f.Limits
	out := &configv1.Limits{Set: n, Attempts: int32(l.MaxAttempts), Held: int32(l.MaxInFlight), ComeBackUs: micros(l.MaxRetryAfter),
		SecondCopies: l.Hedging, DrainGraceUs: micros(l.DrainGrace), TurnRestUs: micros(l.OrderingGap), BudgetFree: l.RetryBudgetFloor,
		BudgetShare: l.RetryBudgetRatio, BudgetSpanUs: micros(l.RetryBudgetWindow), ColdFrom: l.SlowStartFloor,
		ColdForUs: micros(l.SlowStartDuration), ColdMultiple: l.OverloadMultiple, ColdSpanUs: micros(l.OverloadDuration),
		OverShareWorth: l.OverQuotaWeight, Dispatchers: int32(f.Dispatchers)}
	for _, k := range f.Kinds {
		out.Kinds = append(out.Kinds, &configv1.Kind{Name: k.Name, Cores: int32(k.Cores), MemoryMb: k.MemoryMB})
	}
	return out
}

func (f FileParts) classification(n uint64) *configv1.Classification {
	out := &configv1.Classification{Set: n, NoHints: f.NoHints}
	for _, r := range f.Rules {
		out.Rules = append(out.Rules, &configv1.Rule{Name: r.Name, User: r.User, Header: r.Header, Option: r.Option,
			Value: r.Value, Statement: r.Statement, Command: r.Command, Class: r.Class, Tenant: r.Tenant,
			CostUs: micros(r.Cost), MemoryMb: r.MemoryMB, Key: r.Key, Tables: r.Tables})
	}
	return out
}
