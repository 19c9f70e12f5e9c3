package dispatch

import (
	"fmt"
	"slices"

	"embershunt/policy"
)

// settingsNumbering translates the indexes of classes and tenants between versions of the settings: a query may have been
// classified by an older version than the one in force when it is received.
type settingsNumbering struct {
	current        uint64
	namesByVersion map[uint64]settingsNames
	versions       []uint64 // keys of namesByVersion, the oldest first
}

// settingsNames are the names of classes and tenants by their index.
type settingsNames struct{ classes, tenants []string }

// maxVersions is the number of versions kept; a query classified by an older one is rejected.
const maxVersions = 16

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

func newNumbering(s policy.Settings) settingsNumbering {
	return settingsNumbering{namesByVersion: map[uint64]settingsNames{0: namesOf(s)}, versions: []uint64{0}}
}

// add puts a version in force.
func (n *settingsNumbering) add(version uint64, s policy.Settings) {
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

// renumber gives a query the indexes of the version in force; false where its class was removed.
func (n *settingsNumbering) renumber(q *Query) bool {
	if q.SettingsSerial == n.current {
		return true
	}
	old, ok := n.namesByVersion[q.SettingsSerial]
	now := n.namesByVersion[n.current]
	if !ok || q.Class < 0 || q.Class >= len(old.classes) {
		return false
	}
	class := slices.Index(now.classes, old.classes[q.Class])
	if class < 0 {
		return false
	}
	q.Class, q.SettingsSerial = class, n.current
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) { // -1 for one that was removed: it has no quota
		q.Tenant = slices.Index(now.tenants, old.tenants[q.Tenant])
	}
	return true
}

// oldIndexes lists, for each new name, its index among the old ones; -1 where it is new.
func oldIndexes(now, old []string) []int {
	out := make([]int, len(now))
	for i, name := range now {
		out[i] = slices.Index(old, name)
	}
	return out
}

// changeSettings puts new settings in force; on an error nothing has changed.
func (c *Core) changeSettings(at Micros, ch Change) error {
	if _, ok := c.numbering.namesByVersion[ch.Serial]; ok {
		return fmt.Errorf("dispatch: version %d was in force before: each change has a number of its own", ch.Serial)
	}
	old, now := c.numbering.namesByVersion[c.numbering.current], namesOf(ch.Settings)
	classes, tenants := oldIndexes(now.classes, old.classes), oldIndexes(now.tenants, old.tenants)
	if err := c.gateway.Change(ch.Settings, classes, tenants); err != nil {
		return err
	}
	if c.recorder != nil {
		c.recorder.Changed(at, ch.Settings, classes, tenants)
	}
	for _, e := range c.ledger.entries { // the order does not matter: each is changed by itself
		if e.outcome == 0 {
			renumberPending(e.query, now, old)
		}
	}
	c.numbering.add(ch.Serial, ch.Settings)
	c.maxInFlight, c.classes, c.hedging = ch.Settings.MaxInFlight, ch.Settings.Classes, ch.Settings.AllowHedging
	c.observer.Changed(ch.Serial, ch.Settings)
	return nil
}

// renumberPending renumbers a query in the ledger. Its class exists: the gateway refuses settings without it.
func renumberPending(q *Query, now, old settingsNames) {
	if q.Class >= 0 && q.Class < len(old.classes) {
		q.Class = slices.Index(now.classes, old.classes[q.Class])
	}
	if q.Tenant >= 0 && q.Tenant < len(old.tenants) {
		q.Tenant = slices.Index(now.tenants, old.tenants[q.Tenant])
	}
}

// InFlight counts the pending queries by the name of their class, for those who review a change of settings.
func (c *Core) InFlight() map[string]int {
	out := map[string]int{}
	classes := c.numbering.namesByVersion[c.numbering.current].classes
	for _, e := range c.ledger.unanswered {
		if e.query.Class >= 0 && e.query.Class < len(classes) {
			out[classes[e.query.Class]]++
		}
	}
	return out
}

// Outstanding is that of the gateway (policy.Gateway.Outstanding).
func (c *Core) Outstanding() (retries, received int, orderKeyPaused bool) {
	return c.gateway.Outstanding()
}

// SettingsSerial is the version of the settings in force.
func (c *Core) SettingsSerial() uint64 { return c.numbering.current }
