package postgres

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"embershunt/dispatch"
)

// faultyListener is a listener whose Accept fails a set number of times before it accepts connections again.
type faultyListener struct {
	*net.TCPListener

	mu          sync.Mutex
	errno       syscall.Errno
	times       int           // errors still to be returned
	allReturned chan struct{} // closed when the last error is returned
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if l.times > 0 {
		if l.times--; l.times == 0 {
			close(l.allReturned)
		}
		l.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	l.mu.Unlock()
	return l.TCPListener.Accept()
}

// fail makes the next calls of Accept fail with errno, as many as times says. The channel is closed when the last one fails.
func (l *faultyListener) fail(errno syscall.Errno, times int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errno, l.times, l.allReturned = errno, times, make(chan struct{})
	return l.allReturned
}

// An error of accept(2) closes no open connection, unless this process has no file descriptor left (EMFILE): then an idle one is closed.
// The frontend accepts connections again after the error.
func TestAcceptErrorsKeepOpenConnections(t *testing.T) {
	for errno, closes := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.EINTR: false, syscall.ENFILE: false,
		syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EMFILE: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			var listener *faultyListener
			answer := func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true }
			s := startServerOn(t, Options{}, answer, func(l *net.TCPListener) Listener {
				listener = &faultyListener{TCPListener: l}
				return listener
			})
			idle := s.session()
			send(idle, queryWithFields(1, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Fatal(got)
			}
			allReturned := listener.fail(errno, 20)
			if closes {
				s.connect() // ends the Accept that is waiting; the errors follow, and may close this connection too
			} else {
				s.session() // the same; this connection is served while Accept fails
			}
			<-allReturned
			after := s.session()
			send(after, queryWithFields(2, "SELECT 1"))
			if got := after.until('Z'); got != "TCZ" {
				t.Fatal(got)
			}
			if err := idle.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if closes {
				if got := idle.until(0); got != "." {
					t.Errorf("the idle client got %q", got)
				}
				return
			}
			send(idle, queryWithFields(3, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Errorf("the idle client got %q", got)
			}
		})
	}
}

// Every session that ends is counted once, under the reason for which it ended.
func TestCloseCounts(t *testing.T) {
	s := startServer(t, Options{IdleTimeout: 50 * time.Millisecond},
		func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true })
	closeConn(t, s.session())
	send(s.session(), []byte{0xff, 0xff, 0xff, 0xff, 0xff})
	idle := s.session()
	send(idle, queryWithFields(1, "SELECT 1"))
	if got := idle.until(0); got != "TCZ." {
		t.Fatal(got)
	}
	s.session()
	s.stop()
	names, counts := s.frontend.CloseCounts()
	total := int64(0)
	for i, name := range names {
		total += counts[i]
		if want := map[string]int64{"client": 1, "unreadable": 1, "idle": 1, "dispatcher_ends": 1}[name]; counts[i] != want {
			t.Errorf("%s: %d, want %d", name, counts[i], want)
		}
	}
	if total != 4 {
		t.Errorf("%d sessions counted, want 4", total)
	}
}
