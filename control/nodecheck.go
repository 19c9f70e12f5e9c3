package control

import (
	"fmt"
	"strings"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// handleNodeList validates and activates a node list. The drains of a rejected list are accepted nevertheless: to
// withdraw work costs little, and to go on sending it would break the platform's rule on draining nodes.
func (m *Module) handleNodeList(ev Offered) {
	reasons := m.validateNodeList(ev)
	if len(reasons) > 0 {
		m.reject(Nodes, ev.Version, ev.Nonce, reasons)
		m.emit(NodeListRejected{reasons})
		if m.nodes.acceptDrains(m.now, ev.Nodes) {
			m.emit(ApplyNodeList{m.nodes.listed()})
		}
		return
	}
	m.accepted[Nodes] = ev.Version
	m.nodes.accept(m.now, ev.Nodes)
	m.emit(ApplyNodeList{m.nodes.listed()})
	m.emit(Ack{Nodes, ev.Version, ev.Nonce})
}

// validateNodeList returns the reasons to reject a list, each with the name of its check. An override exempts from all
// but the form.
func (m *Module) validateNodeList(ev Offered) []string {
	if ev.Err != nil {
		return []string{"form: " + ev.Err.Error()}
	}
	if err := nodelist.Check(ev.Nodes); err != nil {
		return []string{"form: " + err.Error()}
	}
	reasons := m.checkReturns(ev.Nodes)
	if reason := m.checkFloor(ev.Nodes); reason != "" {
		reasons = append(reasons, reason)
	}
	if len(reasons) > 0 && m.useNodeListOverride(ev.Version) {
		m.log("node list %q accepted by an operator's override: %s", ev.Version, strings.Join(reasons, "; "))
		return nil
	}
	return reasons
}

// checkReturns finds withdrawn nodes that are listed as healthy without a new start, under their own name or another at
// the same address, and nodes listed with an earlier start: signs of an outdated list.
func (m *Module) checkReturns(rows []nodelist.Node) (reasons []string) {
	byAddress := m.nodes.withdrawnByAddress()
	for _, row := range rows {
		if row.State != policy.Healthy {
			continue
		}
		known := m.nodes.records[row.ID]
		switch {
		case known != nil && row.Started.Before(known.started):
			reasons = append(reasons, fmt.Sprintf("older: node %q is listed with the start %s, known is %s: an older list", row.ID,
				formatStart(row.Started), formatStart(known.started)))
		case known != nil && m.recentlyWithdrawn(known, row):
			reasons = append(reasons, fmt.Sprintf("relisted: node %q drains or is gone, told %v ago, and is listed as healthy "+
				"without a new start", row.ID, time.Duration(m.now-known.withdrawnAt)*time.Microsecond))
		case known == nil && byAddress[row.Address] != nil:
			if old := byAddress[row.Address]; m.recentlyWithdrawn(old, row) {
				reasons = append(reasons, fmt.Sprintf("renamed: node %q is at %s, where %q drains or is gone, without a new start",
					row.ID, row.Address, old.row.ID))
			}
		}
	}
	return reasons
}

// recentlyWithdrawn tells whether a node was withdrawn less than RelistAfter ago and a row shows no start since.
func (m *Module) recentlyWithdrawn(r *nodeRecord, row nodelist.Node) bool {
	return r.withdrawnAt > 0 && !row.Started.After(r.started) && m.now-r.withdrawnAt < m.bounds.RelistAfter
}

// checkFloor returns a reason if a list would leave too few healthy nodes at once. Nodes that it drains explicitly do
// not count as lost: a drain is an operator's decision, and is accepted in any case.
func (m *Module) checkFloor(rows []nodelist.Node) string {
	before, after, drained := m.nodes.activeCount(), 0, 0
	for _, row := range rows {
		if row.State == policy.Healthy {
			after++
		}
		if m.nodes.startsDraining(row) {
			drained++
		}
	}
	floor := max(m.bounds.FloorCount, int(m.bounds.Floor*float64(before)+0.999)) // rounded up
	if before > 0 && after+drained < min(floor, before) {
		return fmt.Sprintf("floor: %d healthy nodes would become %d at once, allowed are %d or more", before, after, floor)
	}
	return ""
}

// useNodeListOverride tells whether an override names a node list, by the number that its version is, and uses it up.
func (m *Module) useNodeListOverride(version string) bool {
	var n uint64
	if _, err := fmt.Sscanf(version, "%d", &n); err != nil || !m.overrides[n] {
		return false
	}
	delete(m.overrides, n)
	return true
}

func formatStart(t time.Time) string {
	if t.IsZero() {
		return "long ago"
	}
	return t.UTC().Format(time.RFC3339Nano)
}
