package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Table affinity: loads lock their table group on an endpoint; queries find a group read lately in its cache.
const (
	lockedTablesWeight = 0.1 // weight of endpoints where a load locks the group, for classes that wait
	affinityShare      = 0.5 // share of the endpoints that take the loads of one group
	maxCachedGroups    = 4   // table groups assumed to be cached on an endpoint
	cacheTolerance     = 0.1 // log time saved below which caching is taken for noise
	cacheExponent      = 2.0 // exponent of the time saved by caching in the draw
)

// inAffinitySubset says whether an endpoint takes loads of a table group, the same at every gateway
// (rendezvous hashing): loads of one group on all endpoints would leave none for the queries that wait for
// them, and on a single endpoint they would block each other.
func (g *Gateway) inAffinitySubset(tables int64, e *endpoint) bool {
	healthy, before := 0, 0
	for _, o := range g.endpoints.list {
		if o.State == Healthy && !o.ejected {
			healthy++
			if o != e && affinityHash(tables, o) > affinityHash(tables, e) {
				before++
			}
		}
	}
	return before < max(1, int(affinityShare*float64(healthy)))
}

// affinityHash ranks the endpoints for a table group, the same at every gateway.
func affinityHash(tables int64, e *endpoint) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(tables)), e.wireID))
	return h.Sum64()
}

// holdsOwnTableLock says that a load of this gateway locks a group on the endpoint, or waits for the lock.
func (e *endpoint) holdsOwnTableLock(tables int64) bool {
	return slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.request.class.LocksTables && a.request.TableGroup == tables
	})
}

// tablesLocked says that a load locks a group on an endpoint: one of ours, or one known from a recent
// progress report or gossip. It guards against blocked queries.
func (g *Gateway) tablesLocked(e *endpoint, tables int64) bool {
	if e.holdsOwnTableLock(tables) {
		return true
	}
	at := e.tableLocks[groupCode(tables)]
	return at > 0 && g.secondsSince(at) < gossipLifetime
}

// sampleLockedGroup draws one group that a load of ours locks on an endpoint, for gossip; 0: none.
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

// groupCode is the wire form of a table group, never 0.
func groupCode(tables int64) byte { return byte(uint64(tables)%255) + 1 }

// recordRead marks a table group as the one read last; the endpoint caches maxCachedGroups of them.
func (e *endpoint) recordRead(tables int64) {
	e.cachedGroups = slices.DeleteFunc(e.cachedGroups, func(t int64) bool { return t == tables })
	e.cachedGroups = slices.Insert(e.cachedGroups, 0, tables)
	e.cachedGroups = e.cachedGroups[:min(len(e.cachedGroups), maxCachedGroups)]
}

// cacheEffect is the mean log latency inflation of answers whose table group was not cached, and was.
type cacheEffect struct{ inflation [2]float64 }

// record takes the log inflation x of an answer, by whether its group was cached.
func (c *cacheEffect) record(cached bool, x float64) {
	i := 0
	if cached {
		i = 1
	}
	c.inflation[i] += (x - c.inflation[i]) * meanSmoothing
}

// weight is the factor of endpoints where the table group is cached, by the time that this saves.
func (c *cacheEffect) weight() float64 {
	return math.Exp(cacheExponent * max(0, c.inflation[0]-c.inflation[1]-cacheTolerance))
}
