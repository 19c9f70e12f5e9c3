package simulated

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections to an address, and can hold, cut or redirect them at a byte: a network that fails on demand.
type Relay struct {
	listener net.Listener
	done     sync.WaitGroup

	mu           sync.Mutex
	target       string
	remaining    int // bytes towards the client until atLimit is called; -1: no limit
	atLimit      func(client, server net.Conn)
	conns        map[net.Conn]bool
	released     chan struct{} // closed by Release
	limitReached chan struct{} // closed when remaining reaches zero
}

// NewRelay listens on loopback.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: to, remaining: -1, conns: map[net.Conn]bool{}}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Address is where clients connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Redirect forwards new connections to another address, and closes those that are open.
func (r *Relay) Redirect(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = to
	for c := range r.conns {
		_ = c.Close() // its copies end either way
	}
}

// CutAfter closes a connection once n more bytes have passed towards clients; later connections are not cut. The channel is
// closed when it happens.
func (r *Relay) CutAfter(n int) <-chan struct{} {
	return r.limit(n, func(client, server net.Conn) {
		_ = client.Close() // its copies end either way
		_ = server.Close() // likewise
	})
}

// HoldAfter lets n more bytes pass towards clients and holds the rest until Release. The channel is closed when it begins.
func (r *Relay) HoldAfter(n int) <-chan struct{} {
	r.mu.Lock()
	released := make(chan struct{})
	r.released = released
	r.mu.Unlock()
	return r.limit(n, func(net.Conn, net.Conn) { <-released })
}

// Release lets pass what HoldAfter holds.
func (r *Relay) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released != nil {
		close(r.released)
		r.released = nil
	}
}

// limit sets after how many bytes towards clients a function is called, once; the channel is closed then.
func (r *Relay) limit(n int, atLimit func(client, server net.Conn)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining, r.atLimit, r.limitReached = n, atLimit, make(chan struct{})
	return r.limitReached
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // the accept loop ends either way
	r.Release()
	r.Redirect("")
	r.done.Wait()
}

// accept forwards connections until the listener is closed.
func (r *Relay) accept() {
	defer r.done.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			r.mu.Unlock()
			_ = client.Close() // nothing was read from it
			continue
		}
		r.conns[client], r.conns[server] = true, true
		r.mu.Unlock()
		r.done.Add(2)
		go func() {
			defer r.done.Done()
			_, _ = io.Copy(server, client) // the end of either side ends both
			r.closeConns(client, server)
		}()
		go func() {
			defer r.done.Done()
			_ = r.copyToClient(client, server) // the end of either side ends both
			r.closeConns(client, server)
		}()
	}
}

// closeConns closes connections and forgets them.
func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // it may be closed already
		delete(r.conns, c)
	}
}

// copyToClient forwards what the server sends, and calls atLimit where the limit is reached.
func (r *Relay) copyToClient(client, server net.Conn) error {
	b := make([]byte, 32<<10)
	for {
		n, err := server.Read(b)
		r.mu.Lock()
		pass, after := n, r.atLimit
		if r.remaining >= 0 && n >= r.remaining {
			pass, r.remaining = r.remaining, -1
			close(r.limitReached)
		} else {
			after = nil
			if r.remaining >= 0 {
				r.remaining -= n
			}
		}
		r.mu.Unlock()
		_, failed := client.Write(b[:pass])
		if after != nil {
			after(client, server)
			if _, more := client.Write(b[pass:n]); more != nil {
				failed = more
			}
		}
		if err = errors.Join(err, failed); err != nil {
			return err
		}
	}
}
