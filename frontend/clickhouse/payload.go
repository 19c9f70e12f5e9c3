package clickhouse

import (
	"sync"
	"time"

	"embershunt/dispatch"
)

// payloadAccount bounds the bytes of rows and external tables that are buffered for queries, over all connections.
type payloadAccount struct {
	mu     sync.Mutex
	budget *dispatch.PayloadBudget
	start  time.Time // origin of the budget's clock
}

func newPayloadAccount(maxQueryBytes, maxTotalBytes int) payloadAccount {
	return payloadAccount{budget: dispatch.NewPayloadBudget(int64(maxQueryBytes), int64(maxTotalBytes)), start: time.Now()}
}

func (a *payloadAccount) now() dispatch.Micros { return time.Since(a.start).Microseconds() }

// grow reserves n more bytes; the error is a *dispatch.CapacityError.
func (a *payloadAccount) grow(r *dispatch.PayloadReservation, n int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Grow(a.now(), r, int64(n))
}

// release gives back all that a reservation holds.
func (a *payloadAccount) release(r *dispatch.PayloadReservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(a.now(), r)
}

// usage returns the reserved bytes and the numbers of reservations that were rejected, by cause.
func (a *payloadAccount) usage() (bytes int64, large, full uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	large, full = a.budget.Rejected()
	return a.budget.Bytes(), large, full
}
