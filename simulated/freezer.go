package simulated

import (
	"net"
	"sync"
)

// freezer is a listener whose connections can be made silent: what is read and written waits, nothing is reset.
type freezer struct {
	net.Listener
	mu     sync.Mutex
	frozen chan struct{} // closed when thawed; nil: not frozen
	dead   bool          // what was read while frozen is lost
}

func newFreezer(l net.Listener) *freezer { return &freezer{Listener: l} }

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil {
		f.frozen = make(chan struct{})
	}
}

// die lets go of what waits: it gets nothing any more.
func (f *freezer) die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = true
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

func (f *freezer) wait() error {
	f.mu.Lock()
	c := f.frozen
	f.mu.Unlock()
	if c != nil {
		<-c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return net.ErrClosed
	}
	return nil
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
	if dead := c.f.wait(); dead != nil {
		return 0, dead
	}
	return n, err
}

func (c *frozenConn) Write(b []byte) (int, error) {
	if dead := c.f.wait(); dead != nil {
		return 0, dead
	}
	return c.Conn.Write(b)
}
