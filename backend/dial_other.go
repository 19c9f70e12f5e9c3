//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// limitUnacknowledged does nothing on this system: its own retransmission limit holds.
func limitUnacknowledged(syscall.RawConn, time.Duration) error { return nil }
