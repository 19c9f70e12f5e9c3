package policy

import (
	"maps"
	"slices"
)

// minPollInterval is the minimum seconds between two calls for the endpoint list.
const minPollInterval = 1.0

// endpointTable holds the endpoints of the list, and removed ones that still have attempts in flight.
type endpointTable struct {
	list     []*endpoint          // not removed, by ID
	byID     map[string]*endpoint // all
	byWireID map[uint32]*endpoint // all, by their name in gossip; looked up only
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	Endpoint
	wireID          uint32 // name in gossip
	cores, memoryMB float64

	attempts  []*attempt // own, in flight
	threads   float64    // of those
	grantedMB float64    // of those

	load              Load    // last report, ours or gossiped
	loadAt            Micros  // its time; 0: there was none
	unreportedThreads float64 // own threads sent since
	unreportedMB      float64 // own grants sent since
	gossipedThreads   float64 // of peers' attempts
	gossipedMB        float64 // of peers' attempts

	reportArrivedAt Micros  // arrival of the last report, or renewal of claims, see mayClaim
	claimedThreads  float64 // own threads sent since
	claimDraw       float64 // drawn then, from 0 to 1

	lastResponse        Micros  // ours or gossiped
	lastInflation       float64 // log latency inflation of that
	lastWasFault        bool
	inflation           float64 // mean log latency inflation
	faultShare          float64 // recent
	cancelledUnanswered float64 // overdue attempts cancelled since the last response
	ejected             bool
	nextTrialAt         Micros // while ejected

	slowStartSince   Micros       // 0: no slow start
	slowStart        []workBudget // for each class, during slow start
	slowStartBefore  Micros       // slowStartSince before a guessed restart
	restartGuessedAt Micros       // seemed to restart then, the list does not say so; 0: did not
	resetAt          Micros       // last broken connection here
	drainUntil       Micros       // while draining, sticky requests may be sent until then

	cachedGroups       []int64         // table groups read last, newest first
	tableLocks         map[byte]Micros // when loads of a group were seen last; looked up only
	healthCheckAt      Micros          // last health check
	healthCheckPending bool            // that has not answered yet
}

// handleEndpointUpdate takes a watch event of the endpoint list.
func (g *Gateway) handleEndpointUpdate(u EndpointUpdate) {
	if u.Failed {
		g.schedule.pollAt = min(g.schedule.pollAt, g.now+toMicros(minPollInterval))
	}
	g.endpoints.markRemoved(u)
	for _, r := range u.Endpoints {
		e := g.endpoints.byID[r.ID]
		if e == nil {
			e = g.addEndpoint(r)
			e.slowStartSince, e.inflation = r.Started, g.congestion.inflation.value
			g.restoreEndpoint(e)
		} else if r.Started != e.Started { // restarted: nothing learned holds any more
			e.slowStartSince, e.ejected, e.cachedGroups = max(r.Started, e.slowStartSince), false, nil
			e.faultShare, e.inflation, e.restartGuessedAt = 0, g.congestion.inflation.value, 0
		}
		if r.State == Draining && e.State != Draining {
			e.drainUntil = g.now + g.settings.DrainGrace - g.deadlineGuard()
		}
		e.Endpoint = r
	}
	g.endpoints.sort()
	g.summarizeFleet(1)
}

// markRemoved marks the endpoints that a complete list does not contain as removed.
func (t *endpointTable) markRemoved(u EndpointUpdate) {
	for _, e := range t.list {
		if u.Complete && !slices.ContainsFunc(u.Endpoints, func(r Endpoint) bool { return r.ID == e.ID }) {
			e.State = Removed
		}
	}
}

// sort lists the endpoints that are not removed, by ID. Removed ones are forgotten once no attempt
// is in flight there.
func (t *endpointTable) sort() {
	clear(t.list)
	t.list = t.list[:0]
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		switch e := t.byID[id]; {
		case e.State != Removed:
			t.list = append(t.list, e)
		case len(e.attempts) == 0:
			delete(t.byID, id)
			if t.byWireID[e.wireID] == e {
				delete(t.byWireID, e.wireID)
			}
		}
	}
}

// addEndpoint registers a new endpoint.
func (g *Gateway) addEndpoint(r Endpoint) *endpoint {
	e := &endpoint{Endpoint: r, wireID: wireID(r.ID), cores: 1, lastResponse: g.now,
		tableLocks: map[byte]Micros{}}
	e.resize(g.settings.Kinds)
	g.endpoints.byID[r.ID], g.endpoints.byWireID[e.wireID] = e, e
	return e
}

// resize takes the size of an endpoint from its kind of machine, where that is known.
func (e *endpoint) resize(kinds []Kind) {
	if e.Kind >= 0 && e.Kind < len(kinds) {
		e.cores, e.memoryMB = float64(max(kinds[e.Kind].Cores, 1)), kinds[e.Kind].MemoryMB
	}
}
