package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"embershunt/config"
)

// Bounds holds the limits of the safety checks.
type Bounds struct {
	Floor         float64 // share of the healthy nodes that must stay healthy from one list to the next; default 0.5
	FloorCount    int     // number of nodes that must stay healthy, where more than Floor asks for; default 1
	RelistAfter   Micros  // time after which a withdrawn node may be listed as healthy without a later start time; default 60 s
	ForbidShorter bool    // no drain grace, ordering gap or retry budget may become smaller than what is in use; default true
}

// DefaultBounds returns the limits that apply where the configuration sets none.
func DefaultBounds() Bounds {
	return Bounds{Floor: 0.5, FloorCount: 1, RelistAfter: 60e6, ForbidShorter: true}
}

// validate checks a complete set. It checks form and references by the rules of a configuration file, then the settings
// that only a restart can change, then the safety of the change unless there is an override. It returns the set's
// configuration, nil if that is invalid, and all reasons to reject the set, each prefixed with the name of its check.
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

// configReasons converts the error of an invalid configuration into reasons, one for each violation.
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

// checkFixed returns a reason for each change that needs a restart. No override exempts a set from this check.
func (m *Module) checkFixed(cfg *config.Config) (reasons []string) {
	next := cfg.File.Kinds
	for i, k := range m.activeFile.Kinds {
		if i >= len(next) || next[i].Name != k.Name {
			reasons = append(reasons, fmt.Sprintf("fixed: kinds of machine must keep their order, and new ones come last: "+
				"kind %q was at index %d", k.Name, i))
		}
	}
	for _, l := range []struct {
		field       string
		local, next int // bytes
	}{
		{"max_statement_bytes", m.local.Frontend.MaxStatementBytes, cfg.File.Frontend.MaxStatementBytes},
		{"max_parameter_bytes", m.local.Frontend.MaxParameterBytes, cfg.File.Frontend.MaxParameterBytes},
	} {
		if l.next > l.local { // the transport's message limit was derived from the file's value at the start
			reasons = append(reasons, fmt.Sprintf("fixed: %s is %d, the file allows at most %d", l.field, l.next, l.local))
		}
	}
	return reasons
}

// checkSafety returns a reason for each change that is valid by itself but would do harm in the live state.
func (m *Module) checkSafety(cfg *config.Config, live LiveState) (reasons []string) {
	// ForbidShorter does not disable this check: the decision module does not remove such a class.
	for _, name := range classNames(m.activeFile) {
		if n := live.PendingByClass[name]; n > 0 && !slices.Contains(settingsClassNames(cfg), name) {
			reasons = append(reasons, fmt.Sprintf("class_ends: class %q would be removed with %d queries in flight", name, n))
		}
	}
	if !m.bounds.ForbidShorter {
		return reasons
	}
	before, next := m.activeFile.Limits, cfg.File.Limits
	if age, ok := m.nodes.sinceWithdrawal(m.now); ok && next.DrainGrace < before.DrainGrace && age <= micros(before.DrainGrace) {
		reasons = append(reasons, fmt.Sprintf("grace: drain_grace would fall from %v to %v while a node is within its grace, "+
			"withdrawn %v ago", before.DrainGrace.D(), next.DrainGrace.D(), time.Duration(age)*time.Microsecond))
	}
	if live.OrderKeyPaused && next.OrderingGap < before.OrderingGap {
		reasons = append(reasons, fmt.Sprintf("grace: turn_rest would fall from %v to %v while an order key may be in its ordering gap",
			before.OrderingGap.D(), next.OrderingGap.D()))
	}
	if reason := checkRetryBudget(before, next, live); reason != "" {
		reasons = append(reasons, reason)
	}
	return reasons
}

// checkRetryBudget returns a reason if a retry budget that allows less than before would already be exceeded.
func checkRetryBudget(before, next config.Limits, live LiveState) string {
	allowed := func(l config.Limits) float64 { return l.RetryBudgetFloor + l.RetryBudgetRatio*float64(live.Received) }
	smaller := before.RetryBudgetWindow == 0 || allowed(next) < allowed(before) || next.RetryBudgetWindow > before.RetryBudgetWindow
	if next.RetryBudgetWindow > 0 && float64(live.Retries) > allowed(next) && smaller {
		return fmt.Sprintf("budget: %d retries within the window, the new retry budget would allow %.1f", live.Retries, allowed(next))
	}
	return ""
}

// micros converts a duration of a configuration to microseconds.
func micros(d config.Duration) Micros { return d.D().Microseconds() }

// classNames returns the names of a file's classes and of the classes that the settings may derive from them for updates.
func classNames(f config.File) (names []string) {
	for _, c := range f.Classes {
		names = append(names, c.Name, c.Name+config.UpdatesSuffix, c.Name+config.KeyedSuffix)
	}
	return names
}

// settingsClassNames returns the names of all classes of a configuration, derived ones included.
func settingsClassNames(cfg *config.Config) (names []string) {
	for _, c := range cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}
