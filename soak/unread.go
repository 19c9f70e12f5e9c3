package soak

import (
	"net"
	"syscall"
)

// countingReader counts the bytes read from a connection.
type countingReader struct {
	conn net.Conn
	read int64 // bytes
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	r.read += int64(n)
	return n, err
}

// maxUnread is the highest number of bytes that unreadBytes counts.
const maxUnread = 64 << 10

// unreadBytes returns how many bytes wait in the receive buffer of a connection's socket, maxUnread at most. It peeks at them with
// recv(2) and MSG_PEEK.
func unreadBytes(conn net.Conn) (unread int64) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Read(func(fd uintptr) bool { // fails on a closed connection only, which has no unread bytes
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, maxUnread), syscall.MSG_PEEK)
		if err == nil {
			unread = int64(max(n, 0))
		}
		return true
	})
	return unread
}
