package dispatch

import "fmt"

// PayloadBudget bounds the memory for data that clients send before their queries can be sent on, such as the rows of an
// INSERT: the bytes of one query and the bytes of all. It is pure; its owner locks it.
type PayloadBudget struct {
	maxQueryBytes      int64
	maxTotalBytes      int64
	newQueryLimitBytes int64 // with more reserved, queries without a reservation are rejected, so that the others can complete
	reservedBytes      int64
	reservations       int    // queries with reserved bytes
	meanHold           Micros // moving average of the time that a reservation is held
	rejectedLarge      uint64
	rejectedFull       uint64
}

// PayloadReservation is the memory reserved for one query.
type PayloadReservation struct {
	bytes int64
	since Micros
}

// newQueryShare is the part of the budget up to which queries without a reservation are admitted.
const newQueryShare = 0.75

// holdTimeWeight is the weight of the latest reservation in PayloadBudget.meanHold.
const holdTimeWeight = 0.1

// NewPayloadBudget returns a budget with nothing reserved.
func NewPayloadBudget(maxQueryBytes, maxTotalBytes int64) *PayloadBudget {
	return &PayloadBudget{maxQueryBytes: maxQueryBytes, maxTotalBytes: maxTotalBytes,
		newQueryLimitBytes: int64(newQueryShare * float64(maxTotalBytes))}
}

// CapacityError is the error of PayloadBudget.Grow.
type CapacityError struct {
	QueryTooLarge bool   // the query alone exceeds its limit: a retry does not help
	ReservedBytes int64  // of this query with the bytes asked for where QueryTooLarge, else of all queries
	AllowedBytes  int64  // bytes
	RetryAfter    Micros // where not QueryTooLarge: when the bytes should be free
}

// Error implements error.
func (e *CapacityError) Error() string {
	if e.QueryTooLarge {
		return fmt.Sprintf("%d bytes of data with one query, allowed are %d", e.ReservedBytes, e.AllowedBytes)
	}
	return fmt.Sprintf("%d bytes of data are held for queries, allowed are %d", e.ReservedBytes, e.AllowedBytes)
}

// Grow reserves n more bytes for a query; the error is a *CapacityError.
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

// retryAfter estimates when so many bytes will be free: as if all reservations were released evenly over the mean hold time.
func (b *PayloadBudget) retryAfter(missingBytes int64) Micros {
	return Micros(float64(b.meanHold) * min(float64(missingBytes)/float64(max(b.reservedBytes, 1)), 1))
}

// Release frees the reservation of a query.
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

// Bytes is the number of bytes reserved in all.
func (b *PayloadBudget) Bytes() int64 { return b.reservedBytes }

// Rejected counts the calls of Grow that failed: because of the query's own limit, and of the limit for all.
func (b *PayloadBudget) Rejected() (large, full uint64) { return b.rejectedLarge, b.rejectedFull }
