// Package clock provides a sleep that a context can interrupt.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends. If d is zero or less, Sleep does not wait and returns
// false only if ctx has already ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
