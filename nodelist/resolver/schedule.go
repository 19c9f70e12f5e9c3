package resolver

import "time"

// Limits of polling.
const (
	defaultMinInterval = 40 * time.Millisecond
	maxExtraQueries    = 6.0 // that may be saved up
	extraPerRegular    = 0.5 // extra queries earned by each regular one

	// slowerWeight is the weight of a slower response in the expected response time.
	slowerWeight = 0.25
)

// schedule decides when the next query is due: a regular one each interval, and extra ones out of a budget where a
// response is wanted soon.
type schedule struct {
	interval, minInterval time.Duration

	extra         float64 // budget of extra queries
	nextRegularAt time.Time
	lastAt        time.Time     // of the last query
	unconfirmed   bool          // another response is needed to decide
	awaiting      bool          // the last query has no response
	responseTime  time.Duration // see expectedResponseTime; 0: no response yet
}

// nextAt is when the next query is due.
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

// begin records a query, which is an extra one before the next regular one is due.
func (s *schedule) begin(now time.Time) {
	if now.Before(s.nextRegularAt) {
		s.extra--
	} else {
		s.extra = min(maxExtraQueries, s.extra+extraPerRegular)
		s.nextRegularAt = now.Add(s.interval)
	}
	s.lastAt = now
}

// expectedResponseTime is the expectation after one more response. It falls at once, for a loss is detected late where
// responses are expected to take long.
func expectedResponseTime(before, took time.Duration) time.Duration {
	if before == 0 || took < before {
		return took
	}
	return before + time.Duration(slowerWeight*float64(took-before))
}
