package backend

import (
	"maps"
	"slices"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// SetNodes applies a complete node list: nodes that are missing from it are removed. An invalid list changes nothing and is reported
// to the policy as a failed fetch.
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
		f.drainDelays.recordNotice(n.ID, n.State != policy.Healthy)
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

// removeUnlisted marks the nodes that are not in a list as removed, and returns those that no call uses. The caller, which holds f.mu,
// closes them after it has released f.mu.
func (f *Fleet) removeUnlisted(listed map[string]bool, now policy.Micros) (unused []*node) {
	for _, id := range slices.Sorted(maps.Keys(f.nodes)) {
		if n := f.nodes[id]; !listed[id] {
			n.removed = true
			n.recordState(now, false)
			f.drainDelays.recordNotice(id, true)
			if n.users == 0 {
				unused = append(unused, n)
				delete(f.nodes, id)
			}
		}
	}
	return unused
}

// ListFailed logs, counts and reports to the policy that the node list could not be fetched or used. The last good list stays in effect.
func (f *Fleet) ListFailed(err error) {
	f.log.Warn("node list update failed; the last good list stays in effect", "error", err)
	f.listFailures.Add(1)
	f.post.Notify(policy.EndpointUpdate{Failed: true})
}

// recordNode adds or updates the node of a row and returns the node's start time by the dispatcher's clock. A node whose addresses
// changed is replaced by a new one. f.mu is held.
func (f *Fleet) recordNode(row nodelist.Node) policy.Micros {
	n := f.nodes[row.ID]
	var startedAt policy.Micros
	if n != nil && n.listedStart.Equal(row.Started) {
		startedAt = n.startedAt
	} else {
		startedAt = f.startTime(row)
	}
	if n != nil && n.flightAddress == row.FlightSQLAddress && n.nativeAddress == row.NativeAddress &&
		n.platform.address == row.PlatformAddress {
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
	n = &node{id: row.ID, flightAddress: row.FlightSQLAddress, nativeAddress: row.NativeAddress,
		listedStart: row.Started, startedAt: startedAt,
		platform: platformPool{address: row.PlatformAddress}}
	n.recordState(f.clock.Now(), row.State == policy.Healthy)
	f.nodes[row.ID] = n
	return startedAt
}

// clockTime converts wall time to the dispatcher's clock; 0 if it is unknown or before the clock's zero. A time in the future counts as
// now.
func (f *Fleet) clockTime(t time.Time) policy.Micros {
	if t.IsZero() {
		return 0
	}
	now := f.clock.Now()
	return min(max(now-time.Since(t).Microseconds(), 0), now)
}

// maxListDelay is the longest time that is assumed between the start of a node and the first list that has it.
const maxListDelay = 5 * time.Second

// startTime returns when a node started, by the dispatcher's clock; 0 if that is unknown or before the clock's zero. A node that the
// previous list did not have counts as started maxListDelay before that list at the earliest, which limits the effect of a wall clock
// that is wrong or was stepped. f.mu is held.
func (f *Fleet) startTime(row nodelist.Node) policy.Micros {
	at := f.clockTime(row.Started)
	if at > 0 && f.listAcceptedAt > 0 && f.nodes[row.ID] == nil {
		at = max(at, f.listAcceptedAt-maxListDelay.Microseconds())
	}
	return at
}
