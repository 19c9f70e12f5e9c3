package server_test

import (
	"sync/atomic"
	"testing"
	"time"
)

// deadlineGuard is how long before a deadline the policy ends an attempt, so that the final answer is given in time. A
// process that does not run for longer than this around that moment answers DEADLINE in place of the attempt's end.
const deadlineGuard = 40 * time.Millisecond

// watchStalls measures how long this process did not run, as on a machine that is too busy, until the test ends. The
// function that it returns has the longest time since its last call, an interval of the measurement too long at most.
func watchStalls(t *testing.T) (longest func() time.Duration) {
	const interval = 5 * time.Millisecond
	var gap atomic.Int64
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
			if d := int64(now.Sub(last)); d > gap.Load() {
				gap.Store(d)
			}
			last = now
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return func() time.Duration { return time.Duration(gap.Swap(0)) }
}
