package control

import (
	"fmt"
	"slices"
	"time"

	"embershunt/config"
	"embershunt/control/configv1"
)

// Bounds are the limits of the checks for harm. Zero values mean the defaults.
type Bounds struct {
	Floor       float64 // least share of the healthy nodes that a list may leave at once; default 0.5
	FloorCount  int     // least number of them; default 1
	RelistAfter Micros  // a drained node listed as healthy without a new start is believed after this; default 60 s
	NoShorter   bool    // a grace or budget may not become shorter than what is out; the default

	config *config.Config // of the set that moves
}

// DefaultBounds are the limits where settings name none.
func DefaultBounds() Bounds {
	return Bounds{Floor: 0.5, FloorCount: 1, RelistAfter: 60e6, NoShorter: true}
}

// check judges a whole set: form and references by the configuration's own rules, then what is fixed at start, then
// harm. It returns all reasons, each with the name of its check.
func (m *Module) check(set Set, k LiveState) (*config.Config, []string) {
	file := merge(m.local, set)
	cfg, err := config.FromFile(file)
	if err != nil {
		var reasons []string
		if mistakes, ok := err.(*config.Violations); ok {
			for _, one := range mistakes.All {
				reasons = append(reasons, fmt.Sprintf("reference: %s: found %s, allowed: %s", one.Field, one.Found, one.Allowed))
			}
		}
		if reasons == nil {
			reasons = []string{"form: " + err.Error()}
		}
		return nil, reasons
	}
	reasons := m.fixed(cfg)
	if m.pass[set.Number] {
		return cfg, reasons
	}
	return cfg, append(reasons, m.harm(cfg, k)...)
}

// fixed are the things that only a start can change; no override helps.
func (m *Module) fixed(cfg *config.Config) (reasons []string) {
	now, next := m.file.Kinds, cfg.File.Kinds
	for i, k := range now {
		if i >= len(next) || next[i].Name != k.Name {
			reasons = append(reasons, fmt.Sprintf("fixed: kinds of machine keep their places, new ones come last: %q stood "+
				"at %d", k.Name, i))
		}
	}
	for _, l := range []struct {
		field     string
		now, next int
	}{{"max_statement_bytes", m.local.Front.MaxStatement, cfg.File.Front.MaxStatement},
		{"max_parameter_bytes", m.local.Front.MaxParams, cfg.File.Front.MaxParams}} {
		if l.next > l.now { // the transport's bound was set by it
			reasons = append(reasons, fmt.Sprintf("fixed: %s may not pass the file's %d: %d", l.field, l.now, l.next))
		}
	}
	return reasons
}

// harm are the checks for what is valid in form and would hurt now.
func (m *Module) harm(cfg *config.Config, k LiveState) (reasons []string) {
	for _, name := range classNames(m.file) { // no setting lets this pass: the module itself does not end such a class
		if n := k.InFlight[name]; n > 0 && !slices.Contains(settingNames(cfg), name) {
			reasons = append(reasons, fmt.Sprintf("class_ends: class %q would end with %d queries in flight", name, n))
		}
	}
	if !m.bounds.NoShorter {
		return reasons
	}
	old, next := m.file.Limits, cfg.File.Limits
	if age, drains := m.nodes.youngestDrain(m.now); drains && next.DrainGrace < old.DrainGrace && age <= micros(old.DrainGrace) {
		reasons = append(reasons, fmt.Sprintf("grace: drain_grace would fall from %v to %v while a node is in its grace, told "+
			"%v ago", old.DrainGrace.D(), next.DrainGrace.D(), time.Duration(age)*time.Microsecond))
	}
	if k.OrderKeyResting && next.OrderingGap < old.OrderingGap {
		reasons = append(reasons, fmt.Sprintf("grace: turn_rest would fall from %v to %v while order keys rest",
			old.OrderingGap.D(), next.OrderingGap.D()))
	}
	allowed := func(l config.Limits) float64 { return l.RetryBudgetFloor + l.RetryBudgetRatio*float64(k.Received) }
	if next.RetryBudgetWindow > 0 && float64(k.Retries) > allowed(next) && (old.RetryBudgetWindow == 0 || allowed(next) < allowed(old) ||
		next.RetryBudgetWindow > old.RetryBudgetWindow) {
		reasons = append(reasons, fmt.Sprintf("budget: %d further attempts are out, the new budget would allow %.1f", k.Retries,
			allowed(next)))
	}
	return reasons
}

