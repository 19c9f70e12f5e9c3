package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged limits how long sent data may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT in
// tcp(7)).
func limitUnacknowledged(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
