package postgres

import (
	"errors"

	"golang.org/x/sys/unix"
)

// hasHungUp reports whether the peer of a socket has closed the connection or its sending side. Unread bytes do not hide that.
func hasHungUp(fd int) bool {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}
