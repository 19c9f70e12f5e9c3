package soak

import (
	"net"
	"syscall"
)

// countingReader counts the bytes read from a connection.
type countingReader struct {
	conn net.Conn
	read int64
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	r.read += int64(n)
	return n, err
}

// maxUnread bounds what unreadBytes counts.
const maxUnread = 64 << 10

// unreadBytes is how many bytes wait in the buffer of a connection's socket, maxUnread at most (recv(2), MSG_PEEK).
func unreadBytes(conn net.Conn) (waiting int64) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Read(func(fd uintptr) bool { // fails on a closed connection only, on which nothing waits
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, maxUnread), syscall.MSG_PEEK)
		if err == nil {
			waiting = int64(max(n, 0))
		}
		return true
	})
	return waiting
}
