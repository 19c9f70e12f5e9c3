package policy

import "slices"

// Gossip between gateways: load reports and own attempts, paid for by traffic.
const (
	gossipInterval      = 0.25 // minimum seconds between two messages to one peer
	gossipPerRequest    = 0.7  // messages for each request received
	gossipLifetime      = 1.0  // seconds for which a peer's own attempts count
	gossipRateSmoothing = 0.5  // weight of a peer's rates against ours
)

// gossipState is what peers gossiped lately, and whom to tell next.
type gossipState struct {
	reports  map[int]*peerReport // by peer; looked up only
	arrivals []gossipArrival     // in the order received
	nextAt   Micros              // next message to send
	lastPeer int                 // peer sent the last one, counted without this gateway
}

// gossipArrival is one message received from a peer.
type gossipArrival struct {
	from int
	at   Micros
}

// peerReport is what another gateway gossiped last of its own attempts.
type peerReport struct {
	at   Micros
	rows []gossipRow
}

// sendGossip sends one peer, round-robin, the freshest of what is known of the endpoints, by ourselves or
// by gossip, and our own attempts there. Its rate is bounded by own traffic.
func (g *Gateway) sendGossip() {
	others := g.settings.Peers - 1
	gap := max(gossipInterval/float64(others), 1/max(gossipPerRequest*g.traffic.rate, 1/priceInterval))
	g.gossip.nextAt = g.now + Micros(gap*microsPerSecond)
	// Each peer in turn, from a place by chance: else all gateways tell the same one.
	g.gossip.lastPeer = (g.gossip.lastPeer + 1 + others) % others
	g.emit(SendGossip{To: (g.settings.PeerIndex + 1 + g.gossip.lastPeer) % g.settings.Peers, Data: encodeGossip(g.gossipRates(), g.gossipRows(reportLifetime))})
}

// gossipRows is what to gossip of the endpoints: what was reported within maxAge seconds, freshest first.
func (g *Gateway) gossipRows(known float64) []gossipRow {
	var rows []gossipRow
	for _, e := range g.endpoints.list {
		at := max(e.loadAt, e.lastResponse)
		if g.secondsSince(at) > known && e.threads == 0 {
			continue
		}
		r := gossipRow{wireID: e.wireID, age: g.now - at, utilization: -1, inFlight: -1, memory: -1, inflation: e.lastInflation, fault: e.lastWasFault,
			threads: e.threads, grantedShare: e.grantedMB / max(e.memoryMB, 1), lockedGroup: g.sampleLockedGroup(e)}
		if e.loadAt > 0 {
			r.utilization, r.inFlight, r.memory = e.load.Util, e.load.InFlight, e.load.Memory
		}
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b gossipRow) int { return int(a.age - b.age) })
	return rows
}

// handleGossip takes a peer's message. What does not parse is skipped; only what is fresher than our own
// knowledge counts, and inflation and faults only in part.
func (g *Gateway) handleGossip(h GossipReceived) {
	if h.From < 0 || h.From >= g.settings.Peers || h.From == g.settings.PeerIndex {
		return
	}
	rates, rows, ok := decodeGossip(h.Data, len(g.traffic.tenants)+1)
	if !ok {
		return
	}
	g.mergeRates(rates, gossipRateSmoothing)
	g.recordPeerAttempts(h.From, rows)
	for _, r := range rows {
		e := g.endpoints.byWireID[r.wireID]
		if e == nil {
			continue
		}
		at := g.now - r.age
		if r.lockedGroup > 0 {
			e.tableLocks[r.lockedGroup] = max(at, e.tableLocks[r.lockedGroup])
		}
		if r.utilization >= 0 && at > e.loadAt {
			g.recordLoad(e, Load{Util: r.utilization, InFlight: r.inFlight, Queue: -1, Memory: r.memory, Disk: -1}, at)
		}
		if at > e.lastResponse && at > e.slowStartSince {
			e.lastResponse, e.cancelledUnanswered, e.lastWasFault = at, 0, r.fault
			e.faultShare -= e.faultShare * faultSmoothing
			if r.fault {
				e.faultShare += faultSmoothing
			} else {
				x, step := max(-maxLogInflation, min(maxLogInflation, r.inflation)), fleetInflationStep/float64(len(rows))
				g.recordInflation(e, x, inflationSmoothing, rareInflationSmoothing, reportLifetime, step)
				g.adjustCapacity()
			}
			g.updateOutlier(e)
		}
	}
}

// recordPeerAttempts replaces what a peer gossiped of its own attempts.
func (g *Gateway) recordPeerAttempts(from int, rows []gossipRow) {
	g.forgetGossip(from)
	p := &peerReport{at: g.now}
	g.gossip.reports[from], g.gossip.arrivals = p, append(g.gossip.arrivals, gossipArrival{from, g.now})
	for _, r := range rows {
		if e := g.endpoints.byWireID[r.wireID]; e != nil && r.threads > 0 {
			e.gossipedThreads, e.gossipedMB = e.gossipedThreads+r.threads, e.gossipedMB+r.grantedShare*e.memoryMB
			p.rows = append(p.rows, r)
		}
	}
}

// forgetGossip forgets what a peer gossiped of its own attempts.
func (g *Gateway) forgetGossip(n int) {
	if p := g.gossip.reports[n]; p != nil {
		for _, r := range p.rows {
			if e := g.endpoints.byWireID[r.wireID]; e != nil {
				e.gossipedThreads, e.gossipedMB = max(0, e.gossipedThreads-r.threads), max(0, e.gossipedMB-r.grantedShare*e.memoryMB)
			}
		}
		p.rows = nil
	}
}
