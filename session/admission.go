package session

// nodeListRetryAfter is when a client that came before the first node list may try again.
const nodeListRetryAfter = Micros(500e3)

// statementReceived runs a statement or rejects it.
func (m *Machine) statementReceived(ev StatementReceived) {
	s := m.sessions[ev.ID]
	if s == nil {
		m.firstStatement(ev)
		return
	}
	if reason := m.rejection(s, ev); reason != "" {
		m.reject(ev, reason, s)
		return
	}
	m.run(s, ev)
}

// firstStatement admits a statement of a session that is not known. One that creates no state runs without a session.
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

// rejection is the reason why a statement of a known session must not run; "" where it may.
func (m *Machine) rejection(s *clientSession, ev StatementReceived) Reason {
	switch {
	case s.ended():
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
	if s.ended() {
		rejected.RetryAfter = s.retryAfter
	}
	m.emit(rejected)
}

// run runs a statement where the state of its session is.
func (m *Machine) run(s *clientSession, ev StatementReceived) {
	s.running, s.lastActivity = &ev, m.now
	m.emit(Run{ID: ev.ID, Serial: ev.Serial, StickyTo: s.node, DrainsIn: m.drainsIn(s)})
}
