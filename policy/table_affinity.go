package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Table affinity. A load locks its table group on its endpoint, and an endpoint caches the table groups that
// were read there last.
const (
	lockedTablesWeight = 0.1 // factor for endpoints in a group's affinity subset; squared under a lock
	affinityShare      = 0.5 // share of the healthy endpoints, without ejected ones, for loads of a group
	maxCachedGroups    = 4   // table groups assumed to be cached on an endpoint
	cacheTolerance     = 0.1 // log of the time saved by caching up to which it counts as noise
	cacheExponent      = 2.0 // exponent of the time saved by caching in the weight of the draw
)

// inAffinitySubset reports whether an endpoint runs the loads of a table group. Rendezvous hashing gives the
// same subset at every gateway. Loads of one group on all endpoints would leave none for the queries that
// wait for the lock, and on a single endpoint they would block each other.
func (g *Gateway) inAffinitySubset(tables int64, e *endpoint) bool {
	healthy, rank := 0, 0
	for _, other := range g.endpoints.list {
		if other.State == Healthy && !other.ejected {
			healthy++
			if other != e && affinityHash(tables, other) > affinityHash(tables, e) {
				rank++
			}
		}
	}
	return rank < max(1, int(affinityShare*float64(healthy)))
}

// affinityHash returns the hash that ranks the endpoints for a table group; it is the same at every gateway.
func affinityHash(tables int64, e *endpoint) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(tables)), e.wireID))
	return h.Sum64()
}

// holdsOwnTableLock reports whether a load sent by this gateway holds the lock of a table group on the
// endpoint, or waits for it.
func (e *endpoint) holdsOwnTableLock(tables int64) bool {
	return slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.request.class.LocksTables && a.request.TableGroup == tables
	})
}

// tablesLocked reports whether a load locks a table group on an endpoint: a load sent by this gateway, or
// one seen within gossipLifetime in a progress report or in gossip. Queries that wait for the lock would
// block there.
func (g *Gateway) tablesLocked(e *endpoint, tables int64) bool {
	if e.holdsOwnTableLock(tables) {
		return true
	}
	at := e.tableLocks[groupCode(tables)]
	return at > 0 && g.secondsSince(at) < gossipLifetime
}

// sampleLockedGroup draws one of the table groups that this gateway's loads lock on an endpoint and returns
// its code for gossip; 0 if there is none. A row of gossip has space for a single group.
func (g *Gateway) sampleLockedGroup(e *endpoint) byte {
	var groups []byte
	for _, a := range e.attempts {
		if a.request.class.LocksTables {
			groups = append(groups, groupCode(a.request.TableGroup))
		}
	}
	if len(groups) == 0 {
		return 0
	}
	return groups[g.rng.IntN(len(groups))]
}

// groupCode returns the code of a table group in gossip, from 1 to 255; several groups may share a code.
func groupCode(tables int64) byte { return byte(uint64(tables)%255) + 1 }

// recordRead moves a table group to the front of the endpoint's cached groups, of which it keeps the first
// maxCachedGroups.
func (e *endpoint) recordRead(tables int64) {
	e.cachedGroups = slices.DeleteFunc(e.cachedGroups, func(t int64) bool { return t == tables })
	e.cachedGroups = slices.Insert(e.cachedGroups, 0, tables)
	e.cachedGroups = e.cachedGroups[:min(len(e.cachedGroups), maxCachedGroups)]
}

// cacheEffect holds the mean log latency inflation of answers whose table group was not cached on the
// endpoint (index 0) and of those whose group was (index 1).
type cacheEffect struct{ inflation [2]float64 }

// record adds the log latency inflation x of an answer to the mean of cached or of other table groups.
func (c *cacheEffect) record(cached bool, x float64) {
	i := 0
	if cached {
		i = 1
	}
	c.inflation[i] += (x - c.inflation[i]) * meanSmoothing
}

// weight returns the factor for endpoints that have the table group cached; it grows with the time saved.
func (c *cacheEffect) weight() float64 {
	return math.Exp(cacheExponent * max(0, c.inflation[0]-c.inflation[1]-cacheTolerance))
}
