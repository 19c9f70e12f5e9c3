package postgres

import (
	"net"
	"syscall"
	"time"
)

// clientConn is a client's connection. Its receiving end shows through SyscallConn that the client has hung up, and its sending side can
// be closed by itself.
type clientConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

var _ clientConn = (*net.TCPConn)(nil)

// inThePast is a deadline that ends a wait at once.
var inThePast = time.Unix(1, 0)

// awaitReaderResumed waits until wakeReader is called, and returns true, or until the client has closed the connection or its sending side,
// and returns false. Nothing is read meanwhile, so that an end that is behind unread bytes is noticed too, as far as the socket's buffer
// has room for it. s.mu is held, except during the wait.
func (s *session) awaitReaderResumed() bool {
	s.readerPaused = true
	s.setReadDeadline(time.Time{})
	s.mu.Unlock()
	woken := s.awaitHangup()
	s.mu.Lock()
	s.readerPaused = false
	return woken
}

// wakeReader ends the reader's pause, if it pauses; s.mu is held.
func (s *session) wakeReader() {
	if s.readerPaused {
		s.setReadDeadline(inThePast)
	}
}

// awaitHangup waits until the client hangs up or the connection fails, and returns false, or until the read deadline, and returns true.
func (s *session) awaitHangup() (deadlinePassed bool) {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(fd uintptr) bool { return hasHungUp(int(fd)) }) // the function is called at each event of the connection
	return isTimeout(err)
}
