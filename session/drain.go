package session

// drainsIn is how long a session's node still accepts its statements; 0 where the node is not to drain.
func (m *Machine) drainsIn(s *clientSession) Micros {
	n := m.nodes[s.node]
	switch {
	case n == nil || n.drainingSince == 0 && n.drainAt == 0:
		return 0
	case n.drainingSince > 0:
		return max(n.drainingSince+m.limits.DrainGrace-m.now, 1)
	}
	return max(n.drainAt+m.limits.DrainGrace-m.now, 1)
}

// drainGraceExpired says whether the session's node accepts no statement any more.
func (m *Machine) drainGraceExpired(s *clientSession) bool {
	n := m.nodes[s.node]
	return n != nil && n.drainingSince > 0 && m.now >= n.drainingSince+m.limits.DrainGrace
}

// updateDrain notes whether a listed node drains, or will. restarted: the drain is of a new incarnation.
func (m *Machine) updateDrain(n *node, listed Node, restarted bool) {
	n.drainAt = 0
	if listed.DrainsIn > 0 {
		n.drainAt = m.now + listed.DrainsIn
	}
	switch {
	case !listed.Draining:
		n.drainingSince = 0
	case n.drainingSince == 0 || restarted:
		n.drainingSince = m.now
		for _, s := range n.sessions {
			if !s.ended() {
				m.scheduleTimeout(s)
			}
		}
	}
}
