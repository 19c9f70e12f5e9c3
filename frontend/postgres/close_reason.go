package postgres

import "sync/atomic"

// closeReason is the reason for which a session ended.
type closeReason uint8

const (
	closedByClient       closeReason = iota // the client closed its side, or sent Terminate
	closedIdle                              // the client sent no query for too long
	closedEvicted                           // evicted to make room for another client, with no answer pending
	closedAborted                           // already closing, and closed at once to make room for another client
	closedDispatcherEnds                    // the dispatcher ends
	closedUnreadable                        // the client sent a malformed, incomplete, too long or unsupported message
	closedWriteFailed                       // an answer could not be written
	closedAtCapacity                        // rejected because there were too many connections
	closeReasonCount
)

// closeReasonNames are the names of the reasons in metrics and logs.
var closeReasonNames = [closeReasonCount]string{"client", "idle", "evicted", "cut", "dispatcher_ends", "unreadable", "write_failed",
	"no_room"}

// closeCounts counts sessions that have ended, by reason.
type closeCounts [closeReasonCount]atomic.Int64

// recordClose counts and logs the reason for which the session ends. Only the first call has an effect.
func (s *session) recordClose(reason closeReason) {
	s.closeOnce.Do(func() {
		s.frontend.closeCounts[reason].Add(1)
		s.frontend.options.Log.Debug("session closed", "client", s.conn.RemoteAddr().String(), "reason", closeReasonNames[reason])
	})
}

// CloseCounts returns the names of the reasons for which sessions end, in a fixed order, and the number of sessions ended for each.
func (f *Frontend) CloseCounts() (names []string, counts []int64) {
	for i, name := range closeReasonNames {
		names, counts = append(names, name), append(counts, f.closeCounts[i].Load())
	}
	return names, counts
}
