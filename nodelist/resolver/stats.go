package resolver

import (
	"sync/atomic"
	"time"
)

// counters are a resolver's figures, read by other goroutines.
type counters struct {
	version, queries, responses, unusable, lower, reverted, sockets atomic.Int64

	respondedAt  atomic.Int64 // when the last usable response was received, in nanoseconds since the start
	responseTime atomic.Int64 // expected, in nanoseconds
}

// Stats are a resolver's figures since its start.
type Stats struct {
	Version      int64         // of the list in force
	Age          time.Duration // since the last usable response, or the start
	ResponseTime time.Duration // expected response time
	Queries      int64         // queries sent
	Responses    int64         // usable responses
	Unusable     int64         // unusable responses and rows, and queries that could not be sent
	LowerNumbers int64         // responses with a lower number than the one in force
	Reverted     int64         // times that the number in force was found to be wrong
	Sockets      int64         // opened
}

// Stats returns the figures so far; it is safe for concurrent use.
func (r *Resolver) Stats() Stats {
	c := &r.stats
	return Stats{Version: c.version.Load(), Age: r.age(), ResponseTime: time.Duration(c.responseTime.Load()), Queries: c.queries.Load(),
		Responses: c.responses.Load(), Unusable: c.unusable.Load(), LowerNumbers: c.lower.Load(), Reverted: c.reverted.Load(), Sockets: c.sockets.Load()}
}

// Failures counts unusable responses and rows, and queries that could not be sent; it is safe for concurrent use.
func (r *Resolver) Failures() int64 { return r.stats.unusable.Load() }

// age is the time since the last usable response, or the start.
func (r *Resolver) age() time.Duration {
	return time.Since(r.startedAt) - time.Duration(r.stats.respondedAt.Load())
}
