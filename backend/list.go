package backend

import (
	"maps"
	"slices"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// SetNodes puts a complete node list in force: nodes that are missing from it are removed. A list that cannot be used changes
// nothing and is reported to the policy as a failed fetch.
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
	unused := f.removeUnlisted(listed, now)
	f.listAcceptedAt = now
	f.mu.Unlock()
	for _, n := range unused {
		n.close()
	}
	f.post.Notify(event)
	if f.onNodes != nil {
		f.onNodes(nodes)
	}
	return nil
}

// removeUnlisted marks the nodes that are not in a list as removed, and returns those that no call holds: they are to be closed
// outside of f.mu, which is held.
func (f *Fleet) removeUnlisted(listed map[string]bool, now policy.Micros) (unused []*node) {
	for _, id := range slices.Sorted(maps.Keys(f.nodes)) {
		if n := f.nodes[id]; !listed[id] {
			n.removed = true
			n.recordState(now, false)
			f.drainDelays.record(id, true)
			if n.users == 0 {
				unused = append(unused, n)
				delete(f.nodes, id)
			}
		}
	}
	return unused
}

// ListFailed reports to the policy that the node list cannot be fetched or read; the last good one stays in force.
func (f *Fleet) ListFailed(err error) {
	f.log.Warn("node list update failed; the last good list stays in effect", "error", err)
	f.listFailures.Add(1)
	f.post.Notify(policy.EndpointUpdate{Failed: true})
}

// recordNode adds or updates the node of a row, and returns when it started by the dispatcher's clock; f.mu is held.
func (f *Fleet) recordNode(row nodelist.Node) policy.Micros {
	n := f.nodes[row.ID]
	var startedAt policy.Micros
	if n != nil && n.listedStart.Equal(row.Started) {
		startedAt = n.startedAt
	} else {
		startedAt = f.startTime(row)
	}
	if n != nil && n.flightAddress == row.Address && n.nativeAddress == row.Native && n.platform.address == row.Platform {
		n.removed, n.listedStart, n.startedAt = false, row.Started, startedAt
		n.recordState(f.clock.Now(), row.State == policy.Healthy)
		return startedAt
	}
	if n != nil { // attempts in flight keep the old connections until they end
		n.removed = true
		n.recordState(f.clock.Now(), false)
		if n.users == 0 {
			n.close()
		}
	}
	n = &node{id: row.ID, flightAddress: row.Address, nativeAddress: row.Native, listedStart: row.Started, startedAt: startedAt,
		platform: platformPool{address: row.Platform}}
	n.recordState(f.clock.Now(), row.State == policy.Healthy)
	f.nodes[row.ID] = n
	return startedAt
}

// clockTime converts a wall time to the dispatcher's clock; 0 where it is unknown or before the clock's start.
func (f *Fleet) clockTime(t time.Time) policy.Micros {
	if t.IsZero() {
		return 0
	}
	now := f.clock.Now()
	return min(max(now-time.Since(t).Microseconds(), 0), now)
}

// maxListDelay is the longest time from the start of a node to the first list that has it.
const maxListDelay = 5 * time.Second

// startTime is when a node started, by the dispatcher's clock. A node that the previous list did not have started at most
// maxListDelay before that list, whatever the wall clock says; f.mu is held.
func (f *Fleet) startTime(row nodelist.Node) policy.Micros {
	at := f.clockTime(row.Started)
	if at > 0 && f.listAcceptedAt > 0 && f.nodes[row.ID] == nil {
		at = max(at, f.listAcceptedAt-maxListDelay.Microseconds())
	}
	return at
}
