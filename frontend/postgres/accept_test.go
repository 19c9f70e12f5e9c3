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

// faultyListener is a listener whose accept fails some times before it gives a connection.
type faultyListener struct {
	*net.TCPListener

	mu          sync.Mutex
	errno       syscall.Errno
	times       int
	allReturned chan struct{} // closed when the last error has been given
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

// fail has the next accepts fail.
func (l *faultyListener) fail(errno syscall.Errno, times int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errno, l.times, l.allReturned = errno, times, make(chan struct{})
	return l.allReturned
}

// An error of accept that is not this process's lack of descriptors closes nobody's connection; a lack of them closes idle ones.
func TestAcceptErrorsCloseNobodyElse(t *testing.T) {
	for errno, closes := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.EINTR: false, syscall.ENFILE: false,
		syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EMFILE: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			s := startServerOn(t, func(l *net.TCPListener) Listener { return &faultyListener{TCPListener: l} })
			idle := s.session()
			idle.Write(queryWithFields(1, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Fatal(got)
			}
			given := s.listener.(*faultyListener).fail(errno, 20)
			s.session() // the accept that waits already; the errors come after it
			<-given
			after := s.session()
			after.Write(queryWithFields(2, "SELECT 1"))
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
			idle.Write(queryWithFields(3, "SELECT 1"))
			if got := idle.until('Z'); got != "TCZ" {
				t.Errorf("the idle one got %q", got)
			}
		})
	}
}

// faultyServer is a front on a listener of a test's own.
type faultyServer struct {
	*testServer
	listener Listener
}

func startServerOn(t *testing.T, wrap func(*net.TCPListener) Listener) *faultyServer {
	t.Helper()
	d := &testDispatcher{answer: func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true }, open: map[string]*dispatch.Query{},
		disconnected: make(chan string, 100)}
	s := &testServer{t: t, dispatcher: d, front: New(Options{Settings: testSettings()}, frontend.NewIntake(d, dispatch.NewClock(), frontend.Tables{}))}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	out := &faultyServer{s, wrap(l)}
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
	s := startServer(t, Options{Idle: 50 * time.Millisecond}, func(*dispatch.Query) (dispatch.Outcome, bool) { return servedRows(0), true })
	s.session().Close()
	s.session().Write([]byte{0xff, 0xff, 0xff, 0xff, 0xff})
	idle := s.session()
	idle.Write(queryWithFields(1, "SELECT 1"))
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
