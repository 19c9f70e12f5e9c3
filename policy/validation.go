package policy

import "fmt"

// fieldCheck is the result of the validation of one field of the settings.
type fieldCheck struct {
	field   string // key of the stored form, with the index in a list
	invalid bool
}

// validate returns an error that names the first invalid field, or nil.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: Classes: at least one class is required")
	}
	checks := s.scalarChecks()
	for i, c := range s.Classes {
		checks = append(checks, c.checks(fmt.Sprintf("Classes[%d].", i), len(s.Kinds))...)
	}
	for i, k := range s.Kinds {
		checks = append(checks, fieldCheck{fmt.Sprintf("Kinds[%d]", i), k.Cores < 0 || !(k.MemoryMB >= 0)})
	}
	for i, t := range s.Tenants {
		checks = append(checks, fieldCheck{fmt.Sprintf("Tenants[%d].Allowance", i), !(t.Quota >= 0)})
	}
	for _, c := range checks {
		if c.invalid {
			return fmt.Errorf("policy: %s: out of range", c.field)
		}
	}
	return nil
}

// scalarChecks returns the checks of the fields that are not lists. Floats are compared so that NaN is
// invalid.
func (s *Settings) scalarChecks() []fieldCheck {
	return []fieldCheck{
		{"Peers", s.Peers < 0}, {"Me", s.PeerIndex < 0}, {"Zone", s.Zone < 0},
		{"OverShareWorth", !(s.OverQuotaWeight >= 0)}, {"MaxAttempts", s.MaxAttempts < 0},
		{"MaxHeld", s.MaxInFlight < 0}, {"MaxComeBack", s.MaxRetryAfter < 0},
		{"MaxGrantShare", !(s.MaxGrantShare >= 0)},
		{"Shortage", s.Shortage < 0 || s.Shortage > ShortageSwaps},
		{"ProgressEvery", s.ProgressInterval < 0}, {"ColdFrom", !(s.SlowStartFloor >= 0)},
		{"ColdFor", s.SlowStartDuration < 0}, {"FallMultiple", !(s.OverloadMultiple >= 0)},
		{"FallFor", s.OverloadDuration < 0}, {"DrainGrace", s.DrainGrace < 0},
		{"AnswerSlack", s.AnswerSlack < 0},
		{"AskWithin", s.MaxPollInterval < 0}, {"TurnGap", s.OrderingGap < 0},
		{"BudgetFree", s.RetryBudgetFloor < 0},
		{"BudgetShare", !(s.RetryBudgetRatio >= 0)}, {"BudgetSpan", s.RetryBudgetWindow < 0},
	}
}

// checks returns the checks of one class. The prefix precedes its field names; kinds is the number of
// machine kinds, 0 if the settings have none.
func (c *Class) checks(prefix string, kinds int) []fieldCheck {
	checks := []fieldCheck{
		{prefix + "Worth", !(c.PriorityWeight >= 0)}, {prefix + "LateWorth", !(c.LateWeight >= 0)},
		{prefix + "Aim", c.LatencyObjective < 0}, {prefix + "AimStretch", !(c.ObjectiveStretch >= 0)},
		{prefix + "Deadline", c.Deadline <= 0}, {prefix + "Threads", c.Threads < 0},
		{prefix + "Effect", c.Effect < Idempotent || c.Effect > NonIdempotent},
		{prefix + "Group", c.DedupScope < DedupFleet || c.DedupScope > DedupPlacementGroup},
		{prefix + "Window", c.DedupWindow < 0},
	}
	for _, z := range c.Zones {
		checks = append(checks, fieldCheck{prefix + "Zones", z < 0})
	}
	for _, k := range c.Kinds {
		checks = append(checks, fieldCheck{prefix + "Kinds", k < 0 || k >= kinds && kinds > 0})
	}
	return checks
}
