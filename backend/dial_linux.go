package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged sets TCP_USER_TIMEOUT (tcp(7)).
func limitUnacknowledged(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
