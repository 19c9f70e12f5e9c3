package session

import "time"

// Limits bound sessions. A count of 0 means no limit, a duration of 0 that the rule does not apply.
type Limits struct {
	MaxSessions  int    // with state, or whose first statement is running
	MaxPerTenant int    // of MaxSessions
	MaxPerNode   int    // with state on one node
	MaxTables    int    // temporary tables of one session
	IdleTimeout  Micros // without a statement
	MaxAge       Micros // of a session's state
	DrainGrace   Micros // how long after the notice of a node's drain its sessions may still use it
	RetrySpread  Micros // clients of a lost node are told to retry at different times within it
	Retention    Micros // how long an ended session is known, for the reason of its end
}

// TokenLife is how long a session's token is valid: no session gets older.
func (l Limits) TokenLife() time.Duration { return time.Duration(l.MaxAge) * time.Microsecond }

// limitReached says whether another session of a tenant would exceed a limit.
func (m *Machine) limitReached(tenant string) bool {
	l := m.limits
	return l.MaxSessions > 0 && m.reserved >= l.MaxSessions || l.MaxPerTenant > 0 && m.tenants[tenant] >= l.MaxPerTenant
}

// tableLimitReached says whether the table would be one too many.
func (m *Machine) tableLimitReached(s *clientSession, table string) bool {
	limit := m.limits.MaxTables
	return limit > 0 && !s.tables[table] && len(s.tables) >= limit
}

// reserve adds a session, counted in the limits.
func (m *Machine) reserve(id, tenant string) *clientSession {
	s := &clientSession{id: id, tenant: tenant, stateSince: m.now, lastActivity: m.now, nodeIndex: -1, reserved: true}
	m.sessions[id] = s
	m.reserved++
	m.tenants[tenant]++
	return s
}

// freeReservation drops a session's state and takes it out of the limits.
func (m *Machine) freeReservation(s *clientSession) {
	if s.reserved {
		s.reserved = false
		m.reserved--
		if m.tenants[s.tenant]--; m.tenants[s.tenant] == 0 {
			delete(m.tenants, s.tenant)
		}
	}
	m.detach(s)
	s.node, s.inTransaction, s.tables = "", false, nil
}

// capacityRetryAfter estimates when the next session ends: as if the n sessions ended evenly over the longest life allowed.
func (m *Machine) capacityRetryAfter() Micros {
	return max(m.limits.IdleTimeout, m.limits.MaxAge) / Micros(max(m.reserved, 1))
}
