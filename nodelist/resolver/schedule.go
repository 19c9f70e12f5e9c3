package resolver

import "time"

// Limits of polling.
const (
	defaultMinInterval = 40 * time.Millisecond
	maxExtraQueries    = 6.0 // most extra queries that can be saved up
	extraPerRegular    = 0.5 // extra queries earned by each regular one

	// slowResponseWeight is the weight of a response that is slower than expected in the new expected response time.
	slowResponseWeight = 0.25
)

// schedule decides when the next query is due. A regular query is due every interval. Extra queries, limited by a budget,
// are due earlier while a response is needed to confirm a change, or while the last query has no response.
type schedule struct {
	interval, minInterval time.Duration

	extra         float64 // extra queries that the budget allows now
	nextRegularAt time.Time
	lastAt        time.Time     // of the last query
	unconfirmed   bool          // a change waits for another response
	awaiting      bool          // the last query has no response
	responseTime  time.Duration // expected; see expectedResponseTime; 0: no response yet
}

// nextAt returns when the next query is due.
func (s *schedule) nextAt() time.Time {
	if s.extra < 1 {
		return s.nextRegularAt
	}
	wait := time.Duration(-1)
	switch {
	case s.unconfirmed && !s.awaiting:
		wait = s.minInterval
	case s.awaiting:
		wait = max(s.minInterval, 2*s.responseTime)
	}
	if soon := s.lastAt.Add(wait); wait >= 0 && soon.Before(s.nextRegularAt) {
		return soon
	}
	return s.nextRegularAt
}

// begin records that a query is sent. It is an extra query if the next regular one is not due yet.
func (s *schedule) begin(now time.Time) {
	if now.Before(s.nextRegularAt) {
		s.extra--
	} else {
		s.extra = min(maxExtraQueries, s.extra+extraPerRegular)
		s.nextRegularAt = now.Add(s.interval)
	}
	s.lastAt = now
}

// expectedResponseTime returns the expected response time after a response that took this long. A faster response lowers it
// at once, since a high expectation delays the detection of a loss. A slower response raises it by
// slowResponseWeight of the difference.
func expectedResponseTime(before, took time.Duration) time.Duration {
	if before == 0 || took < before {
		return took
	}
	return before + time.Duration(slowResponseWeight*float64(took-before))
}
