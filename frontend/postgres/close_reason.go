package postgres

import "sync/atomic"

// closeReason is why a session has ended.
type closeReason uint8

const (
	byClient   closeReason = iota // it closed its side, or said that it ends
	byIdle                        // it brought no query for too long
	byEviction                    // it made room for another one, owing nothing
	byCut                         // it was on its way out already and made room at once
	byEnd                         // the dispatcher ends
	byMessage                     // it sent what cannot be read
	byWrite                       // an answer could not be written
	byNoRoom                      // there was no room for it
	closeReasons
)

var closeNames = [closeReasons]string{"client", "idle", "evicted", "cut", "dispatcher_ends", "unreadable", "write_failed", "no_room"}

// closures counts sessions that have ended, by reason.
type closures [closeReasons]atomic.Int64

// because notes why the session ends; the first reason counts.
func (s *session) because(why closeReason) {
	s.closeOnce.Do(func() {
		s.front.closures[why].Add(1)
		s.front.options.Log.Debug("session closed", "client", s.conn.RemoteAddr().String(), "reason", closeNames[why])
	})
}

// Closures tells how many sessions have ended for each reason, by name and in a fixed order.
func (f *Front) Closures() (names []string, counts []int64) {
	for i, name := range closeNames {
		names, counts = append(names, name), append(counts, f.closures[i].Load())
	}
	return names, counts
}
