package resolver

import (
	"sync/atomic"
	"time"
)

// counters holds the figures behind Stats. Run writes them, any goroutine may read them.
type counters struct {
	version, queries, responses, unusable, lower, reverted, sockets atomic.Int64

	respondedAt  atomic.Int64 // when the last usable response was received, in nanoseconds since startedAt; 0: none yet
	responseTime atomic.Int64 // expected response time in nanoseconds
}

// Stats holds the figures of a resolver since its start.
type Stats struct {
	Version      int64         // of the list in force
	Age          time.Duration // since the last usable response, or the start
	ResponseTime time.Duration // expected response time
	Queries      int64         // queries sent
	Responses    int64         // usable responses
	Unusable     int64         // see Failures
	LowerNumbers int64         // responses with a lower number than the one in force
	Reverted     int64         // times that a lower number has replaced a wrong one in force
	Sockets      int64         // sockets opened
}

// Stats returns the figures so far; it is safe for concurrent use.
func (r *Resolver) Stats() Stats {
	c := &r.stats
	return Stats{Version: c.version.Load(), Age: r.age(), ResponseTime: time.Duration(c.responseTime.Load()), Queries: c.queries.Load(),
		Responses: c.responses.Load(), Unusable: c.unusable.Load(), LowerNumbers: c.lower.Load(), Reverted: c.reverted.Load(), Sockets: c.sockets.Load()}
}

// Failures returns the number of unusable responses and rows, of read errors, of queries that could not be sent, and of sockets
// that could not be opened. It is safe for concurrent use.
func (r *Resolver) Failures() int64 { return r.stats.unusable.Load() }

// age returns the time since the last usable response, or since the start if there is none yet.
func (r *Resolver) age() time.Duration {
	return time.Since(r.startedAt) - time.Duration(r.stats.respondedAt.Load())
}
