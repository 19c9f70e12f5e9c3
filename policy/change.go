package policy

import (
	"fmt"
	"reflect"
	"slices"
)

// Change takes new settings between two steps. It decides nothing: what was learned, and what is open
// (order, budgets, drains, the endpoint list), stays under the new indexes of classes and tenants. Classes
// and Tenants give for each new one the index of the old one that it continues, -1 for none. An open
// request keeps the class it was received under where its rules differ now. Zones and kinds keep their
// indexes: a setting may add kinds, never remove one. The error names what cannot change; nothing has
// changed then.
func (g *Gateway) Change(s Settings, classes, tenants []int) error {
	if err := s.validate(); err != nil {
		return err
	}
	if len(classes) != len(s.Classes) || len(tenants) != len(s.Tenants) {
		return fmt.Errorf("policy: Change: %d classes and %d tenants are mapped, there are %d and %d",
			len(classes), len(tenants), len(s.Classes), len(s.Tenants))
	}
	if len(s.Kinds) < len(g.settings.Kinds) {
		return fmt.Errorf("policy: Kinds: %d, there were %d", len(s.Kinds), len(g.settings.Kinds))
	}
	newClass, err := newNumbers("Classes", classes, len(g.classes))
	if err != nil {
		return err
	}
	newTenant, err := newNumbers("Tenants", tenants, len(g.traffic.tenants))
	if err != nil {
		return err
	}
	open := slices.DeleteFunc(slices.Clone(g.ledger.active), (*request).ended)
	for _, q := range open {
		if newClass[q.Class] < 0 {
			return fmt.Errorf("policy: Classes: %q has open requests", g.classes[q.Class].Name)
		}
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g.settings, g.ledger.active = s, open
	g.replaceClasses(classes)
	for _, q := range open {
		q.Class = newClass[q.Class]
		if c := &g.classes[q.Class]; sameRules(q.class.Class, c.Class) {
			q.class = c
		}
		q.Tenant = renumber(newTenant, q.Tenant)
	}
	g.replaceTenants(tenants)
	for _, e := range g.endpoints.byID { // each by itself: the order does not matter
		e.resize(s.Kinds)
		e.renumberSlowStart(classes)
	}
	g.congestion.slack = g.objectiveSlack()
	return nil
}

// replaceClasses puts the classes of the settings in force; each continues what was learned of an old one,
// or begins with a common grant margin.
func (g *Gateway) replaceClasses(from []int) {
	old := g.classes
	g.classes = make([]class, len(from))
	for i, c := range g.settings.Classes {
		next := class{grantMargin: old[0].grantMargin}
		if from[i] >= 0 {
			next = old[from[i]]
		}
		next.threads, next.Class = float64(max(c.Threads, 1)), c
		g.classes[i] = next
	}
}

// replaceTenants puts the tenants of the settings in force; each continues the traffic of an old one.
func (g *Gateway) replaceTenants(from []int) {
	old := g.traffic.tenants
	g.traffic.tenants = make([]tenant, len(from))
	for i, f := range from {
		if f >= 0 {
			g.traffic.tenants[i] = old[f]
		}
		g.traffic.tenants[i].quota = g.settings.Tenants[i].Quota
	}
}

// renumberSlowStart carries the budgets of an endpoint that has just started over to the new classes.
func (e *endpoint) renumberSlowStart(from []int) {
	old := e.slowStart
	if old == nil {
		return
	}
	e.slowStart = make([]workBudget, len(from))
	for i, f := range from {
		if f >= 0 && f < len(old) {
			e.slowStart[i] = old[f]
		}
	}
}

// sameRules says that an open request may continue under a class's new form: all that the ledgers count is
// equal.
func sameRules(a, b Class) bool {
	return a.Threads == b.Threads && a.Effect == b.Effect && a.DedupScope == b.DedupScope &&
		a.DedupWindow == b.DedupWindow && a.Ordered == b.Ordered && a.LocksTables == b.LocksTables &&
		a.WaitsForTables == b.WaitsForTables && reflect.DeepEqual(a.Zones, b.Zones) &&
		reflect.DeepEqual(a.Kinds, b.Kinds)
}

// newNumbers inverts "which old index" into "which new index", -1 for those that end.
func newNumbers(field string, from []int, old int) ([]int, error) {
	out := make([]int, old)
	for i := range out {
		out[i] = -1
	}
	for i, f := range from {
		switch {
		case f < 0:
		case f >= old || out[f] >= 0:
			return nil, fmt.Errorf("policy: %s[%d]: continues %d, which is not there or continued already",
				field, i, f)
		default:
			out[f] = i
		}
	}
	return out, nil
}

// renumber maps an index; one out of range stays.
func renumber(to []int, i int) int {
	if i < 0 || i >= len(to) {
		return i
	}
	return to[i]
}

// Outstanding says what the rules count as outstanding: retries and requests received within the retry
// budget's window, and whether any order key has an attempt in flight or pauses.
func (g *Gateway) Outstanding() (retries, received int, orderKeyPaused bool) {
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
	for _, t := range g.keyOrders { // any of them: the order does not matter
		orderKeyPaused = orderKeyPaused || t.openAttempts > 0 || g.now < t.pausedUntil
	}
	return retries, received, orderKeyPaused
}
