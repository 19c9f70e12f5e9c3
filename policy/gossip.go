package policy

import "slices"

// Gossip between gateways: load reports and own attempts, paid for by traffic.
const (
	gossipInterval      = 0.25 // minimum seconds between two messages to one peer
	gossipPerRequest    = 0.7  // messages for each request received
	minGossipRate       = 1.0  // minimum messages a second, without traffic
	gossipLifetime      = 1.0  // seconds for which a peer's own attempts and table locks count
	gossipRateSmoothing = 0.5  // weight of a peer's rates against ours
)

// gossipState is what peers gossiped lately, and when and to whom to gossip next.
type gossipState struct {
	reports  map[int]*peerReport // by peer; looked up only
	arrivals []gossipArrival     // in the order received
	nextAt   Micros              // next message to send
	lastPeer int                 // the peer sent the last one, as an index that leaves out this gateway
}

// gossipArrival is one message received from a peer.
type gossipArrival struct {
	from int
	at   Micros
}

// peerReport is what a peer gossiped last of its own attempts.
type peerReport struct {
	at   Micros
	rows []gossipRow
}

// coverage is the share of so many peers whose own attempts are known.
func (s *gossipState) coverage(peers int) float64 {
	covered := 0.0
	for _, a := range s.arrivals {
		if s.reports[a.from].at == a.at {
			covered += 1 / float64(peers)
		}
	}
	return min(covered, 1)
}

// sendGossip sends one peer the freshest of what is known of the endpoints, by ourselves or by gossip, and
// our own attempts there. Its rate is bounded by own traffic. Peers take turns, from a random one: otherwise
// all gateways would send to the same one.
func (g *Gateway) sendGossip() {
	s, peers := &g.gossip, g.settings.Peers-1
	pause := max(gossipInterval/float64(peers), 1/max(gossipPerRequest*g.traffic.rate, minGossipRate))
	s.nextAt = g.now + toMicros(pause)
	s.lastPeer = (s.lastPeer + 1 + peers) % peers
	to := (g.settings.PeerIndex + 1 + s.lastPeer) % g.settings.Peers
	g.emit(SendGossip{To: to, Data: encodeGossip(g.traffic.gossipRates(), g.gossipRows())})
}

// gossipRows is what to gossip of the endpoints: what was reported within reportLifetime, freshest first.
func (g *Gateway) gossipRows() []gossipRow {
	var rows []gossipRow
	for _, e := range g.endpoints.list {
		at := max(e.loadAt, e.lastResponse)
		if g.secondsSince(at) > reportLifetime && e.threads == 0 {
			continue
		}
		r := gossipRow{wireID: e.wireID, age: g.now - at, utilization: -1, inFlight: -1, memory: -1,
			inflation: e.lastInflation, fault: e.lastWasFault, threads: e.threads,
			grantedShare: e.grantedMB / max(e.memoryMB, 1), lockedGroup: g.sampleLockedGroup(e)}
		if e.loadAt > 0 {
			r.utilization, r.inFlight, r.memory = e.load.Utilization, e.load.InFlight, e.load.Memory
		}
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b gossipRow) int { return int(a.age - b.age) })
	return rows
}

// handleGossip takes a peer's message. What does not parse is skipped.
func (g *Gateway) handleGossip(m GossipReceived) {
	if m.From < 0 || m.From >= g.settings.Peers || m.From == g.settings.PeerIndex {
		return
	}
	rates, rows, ok := decodeGossip(m.Data, len(g.traffic.tenants)+1)
	if !ok {
		return
	}
	g.traffic.mergeRates(rates)
	g.recordPeerAttempts(m.From, rows)
	for _, r := range rows {
		if e := g.endpoints.byWireID[r.wireID]; e != nil {
			g.recordPeerRow(e, r, len(rows))
		}
	}
}

// recordPeerRow takes one row of so many in a message, of an endpoint. Only what is fresher than our own
// knowledge counts, and inflation and faults only in part.
func (g *Gateway) recordPeerRow(e *endpoint, r gossipRow, rows int) {
	at := g.now - r.age
	if r.lockedGroup > 0 {
		e.tableLocks[r.lockedGroup] = max(at, e.tableLocks[r.lockedGroup])
	}
	if r.utilization >= 0 && at > e.loadAt {
		load := Load{Utilization: r.utilization, InFlight: r.inFlight, Queue: -1, Memory: r.memory, Disk: -1}
		g.recordLoad(e, load, at)
	}
	if at <= e.lastResponse || at <= e.slowStartSince {
		return
	}
	e.lastResponse, e.cancelledUnanswered, e.lastWasFault = at, 0, r.fault
	e.faultShare -= e.faultShare * faultSmoothing
	if r.fault {
		e.faultShare += faultSmoothing
	} else {
		g.recordInflation(e, clipInflation(r.inflation), fleetInflationStep/float64(rows))
		g.adjustCapacity()
	}
	g.updateOutlier(e)
}

// recordPeerAttempts replaces what a peer gossiped of its own attempts.
func (g *Gateway) recordPeerAttempts(from int, rows []gossipRow) {
	g.forgetGossip(from)
	report := &peerReport{at: g.now}
	g.gossip.reports[from] = report
	g.gossip.arrivals = append(g.gossip.arrivals, gossipArrival{from, g.now})
	for _, r := range rows {
		if e := g.endpoints.byWireID[r.wireID]; e != nil && r.threads > 0 {
			e.gossipedThreads += r.threads
			e.gossipedMB += r.grantedShare * e.memoryMB
			report.rows = append(report.rows, r)
		}
	}
}

// forgetGossip forgets what a peer gossiped of its own attempts.
func (g *Gateway) forgetGossip(peer int) {
	report := g.gossip.reports[peer]
	if report == nil {
		return
	}
	for _, r := range report.rows {
		if e := g.endpoints.byWireID[r.wireID]; e != nil {
			e.gossipedThreads = max(0, e.gossipedThreads-r.threads)
			e.gossipedMB = max(0, e.gossipedMB-r.grantedShare*e.memoryMB)
		}
	}
	report.rows = nil
}

// expireGossip forgets what is older than gossipLifetime, unless the peer has gossiped since.
func (g *Gateway) expireGossip() {
	s := &g.gossip
	for len(s.arrivals) > 0 && g.secondsSince(s.arrivals[0].at) > gossipLifetime {
		if a := s.arrivals[0]; s.reports[a.from].at == a.at {
			g.forgetGossip(a.from)
		}
		s.arrivals = s.arrivals[1:]
	}
}
