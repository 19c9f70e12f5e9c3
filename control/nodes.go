package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// known is what this dispatcher has learned of one node, from all lists so far.
type known struct {
	row     nodelist.Node
	listed  bool
	started time.Time // newest start told
	told    Micros    // when its drain or end was told; 0: it may have work
}

// nodes is the node list and what was learned of it.
type nodes struct{ known map[string]*known }

// youngestDrain is the time since the latest drain or end was told.
func (n *nodes) youngestDrain(now Micros) (age Micros, any bool) {
	for _, k := range n.known { // the least: the order does not matter
		if k.told > 0 && (!any || now-k.told < age) {
			age, any = now-k.told, true
		}
	}
	return age, any
}

// knownMost bounds the nodes remembered that are listed no more; the ones told first are forgotten first.
const knownMost = 4096

// offeredNodes judges a node list. Whatever else is wrong with it, what it says of drains is believed: stopping costs
// little, and sending on would break a promise.
func (m *Module) offeredNodes(ev Offered) {
	o := &offer{version: ev.Version, nonce: ev.Nonce}
	reasons := m.checkNodes(ev)
	if len(reasons) > 0 {
		m.refuse(Nodes, o, reasons)
		m.do(ListRefused{reasons})
		m.believeDrains(ev.Nodes)
		return
	}
	m.taken[Nodes] = ev.Version
	m.learn(ev.Nodes)
	m.do(List{m.listed()})
	m.do(Ack{Nodes, ev.Version, ev.Nonce})
}

func (m *Module) checkNodes(ev Offered) (reasons []string) {
	if ev.Bad != nil {
		return []string{"form: " + ev.Bad.Error()}
	}
	if err := nodelist.Check(ev.Nodes); err != nil {
		return []string{"form: " + err.Error()}
	}
	byAddress := map[string]*known{}
	for _, id := range slices.Sorted(maps.Keys(m.nodes.known)) {
		if k := m.nodes.known[id]; k.told > 0 && k.row.Address != "" {
			byAddress[k.row.Address] = k
		}
	}
	before, after := 0, 0
	for _, k := range m.nodes.known {
		if k.listed && k.told == 0 {
			before++
		}
	}
	for _, n := range ev.Nodes {
		if n.State != policy.Healthy {
			continue
		}
		after++
		k := m.nodes.known[n.ID]
		switch {
		case k != nil && n.Started.Before(k.started):
			reasons = append(reasons, fmt.Sprintf("older: node %q is listed with the start %s, known is %s: an older list", n.ID,
				stamp(n.Started), stamp(k.started)))
		case k != nil && k.told > 0 && !n.Started.After(k.started) && m.now-k.told < m.bounds.RelistAfter:
			reasons = append(reasons, fmt.Sprintf("relisted: node %q drains or is gone, told %v ago, and is listed as healthy "+
				"without a new start", n.ID, time.Duration(m.now-k.told)*time.Microsecond))
		case k == nil && byAddress[n.Address] != nil:
			if old := byAddress[n.Address]; !n.Started.After(old.started) && m.now-old.told < m.bounds.RelistAfter {
				reasons = append(reasons, fmt.Sprintf("renamed: node %q is at %s, where %q drains or is gone, without a new start",
					n.ID, n.Address, old.row.ID))
			}
		}
	}
	drained := 0 // explicitly: that is an operator's will, and believed in any case
	for _, n := range ev.Nodes {
		if k := m.nodes.known[n.ID]; n.State == policy.Draining && k != nil && k.listed && k.told == 0 {
			drained++
		}
	}
	least := max(m.bounds.FloorCount, int(m.bounds.Floor*float64(before)+0.999))
	if before > 0 && after+drained < min(least, before) {
		reasons = append(reasons, fmt.Sprintf("floor: %d healthy nodes would become %d at once, allowed are %d or more", before,
			after, least))
	}
	if len(reasons) > 0 && m.passNodes(ev.Version) {
		m.log("node list %q passes by an operator's word: %s", ev.Version, strings.Join(reasons, "; "))
		return nil
	}
	return reasons
}

// passNodes tells that an override names a node list, by the number that its version is.
func (m *Module) passNodes(version string) bool {
	var n uint64
	if _, err := fmt.Sscanf(version, "%d", &n); err != nil || !m.pass[n] {
		return false
	}
	delete(m.pass, n)
	return true
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "long ago"
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// learn takes a list in.
func (m *Module) learn(rows []nodelist.Node) {
	seen := map[string]bool{}
	for _, n := range rows {
		seen[n.ID] = true
		k := m.nodes.known[n.ID]
		if k == nil {
			k = &known{}
			m.nodes.known[n.ID] = k
		}
		k.row, k.listed = n, true
		if n.Started.After(k.started) {
			k.started = n.Started
		}
		switch {
		case n.State == policy.Healthy:
			k.told = 0
		case k.told == 0:
			k.told = m.now
		}
	}
	var gone []string
	for _, id := range slices.Sorted(maps.Keys(m.nodes.known)) {
		k := m.nodes.known[id]
		if seen[id] {
			continue
		}
		if k.listed = false; k.told == 0 {
			k.told = m.now
		}
		gone = append(gone, id)
	}
	slices.SortStableFunc(gone, func(a, b string) int {
		return int(min(max(m.nodes.known[a].told-m.nodes.known[b].told, -1), 1))
	})
	for len(gone) > knownMost {
		delete(m.nodes.known, gone[0])
		gone = gone[1:]
	}
}

// believeDrains takes the drains out of a list that was refused and puts them in force.
func (m *Module) believeDrains(rows []nodelist.Node) {
	changed := false
	for _, n := range rows {
		if k := m.nodes.known[n.ID]; n.State == policy.Draining && k != nil && k.listed && k.told == 0 {
			k.told, k.row.State, changed = m.now, policy.Draining, true
		}
	}
	if changed {
		m.do(List{m.listed()})
	}
}

// listed is the list in force, by name.
func (m *Module) listed() []nodelist.Node {
	out := []nodelist.Node{}
	for _, id := range slices.Sorted(maps.Keys(m.nodes.known)) {
		if k := m.nodes.known[id]; k.listed {
			out = append(out, k.row)
		}
	}
	return out
}
