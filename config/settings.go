package config

import (
	"fmt"

	"embershunt/policy"
)

// shortages maps the values of NodeOptions.Shortage.
var shortages = map[string]policy.Shortage{"queue": policy.ShortageQueues, "trim": policy.ShortageTrims, "swap": policy.ShortageSwaps}

// micros returns the duration in microseconds, the unit of the policy.
func (d Duration) micros() policy.Micros { return d.D().Microseconds() }

// policySettings returns the settings of the policy, except for kinds, tenants and classes.
func (c *Config) policySettings(zone int) policy.Settings {
	f, l, s := &c.File, &c.File.Limits, &c.File.NodeOptions
	return policy.Settings{
		Zone:      zone,
		PeerIndex: f.PeerIndex,
		Peers:     f.Peers,

		MaxAttempts:     l.MaxAttempts,
		MaxInFlight:     l.MaxInFlight,
		MaxRetryAfter:   l.MaxRetryAfter.micros(),
		OverQuotaWeight: l.OverQuotaWeight,
		CanCancel:       true,
		AllowHedging:    l.Hedging,

		CanHealthCheck:       s.HealthChecks,
		ReportsByAnswer:      true,
		ReportsByHealthCheck: s.HealthChecks,

		HonorsGrants:   s.Grants,
		HonorsPriority: s.Priorities,
		MaxGrantShare:  s.GrantShare,
		Shortage:       shortages[s.Shortage],

		SlowStartFloor:    l.SlowStartFloor,
		SlowStartDuration: l.SlowStartDuration.micros(),
		OverloadMultiple:  l.OverloadMultiple,
		OverloadDuration:  l.OverloadDuration.micros(),

		DrainGrace:        l.DrainGrace.micros(),
		OrderingGap:       l.OrderingGap.micros(),
		RetryBudgetFloor:  l.RetryBudgetFloor,
		RetryBudgetRatio:  l.RetryBudgetRatio,
		RetryBudgetWindow: l.RetryBudgetWindow.micros(),
	}
}

// buildKinds validates the kinds of machine, adds them to the settings of the policy and returns their names.
func (c *Config) buildKinds(v validator) (names []string) {
	for i, k := range c.File.Kinds {
		names = append(names, k.Name)
		v.count(fmt.Sprintf("kinds[%d].cores", i), k.Cores, 1, 10_000)
		v.inRange(fmt.Sprintf("kinds[%d].memory_mb", i), k.MemoryMB, 0, 1e9)
		c.Settings.Kinds = append(c.Settings.Kinds, policy.Kind{Cores: k.Cores, MemoryMB: k.MemoryMB})
	}
	v.unique("kinds", names)
	if len(names) == 0 {
		v.addViolation("kinds", "none", "at least one kind of machine")
	}
	return names
}

// buildTenants validates the tenants and adds them to the classification and the settings of the policy.
func (c *Config) buildTenants(v validator) {
	for i, t := range c.File.Tenants {
		c.Classes.Tenants = append(c.Classes.Tenants, t.Name)
		v.inRange(fmt.Sprintf("tenants[%d].per_second", i), t.Quota, 0, 1e9)
		c.Settings.Tenants = append(c.Settings.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota})
	}
	v.unique("tenants", c.Classes.Tenants)
}
