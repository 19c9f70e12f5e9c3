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
		return fmt.Errorf("policy: Change: %d classes and %d tenants are mapped, there are %d and %d", len(classes),
			len(tenants), len(s.Classes), len(s.Tenants))
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
	open := slices.DeleteFunc(slices.Clone(g.ledger.active), func(q *request) bool { return q.done && q.openAttempts == 0 })
	for _, q := range open {
		if newClass[q.Class] < 0 {
			return fmt.Errorf("policy: Classes: %q has open requests", g.classes[q.Class].Name)
		}
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	old := g.classes
	g.ledger.active = open
	g.settings, g.classes = s, make([]class, len(s.Classes))
	for i, c := range s.Classes {
		fresh := class{threads: float64(max(c.Threads, 1)), grantMargin: old[0].grantMargin}
		if from := classes[i]; from >= 0 {
			fresh = old[from]
			fresh.threads = float64(max(c.Threads, 1))
		}
		fresh.Class = c
		g.classes[i] = fresh
	}
	for _, q := range open {
		q.Class = newClass[q.Class]
		if now := &g.classes[q.Class]; sameRules(q.class.Class, now.Class) {
			q.class = now
		}
		q.Tenant = renumber(newTenant, q.Tenant)
	}
	g.renumberTenants(tenants)
	for _, e := range g.endpoints.byID { // each by itself: the order does not matter
		if e.Kind >= 0 && e.Kind < len(s.Kinds) {
			e.cores, e.memoryMB = float64(max(s.Kinds[e.Kind].Cores, 1)), s.Kinds[e.Kind].MemoryMB
		}
		if cold := e.slowStart; cold != nil {
			e.slowStart = make([]workBudget, len(classes))
			for i, from := range classes {
				if from >= 0 && from < len(cold) {
					e.slowStart[i] = cold[from]
				}
			}
		}
	}
	g.congestion.slack = g.objectiveSlack()
	return nil
}

// renumberTenants carries the traffic of tenants over.
func (g *Gateway) renumberTenants(from []int) {
	old := g.traffic.tenants
	g.traffic.tenants = make([]tenant, len(from))
	for i, f := range from {
		if f >= 0 {
			g.traffic.tenants[i] = old[f]
		}
		g.traffic.tenants[i].quota = g.settings.Tenants[i].Quota
	}
}

// sameRules says that an open request may continue under a class's new form: all that the ledgers count is
// equal.
func sameRules(a, b Class) bool {
	return a.Threads == b.Threads && a.Effect == b.Effect && a.DedupScope == b.DedupScope && a.DedupWindow == b.DedupWindow &&
		a.Ordered == b.Ordered && a.LocksTables == b.LocksTables && a.WaitsForTables == b.WaitsForTables && reflect.DeepEqual(a.Zones, b.Zones) &&
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
			return nil, fmt.Errorf("policy: %s[%d]: continues %d, which is not there or continued already", field, i, f)
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
func (g *Gateway) Outstanding() (further, taken int, resting bool) {
	since := g.now - g.settings.RetryBudgetWindow
	for _, at := range g.retryBudget.retriedAt {
		if at > since {
			further++
		}
	}
	for _, at := range g.retryBudget.receivedAt {
		if at > since {
			taken++
		}
	}
	for _, t := range g.keyOrders { // any of them: the order does not matter
		resting = resting || t.openAttempts > 0 || g.now < t.pausedUntil
	}
	return further, taken, resting
}
