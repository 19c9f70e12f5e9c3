package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
)

// platformPool holds the connections to one node in the platform's protocol. An answer that cannot be parsed ends all attempts on its
// connection, so each attempt has a connection of its own until MaxPlatformConns, which saves file descriptors, is reached.
//
// Locks are taken in the order Fleet.mu, platformPool.mu, platformConn.mu.
type platformPool struct {
	address string // "": the node does not speak this protocol

	mu     sync.Mutex
	idle   []*platformConn // the most recently used last
	busy   []*platformConn
	closed bool
}

// acquirePlatformConn finds a connection for an attempt and adds the attempt to it: an idle connection, a new one, or a busy one if
// MaxPlatformConns is reached.
func (n *node) acquirePlatformConn(ctx context.Context, t *platformAttempt) (*platformConn, error) {
	f, p := t.fleet, &n.platform
	if c := p.takeIdle(t); c != nil {
		return c, nil
	}
	if !f.reservePlatformConn() {
		if c := p.shareBusy(t, f.options.MaxAttemptsPerConn); c != nil {
			return c, nil
		}
		return nil, errPoolExhausted
	}
	conn, err := p.dialReserved(ctx, f)
	if err != nil {
		return nil, err
	}
	c := newPlatformConn(f, p, conn, t)
	if !p.addBusy(c) {
		_ = conn.Close() // nothing was sent on it
		f.platformConns.Add(-1)
		return nil, errNotConnected
	}
	if !f.spawn(c.readAnswers) {
		c.close(net.ErrClosed)
		return nil, errNotConnected
	}
	return c, nil
}

// dialReserved establishes a connection that reservePlatformConn has counted, within the connect timeout. If that fails the connection
// is no longer counted.
func (p *platformPool) dialReserved(ctx context.Context, f *Fleet) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, f.options.ConnectTimeout)
	defer cancel()
	conn, err := f.dialPlatform(dialCtx, p.address)
	if err == nil {
		return conn, nil
	}
	f.platformConns.Add(-1)
	switch {
	case ctx.Err() != nil: // the attempt is over: that says nothing about the node
		return nil, errNeverSent
	case isLocalDialError(err):
		return nil, errors.Join(errLocalDial, err)
	}
	if dialCtx.Err() != nil { // a node that does not answer a connect will not answer on its idle connections either
		p.closeIdle()
	}
	return nil, errors.Join(errNotConnected, err)
}

// reservePlatformConn counts one more connection against MaxPlatformConns. If the limit is reached it closes an idle connection to any
// node to make room; it returns false if no connection is idle, or if others have taken the room.
func (f *Fleet) reservePlatformConn() bool {
	for range 2 {
		if f.platformConns.Add(1) <= int64(f.options.MaxPlatformConns) {
			return true
		}
		f.platformConns.Add(-1)
		idle := f.takeAnyIdlePlatformConn()
		if idle == nil {
			return false
		}
		idle.close(net.ErrClosed)
	}
	return false
}

// takeAnyIdlePlatformConn takes an idle connection out of any node's pool; nil if there is none.
func (f *Fleet) takeAnyIdlePlatformConn() *platformConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes { // any idle connection will do: the order does not matter
		if c := n.platform.takeOldestIdle(); c != nil {
			return c
		}
	}
	return nil
}

// PlatformConns returns the number of connections to nodes in the platform's protocol, those being established included.
func (f *Fleet) PlatformConns() int64 { return f.platformConns.Load() }

// takeIdle adds an attempt to the most recently used idle connection that takes the attempt; nil if there is none.
func (p *platformPool) takeIdle(t *platformAttempt) *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.addAttempt(t) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.busy = append(p.busy, c)
			return c
		}
	}
	return nil
}

// takeOldestIdle takes the least recently used idle connection out of the pool; nil if there is none.
func (p *platformPool) takeOldestIdle() *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

// shareBusy adds an attempt to the busy connection with the fewest attempts; nil if all have maxAttempts or do not take the attempt.
func (p *platformPool) shareBusy(t *platformAttempt, maxAttempts int) *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *platformConn
	fewest := maxAttempts
	for _, c := range p.busy {
		if n := c.attemptCount(); n < fewest && c.canAdd(t) {
			best, fewest = c, n
		}
	}
	if best == nil || !best.addAttempt(t) {
		return nil
	}
	return best
}

// addBusy adds a new connection that has an attempt; it returns false if the pool is closed.
func (p *platformPool) addBusy(c *platformConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.busy = append(p.busy, c)
	return true
}

// release moves a connection without attempts to the idle connections; it returns false if the pool is closed.
func (p *platformPool) release(c *platformConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.attemptCount() > 0 { // another attempt has been added since
		return true
	}
	if others := withoutConn(p.busy, c); len(others) < len(p.busy) {
		p.busy, p.idle = others, append(p.idle, c)
	}
	return !p.closed
}

// remove takes a closed connection out of the pool.
func (p *platformPool) remove(c *platformConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle, p.busy = withoutConn(p.idle, c), withoutConn(p.busy, c)
}

// withoutConn removes a connection from a list in place and returns the shortened list.
func withoutConn(list []*platformConn, c *platformConn) []*platformConn {
	return slices.DeleteFunc(list, func(o *platformConn) bool { return o == c })
}

// closeIdle closes the idle connections.
func (p *platformPool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(net.ErrClosed)
	}
}

// close closes all connections; the pool accepts no new ones afterwards.
func (p *platformPool) close() {
	p.mu.Lock()
	p.closed = true
	all := slices.Concat(p.idle, p.busy)
	p.idle, p.busy = nil, nil
	p.mu.Unlock()
	for _, c := range all {
		c.close(net.ErrClosed)
	}
}
