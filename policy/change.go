package policy

import (
	"fmt"
	"reflect"
	"slices"
)

// Change applies new settings between two steps. It emits no actions: learned state, open requests, the order
// of keys, budgets, drains and the endpoint list are kept, under the new indexes of classes and tenants.
// classes and tenants hold, for each new class and tenant, the index of the old one that it continues, or -1.
// An open request keeps the class that it was received under if the rules of its class differ now. Zones and
// kinds keep their indexes: new settings may add kinds but not remove any. If an error is returned, it names
// what cannot change, and nothing has changed.
func (g *Gateway) Change(s Settings, classes, tenants []int) error {
	if err := s.validate(); err != nil {
		return err
	}
	if len(classes) != len(s.Classes) || len(tenants) != len(s.Tenants) {
		return fmt.Errorf("policy: Change: %d classes and %d tenants are mapped, the settings have %d and %d",
			len(classes), len(tenants), len(s.Classes), len(s.Tenants))
	}
	if len(s.Kinds) < len(g.settings.Kinds) {
		return fmt.Errorf("policy: Kinds: %d kinds, must be at least the present %d",
			len(s.Kinds), len(g.settings.Kinds))
	}
	newClassIndex, err := newIndexes("Classes", classes, len(g.classes))
	if err != nil {
		return err
	}
	newTenantIndex, err := newIndexes("Tenants", tenants, len(g.traffic.tenants))
	if err != nil {
		return err
	}
	open := slices.DeleteFunc(slices.Clone(g.ledger.active), (*request).ended)
	for _, q := range open {
		if newClassIndex[q.Class] < 0 {
			return fmt.Errorf("policy: Classes: class %q cannot be removed: it has open requests",
				g.classes[q.Class].Name)
		}
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g.settings, g.ledger.active = s, open
	g.replaceClasses(classes)
	for _, q := range open {
		q.Class = newClassIndex[q.Class]
		if c := &g.classes[q.Class]; sameRules(q.class.Class, c.Class) {
			q.class = c
		}
		q.Tenant = remapIndex(newTenantIndex, q.Tenant)
	}
	g.replaceTenants(tenants)
	for _, e := range g.endpoints.byID { // independent of each other: the order has no effect
		e.resize(s.Kinds)
		e.remapSlowStart(classes)
	}
	g.congestion.slack = g.objectiveSlack()
	return nil
}

// replaceClasses replaces the classes by those of the settings. Each keeps the learned state of the old class
// at its index in oldIndexes; a class without an old one starts with the grant margin of the first old class.
func (g *Gateway) replaceClasses(oldIndexes []int) {
	old := g.classes
	g.classes = make([]class, len(oldIndexes))
	for i, c := range g.settings.Classes {
		next := class{grantMargin: old[0].grantMargin}
		if oldIndexes[i] >= 0 {
			next = old[oldIndexes[i]]
		}
		next.threads, next.Class = float64(max(c.Threads, 1)), c
		g.classes[i] = next
	}
}

// replaceTenants replaces the tenants by those of the settings. Each keeps the rates of the old tenant at its
// index in oldIndexes, if any.
func (g *Gateway) replaceTenants(oldIndexes []int) {
	old := g.traffic.tenants
	g.traffic.tenants = make([]tenant, len(oldIndexes))
	for i, oldIndex := range oldIndexes {
		if oldIndex >= 0 {
			g.traffic.tenants[i] = old[oldIndex]
		}
		g.traffic.tenants[i].quota = g.settings.Tenants[i].Quota
	}
}

// remapSlowStart moves the budgets of an endpoint in slow start to the new indexes of their classes.
func (e *endpoint) remapSlowStart(oldIndexes []int) {
	old := e.slowStart
	if old == nil {
		return
	}
	e.slowStart = make([]workBudget, len(oldIndexes))
	for i, oldIndex := range oldIndexes {
		if oldIndex >= 0 && oldIndex < len(old) {
			e.slowStart[i] = old[oldIndex]
		}
	}
}

// sameRules reports whether an open request of class a may continue under class b: everything that the
// ledgers and the rules of placement depend on is equal.
func sameRules(a, b Class) bool {
	return a.Threads == b.Threads && a.Effect == b.Effect && a.DedupScope == b.DedupScope &&
		a.DedupWindow == b.DedupWindow && a.Ordered == b.Ordered && a.LocksTables == b.LocksTables &&
		a.WaitsForTables == b.WaitsForTables && reflect.DeepEqual(a.Zones, b.Zones) &&
		reflect.DeepEqual(a.Kinds, b.Kinds)
}

// newIndexes inverts a mapping of new indexes to old ones: it returns the new index of each of oldCount old
// ones, -1 for those that end. field names the mapping in errors.
func newIndexes(field string, oldIndexes []int, oldCount int) ([]int, error) {
	out := make([]int, oldCount)
	for i := range out {
		out[i] = -1
	}
	for i, oldIndex := range oldIndexes {
		switch {
		case oldIndex < 0:
		case oldIndex >= oldCount || out[oldIndex] >= 0:
			return nil, fmt.Errorf("policy: %s[%d]: old index %d does not exist or is continued twice",
				field, i, oldIndex)
		default:
			out[oldIndex] = i
		}
	}
	return out, nil
}

// remapIndex returns the new index of i; an index out of range stays as it is.
func remapIndex(newIndex []int, i int) int {
	if i < 0 || i >= len(newIndex) {
		return i
	}
	return newIndex[i]
}

// Outstanding returns the numbers of retries and of requests received within the retry budget's window, and
// whether any order key has an attempt in flight or is paused.
func (g *Gateway) Outstanding() (retries, received int, orderKeyBusy bool) {
	since := g.now - g.settings.RetryBudgetWindow
	for _, at := range g.retryBudget.retriedAt {
		if at > since {
			retries++
		}
	}
	for _, at := range g.retryBudget.receivedAt {
		if at > since {
			received++
		}
	}
	for _, o := range g.keyOrders { // any of them: the order has no effect
		orderKeyBusy = orderKeyBusy || o.openAttempts > 0 || g.now < o.pausedUntil
	}
	return retries, received, orderKeyBusy
}
