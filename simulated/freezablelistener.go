package simulated

import (
	"net"
	"sync"
)

// freezableListener is a listener whose connections can be frozen: their reads and writes block, and no connection is reset, as on an
// unresponsive machine.
type freezableListener struct {
	net.Listener
	mu     sync.Mutex
	thawed chan struct{} // closed by kill; nil: not frozen
	killed bool          // reads and writes fail
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

// kill makes all reads and writes fail, including blocked ones.
func (f *freezableListener) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed = true
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// waitThawed blocks while the listener is frozen, and returns net.ErrClosed after kill.
func (f *freezableListener) waitThawed() error {
	f.mu.Lock()
	c := f.thawed
	f.mu.Unlock()
	if c != nil {
		<-c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.killed {
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
	if killed := c.listener.waitThawed(); killed != nil {
		return 0, killed
	}
	return n, err
}

func (c *freezableConn) Write(b []byte) (int, error) {
	if killed := c.listener.waitThawed(); killed != nil {
		return 0, killed
	}
	return c.Conn.Write(b)
}
