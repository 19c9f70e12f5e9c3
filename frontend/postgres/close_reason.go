package postgres

import "sync/atomic"

// closeReason is why a session has ended.
type closeReason uint8

const (
	closedByClient       closeReason = iota // the client closed its side, or sent Terminate
	closedIdle                              // it sent no query for too long
	closedEvicted                           // it made room for another client, with no answer pending
	closedDisconnected                      // it was closing already and was cut off to make room at once
	closedDispatcherEnds                    // the dispatcher ends
	closedUnreadable                        // it sent what cannot be read
	closedWriteFailed                       // an answer could not be written
	closedAtCapacity                        // it was rejected: too many connections
	closeReasons
)

// closeReasonNames are the names of the reasons in metrics and logs.
var closeReasonNames = [closeReasons]string{"client", "idle", "evicted", "cut", "dispatcher_ends", "unreadable", "write_failed", "no_room"}

// closeCounts counts sessions that have ended, by reason.
type closeCounts [closeReasons]atomic.Int64

// recordClose records why the session ends; the first reason counts.
func (s *session) recordClose(reason closeReason) {
	s.closeOnce.Do(func() {
		s.front.closeCounts[reason].Add(1)
		s.front.options.Log.Debug("session closed", "client", s.conn.RemoteAddr().String(), "reason", closeReasonNames[reason])
	})
}

// CloseCounts is how many sessions have ended for each reason, by name and in a fixed order.
func (f *Front) CloseCounts() (names []string, counts []int64) {
	for i, name := range closeReasonNames {
		names, counts = append(names, name), append(counts, f.closeCounts[i].Load())
	}
	return names, counts
}
