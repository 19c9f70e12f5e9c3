package session

import "time"

// Limits bound the number, size and life of sessions. A count of 0 means no limit; an IdleTimeout or MaxAge of 0 means that the
// timeout does not apply. A DrainGrace, RetrySpread or Retention of 0 is a duration like any other.
type Limits struct {
	MaxSessions  int    // sessions with state, and those whose first statement is running and may create it
	MaxPerTenant int    // sessions of one tenant, counted as for MaxSessions
	MaxPerNode   int    // sessions with state on one node
	MaxTables    int    // temporary tables and options of one session
	IdleTimeout  Micros // longest time without a running statement
	MaxAge       Micros // greatest age of a session's state
	DrainGrace   Micros // how long sessions may still use their node after a node list first shows that it drains
	RetrySpread  Micros // the retry-after values for the clients of a lost node are spread evenly over this time
	Retention    Micros // how long an ended session is remembered, so that its client can be told the reason
}

// TokenLife returns how long a session's token is valid: as long as the session may live.
func (l Limits) TokenLife() time.Duration { return time.Duration(l.MaxAge) * time.Microsecond }

// limitReached reports whether another session of a tenant would exceed MaxSessions or MaxPerTenant.
func (m *Machine) limitReached(tenant string) bool {
	l := m.limits
	return l.MaxSessions > 0 && m.reserved >= l.MaxSessions || l.MaxPerTenant > 0 && m.tenants[tenant] >= l.MaxPerTenant
}

// tableLimitReached reports whether a new table or option would exceed MaxTables of the session.
func (m *Machine) tableLimitReached(s *clientSession, table string) bool {
	limit := m.limits.MaxTables
	return limit > 0 && !s.tables[table] && len(s.tables) >= limit
}

// reserve adds a session and counts it in the limits.
func (m *Machine) reserve(id, tenant string) *clientSession {
	s := &clientSession{id: id, tenant: tenant, stateSince: m.now, lastActivity: m.now, nodeIndex: -1, reserved: true}
	m.sessions[id] = s
	m.reserved++
	m.tenants[tenant]++
	return s
}

// freeReservation clears what is recorded of a session's state, detaches the session from its node and stops counting it in the
// limits.
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

// capacityRetryAfter estimates the time until the next session ends, as if the reserved sessions ended at even intervals over
// the longer of IdleTimeout and MaxAge.
func (m *Machine) capacityRetryAfter() Micros {
	return max(m.limits.IdleTimeout, m.limits.MaxAge) / Micros(max(m.reserved, 1))
}
