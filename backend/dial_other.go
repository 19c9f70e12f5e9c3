//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// limitUnacknowledged does nothing on systems other than Linux, whose own retransmission limit applies.
func limitUnacknowledged(syscall.RawConn, time.Duration) error { return nil }
