package control

import (
	"maps"
	"slices"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// maxRemovedNodes bounds the records of nodes that have left the list; those withdrawn earliest are deleted first.
const maxRemovedNodes = 4096

// nodeRecord holds what all accepted lists so far have told of one node, and the drains of rejected ones.
type nodeRecord struct {
	row         nodelist.Node
	listed      bool
	started     time.Time // newest start listed
	withdrawnAt Micros    // when it was first listed as not healthy, or missing from a list; 0: it may have work
}

// active reports whether the node is listed and may have work.
func (r *nodeRecord) active() bool { return r.listed && r.withdrawnAt == 0 }

// nodeTable holds the active node list and the records of nodes that have left it, by node name.
type nodeTable struct{ records map[string]*nodeRecord }

// sinceWithdrawal returns the time since the latest drain or removal of a node; ok is false where there was none.
func (t *nodeTable) sinceWithdrawal(now Micros) (age Micros, ok bool) {
	for _, r := range t.records { // a minimum: the order does not matter
		if r.withdrawnAt > 0 && (!ok || now-r.withdrawnAt < age) {
			age, ok = now-r.withdrawnAt, true
		}
	}
	return age, ok
}

// activeCount returns the number of listed nodes that may have work.
func (t *nodeTable) activeCount() int {
	n := 0
	for _, r := range t.records {
		if r.active() {
			n++
		}
	}
	return n
}

// withdrawnByAddress returns the withdrawn nodes by address. Of several with the same address it has the one whose name
// sorts last.
func (t *nodeTable) withdrawnByAddress() map[string]*nodeRecord {
	byAddress := map[string]*nodeRecord{}
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[id]; r.withdrawnAt > 0 && r.row.FlightSQLAddress != "" {
			byAddress[r.row.FlightSQLAddress] = r
		}
	}
	return byAddress
}

// listed returns the active node list, sorted by name.
func (t *nodeTable) listed() []nodelist.Node {
	out := []nodelist.Node{}
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[id]; r.listed {
			out = append(out, r.row)
		}
	}
	return out
}

// accept replaces the active list by rows and marks the nodes that are not in them as withdrawn.
func (t *nodeTable) accept(now Micros, rows []nodelist.Node) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.ID] = true
		t.acceptRow(now, row)
	}
	t.withdrawUnlisted(now, listed)
}

func (t *nodeTable) acceptRow(now Micros, row nodelist.Node) {
	r := t.records[row.ID]
	if r == nil {
		r = &nodeRecord{}
		t.records[row.ID] = r
	}
	r.row, r.listed = row, true
	if row.Started.After(r.started) {
		r.started = row.Started
	}
	switch {
	case row.State == policy.Healthy:
		r.withdrawnAt = 0
	case r.withdrawnAt == 0:
		r.withdrawnAt = now
	}
}

// withdrawUnlisted marks the nodes that are not listed as withdrawn, and deletes the earliest withdrawn of them beyond
// maxRemovedNodes.
func (t *nodeTable) withdrawUnlisted(now Micros, listed map[string]bool) {
	var removed []string
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if listed[id] {
			continue
		}
		r := t.records[id]
		if r.listed = false; r.withdrawnAt == 0 {
			r.withdrawnAt = now
		}
		removed = append(removed, id)
	}
	slices.SortStableFunc(removed, func(a, b string) int {
		return int(min(max(t.records[a].withdrawnAt-t.records[b].withdrawnAt, -1), 1))
	})
	for len(removed) > maxRemovedNodes {
		delete(t.records, removed[0])
		removed = removed[1:]
	}
}

// startsDraining reports whether a row drains a node that is active now.
func (t *nodeTable) startsDraining(row nodelist.Node) bool {
	r := t.records[row.ID]
	return row.State == policy.Draining && r != nil && r.active()
}

// acceptDrains applies only the drains of a list; changed reports whether it drained a node that was active.
func (t *nodeTable) acceptDrains(now Micros, rows []nodelist.Node) (changed bool) {
	for _, row := range rows {
		if t.startsDraining(row) {
			r := t.records[row.ID]
			r.withdrawnAt, r.row.State, changed = now, policy.Draining, true
		}
	}
	return changed
}
