package dispatch

import (
	"fmt"
	"slices"

	"embershunt/policy"
)

// settingsVersions holds the names of classes and tenants by version of the settings, and translates their indexes between
// versions: a query may have been classified with an older version than the one that is current at its receipt.
type settingsVersions struct {
	current        uint64
	namesByVersion map[uint64]settingsNames
	versions       []uint64 // keys of namesByVersion, oldest first
}

// settingsNames holds the names of the classes and tenants of one version, by index.
type settingsNames struct{ classes, tenants []string }

// maxVersions is the number of settings versions kept. A query classified with an older version is rejected.
const maxVersions = 16

// namesOf returns the names of the classes and tenants in s.
func namesOf(s policy.Settings) settingsNames {
	var names settingsNames
	for _, c := range s.Classes {
		names.classes = append(names.classes, c.Name)
	}
	for _, t := range s.Tenants {
		names.tenants = append(names.tenants, t.Name)
	}
	return names
}

// newSettingsVersions returns a settingsVersions that holds s as version 0.
func newSettingsVersions(s policy.Settings) settingsVersions {
	return settingsVersions{namesByVersion: map[uint64]settingsNames{0: namesOf(s)}, versions: []uint64{0}}
}

// add makes a version the current one, and drops the oldest version if there are more than maxVersions.
func (n *settingsVersions) add(version uint64, s policy.Settings) {
	n.current = version
	if _, ok := n.namesByVersion[version]; !ok {
		n.versions = append(n.versions, version)
	}
	n.namesByVersion[version] = namesOf(s)
	if len(n.versions) > maxVersions {
		delete(n.namesByVersion, n.versions[0])
		n.versions = n.versions[1:]
	}
}

// renumber translates a query's indexes to the current version. It returns false if the query's class does not exist in it, or
// if the version that classified the query is not kept any more.
func (n *settingsVersions) renumber(q *Query) bool {
	if q.SettingsVersion == n.current {
		return true
	}
	old, ok := n.namesByVersion[q.SettingsVersion]
	current := n.namesByVersion[n.current]
	if !ok || q.Class < 0 || q.Class >= len(old.classes) {
		return false
	}
	class := slices.Index(current.classes, old.classes[q.Class])
	if class < 0 {
		return false
	}
	q.Class, q.SettingsVersion = class, n.current
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) { // -1 if the tenant was removed: no quota applies
		q.Tenant = slices.Index(current.tenants, old.tenants[q.Tenant])
	}
	return true
}

// oldIndexes returns, for each name in current, its index in old, or -1 if old does not contain it.
func oldIndexes(current, old []string) []int {
	out := make([]int, len(current))
	for i, name := range current {
		out[i] = slices.Index(old, name)
	}
	return out
}

// changeSettings applies new settings. On an error, the old settings remain unchanged.
func (c *Core) changeSettings(now Micros, ch SettingsChange) error {
	if _, ok := c.settingsVersions.namesByVersion[ch.Version]; ok {
		return fmt.Errorf("dispatch: settings version %d was used before; each change needs a new version", ch.Version)
	}
	old, current := c.settingsVersions.namesByVersion[c.settingsVersions.current], namesOf(ch.Settings)
	classes, tenants := oldIndexes(current.classes, old.classes), oldIndexes(current.tenants, old.tenants)
	if err := c.gateway.Change(ch.Settings, classes, tenants); err != nil {
		return err
	}
	if c.recorder != nil {
		c.recorder.SettingsChanged(now, ch.Settings, classes, tenants)
	}
	for _, e := range c.ledger.entries { // in any order, since each query is changed independently
		if e.outcome == 0 {
			renumberPending(e.query, current, old)
		}
	}
	c.settingsVersions.add(ch.Version, ch.Settings)
	c.maxInFlight, c.classes, c.hedging = ch.Settings.MaxInFlight, ch.Settings.Classes, ch.Settings.AllowHedging
	c.observer.SettingsChanged(ch.Version, ch.Settings)
	return nil
}

// renumberPending translates the indexes of a query without a final answer. Its class exists in the new settings, since the
// gateway rejects settings that remove the class of a pending request.
func renumberPending(q *Query, current, old settingsNames) {
	if q.Class >= 0 && q.Class < len(old.classes) {
		q.Class = slices.Index(current.classes, old.classes[q.Class])
	}
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) {
		q.Tenant = slices.Index(current.tenants, old.tenants[q.Tenant])
	}
}

// PendingByClass returns the number of pending queries by class name, for the review of a change of settings.
func (c *Core) PendingByClass() map[string]int {
	out := map[string]int{}
	classes := c.settingsVersions.namesByVersion[c.settingsVersions.current].classes
	for _, e := range c.ledger.unanswered {
		if e.query.Class >= 0 && e.query.Class < len(classes) {
			out[classes[e.query.Class]]++
		}
	}
	return out
}

// Outstanding returns the result of policy.Gateway.Outstanding.
func (c *Core) Outstanding() (retries, received int, orderKeyPaused bool) {
	return c.gateway.Outstanding()
}

// SettingsVersion returns the version of the current settings.
func (c *Core) SettingsVersion() uint64 { return c.settingsVersions.current }
