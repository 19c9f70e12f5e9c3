package session

// A node is asked up to maxReleaseAttempts times to release the state of a session. The next request follows releaseRetryInterval
// after a failed one, or releaseTimeout after one that was not answered. Both are in microseconds.
const (
	maxReleaseAttempts   = 5
	releaseRetryInterval = Micros(1e6)
	releaseTimeout       = Micros(5e6)
)

// releaseState asks the node of an ending session to roll back its transaction and drop its state. A session ends at once if it
// has no state or its node no longer holds it.
func (m *Machine) releaseState(s *clientSession) {
	if s.hasState() && m.nodeHoldsState(s) {
		s.releaseAttempts++
		m.emit(Release{ID: s.id, Node: s.node})
		m.reschedule(s, m.now+releaseTimeout)
		return
	}
	m.retainEnded(s)
}

// releaseEnded completes the end of a session, or schedules another release request after a failed one. After
// maxReleaseAttempts the state is left to the node's own timeout.
func (m *Machine) releaseEnded(ev Released) {
	s := m.sessions[ev.ID]
	if s == nil || s.state != Ending || s.running != nil || s.releaseAttempts == 0 {
		return
	}
	if !ev.OK && s.releaseAttempts < maxReleaseAttempts && m.nodeHoldsState(s) {
		s.timerAt = 0
		m.reschedule(s, m.now+releaseRetryInterval)
		return
	}
	m.retainEnded(s)
}

// nodeHoldsState reports whether the session's node is listed and has not restarted since the state was created.
func (m *Machine) nodeHoldsState(s *clientSession) bool {
	n := m.nodes[s.node]
	return s.node != "" && n != nil && n.listed && n.started.Equal(s.nodeStarted)
}
