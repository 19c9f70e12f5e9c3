package session

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// node holds the state of a query node that is in the node list or has attached sessions.
type node struct {
	listed        bool             // it is in the latest node list
	started       time.Time        // start time of its incarnation, by the list
	drainingSince Micros           // when a list first showed that it drains; 0: it does not drain
	drainAt       Micros           // when an announced drain begins; 0: none is announced
	sessions      []*clientSession // attached, in no particular order; clientSession.nodeIndex is the index
}

// nodeOf returns the node with an ID and adds it if it is not known.
func (m *Machine) nodeOf(id string) *node {
	n := m.nodes[id]
	if n == nil {
		n = &node{}
		m.nodes[id] = n
	}
	return n
}

// placeOn makes a session sticky to the node on which a statement created its state.
func (m *Machine) placeOn(s *clientSession, ev StatementEnded) {
	s.node, s.nodeStarted = ev.Node, ev.Started
	m.attach(s)
}

// attach adds a session to the sessions of its node.
func (m *Machine) attach(s *clientSession) {
	n := m.nodeOf(s.node)
	s.nodeIndex = len(n.sessions)
	n.sessions = append(n.sessions, s)
}

// detach removes a session from the sessions of its node; the last of them takes its index. It forgets a node that is not listed
// and has no session left.
func (m *Machine) detach(s *clientSession) {
	if n := m.nodes[s.node]; n != nil && s.nodeIndex >= 0 {
		last := len(n.sessions) - 1
		n.sessions[s.nodeIndex] = n.sessions[last]
		n.sessions[s.nodeIndex].nodeIndex = s.nodeIndex
		n.sessions = n.sessions[:last]
		if last == 0 && !n.listed {
			delete(m.nodes, s.node)
		}
	}
	s.nodeIndex = -1
}

// lossReason returns why the state of an attached session is lost: its node left the list or was restarted. It returns "" if
// neither is the case.
func (m *Machine) lossReason(s *clientSession) Reason {
	n := m.nodes[s.node]
	switch {
	case !n.listed:
		return ReasonNodeRemoved
	case !n.started.Equal(s.nodeStarted):
		return ReasonNodeRestarted
	}
	return ""
}

// nodeListUpdated applies a node list: it records drains and ends the sessions of nodes that were restarted or removed.
func (m *Machine) nodeListUpdated(ev NodeListUpdated) {
	m.hasNodeList = true
	listed := map[string]bool{}
	for _, row := range ev.Nodes {
		listed[row.ID] = true
		n := m.nodeOf(row.ID)
		restarted := n.listed && !n.started.Equal(row.Started)
		n.listed, n.started = true, row.Started
		m.updateDrain(n, row, restarted)
		m.endSessionsOfEarlierIncarnation(n)
	}
	for _, id := range slices.Sorted(maps.Keys(m.nodes)) {
		if n := m.nodes[id]; n != nil && n.listed && !listed[id] {
			m.removeNode(id, n)
		}
	}
}

// removeNode ends the sessions of a node that left the list. The node stays known while one of its sessions has a statement
// running.
func (m *Machine) removeNode(id string, n *node) {
	n.listed = false
	m.endLostSessions(slices.Clone(n.sessions), ReasonNodeRemoved)
	if len(n.sessions) == 0 {
		delete(m.nodes, id)
	}
}

// endSessionsOfEarlierIncarnation ends the sessions whose state a node held before it was restarted.
func (m *Machine) endSessionsOfEarlierIncarnation(n *node) {
	var lost []*clientSession
	for _, s := range n.sessions {
		if !s.nodeStarted.Equal(n.started) {
			lost = append(lost, s)
		}
	}
	m.endLostSessions(lost, ReasonNodeRestarted)
}

// endLostSessions ends, in the order of their IDs, sessions that have lost their state at the same time. Their retry-after values
// are spread evenly over Limits.RetrySpread, so that the clients do not return all at once.
func (m *Machine) endLostSessions(lost []*clientSession, reason Reason) {
	slices.SortFunc(lost, func(a, b *clientSession) int { return strings.Compare(a.id, b.id) })
	for i, s := range lost {
		if s.state == Ending && s.running == nil { // no node holds the state any more, so there is nothing to wait for
			m.retainEnded(s)
			continue
		}
		s.retryAfter = m.limits.RetrySpread * Micros(i) / Micros(len(lost))
		m.end(s, Lost, reason)
	}
}
