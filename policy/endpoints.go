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
	wireID                      uint32 // short name in messages to peers
	cores, memoryMB             float64
	attempts                    []*attempt
	threads                     float64 // own, in flight
	grantedMB                   float64 // own grants, in MB
	load                        Load
	loadAt                      Micros  // when the report last changed, here or at a peer; 0: never heard
	unreportedThreads           float64 // own threads sent since then
	unreportedMB                float64 // own grants sent since then, in MB
	gossipedThreads, gossipedMB float64 // threads and grants that peers have there, by their word
	reportArrivedAt             Micros  // when news of it last came
	claimedThreads              float64 // threads sent since then
	claimDraw                   float64 // chance drawn with each report, see hasCapacity
	inflation                   float64 // mean log stretch
	faultShare                  float64 // recent share of faults
	lastInflation               float64 // log stretch of the last answer, here or at a peer
	lastWasFault                bool    // that one was a fault
	lastResponse                Micros  // last answer, here or at a peer
	resetAt                     Micros  // last broken connection here
	cancelledUnanswered         float64 // attempts called off since
	ejected                     bool
	nextTrialAt                 Micros
	slowStartSince              Micros
	restartGuessedAt            Micros          // when it seemed to have ended, without word of the list; 0: it did not
	slowStartBefore             Micros          // slowStartSince before that
	drainUntil                  Micros          // what has its state there may be sent until then, while it drains
	slowStart                   []workBudget    // for each class, while cold
	warmGroups                  []int64         // groups read last, newest first
	healthCheckAt               Micros          // last probe
	healthCheckPending          bool            // that one has not answered yet
	tableLocks                  map[byte]Micros // groups that loads hold there, by when last seen; looked up only
}

// handleEndpointUpdate takes a watch event of the endpoint list.
func (g *Gateway) handleEndpointUpdate(l EndpointUpdate) {
	if l.Failed {
		g.schedule.pollAt = min(g.schedule.pollAt, g.now+toMicros(minPollInterval))
	}
	g.markRemoved(l)
	for _, r := range l.Endpoints {
		e := g.endpoints.byID[r.ID]
		if e == nil {
			e = g.addEndpoint(r)
			e.slowStartSince, e.inflation = r.Started, g.congestion.inflation.value
			g.restoreEndpoint(e)
		} else if r.Started != e.Started { // restarted: nothing learned holds any more
			e.slowStartSince, e.ejected, e.warmGroups = max(r.Started, e.slowStartSince), false, nil
			e.faultShare, e.inflation, e.restartGuessedAt = 0, g.congestion.inflation.value, 0
		}
		if r.State == Draining && e.State != Draining {
			e.drainUntil = g.now + g.settings.DrainGrace - g.deadlineGuard()
		}
		e.Endpoint = r
	}
	g.sortEndpoints()
	g.summarizeFleet(1)
}

// markRemoved marks the endpoints that a complete list does not contain as removed.
func (g *Gateway) markRemoved(l EndpointUpdate) {
	for _, e := range g.endpoints.list {
		if l.Complete && !slices.ContainsFunc(l.Endpoints, func(r Endpoint) bool { return r.ID == e.ID }) {
			e.State = Removed
		}
	}
}

// sortEndpoints lists the endpoints that are not removed, by ID. Removed ones are forgotten once no attempt
// is in flight there.
func (g *Gateway) sortEndpoints() {
	clear(g.endpoints.list)
	g.endpoints.list = g.endpoints.list[:0]
	for _, id := range slices.Sorted(maps.Keys(g.endpoints.byID)) {
		switch e := g.endpoints.byID[id]; {
		case e.State != Removed:
			g.endpoints.list = append(g.endpoints.list, e)
		case len(e.attempts) == 0:
			delete(g.endpoints.byID, id)
			if g.endpoints.byWireID[e.wireID] == e {
				delete(g.endpoints.byWireID, e.wireID)
			}
		}
	}
}

// addEndpoint registers a new endpoint.
func (g *Gateway) addEndpoint(r Endpoint) *endpoint {
	e := &endpoint{Endpoint: r, cores: 1, lastResponse: g.now, wireID: wireID(r.ID), tableLocks: map[byte]Micros{}}
	if r.Kind >= 0 && r.Kind < len(g.settings.Kinds) {
		e.cores, e.memoryMB = float64(max(g.settings.Kinds[r.Kind].Cores, 1)), g.settings.Kinds[r.Kind].MemoryMB
	}
	g.endpoints.byID[r.ID], g.endpoints.byWireID[e.wireID] = e, e
	return e
}
