package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"embershunt/internal/lineproto"
)

// platformPool is the connections to one node that speaks lines. As long as descriptors last each attempt has one of its own:
// what spoils an answer ends all that is open on its connection.
type platformPool struct {
	address string

	mu     sync.Mutex
	idle   []*platformConn // the one used last at the end
	busy   []*platformConn
	closed bool
}

// platformConn is one connection. Its reader belongs to the fleet's group.
type platformConn struct {
	fleet   *Fleet
	pool    *platformPool
	conn    net.Conn
	writeMu sync.Mutex // one command at a time

	mu           sync.Mutex
	attempts     map[string]*platformAttempt
	abandonedIDs []string // ids given up here: their answers may still come
	retired      bool     // takes no more attempts
	closed       bool
}

// maxAbandonedIDs bounds the ids given up on a connection. One with so many takes no more attempts and is closed when it is idle.
const maxAbandonedIDs = 32

// acquirePlatformConn finds a connection for an attempt: an idle one, a new one, or one in use where descriptors have run out.
func (n *node) acquirePlatformConn(ctx context.Context, f *Fleet, t *platformAttempt) (*platformConn, error) {
	p := &n.platform
	if c := p.takeIdle(t); c != nil {
		return c, nil
	}
	if !f.reservePlatformConn() {
		if c := p.takeBusy(t, f.options.MaxAttemptsPerConn); c != nil {
			return c, nil
		}
		return nil, errPoolExhausted
	}
	dial, cancel := context.WithTimeout(ctx, f.options.ConnectTimeout)
	defer cancel()
	conn, err := f.dialPlatform(dial, p.address)
	if err != nil {
		f.platformConns.Add(-1)
		if ctx.Err() != nil { // the attempt is over: that tells nothing of the node
			return nil, errNeverSent
		}
		if isLocalDialError(err) { // it says nothing of the node
			return nil, errors.Join(errLocalDial, err)
		}
		if dial.Err() != nil { // what does not come up has not been alive on older connections either
			p.closeIdle()
		}
		return nil, errors.Join(errNotConnected, err)
	}
	c := &platformConn{fleet: f, pool: p, conn: conn, attempts: map[string]*platformAttempt{t.call.ID: t}}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		f.platformConns.Add(-1)
		return nil, errNotConnected
	}
	p.busy = append(p.busy, c)
	p.mu.Unlock()
	if !f.spawn(c.readAnswers) {
		c.close(net.ErrClosed)
		return nil, errNotConnected
	}
	return c, nil
}

// reservePlatformConn books a descriptor; idle connections to other nodes make room.
func (f *Fleet) reservePlatformConn() bool {
	for range 2 {
		if f.platformConns.Add(1) <= int64(f.options.MaxPlatformConns) {
			return true
		}
		f.platformConns.Add(-1)
		f.mu.Lock()
		var oldest *platformConn
		for _, n := range f.nodes { // any idle one will do
			if oldest = n.platform.takeOldest(); oldest != nil {
				break
			}
		}
		f.mu.Unlock()
		if oldest == nil {
			return false
		}
		oldest.close(net.ErrClosed)
	}
	return false
}

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

func (p *platformPool) takeOldest() *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

func (p *platformPool) takeBusy(t *platformAttempt, most int) *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *platformConn
	least := most
	for _, c := range p.busy {
		if n := c.attemptCount(); n < least {
			best, least = c, n
		}
	}
	if best == nil || !best.addAttempt(t) {
		return nil
	}
	return best
}

func (p *platformPool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(net.ErrClosed)
	}
}

func (p *platformPool) close() {
	p.mu.Lock()
	p.closed = true
	all := append(p.idle, p.busy...)
	p.idle, p.busy = nil, nil
	p.mu.Unlock()
	for _, c := range all {
		c.close(net.ErrClosed)
	}
}

// remove takes a connection off the books.
func (p *platformPool) remove(c *platformConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle, p.busy = withoutConn(p.idle, c), withoutConn(p.busy, c)
}

func withoutConn(list []*platformConn, c *platformConn) []*platformConn {
	return slices.DeleteFunc(list, func(o *platformConn) bool { return o == c })
}

// addAttempt puts an attempt on a connection; false where it is dead or knows the id already.
func (c *platformConn) addAttempt(t *platformAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.retired || c.attempts[t.call.ID] != nil || slices.Contains(c.abandonedIDs, t.call.ID) {
		return false
	}
	c.attempts[t.call.ID] = t
	c.conn.SetReadDeadline(time.Time{})
	return true
}

func (c *platformConn) attemptCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// removeAttempt takes an attempt off its connection, which is kept where nothing speaks against that. What was given up may still
// be answered; a connection that let an attempt time out is not used again.
func (c *platformConn) removeAttempt(t *platformAttempt, given, silent bool) {
	c.mu.Lock()
	delete(c.attempts, t.call.ID)
	if given {
		c.abandonedIDs = append(c.abandonedIDs, t.call.ID)
	}
	idle := len(c.attempts) == 0 && !c.closed
	c.retired = c.retired || silent || len(c.abandonedIDs) >= maxAbandonedIDs
	worn := c.retired
	if idle {
		c.conn.SetReadDeadline(time.Now().Add(c.fleet.options.PlatformIdleTimeout))
	}
	c.mu.Unlock()
	if idle && (worn || !c.pool.release(c)) {
		c.close(net.ErrClosed)
	}
}

// release puts a connection with nothing open among the idle ones; false where the pool is closed.
func (p *platformPool) release(c *platformConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.attemptCount() > 0 { // shared with a new attempt meanwhile
		return true
	}
	if left := withoutConn(p.busy, c); len(left) < len(p.busy) {
		p.busy, p.idle = left, append(p.idle, c)
	}
	return !p.closed
}

// close ends a connection and all that is open on it.
func (c *platformConn) close(why error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	open := make([]*platformAttempt, 0, len(c.attempts))
	for _, t := range c.attempts { // each by itself: the order does not matter
		open = append(open, t)
	}
	c.mu.Unlock()
	c.conn.Close()
	c.fleet.platformConns.Add(-1)
	c.pool.remove(c)
	for _, t := range open {
		t.connClosed(c, why)
	}
}

// readAnswers takes what the node sends until the connection ends.
func (c *platformConn) readAnswers() {
	r := lineproto.NewReader(c.conn)
	for {
		a, err := r.Read()
		if err != nil {
			c.close(err)
			return
		}
		c.mu.Lock()
		t := c.attempts[a.ID]
		c.mu.Unlock()
		if t == nil { // given up, answered already, or never asked for here
			continue
		}
		if err := t.receive(c, &a); err != nil {
			c.close(err)
			return
		}
	}
}

// Bounds of the writing of one command: a node that does not read must not hold the attempt for long. A request has less time: what
// permits it to begin is known before it is written, and its first byte leaves at the end of a write that blocks.
const (
	commandWriteTimeout = time.Second
	requestWriteTimeout = 200 * time.Millisecond
)

func (c *platformConn) write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(b, commandWriteTimeout)
}

// writeLocked writes one command within some time; c.wmu is held.
func (c *platformConn) writeLocked(b []byte, within time.Duration) (int, error) {
	c.conn.SetWriteDeadline(time.Now().Add(within))
	return c.conn.Write(b)
}
