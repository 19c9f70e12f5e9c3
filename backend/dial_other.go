//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// limitUnacknowledged does nothing here: the system's own limit holds.
func limitUnacknowledged(syscall.RawConn, time.Duration) error { return nil }
