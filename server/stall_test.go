package server_test

import (
	"sync/atomic"
	"testing"
	"time"
)

// deadlineGuard is the time before a deadline at which the policy ends an attempt, so that the final answer arrives in time. If the
// process is not scheduled for longer than this around that moment, the answer is DEADLINE instead of the attempt's result.
const deadlineGuard = 40 * time.Millisecond

// watchStalls measures until the test ends for how long this process is not scheduled, as on an overloaded machine. The returned
// function returns the longest such time since its previous call; it may be too long by one measurement interval (5 ms).
func watchStalls(t *testing.T) (longest func() time.Duration) {
	const interval = 5 * time.Millisecond
	var longestGap atomic.Int64 // nanoseconds
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			now := time.Now()
			if d := int64(now.Sub(last)); d > longestGap.Load() {
				longestGap.Store(d)
			}
			last = now
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return func() time.Duration { return time.Duration(longestGap.Swap(0)) }
}