func micros(d config.Duration) Micros { return d.D().Microseconds() }

func classNames(f config.File) (names []string) {
	for _, c := range f.Classes {
		names = append(names, c.Name, c.Name+config.UpdatesSuffix, c.Name+config.KeyedSuffix)
	}
	return names
}

func settingNames(cfg *config.Config) (names []string) {
	for _, c := range cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

func span(us int64) config.Duration { return config.Duration(time.Duration(us) * time.Microsecond) }

// Merge is the configuration of a file with a set laid over it.
func Merge(local config.File, s Set) (*config.Config, error) { return config.FromFile(merge(local, s)) }

// merge lays a set over what is local.
func merge(local config.File, s Set) config.File {
	f := local
	f.Classes, f.Default = nil, s.Classes.GetDefaultClass()
	for _, c := range s.Classes.GetClasses() {
		f.Classes = append(f.Classes, config.Class{Name: c.GetName(), PriorityWeight: c.GetWorth(), LateWeight: c.GetLateWorth(),
			LatencyObjective: span(c.GetAimUs()), ObjectiveStretch: c.GetAimStretch(), Deadline: span(c.GetDeadlineUs()),
			Threads: int(c.GetThreads()), Effect: c.GetEffect(), Updates: c.GetUpdates(), DedupScope: c.GetGroup(),
			DedupWindow: span(c.GetWindowUs()), Ordered: c.GetInTurn(), Zones: c.GetHalls(), Kinds: c.GetKinds(),
			LocksTables: c.GetLoads(), WaitsForTables: c.GetWaits()})
	}
	f.Tenants = nil
	for _, t := range s.Tenants.GetTenants() {
		f.Tenants = append(f.Tenants, config.Tenant{Name: t.GetName(), Quota: t.GetPerSecond()})
	}
	l := s.Limits
	f.Limits = config.Limits{Attempts: int(l.GetAttempts()), MaxInFlight: int(l.GetHeld()), MaxRetryAfter: span(l.GetComeBackUs()),
		Hedging: l.GetSecondCopies(), DrainGrace: span(l.GetDrainGraceUs()), OrderingGap: span(l.GetTurnRestUs()),
		RetryBudgetFloor: l.GetBudgetFree(), RetryBudgetRatio: l.GetBudgetShare(), RetryBudgetWindow: span(l.GetBudgetSpanUs()),
		SlowStartFloor: l.GetColdFrom(), SlowStartDuration: span(l.GetColdForUs()), OverloadMultiple: l.GetColdMultiple(),
		OverloadDuration: span(l.GetColdSpanUs()), OverQuotaWeight: l.GetOverShareWorth()}
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
	r := s.Fronts
	given(&f.Front.ResponseMargin, span(r.GetWayBackUs())) // what is left out stays the file's
	given(&f.Front.TicketLife, span(r.GetTicketLifeUs()))
	given(&f.Front.PreparedLife, span(r.GetPreparedLifeUs()))
	given(&f.Front.BearerLife, span(r.GetBearerLifeUs()))
	given(&f.Front.MaxStatement, int(r.GetMaxStatementBytes()))
	given(&f.Front.MaxParams, int(r.GetMaxParameterBytes()))
	f.Rules, f.NoHints = nil, s.Classification.GetNoHints()
	for _, r := range s.Classification.GetRules() {
		f.Rules = append(f.Rules, rule(r))
	}
	return f
}

func given[T comparable](p *T, v T) {
	var none T
	if v != none {
		*p = v
	}
}

func rule(r *configv1.Rule) config.Rule {
	return config.Rule{Name: r.GetName(), User: r.GetUser(), Header: r.GetHeader(), Option: r.GetOption(), Value: r.GetValue(),
		Statement: r.GetStatement(), Command: r.GetCommand(), Class: r.GetClass(), Tenant: r.GetTenant(),
		Cost: span(r.GetCostUs()), MemoryMB: r.GetMemoryMb(), Key: r.GetKey(), Tables: r.GetTables()}
}
