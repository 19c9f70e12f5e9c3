package postgres

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"embershunt/dispatch"
	"embershunt/frontend"
)

// faulty is a listener whose accept fails some times before it gives a connection.
type faulty struct {
	*net.TCPListener

	mu    sync.Mutex
	errno syscall.Errno
	times int
	given chan struct{} // closed when the last error has been given
}

func (l *faulty) Accept() (net.Conn, error) {
	l.mu.Lock()
	if l.times > 0 {
		if l.times--; l.times == 0 {
			close(l.given)
		}
		l.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	l.mu.Unlock()
	return l.TCPListener.Accept()
}

// fail has the next accepts fail.
func (l *faulty) fail(errno syscall.Errno, times int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errno, l.times, l.given = errno, times, make(chan struct{})
	return l.given
}

// An error of accept that is not this process's lack of descriptors closes nobody's connection; a lack of them closes idle ones.
func TestAcceptErrorsCloseNobodyElse(t *testing.T) {
	for errno, closes := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.EINTR: false, syscall.ENFILE: false,
		syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EMFILE: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			s := serveOn(t, func(l *net.TCPListener) Listener { return &faulty{TCPListener: l} })
			idle := s.session()
			idle.Write(ask(1, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Fatal(got)
			}
			given := s.listener.(*faulty).fail(errno, 20)
			s.session() // the accept that waits already; the errors come after it
			<-given
			after := s.session()
			after.Write(ask(2, "SELECT 1"))
			if got := after.until('Z'); got != "TCZ" {
				t.Fatal(got)
			}
			idle.SetDeadline(time.Now().Add(5 * time.Second))
			if closes {
				if got := idle.until(0); got != "." {
					t.Errorf("the idle one got %q", got)
				}
				return
			}
			idle.Write(ask(3, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Errorf("the idle one got %q", got)
			}
		})
	}
}

// acceptServed is a front on a listener of a test's own.
type acceptServed struct {
	*served
	listener Listener
}

func serveOn(t *testing.T, wrap func(*net.TCPListener) Listener) *acceptServed {
	t.Helper()
	d := &desk{answer: func(*dispatch.Query) (dispatch.Outcome, bool) { return result(0), true }, open: map[string]*dispatch.Query{},
		left: make(chan string, 100)}
	s := &served{t: t, desk: d, front: New(Options{Settings: testSettings()}, frontend.NewIntake(d, dispatch.NewClock(), frontend.Tables{}))}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	out := &acceptServed{s, wrap(l)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.front.Serve(ctx, out.listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return out
}

// Why sessions ended is counted, once each.
func TestClosuresAreCounted(t *testing.T) {
	s := serve(t, Options{Idle: 50 * time.Millisecond}, func(*dispatch.Query) (dispatch.Outcome, bool) { return result(0), true })
	s.session().Close()
	s.session().Write([]byte{0xff, 0xff, 0xff, 0xff, 0xff})
	idle := s.session()
	idle.Write(ask(1, "SELECT 1"))
	if got := idle.until(0); got != "TCZ." {
		t.Fatal(got)
	}
	s.session()
	s.stop()
	names, counts := s.front.Closures()
	total := int64(0)
	for i, name := range names {
		total += counts[i]
		if want := map[string]int64{"client": 1, "unreadable": 1, "idle": 1, "dispatcher_ends": 1}[name]; counts[i] != want {
			t.Errorf("%s: %d, want %d", name, counts[i], want)
		}
	}
	if total != 4 {
		t.Errorf("%d counted", total)
	}
}
