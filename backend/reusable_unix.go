//go:build unix

package backend

import (
	"errors"
	"net"
	"syscall"
)

// reusable reports whether a pooled connection is still up and has no data to read. It peeks at the socket (recv(2) with MSG_PEEK on a
// non-blocking socket), because a read with a deadline in the past returns before it looks at the socket.
func reusable(c net.Conn) bool {
	t, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK)
		wouldBlock = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && wouldBlock
}
