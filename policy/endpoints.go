package policy

import (
	"maps"
	"slices"
)

// minPollInterval is the minimum seconds between two polls of the endpoint list, also after a failed one.
const minPollInterval = 1.0

// endpointTable holds the endpoints of the endpoint list, and removed ones with attempts in flight.
type endpointTable struct {
	list     []*endpoint          // not removed, sorted by ID
	byID     map[string]*endpoint // all
	byWireID map[uint32]*endpoint // all, by their ID in gossip; looked up only
}

// endpoint holds the row of one endpoint in the endpoint list and what the gateway knows of its load, health
// and caches.
type endpoint struct {
	Endpoint
	wireID          uint32 // ID in gossip
	cores, memoryMB float64

	attempts  []*attempt // this gateway's attempts in flight on the endpoint
	threads   float64    // threads of these attempts
	grantedMB float64    // memory granted to these attempts

	load              Load    // last load report, received here or by a peer
	loadAt            Micros  // time of that report; 0: there was none
	unreportedThreads float64 // threads of the attempts in flight that this gateway sent after loadAt
	unreportedMB      float64 // memory granted to those attempts
	gossipedThreads   float64 // threads of peers' attempts, by gossip
	gossipedMB        float64 // memory grants of peers' attempts, by gossip

	// This gateway's claims are the threads of all attempts that it has sent to the endpoint since the last
	// reset, ended attempts included. mayClaim limits them to a share of the threads that the last report
	// left free: gateways that see the same load report would otherwise fill the endpoint several times over.
	reportArrivedAt Micros  // last reset of the claims: arrival of a report, or priceInterval without one
	claimedThreads  float64 // the claims
	claimDraw       float64 // random number from 0 to 1, drawn at each reset; mayClaim rounds its limit by it

	lastResponse        Micros  // last response to this gateway or to a peer; at first the time of listing
	lastInflation       float64 // log latency inflation of the last answer or cancelled attempt
	lastWasFault        bool    // the last response was a fault
	inflation           float64 // mean log latency inflation
	faultShare          float64 // smoothed share of faults in the responses
	cancelledUnanswered float64 // overdue attempts cancelled since the last response
	ejected             bool
	nextTrialAt         Micros // earliest next trial request, while ejected

	slowStartSince   Micros       // start of slow start; 0: no slow start
	slowStart        []workBudget // budget of each class during slow start
	slowStartBefore  Micros       // slowStartSince before a guessed restart
	restartGuessedAt Micros       // time of a restart guessed from failed connections; 0: none
	resetAt          Micros       // last time that a connection of this gateway broke
	drainUntil       Micros       // end of sticky requests to the endpoint while it drains

	cachedGroups       []int64         // table groups read last, newest first
	tableLocks         map[byte]Micros // by groupCode, when a load's lock was seen last; looked up only
	healthCheckAt      Micros          // last health check
	healthCheckPending bool            // the last health check has no result yet
}

// handleEndpointUpdate applies a watch event of the endpoint list. After a failed call, a list that has to be
// polled is polled again within minPollInterval.
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
		} else if r.Started != e.Started { // after a restart nothing that was learned of the endpoint holds
			e.slowStartSince, e.ejected, e.cachedGroups = max(r.Started, e.slowStartSince), false, nil
			e.faultShare, e.inflation, e.restartGuessedAt = 0, g.congestion.inflation.value, 0
		}
		if r.State == Draining && e.State != Draining {
			e.drainUntil = g.now + g.settings.DrainGrace - g.deadlineGuard()
		}
		e.Endpoint = r
	}
	g.endpoints.rebuildList()
	g.summarizeFleet(1)
}

// markRemoved marks the endpoints as removed that are missing from a complete endpoint list.
func (t *endpointTable) markRemoved(u EndpointUpdate) {
	for _, e := range t.list {
		if u.Complete && !slices.ContainsFunc(u.Endpoints, func(r Endpoint) bool { return r.ID == e.ID }) {
			e.State = Removed
		}
	}
}

// rebuildList lists the endpoints that are not removed, sorted by ID, and deletes removed ones that have no
// attempt in flight.
func (t *endpointTable) rebuildList() {
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

// addEndpoint adds an endpoint to the table.
func (g *Gateway) addEndpoint(r Endpoint) *endpoint {
	e := &endpoint{Endpoint: r, wireID: wireID(r.ID), cores: 1, lastResponse: g.now,
		tableLocks: map[byte]Micros{}}
	e.resize(g.settings.Kinds)
	g.endpoints.byID[r.ID], g.endpoints.byWireID[e.wireID] = e, e
	return e
}

// resize sets the endpoint's cores and memory to those of its machine kind, if the kind is known.
func (e *endpoint) resize(kinds []Kind) {
	if e.Kind >= 0 && e.Kind < len(kinds) {
		e.cores, e.memoryMB = float64(max(kinds[e.Kind].Cores, 1)), kinds[e.Kind].MemoryMB
	}
}
