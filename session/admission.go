package session

// nodeListRetryAfter is the retry-after, in microseconds, for a client that resumes a session before the first node list has
// arrived.
const nodeListRetryAfter = Micros(500e3)

// statementReceived runs a statement or rejects it.
func (m *Machine) statementReceived(ev StatementReceived) {
	s := m.sessions[ev.ID]
	if s == nil {
		m.firstStatement(ev)
		return
	}
	if reason := m.rejectionReason(s, ev); reason != "" {
		m.reject(ev, reason, s)
		return
	}
	m.run(s, ev)
}

// firstStatement runs or rejects a statement of a session that is not known. A statement that creates no state runs without
// adding a session.
func (m *Machine) firstStatement(ev StatementReceived) {
	rejected := Reject{ID: ev.ID, Serial: ev.Serial}
	switch {
	case ev.HasToken && !m.hasNodeList:
		rejected.Reason, rejected.RetryAfter = ReasonNodesUnknown, nodeListRetryAfter
	case ev.HasToken || ev.Kind == Commit || ev.Kind == Rollback || ev.Kind == DropState:
		rejected.Reason = ReasonNoTransaction
	case !ev.Kind.createsState():
		m.emit(Run{ID: ev.ID, Serial: ev.Serial})
		return
	case m.limitReached(ev.Tenant):
		rejected.Reason, rejected.RetryAfter = ReasonTooManySessions, m.capacityRetryAfter()
	default:
		s := m.reserve(ev.ID, ev.Tenant)
		s.outlivesState = ev.OutlivesState
		m.run(s, ev)
		return
	}
	m.emit(rejected)
}

// rejectionReason returns why a statement of a known session must not run, or "" if it may run.
func (m *Machine) rejectionReason(s *clientSession, ev StatementReceived) Reason {
	switch {
	case s.endingOrEnded():
		return s.reason
	case s.running != nil:
		return ReasonBusy
	case (ev.Kind == Commit || ev.Kind == Rollback) && !s.inTransaction:
		return ReasonNoTransaction
	case ev.Kind == DropState && !s.tables[ev.Name]:
		return ReasonNoTransaction
	case ev.Kind == Begin && s.inTransaction:
		return ReasonTransactionOpen
	case ev.Kind == CreateState && m.tableLimitReached(s, ev.Name):
		return ReasonTooManyTables
	}
	return ""
}

// reject rejects a statement of a known session.
func (m *Machine) reject(ev StatementReceived, reason Reason, s *clientSession) {
	rejected := Reject{ID: ev.ID, Serial: ev.Serial, Reason: reason, State: s.state}
	if s.endingOrEnded() {
		rejected.RetryAfter = s.retryAfter
	}
	m.emit(rejected)
}

// run runs a statement on the node that holds its session's state, or on any node where there is none yet.
func (m *Machine) run(s *clientSession, ev StatementReceived) {
	s.running, s.lastActivity = &ev, m.now
	m.emit(Run{ID: ev.ID, Serial: ev.Serial, StickyTo: s.node, DrainsIn: m.drainsIn(s)})
}
