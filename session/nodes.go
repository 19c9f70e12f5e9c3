package session

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// node is what is known of a node that is listed or has sessions.
type node struct {
	listed        bool
	started       time.Time
	drainingSince Micros // when the list first said that it drains; 0: it does not
	drainAt       Micros // when an announced drain begins; 0: none
	sessions      []*clientSession
}

// nodeOf returns a node, added where it is not known.
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

// attach adds a session to its node's.
func (m *Machine) attach(s *clientSession) {
	n := m.nodeOf(s.node)
	s.nodeIndex = len(n.sessions)
	n.sessions = append(n.sessions, s)
}

// detach removes a session from its node's; the last one takes its index.
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

// lossOf is the reason why the state of an attached session is lost with its node; "" where it is not.
func (m *Machine) lossOf(s *clientSession) Reason {
	n := m.nodes[s.node]
	switch {
	case !n.listed:
		return ReasonNodeRemoved
	case !n.started.Equal(s.nodeStarted):
		return ReasonNodeRestarted
	}
	return ""
}

// nodeListUpdated applies a node list: drains begin, and the sessions of restarted and removed nodes end.
func (m *Machine) nodeListUpdated(ev NodeListUpdated) {
	m.hasNodeList = true
	listed := map[string]bool{}
	for _, row := range ev.Nodes {
		listed[row.ID] = true
		n := m.nodeOf(row.ID)
		restarted := n.listed && !n.started.Equal(row.Started)
		n.listed, n.started = true, row.Started
		m.updateDrain(n, row, restarted)
		m.loseEarlierIncarnation(n)
	}
	for _, id := range slices.Sorted(maps.Keys(m.nodes)) {
		if n := m.nodes[id]; n != nil && n.listed && !listed[id] {
			m.removeNode(id, n)
		}
	}
}

// removeNode ends the sessions of a node that left the list. It stays known while one of them has a statement running.
func (m *Machine) removeNode(id string, n *node) {
	n.listed = false
	m.loseAll(slices.Clone(n.sessions), ReasonNodeRemoved)
	if len(n.sessions) == 0 {
		delete(m.nodes, id)
	}
}

// loseEarlierIncarnation ends the sessions whose state a node held before it was restarted.
func (m *Machine) loseEarlierIncarnation(n *node) {
	var lost []*clientSession
	for _, s := range n.sessions {
		if !s.nodeStarted.Equal(n.started) {
			lost = append(lost, s)
		}
	}
	m.loseAll(lost, ReasonNodeRestarted)
}

// loseAll ends sessions whose state is lost together, in the order of their ids; their clients are told to retry one after
// another.
func (m *Machine) loseAll(lost []*clientSession, reason Reason) {
	slices.SortFunc(lost, func(a, b *clientSession) int { return strings.Compare(a.id, b.id) })
	for i, s := range lost {
		if s.state == Ending && s.running == nil { // no node is left that could release it
			m.retainEnded(s)
			continue
		}
		s.retryAfter = m.limits.RetrySpread * Micros(i) / Micros(len(lost))
		m.end(s, Lost, reason)
	}
}
