package standin

import (
	"net"
	"sync"
)

// freezer is a listener whose connections can be made silent: what is read and written waits, nothing is reset.
type freezer struct {
	net.Listener
	mu     sync.Mutex
	frozen chan struct{} // closed when thawed; nil: not frozen
}

func newFreezer(l net.Listener) *freezer { return &freezer{Listener: l} }

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil {
		f.frozen = make(chan struct{})
	}
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

func (f *freezer) wait() {
	f.mu.Lock()
	c := f.frozen
	f.mu.Unlock()
	if c != nil {
		<-c
	}
}

// Accept implements net.Listener.
func (f *freezer) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frozenConn{c, f}, nil
}

type frozenConn struct {
	net.Conn
	f *freezer
}

func (c *frozenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.wait()
	return n, err
}

func (c *frozenConn) Write(b []byte) (int, error) {
	c.f.wait()
	return c.Conn.Write(b)
}
