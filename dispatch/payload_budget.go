package dispatch

import "fmt"

// PayloadBudget limits the memory for data that is buffered before a query can be sent to a node, such as the rows of an INSERT.
// It has one limit per query and one for all queries together. It is not safe for concurrent use.
type PayloadBudget struct {
	maxQueryBytes      int64
	maxTotalBytes      int64
	newQueryLimitBytes int64 // limit of reservedBytes for a query without a reservation, so that the others can complete
	reservedBytes      int64
	reservations       int    // number of queries with reserved bytes
	meanHold           Micros // moving average of the time for which a reservation is held
	rejectedLarge      uint64 // calls of Grow rejected by maxQueryBytes
	rejectedFull       uint64 // calls of Grow rejected by a limit for all queries
}

// PayloadReservation is the memory reserved for one query. The zero value holds nothing.
type PayloadReservation struct {
	bytes int64
	since Micros // when the first bytes were reserved
}

// newQueryShare is the fraction of the budget up to which bytes are reserved for queries without a reservation. The rest is left
// to queries that have a reservation, so that they can complete. A query may exceed the fraction if nothing else is reserved.
const newQueryShare = 0.75

// holdTimeWeight is the weight of the latest released reservation in the moving average PayloadBudget.meanHold.
const holdTimeWeight = 0.1

// NewPayloadBudget returns a budget with nothing reserved.
func NewPayloadBudget(maxQueryBytes, maxTotalBytes int64) *PayloadBudget {
	return &PayloadBudget{maxQueryBytes: maxQueryBytes, maxTotalBytes: maxTotalBytes,
		newQueryLimitBytes: int64(newQueryShare * float64(maxTotalBytes))}
}

// CapacityError is the error that PayloadBudget.Grow returns when a limit is exceeded.
type CapacityError struct {
	QueryTooLarge bool   // the query exceeds the limit per query: a retry does not help
	ReservedBytes int64  // if QueryTooLarge: of this query, with the requested bytes; else: of all queries, without them
	AllowedBytes  int64  // limit per query if QueryTooLarge, else the limit of all queries
	RetryAfter    Micros // if not QueryTooLarge: estimated time until enough bytes are free
}

// Error implements error.
func (e *CapacityError) Error() string {
	if e.QueryTooLarge {
		return fmt.Sprintf("%d bytes of data with one query, allowed are %d", e.ReservedBytes, e.AllowedBytes)
	}
	return fmt.Sprintf("%d bytes of data are held for queries, allowed are %d", e.ReservedBytes, e.AllowedBytes)
}

// Grow reserves n more bytes for a query. On an error, which is always a *CapacityError, it reserves nothing.
func (b *PayloadBudget) Grow(now Micros, q *PayloadReservation, n int64) error {
	if q.bytes+n > b.maxQueryBytes {
		b.rejectedLarge++
		return &CapacityError{QueryTooLarge: true, ReservedBytes: q.bytes + n, AllowedBytes: b.maxQueryBytes}
	}
	limit := b.maxTotalBytes
	if q.bytes == 0 && b.reservedBytes > 0 {
		limit = b.newQueryLimitBytes
	}
	if b.reservedBytes+n > limit {
		b.rejectedFull++
		return &CapacityError{ReservedBytes: b.reservedBytes, AllowedBytes: b.maxTotalBytes, RetryAfter: b.retryAfter(b.reservedBytes + n - limit)}
	}
	if q.bytes == 0 {
		q.since = now
		b.reservations++
	}
	q.bytes += n
	b.reservedBytes += n
	return nil
}

// retryAfter estimates the time until missingBytes are released. It assumes that all reserved bytes are released evenly over the
// mean hold time.
func (b *PayloadBudget) retryAfter(missingBytes int64) Micros {
	return Micros(float64(b.meanHold) * min(float64(missingBytes)/float64(max(b.reservedBytes, 1)), 1))
}

// Release frees the reservation of a query; it may be called again, and without a reservation.
func (b *PayloadBudget) Release(now Micros, q *PayloadReservation) {
	if q.bytes == 0 {
		return
	}
	held := now - q.since
	if b.meanHold == 0 {
		b.meanHold = held
	}
	b.meanHold += Micros(holdTimeWeight * float64(held-b.meanHold))
	b.reservedBytes -= q.bytes
	b.reservations--
	q.bytes = 0
}

// Bytes returns the number of bytes reserved for all queries.
func (b *PayloadBudget) Bytes() int64 { return b.reservedBytes }

// Rejected returns the numbers of calls of Grow that failed: large by the limit per query, full by the limit of all queries.
func (b *PayloadBudget) Rejected() (large, full uint64) { return b.rejectedLarge, b.rejectedFull }
