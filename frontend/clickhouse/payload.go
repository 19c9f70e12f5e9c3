package clickhouse

import (
	"sync"
	"time"

	"embershunt/dispatch"
)

// payloadAccount bounds the bytes of rows and external tables that all connections buffer for their queries.
type payloadAccount struct {
	mu     sync.Mutex
	budget *dispatch.PayloadBudget
	start  time.Time // origin of the budget's clock
}

func newPayloadAccount(maxQueryBytes, maxTotalBytes int) payloadAccount {
	return payloadAccount{budget: dispatch.NewPayloadBudget(int64(maxQueryBytes), int64(maxTotalBytes)), start: time.Now()}
}

func (a *payloadAccount) now() dispatch.Micros { return time.Since(a.start).Microseconds() }

// grow adds n bytes to a reservation. The error is a *dispatch.CapacityError.
func (a *payloadAccount) grow(r *dispatch.PayloadReservation, n int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Grow(a.now(), r, int64(n))
}

// release frees all bytes of a reservation.
func (a *payloadAccount) release(r *dispatch.PayloadReservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(a.now(), r)
}

// usage returns the reserved bytes and how many queries were rejected because they were too large or because the budget was full.
func (a *payloadAccount) usage() (bytes int64, large, full uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	large, full = a.budget.Rejected()
	return a.budget.Bytes(), large, full
}
