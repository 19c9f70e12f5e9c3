package simulated

import (
	"net"
	"sync"
)

// freezableListener is a listener whose connections can be frozen: their reads and writes block, and nothing is reset, as with a
// machine that is unresponsive.
type freezableListener struct {
	net.Listener
	mu     sync.Mutex
	thawed chan struct{} // closed when thawed; nil: not frozen
	dead   bool          // reads and writes fail
}

func newFreezableListener(l net.Listener) *freezableListener { return &freezableListener{Listener: l} }

// freeze blocks the connections' reads and writes until kill.
func (f *freezableListener) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

// kill fails all reads and writes, blocked ones too.
func (f *freezableListener) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = true
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// waitThawed blocks while frozen; its error is net.ErrClosed after kill.
func (f *freezableListener) waitThawed() error {
	f.mu.Lock()
	c := f.thawed
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
func (f *freezableListener) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezableConn{c, f}, nil
}

// freezableConn is a connection of a freezableListener.
type freezableConn struct {
	net.Conn
	listener *freezableListener
}

func (c *freezableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if dead := c.listener.waitThawed(); dead != nil {
		return 0, dead
	}
	return n, err
}

func (c *freezableConn) Write(b []byte) (int, error) {
	if dead := c.listener.waitThawed(); dead != nil {
		return 0, dead
	}
	return c.Conn.Write(b)
}
