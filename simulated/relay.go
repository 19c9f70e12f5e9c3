package simulated

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections to an address. It can hold or cut them after a number of bytes and redirect them, to simulate network
// failures.
type Relay struct {
	listener net.Listener
	done     sync.WaitGroup

	mu           sync.Mutex
	target       string
	remaining    int // bytes to clients until atLimit is called; -1: no limit
	atLimit      func(client, server net.Conn)
	conns        map[net.Conn]bool
	released     chan struct{} // closed by Release
	limitReached chan struct{} // closed when remaining reaches zero
}

// NewRelay returns a relay to an address. It listens on any free port on loopback.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, remaining: -1, conns: map[net.Conn]bool{}}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address that clients connect to, as host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Redirect forwards new connections to another address, and closes all open connections.
func (r *Relay) Redirect(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
	for c := range r.conns {
		_ = c.Close() // its copies end either way
	}
}

// CutAfter closes a connection once n more bytes, counted over all connections, have passed to clients. Later connections are not cut.
// The returned channel is closed when the limit is reached.
func (r *Relay) CutAfter(n int) <-chan struct{} {
	return r.limit(n, func(client, server net.Conn) {
		_ = client.Close() // its copies end either way
		_ = server.Close() // likewise
	})
}

// HoldAfter lets n more bytes, counted over all connections, pass to clients, and then holds the connection that passed the last of
// them until Release. Other connections are not held. The returned channel is closed when the limit is reached.
func (r *Relay) HoldAfter(n int) <-chan struct{} {
	r.mu.Lock()
	released := make(chan struct{})
	r.released = released
	r.mu.Unlock()
	return r.limit(n, func(net.Conn, net.Conn) { <-released })
}

// Release forwards the bytes that HoldAfter holds back.
func (r *Relay) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released != nil {
		close(r.released)
		r.released = nil
	}
}

// limit sets a function to call once, after n more bytes to clients over all connections. The returned channel is closed then.
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
			_ = client.Close() // no data was read from it
			continue
		}
		r.conns[client], r.conns[server] = true, true
		r.mu.Unlock()
		r.done.Add(2)
		go func() {
			defer r.done.Done()
			_, _ = io.Copy(server, client) // the end of either direction ends both
			r.closeConns(client, server)
		}()
		go func() {
			defer r.done.Done()
			_ = r.copyToClient(client, server) // the end of either direction ends both
			r.closeConns(client, server)
		}()
	}
}

// closeConns closes connections and removes them from conns.
func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // it may be closed already
		delete(r.conns, c)
	}
}

// copyToClient forwards the server's bytes until either connection fails, and calls atLimit when the limit is reached.
func (r *Relay) copyToClient(client, server net.Conn) error {
	b := make([]byte, 32<<10)
	for {
		n, err := server.Read(b)
		r.mu.Lock()
		pass, onLimit := n, r.atLimit
		if r.remaining >= 0 && n >= r.remaining {
			pass, r.remaining = r.remaining, -1
			close(r.limitReached)
		} else {
			onLimit = nil
			if r.remaining >= 0 {
				r.remaining -= n
			}
		}
		r.mu.Unlock()
		_, writeErr := client.Write(b[:pass])
		if onLimit != nil {
			onLimit(client, server)
			if _, restErr := client.Write(b[pass:n]); restErr != nil {
				writeErr = restErr
			}
		}
		if err = errors.Join(err, writeErr); err != nil {
			return err
		}
	}
}
