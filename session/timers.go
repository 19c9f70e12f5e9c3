package session

// timerQueue is a binary min-heap of timers, ordered by time. A session may have several timers in it; only the one whose time is
// the session's timerAt is valid. Timers with equal times expire in heap order, which the order of add and popDue calls
// determines: sessions that time out together end in that order.
type timerQueue struct{ timers []timer }

// timer is the time at which a timeout, a release request or the end of the retention may be due for a session.
type timer struct {
	at        Micros
	sessionID string
}

// next returns the time of the earliest timer; ok is false if there is none.
func (q *timerQueue) next() (at Micros, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

func (q *timerQueue) add(at Micros, sessionID string) {
	q.timers = append(q.timers, timer{at, sessionID})
	for i := len(q.timers) - 1; i > 0; {
		parent := (i - 1) / 2
		if q.timers[parent].at <= q.timers[i].at {
			return
		}
		q.timers[parent], q.timers[i] = q.timers[i], q.timers[parent]
		i = parent
	}
}

// popDue removes and returns the earliest timer if it is due.
func (q *timerQueue) popDue(now Micros) (timer, bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return timer{}, false
	}
	first := q.timers[0]
	last := len(q.timers) - 1
	q.timers[0] = q.timers[last]
	q.timers = q.timers[:last]
	for i := 0; ; {
		earliest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < last && q.timers[child].at < q.timers[earliest].at {
				earliest = child
			}
		}
		if earliest == i {
			return first, true
		}
		q.timers[i], q.timers[earliest] = q.timers[earliest], q.timers[i]
		i = earliest
	}
}

// reschedule sets a session's timer, unless it is already set to the same or an earlier time.
func (m *Machine) reschedule(s *clientSession, at Micros) {
	if at = max(at, 1); s.timerAt != 0 && s.timerAt <= at {
		return
	}
	s.timerAt = at
	m.timers.add(at, s.id)
}

// scheduleTimeout sets a session's timer to its next timeout, if it has one.
func (m *Machine) scheduleTimeout(s *clientSession) {
	if at, ok := m.nextTimeout(s); ok {
		m.reschedule(s, at)
	}
}

// nextTimeout returns when a session times out if no other event arrives; ok is false if no timeout applies.
func (m *Machine) nextTimeout(s *clientSession) (at Micros, ok bool) {
	l := m.limits
	if l.IdleTimeout > 0 && s.running == nil {
		at, ok = s.lastActivity+l.IdleTimeout, true
	}
	if l.MaxAge > 0 && (!ok || s.stateSince+l.MaxAge < at) {
		at, ok = s.stateSince+l.MaxAge, true
	}
	if n := m.nodes[s.node]; n != nil && n.drainingSince > 0 && (!ok || n.drainingSince+l.DrainGrace < at) {
		at, ok = n.drainingSince+l.DrainGrace, true
	}
	return at, ok
}

// expireTimers handles the timers that are due and skips those that are no longer valid.
func (m *Machine) expireTimers() {
	for {
		t, ok := m.timers.popDue(m.now)
		if !ok {
			return
		}
		if s := m.sessions[t.sessionID]; s != nil && s.timerAt == t.at {
			s.timerAt = 0
			m.timerExpired(s)
		}
	}
}

// timerExpired handles the timer of a session: what is due depends on the session's state.
func (m *Machine) timerExpired(s *clientSession) {
	switch s.state {
	case Lost, Expired:
		if m.now >= s.lastActivity+m.limits.Retention {
			delete(m.sessions, s.id)
		} else {
			m.reschedule(s, s.lastActivity+m.limits.Retention)
		}
	case Ending:
		switch {
		case s.running != nil: // the session's end continues when the statement has ended
		case s.releaseAttempts < maxReleaseAttempts:
			m.releaseState(s)
		default:
			m.retainEnded(s)
		}
	default:
		m.applyTimeouts(s)
	}
}

// applyTimeouts ends a session that has timed out, or sets its timer again. A statement that is running when the drain grace
// expires may finish; its end sets the timer again.
func (m *Machine) applyTimeouts(s *clientSession) {
	at, ok := m.nextTimeout(s)
	if !ok {
		return
	}
	if m.now < at {
		m.reschedule(s, at)
		return
	}
	switch {
	case m.drainGraceExpired(s):
		if s.running == nil {
			m.end(s, Lost, ReasonNodeDrained)
		}
	case m.limits.MaxAge > 0 && m.now >= s.stateSince+m.limits.MaxAge:
		m.end(s, Expired, ReasonTooOld)
	default:
		m.end(s, Expired, ReasonIdle)
	}
}
