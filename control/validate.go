package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"embershunt/config"
)

// Bounds are the limits of the safety checks.
type Bounds struct {
	Floor       float64 // minimum share of the healthy nodes that a list may leave at once; default 0.5
	FloorCount  int     // minimum number of them; default 1
	RelistAfter Micros  // a withdrawn node listed as healthy without a new start is accepted after this; default 60 s
	NoShorter   bool    // no grace, gap or budget may become smaller than what is in use; the default
}

// DefaultBounds are the limits where settings name none.
func DefaultBounds() Bounds {
	return Bounds{Floor: 0.5, FloorCount: 1, RelistAfter: 60e6, NoShorter: true}
}

// validate checks a complete set: form and references by the configuration's own rules, then what only a start can
// change, then safety. It returns all reasons to reject the set, each with the name of its check.
func (m *Module) validate(set Set, live LiveState) (*config.Config, []string) {
	cfg, err := Merge(m.local, set)
	if err != nil {
		return nil, configReasons(err)
	}
	reasons := m.checkFixed(cfg)
	if m.overrides[set.Number] {
		return cfg, reasons
	}
	return cfg, append(reasons, m.checkSafety(cfg, live)...)
}

// configReasons turns the error of a configuration into reasons, one for each mistake.
func configReasons(err error) (reasons []string) {
	if violations := (*config.Violations)(nil); errors.As(err, &violations) {
		for _, one := range violations.All {
			reasons = append(reasons, fmt.Sprintf("reference: %s: found %s, allowed: %s", one.Field, one.Found, one.Allowed))
		}
	}
	if reasons == nil {
		reasons = []string{"form: " + err.Error()}
	}
	return reasons
}

// checkFixed finds changes that take a restart; no override exempts from it.
func (m *Module) checkFixed(cfg *config.Config) (reasons []string) {
	next := cfg.File.Kinds
	for i, k := range m.activeFile.Kinds {
		if i >= len(next) || next[i].Name != k.Name {
			reasons = append(reasons, fmt.Sprintf("fixed: kinds of machine keep their places, new ones come last: %q stood "+
				"at %d", k.Name, i))
		}
	}
	for _, l := range []struct {
		field       string
		local, next int // bytes
	}{
		{"max_statement_bytes", m.local.Front.MaxStatement, cfg.File.Front.MaxStatement},
		{"max_parameter_bytes", m.local.Front.MaxParams, cfg.File.Front.MaxParams},
	} {
		if l.next > l.local { // the transport's message limit was derived from it
			reasons = append(reasons, fmt.Sprintf("fixed: %s may not pass the file's %d: %d", l.field, l.local, l.next))
		}
	}
	return reasons
}

// checkSafety finds what is valid in form and would do harm in the live state.
func (m *Module) checkSafety(cfg *config.Config, live LiveState) (reasons []string) {
	for _, name := range classNames(m.activeFile) { // no setting exempts: the decision module does not remove such a class
		if n := live.InFlight[name]; n > 0 && !slices.Contains(settingsClassNames(cfg), name) {
			reasons = append(reasons, fmt.Sprintf("class_ends: class %q would end with %d queries in flight", name, n))
		}
	}
	if !m.bounds.NoShorter {
		return reasons
	}
	before, next := m.activeFile.Limits, cfg.File.Limits
	if age, ok := m.nodes.sinceWithdrawal(m.now); ok && next.DrainGrace < before.DrainGrace && age <= micros(before.DrainGrace) {
		reasons = append(reasons, fmt.Sprintf("grace: drain_grace would fall from %v to %v while a node is in its grace, told "+
			"%v ago", before.DrainGrace.D(), next.DrainGrace.D(), time.Duration(age)*time.Microsecond))
	}
	if live.OrderKeyResting && next.OrderingGap < before.OrderingGap {
		reasons = append(reasons, fmt.Sprintf("grace: turn_rest would fall from %v to %v while order keys rest",
			before.OrderingGap.D(), next.OrderingGap.D()))
	}
	if reason := checkRetryBudget(before, next, live); reason != "" {
		reasons = append(reasons, reason)
	}
	return reasons
}

// checkRetryBudget returns a reason if a smaller retry budget would be overdrawn at once.
func checkRetryBudget(before, next config.Limits, live LiveState) string {
	allowed := func(l config.Limits) float64 { return l.RetryBudgetFloor + l.RetryBudgetRatio*float64(live.Received) }
	smaller := before.RetryBudgetWindow == 0 || allowed(next) < allowed(before) || next.RetryBudgetWindow > before.RetryBudgetWindow
	if next.RetryBudgetWindow > 0 && float64(live.Retries) > allowed(next) && smaller {
		return fmt.Sprintf("budget: %d further attempts are out, the new budget would allow %.1f", live.Retries, allowed(next))
	}
	return ""
}

func micros(d config.Duration) Micros { return d.D().Microseconds() }

// classNames are the names of a file's classes and of the variants that settings derive from them.
func classNames(f config.File) (names []string) {
	for _, c := range f.Classes {
		names = append(names, c.Name, c.Name+config.UpdatesSuffix, c.Name+config.KeyedSuffix)
	}
	return names
}

func settingsClassNames(cfg *config.Config) (names []string) {
	for _, c := range cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}
