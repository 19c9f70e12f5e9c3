package control

import (
	"time"

	"embershunt/config"
	"embershunt/control/configv1"
)

// Merge returns the configuration of a file with a set merged in, or the error of an invalid configuration.
func Merge(local config.File, s Set) (*config.Config, error) { return config.FromFile(merge(local, s)) }

// merge returns a copy of a file whose streamed parts are replaced by the resources of a set.
func merge(local config.File, s Set) config.File {
	f := local
	mergeClasses(&f, s.Classes)
	f.Tenants = nil
	for _, t := range s.Tenants.GetTenants() {
		f.Tenants = append(f.Tenants, config.Tenant{Name: t.GetName(), Quota: t.GetPerSecond()})
	}
	mergeLimits(&f, s.Limits)
	mergeFronts(&f.Frontend, s.Fronts)
	f.Rules, f.NoHints = nil, s.Classification.GetNoHints()
	for _, r := range s.Classification.GetRules() {
		f.Rules = append(f.Rules, ruleFromProto(r))
	}
	return f
}

func mergeClasses(f *config.File, classes *configv1.Classes) {
	f.Classes, f.DefaultClass = nil, classes.GetDefaultClass()
	for _, c := range classes.GetClasses() {
		f.Classes = append(f.Classes, config.Class{Name: c.GetName(), PriorityWeight: c.GetWorth(), LateWeight: c.GetLateWorth(),
			LatencyObjective: durationFromMicros(c.GetAimUs()), ObjectiveStretch: c.GetAimStretch(),
			Deadline: durationFromMicros(c.GetDeadlineUs()), Threads: int(c.GetThreads()),
			Effect: c.GetEffect(), Updates: c.GetUpdates(), DedupScope: c.GetGroup(),
			DedupWindow: durationFromMicros(c.GetWindowUs()), Ordered: c.GetInTurn(), Zones: c.GetHalls(), Kinds: c.GetKinds(),
			LocksTables: c.GetLoads(), WaitsForTables: c.GetWaits()})
	}
}

// mergeLimits replaces the limits. The number of dispatchers and the kinds of machine keep the file's values where the set
// leaves them out; this dispatcher's own number is lowered to fit a smaller number of dispatchers.
func mergeLimits(f *config.File, l *configv1.Limits) {
	f.Limits = config.Limits{MaxAttempts: int(l.GetAttempts()), MaxInFlight: int(l.GetHeld()),
		MaxRetryAfter: durationFromMicros(l.GetComeBackUs()), Hedging: l.GetSecondCopies(),
		DrainGrace: durationFromMicros(l.GetDrainGraceUs()), OrderingGap: durationFromMicros(l.GetTurnRestUs()),
		RetryBudgetFloor: l.GetBudgetFree(), RetryBudgetRatio: l.GetBudgetShare(),
		RetryBudgetWindow: durationFromMicros(l.GetBudgetSpanUs()), SlowStartFloor: l.GetColdFrom(),
		SlowStartDuration: durationFromMicros(l.GetColdForUs()), OverloadMultiple: l.GetColdMultiple(),
		OverloadDuration: durationFromMicros(l.GetColdSpanUs()), OverQuotaWeight: l.GetOverShareWorth()}
	if n := int(l.GetDispatchers()); n > 0 {
		f.Peers = n
		f.PeerIndex = min(f.PeerIndex, n-1)
	}
	if len(l.GetKinds()) > 0 {
		f.Kinds = nil
		for _, k := range l.GetKinds() {
			f.Kinds = append(f.Kinds, config.Kind{Name: k.GetName(), Cores: int(k.GetCores()), MemoryMB: k.GetMemoryMb()})
		}
	}
}

// mergeFronts replaces the frontend settings; those that the set leaves out keep the file's values.
func mergeFronts(f *config.Frontend, r *configv1.Fronts) {
	setNonZero(&f.ResponseMargin, durationFromMicros(r.GetWayBackUs()))
	setNonZero(&f.TicketTTL, durationFromMicros(r.GetTicketLifeUs()))
	setNonZero(&f.PreparedTTL, durationFromMicros(r.GetPreparedLifeUs()))
	setNonZero(&f.BearerTTL, durationFromMicros(r.GetBearerLifeUs()))
	setNonZero(&f.MaxStatementBytes, int(r.GetMaxStatementBytes()))
	setNonZero(&f.MaxParameterBytes, int(r.GetMaxParameterBytes()))
}

// setNonZero sets *p to v unless v is the zero value, which means that the field was left out.
func setNonZero[T comparable](p *T, v T) {
	var zero T
	if v != zero {
		*p = v
	}
}

func ruleFromProto(r *configv1.Rule) config.Rule {
	return config.Rule{Name: r.GetName(), User: r.GetUser(), Header: r.GetHeader(), Option: r.GetOption(), Value: r.GetValue(),
		Statement: r.GetStatement(), Command: r.GetCommand(), Class: r.GetClass(), Tenant: r.GetTenant(),
		Cost: durationFromMicros(r.GetCostUs()), MemoryMB: r.GetMemoryMb(), Key: r.GetKey(), Tables: r.GetTables()}
}

func durationFromMicros(us int64) config.Duration {
	return config.Duration(time.Duration(us) * time.Microsecond)
}
