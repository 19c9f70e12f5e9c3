package backend

import (
	"maps"
	"slices"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// SetNodes takes a whole node list. Rows that are missing from it are gone. A list that cannot be used changes
// nothing and is told to the module as a failed call.
func (f *Fleet) SetNodes(nodes []nodelist.Node) error {
	if err := nodelist.Check(nodes); err != nil {
		f.ListFailed(err)
		return err
	}
	event := policy.EndpointUpdate{Complete: true}
	now := f.clock.Now()
	f.mu.Lock()
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
		event.Endpoints = append(event.Endpoints, policy.Endpoint{ID: n.ID, Zone: n.Zone, Kind: n.Kind, PlacementGroup: n.PlacementGroup,
			State: n.State, Weight: n.Weight, Started: f.recordNode(n), Protocols: n.Protocols()})
		f.drainDelays.record(n.ID, n.State != policy.Healthy)
	}
	var idle []*node
	for _, id := range slices.Sorted(maps.Keys(f.nodes)) {
		if n := f.nodes[id]; !listed[id] {
			n.removed = true
			n.recordState(now, false)
			f.drainDelays.record(id, true)
			if n.users == 0 {
				idle = append(idle, n)
				delete(f.nodes, id)
			}
		}
	}
	f.listAcceptedAt = now
	f.mu.Unlock()
	for _, n := range idle {
		n.close()
	}
	f.post.Notify(event)
	if f.onNodes != nil {
		f.onNodes(nodes)
	}
	return nil
}

// ListFailed tells the module that the node list is out of reach or cannot be read; the last one holds.
func (f *Fleet) ListFailed(err error) {
	f.log.Warn("node list failed; the last good one holds", "error", err)
	f.listFailures.Add(1)
	f.post.Notify(policy.EndpointUpdate{Failed: true})
}

// recordNode books a node and tells its start by the dispatcher's clock; f.mu is held.
func (f *Fleet) recordNode(row nodelist.Node) policy.Micros {
	n := f.nodes[row.ID]
	at := policy.Micros(0)
	if n != nil && n.listedStart.Equal(row.Started) {
		at = n.startedAt
	} else {
		at = f.startOf(row)
	}
	if n != nil && n.flightAddress == row.Address && n.nativeAddress == row.Native && n.platform.address == row.Platform {
		n.removed, n.listedStart, n.startedAt = false, row.Started, at
		n.recordState(f.clock.Now(), row.State == policy.Healthy)
		return at
	}
	if n != nil { // attempts that are out keep the old connection until they end
		n.removed = true
		n.recordState(f.clock.Now(), false)
		if n.users == 0 {
			n.close()
		}
	}
	n = &node{id: row.ID, flightAddress: row.Address, nativeAddress: row.Native, listedStart: row.Started, startedAt: at,
		platform: platformPool{address: row.Platform}}
	n.recordState(f.clock.Now(), row.State == policy.Healthy)
	f.nodes[row.ID] = n
	return at
}

// clockTime turns a wall time into the dispatcher's clock; 0 where it is unknown or lies before the clock's begin.
func (f *Fleet) clockTime(t time.Time) policy.Micros {
	if t.IsZero() {
		return 0
	}
	now := f.clock.Now()
	return min(max(now-time.Since(t).Microseconds(), 0), now)
}

// maxListDelay is how long after its start a node is on the list at the latest.
const maxListDelay = 5 * time.Second

// startOf is the start of a node by the dispatcher's clock. One that a list before did not have has started not long before that list,
// whatever the wall clock says; f.mu is held.
func (f *Fleet) startOf(row nodelist.Node) policy.Micros {
	at := f.clockTime(row.Started)
	if at > 0 && f.listAcceptedAt > 0 && f.nodes[row.ID] == nil {
		at = max(at, f.listAcceptedAt-maxListDelay.Microseconds())
	}
	return at
}
