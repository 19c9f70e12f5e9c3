//go:build unix

package backend

import (
	"net"
	"syscall"
)

// quiet tells that a connection is up and nothing has come on it. A read with a deadline in the past would not look at the
// socket at all, so it is looked at without taking anything (recv(2), MSG_PEEK on a socket that does not block).
func quiet(c net.Conn) bool {
	t, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK)
		still = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && still
}
