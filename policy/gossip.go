package policy

import "slices"

// Gossip between gateways: load reports and the sender's own attempts, at a rate bounded by traffic.
const (
	gossipInterval      = 0.25 // minimum seconds between two messages to one peer
	gossipPerRequest    = 0.7  // messages per request received
	minGossipRate       = 1.0  // minimum messages per second, where traffic is low
	gossipLifetime      = 1.0  // seconds for which a peer's attempts and table locks count
	gossipRateSmoothing = 0.5  // weight of a peer's rates in the mean gateway's
)

// gossipState holds the recent messages of peers, and when and to whom to send the next message.
type gossipState struct {
	reports  map[int]*peerReport // by index of the peer; never ranged over
	arrivals []gossipArrival     // in the order received
	nextAt   Micros              // next message to send
	lastPeer int                 // peer that the last message went to, counted from this gateway's index + 1
}

// gossipArrival records the arrival of a message.
type gossipArrival struct {
	from int // index of the peer
	at   Micros
}

// peerReport holds a peer's own attempts, as its last message listed them.
type peerReport struct {
	at   Micros      // arrival
	rows []gossipRow // those with attempts of the peer
}

// coverage returns the share of peers whose attempts are known; peers is the number of all peers.
func (s *gossipState) coverage(peers int) float64 {
	covered := 0.0
	for _, a := range s.arrivals {
		if s.reports[a.from].at == a.at {
			covered += 1 / float64(peers)
		}
	}
	return min(covered, 1)
}

// sendGossip sends one peer the freshest load reports of endpoints, whether this gateway or a peer received
// them, and the attempts that this gateway has there. The rate of messages is bounded by this gateway's
// traffic. The peers take turns, counted from this gateway's own index and from a random start, so that not
// all gateways send to the same peer.
func (g *Gateway) sendGossip() {
	s, peers := &g.gossip, g.settings.Peers-1
	pause := max(gossipInterval/float64(peers), 1/max(gossipPerRequest*g.traffic.rate, minGossipRate))
	s.nextAt = g.now + toMicros(pause)
	s.lastPeer = (s.lastPeer + 1 + peers) % peers
	to := (g.settings.PeerIndex + 1 + s.lastPeer) % g.settings.Peers
	g.emit(SendGossip{To: to, Data: encodeGossip(g.traffic.gossipRates(), g.gossipRows())})
}

// gossipRows returns the rows to gossip, freshest first: those of endpoints that reported or responded within
// reportLifetime or have attempts of this gateway.
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

// handleGossip merges a peer's message. A message that does not parse or is not from a peer is ignored.
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

// recordPeerRow merges one row, on endpoint e, of a message; rows is the number of rows in that message. The
// row's load and result count only if they are fresher than what is known here, and the result only if it is
// later than the endpoint's start. The step of the fleet's inflation is divided by rows: a message counts for
// about one answer.
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

// recordPeerAttempts replaces a peer's own attempts by those in the rows of its message.
func (g *Gateway) recordPeerAttempts(from int, rows []gossipRow) {
	g.forgetPeerAttempts(from)
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

// forgetPeerAttempts removes a peer's own attempts, as it gossiped them, from their endpoints.
func (g *Gateway) forgetPeerAttempts(peer int) {
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

// expireGossip removes the attempts of peers whose last message is older than gossipLifetime.
func (g *Gateway) expireGossip() {
	s := &g.gossip
	for len(s.arrivals) > 0 && g.secondsSince(s.arrivals[0].at) > gossipLifetime {
		if a := s.arrivals[0]; s.reports[a.from].at == a.at {
			g.forgetPeerAttempts(a.from)
		}
		s.arrivals = s.arrivals[1:]
	}
}
