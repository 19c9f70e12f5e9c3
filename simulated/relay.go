package simulated

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Relay passes TCP connections on to an address, and can stop, cut or redirect them at a byte: what lies between a client
// and a service on a bad day.
type Relay struct {
	listener net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	to    string
	left  int // bytes that still pass towards the client; -1: all
	after func(client, server net.Conn)
	open  map[net.Conn]bool
	freed chan struct{} // closed when what is held may pass
	spent chan struct{} // closed when the bytes are spent
}

// NewRelay listens on loopback.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, left: -1, open: map[net.Conn]bool{}}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Address is where clients connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Redirect sends connections made from now on elsewhere, and cuts those that are up.
func (r *Relay) Redirect(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
	for c := range r.open {
		c.Close()
	}
}

// CutAfter breaks the connections once so many more bytes have passed towards the client; later ones pass whole. The
// channel is closed when that happened.
func (r *Relay) CutAfter(n int) <-chan struct{} {
	return r.limit(n, func(client, server net.Conn) { client.Close(); server.Close() })
}

// HoldAfter lets so many bytes pass and keeps the rest until Release. The channel is closed when it begins to.
func (r *Relay) HoldAfter(n int) <-chan struct{} {
	r.mu.Lock()
	freed := make(chan struct{})
	r.freed = freed
	r.mu.Unlock()
	return r.limit(n, func(net.Conn, net.Conn) { <-freed })
}

// Release lets pass what is held.
func (r *Relay) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
}

func (r *Relay) limit(n int, after func(client, server net.Conn)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left, r.after, r.spent = n, after, make(chan struct{})
	return r.spent
}

// Close ends all.
func (r *Relay) Close() {
	r.listener.Close()
	r.Release()
	r.Redirect("")
	r.done.Wait()
}

func (r *Relay) accept() {
	defer r.done.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			r.mu.Unlock()
			client.Close()
			continue
		}
		r.open[client], r.open[server] = true, true
		r.mu.Unlock()
		r.done.Add(2)
		go func() {
			defer r.done.Done()
			io.Copy(server, client)
			r.end(client, server)
		}()
		go func() {
			defer r.done.Done()
			r.back(client, server)
			r.end(client, server)
		}()
	}
}

func (r *Relay) end(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.open, c)
	}
}

// back passes on what goes towards the client, as far as it may.
func (r *Relay) back(client, server net.Conn) error {
	b := make([]byte, 32<<10)
	for {
		n, err := server.Read(b)
		r.mu.Lock()
		pass, after := n, r.after
		if r.left >= 0 && n >= r.left {
			pass, r.left = r.left, -1
			close(r.spent)
		} else {
			after = nil
			if r.left >= 0 {
				r.left -= n
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
