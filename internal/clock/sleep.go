// Package clock waits for durations.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration; it returns false where ctx ends first. A duration of zero or less does not wait.
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
