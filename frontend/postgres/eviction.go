package postgres

import "time"

// What makes a connection one of the first to be evicted: clients close idle ones themselves after a while, and send their first query at
// once.
const (
	usualIdle  = 5 * time.Second
	usualBegin = 500 * time.Millisecond
)

// evictionRank orders sessions by how little an eviction costs their clients. An idle client only has to connect again; a new one may have
// a query on its way.
type evictionRank uint8

const (
	rankReceiving   evictionRank = iota // a message is in progress: it is refused
	rankNew                             // no query yet
	rankIdle                            // idle for a usual time
	rankOverdue                         // without a first query for longer than usual
	rankLongIdle                        // idle for longer than usual
	rankUnevictable evictionRank = 255  // answers are pending, or it is closing or to be rejected
)

// evictionRank is the session's rank now, and when its last command or answer was.
func (s *session) evictionRank(now time.Time) (rank evictionRank, lastActivity time.Time) {
	phase, queried, lastActivity := s.snapshot()
	if phase == working || phase == closing || s.state.overCapacity {
		return rankUnevictable, lastActivity
	}
	age := now.Sub(lastActivity)
	switch {
	case phase == receiving:
		rank = rankReceiving
	case queried && age > usualIdle:
		rank = rankLongIdle
	case !queried && age > usualBegin:
		rank = rankOverdue
	case queried:
		rank = rankIdle
	default:
		rank = rankNew
	}
	return rank, lastActivity
}

// evict closes one session without pending answers: of those with the highest rank the one with the oldest activity; false where all have
// pending answers. With immediately set a session that is closing already is disconnected first, if there is one.
func (f *Front) evict(immediately bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if immediately && f.disconnectClosing() {
		return true
	}
	for {
		victim, rank := f.evictionVictim()
		if victim == nil {
			return false
		}
		cause := evicted
		if rank == rankReceiving {
			cause = dispatcherEnds // its message is read and refused, as at the end
		}
		if victim.beginClose(cause) { // else a command came first: another victim is chosen
			return true
		}
	}
}

// evictionVictim chooses the session to evict; nil where there is none. f.mu is held.
func (f *Front) evictionVictim() (victim *session, rank evictionRank) {
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

// disconnectClosing closes the connection of a session that is closing without pending answers: of those whose close has come furthest
// the oldest; false where there is none. f.mu is held.
func (f *Front) disconnectClosing() bool {
	var oldest *session
	furthest := notClosing
	for _, s := range f.sessions {
		stage := s.closeStage()
		if stage == notClosing || stage < furthest || stage == furthest && !s.state.startedAt.Before(oldest.state.startedAt) {
			continue
		}
		oldest, furthest = s, stage
	}
	if oldest == nil {
		return false
	}
	delete(f.sessions, oldest.key.Process)
	oldest.recordClose(closedDisconnected)
	oldest.closeConn()
	return true
}
