package postgres

import "time"

// Times that clients usually keep to: they close a connection themselves after it has been idle for a while, and send their first query as
// soon as they are connected. Sessions that exceed one of them are evicted before others.
const (
	usualIdleTime        = 5 * time.Second
	usualFirstQueryDelay = 500 * time.Millisecond
)

// evictionRank orders sessions for eviction: the higher the rank, the less an eviction costs the client. A client whose session is idle
// only has to connect again; a new client may have sent a query that has not arrived yet.
type evictionRank uint8

const (
	rankReceiving   evictionRank = iota // a message was received in part, and would be rejected
	rankNew                             // no query yet
	rankIdle                            // idle for at most usualIdleTime
	rankOverdue                         // no query within usualFirstQueryDelay
	rankLongIdle                        // idle for longer than usualIdleTime
	rankUnevictable evictionRank = 255  // answers are pending, or the session is closing or over capacity
)

// evictionRank returns the session's rank now, and the time of its last activity.
func (s *session) evictionRank(now time.Time) (rank evictionRank, lastActivity time.Time) {
	phase, queried, lastActivity := s.snapshot()
	if phase == working || phase == closing || s.state.overCapacity {
		return rankUnevictable, lastActivity
	}
	age := now.Sub(lastActivity)
	switch {
	case phase == receiving:
		rank = rankReceiving
	case queried && age > usualIdleTime:
		rank = rankLongIdle
	case !queried && age > usualFirstQueryDelay:
		rank = rankOverdue
	case queried:
		rank = rankIdle
	default:
		rank = rankNew
	}
	return rank, lastActivity
}

// evict begins the close of one session: among those with the highest rank, the one with the oldest activity. It returns false if no
// session may be evicted. With immediately set, it aborts a session that is closing already instead, if there is one.
func (f *Frontend) evict(immediately bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if immediately && f.abortClosing() {
		return true
	}
	for {
		victim, rank := f.evictionVictim()
		if victim == nil {
			return false
		}
		ev := evicted
		if rank == rankReceiving {
			ev = evictedReceiving
		}
		if victim.beginClose(ev) { // else a message came first: the next victim is chosen
			return true
		}
	}
}

// evictionVictim chooses the session to evict; it returns nil if no session may be evicted. f.mu is held.
func (f *Frontend) evictionVictim() (victim *session, rank evictionRank) {
	var oldest time.Time
	now := time.Now()
	for _, s := range f.sessions {
		r, lastActivity := s.evictionRank(now)
		if r == rankUnevictable {
			continue
		}
		if victim == nil || r > rank || r == rank && lastActivity.Before(oldest) {
			victim, rank, oldest = s, r, lastActivity
		}
	}
	return victim, rank
}

// abortClosing closes the connection of a session that is closing without pending answers, or is going to be rejected: among those with the
// latest stage, the oldest session. It returns false if there is none. f.mu is held.
func (f *Frontend) abortClosing() bool {
	var oldest *session
	latest := notClosing
	for _, s := range f.sessions {
		stage := s.closeStage()
		if stage == notClosing || stage < latest || stage == latest && !s.state.startedAt.Before(oldest.state.startedAt) {
			continue
		}
		oldest, latest = s, stage
	}
	if oldest == nil {
		return false
	}
	delete(f.sessions, oldest.key.Process)
	oldest.recordClose(closedAborted)
	oldest.closeConn()
	return true
}
