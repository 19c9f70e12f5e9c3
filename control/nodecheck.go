package control

import (
	"fmt"
	"strings"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// handleNodeList validates and activates a node list. The drains in a rejected list are accepted nevertheless: sending a
// node no more work costs little, whereas sending it more would break the platform's rule on draining nodes.
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
	m.ackedVersions[Nodes] = ev.Version
	m.nodes.accept(m.now, ev.Nodes)
	m.emit(ApplyNodeList{m.nodes.listed()})
	m.emit(Ack{Nodes, ev.Version, ev.Nonce})
}

// validateNodeList returns the reasons to reject a list, each prefixed with the name of its check. An override exempts the
// list from all checks but the check of its form.
func (m *Module) validateNodeList(ev Offered) []string {
	if ev.Err != nil {
		return []string{"form: " + ev.Err.Error()}
	}
	if err := nodelist.Check(ev.Nodes); err != nil {
		return []string{"form: " + err.Error()}
	}
	reasons := m.checkOutdatedList(ev.Nodes)
	if reason := m.checkFloor(ev.Nodes); reason != "" {
		reasons = append(reasons, reason)
	}
	if len(reasons) > 0 && m.consumeNodeListOverride(ev.Version) {
		m.log("node list %q accepted by an operator's override: %s", ev.Version, strings.Join(reasons, "; "))
		return nil
	}
	return reasons
}

// checkOutdatedList returns a reason for each healthy row that indicates an outdated list: a node whose start time is
// earlier than the one known, or a recently withdrawn node without a later start time, under its own name or under a new
// name at the same address.
func (m *Module) checkOutdatedList(rows []nodelist.Node) (reasons []string) {
	byAddress := m.nodes.withdrawnByAddress()
	for _, row := range rows {
		if row.State != policy.Healthy {
			continue
		}
		known := m.nodes.records[row.ID]
		switch {
		case known != nil && row.Started.Before(known.started):
			reasons = append(reasons, fmt.Sprintf("older: node %q is listed with start time %s, earlier than the known %s: "+
				"the list is outdated", row.ID, formatStart(row.Started), formatStart(known.started)))
		case known != nil && m.recentlyWithdrawn(known, row):
			reasons = append(reasons, fmt.Sprintf("relisted: node %q was drained or removed %v ago and is listed as healthy "+
				"without a later start time", row.ID, time.Duration(m.now-known.withdrawnAt)*time.Microsecond))
		case known == nil && byAddress[row.FlightSQLAddress] != nil:
			if old := byAddress[row.FlightSQLAddress]; m.recentlyWithdrawn(old, row) {
				reasons = append(reasons, fmt.Sprintf("renamed: node %q is listed at %s, the address of %q, which was drained or removed, "+
					"without a later start time", row.ID, row.FlightSQLAddress, old.row.ID))
			}
		}
	}
	return reasons
}

// recentlyWithdrawn reports whether a node was withdrawn less than RelistAfter ago and a row has no later start time.
func (m *Module) recentlyWithdrawn(r *nodeRecord, row nodelist.Node) bool {
	return r.withdrawnAt > 0 && !row.Started.After(r.started) && m.now-r.withdrawnAt < m.bounds.RelistAfter
}

// checkFloor returns a reason if a list would leave too few healthy nodes at once. Nodes that the list drains explicitly
// do not count as lost: a drain is an operator's decision, and is accepted even from a rejected list.
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
		return fmt.Sprintf("floor: %d healthy nodes would become %d at once, the minimum is %d", before, after, floor)
	}
	return ""
}

// consumeNodeListOverride reports whether there is an override for a node list, whose version must be a number, and deletes
// the override.
func (m *Module) consumeNodeListOverride(version string) bool {
	var n uint64
	if _, err := fmt.Sscanf(version, "%d", &n); err != nil || !m.overrides[n] {
		return false
	}
	delete(m.overrides, n)
	return true
}

// formatStart formats a start time; the zero time stands for a start long ago.
func formatStart(t time.Time) string {
	if t.IsZero() {
		return "long ago"
	}
	return t.UTC().Format(time.RFC3339Nano)
}
