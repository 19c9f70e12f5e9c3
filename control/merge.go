package control

import (
	"time"

	"embershunt/config"
	"embershunt/control/configv1"
)

// Merge is the configuration of a file with a set merged in.
func Merge(local config.File, s Set) (*config.Config, error) { return config.FromFile(merge(local, s)) }

// merge puts the resources of a set in place of what a file says of them.
func merge(local config.File, s Set) config.File {
	f := local
	mergeClasses(&f, s.Classes)
	f.Tenants = nil
	for _, t := range s.Tenants.GetTenants() {
		f.Tenants = append(f.Tenants, config.Tenant{Name: t.GetName(), Quota: t.GetPerSecond()})
	}
	mergeLimits(&f, s.Limits)
	mergeFronts(&f.Front, s.Fronts)
	f.Rules, f.NoHints = nil, s.Classification.GetNoHints()
	for _, r := range s.Classification.GetRules() {
		f.Rules = append(f.Rules, ruleOf(r))
	}
	return f
}

func mergeClasses(f *config.File, classes *configv1.Classes) {
	f.Classes, f.Default = nil, classes.GetDefaultClass()
	for _, c := range classes.GetClasses() {
		f.Classes = append(f.Classes, config.Class{Name: c.GetName(), PriorityWeight: c.GetWorth(), LateWeight: c.GetLateWorth(),
			LatencyObjective: duration(c.GetAimUs()), ObjectiveStretch: c.GetAimStretch(), Deadline: duration(c.GetDeadlineUs()),
			Threads: int(c.GetThreads()), Effect: c.GetEffect(), Updates: c.GetUpdates(), DedupScope: c.GetGroup(),
			DedupWindow: duration(c.GetWindowUs()), Ordered: c.GetInTurn(), Zones: c.GetHalls(), Kinds: c.GetKinds(),
			LocksTables: c.GetLoads(), WaitsForTables: c.GetWaits()})
	}
}

// mergeLimits merges the limits; the number of dispatchers and the kinds of machine stay the file's where left out.
func mergeLimits(f *config.File, l *configv1.Limits) {
	f.Limits = config.Limits{Attempts: int(l.GetAttempts()), MaxInFlight: int(l.GetHeld()), MaxRetryAfter: duration(l.GetComeBackUs()),
		Hedging: l.GetSecondCopies(), DrainGrace: duration(l.GetDrainGraceUs()), OrderingGap: duration(l.GetTurnRestUs()),
		RetryBudgetFloor: l.GetBudgetFree(), RetryBudgetRatio: l.GetBudgetShare(), RetryBudgetWindow: duration(l.GetBudgetSpanUs()),
		SlowStartFloor: l.GetColdFrom(), SlowStartDuration: duration(l.GetColdForUs()), OverloadMultiple: l.GetColdMultiple(),
		OverloadDuration: duration(l.GetColdSpanUs()), OverQuotaWeight: l.GetOverShareWorth()}
	if n := int(l.GetDispatchers()); n > 0 {
		f.Peers = n
		f.Number = min(f.Number, n-1)
	}
	if len(l.GetKinds()) > 0 {
		f.Kinds = nil
		for _, k := range l.GetKinds() {
			f.Kinds = append(f.Kinds, config.Kind{Name: k.GetName(), Cores: int(k.GetCores()), MemoryMB: k.GetMemoryMb()})
		}
	}
}

// mergeFronts merges the frontend settings; those left out stay the file's.
func mergeFronts(f *config.Front, r *configv1.Fronts) {
	setNonZero(&f.ResponseMargin, duration(r.GetWayBackUs()))
	setNonZero(&f.TicketLife, duration(r.GetTicketLifeUs()))
	setNonZero(&f.PreparedLife, duration(r.GetPreparedLifeUs()))
	setNonZero(&f.BearerLife, duration(r.GetBearerLifeUs()))
	setNonZero(&f.MaxStatement, int(r.GetMaxStatementBytes()))
	setNonZero(&f.MaxParams, int(r.GetMaxParameterBytes()))
}

func setNonZero[T comparable](p *T, v T) {
	var zero T
	if v != zero {
		*p = v
	}
}

func ruleOf(r *configv1.Rule) config.Rule {
	return config.Rule{Name: r.GetName(), User: r.GetUser(), Header: r.GetHeader(), Option: r.GetOption(), Value: r.GetValue(),
		Statement: r.GetStatement(), Command: r.GetCommand(), Class: r.GetClass(), Tenant: r.GetTenant(),
		Cost: duration(r.GetCostUs()), MemoryMB: r.GetMemoryMb(), Key: r.GetKey(), Tables: r.GetTables()}
}

// duration converts microseconds.
func duration(us int64) config.Duration { return config.Duration(time.Duration(us) * time.Microsecond) }
