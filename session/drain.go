package session

// drainsIn returns how long a session's node still accepts the session's statements, at least 1; 0 if the node neither drains
// nor has an announced drain.
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

// drainGraceExpired reports whether the session's node has been draining for at least Limits.DrainGrace: no new statement may
// go there.
func (m *Machine) drainGraceExpired(s *clientSession) bool {
	n := m.nodes[s.node]
	return n != nil && n.drainingSince > 0 && m.now >= n.drainingSince+m.limits.DrainGrace
}

// updateDrain records from a row of the node list whether the node drains and when an announced drain begins. restarted says
// that the row is of a new incarnation, whose grace begins anew.
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
			if !s.endingOrEnded() {
				m.scheduleTimeout(s)
			}
		}
	}
}
