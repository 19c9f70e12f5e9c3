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

// linesPool is the connections to one node that speaks lines. As long as descriptors last each attempt has one of its own:
// what spoils an answer ends all that is open on its connection.
type linesPool struct {
	address string

	mu     sync.Mutex
	idle   []*linesConn // the one used last at the end
	busy   []*linesConn
	closed bool
}

// linesConn is one connection. Its reader belongs to the fleet's group.
type linesConn struct {
	f    *Fleet
	pool *linesPool
	conn net.Conn
	wmu  sync.Mutex // one command at a time

	mu    sync.Mutex
	open  map[string]*linesAttempt
	given []string // ids given up here: their answers may still come
	worn  bool     // takes no more attempts
	dead  bool
}

// givenMost bounds the ids given up on a connection. One with so many takes no more attempts and is closed when it is idle.
const givenMost = 32

// takeLines finds a connection for an attempt: an idle one, a new one, or one in use where descriptors have run out.
func (n *node) takeLines(ctx context.Context, f *Fleet, t *linesAttempt) (*linesConn, error) {
	p := &n.lines
	if c := p.takeIdle(t); c != nil {
		return c, nil
	}
	if !f.reserveLines() {
		if c := p.share(t, f.opt.MaxAttemptsPerConn); c != nil {
			return c, nil
		}
		return nil, errNoRoom
	}
	dial, cancel := context.WithTimeout(ctx, f.opt.ConnectTimeout)
	defer cancel()
	conn, err := f.dialLines(dial, p.address)
	if err != nil {
		f.linesOpen.Add(-1)
		if ctx.Err() != nil { // the attempt is over: that tells nothing of the node
			return nil, errUnsent
		}
		if isLocal(err) { // it says nothing of the node
			return nil, errors.Join(errLocal, err)
		}
		if dial.Err() != nil { // what does not come up has not been alive on older connections either
			p.closeIdle()
		}
		return nil, errors.Join(errNotConnected, err)
	}
	c := &linesConn{f: f, pool: p, conn: conn, open: map[string]*linesAttempt{t.call.ID: t}}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		f.linesOpen.Add(-1)
		return nil, errNotConnected
	}
	p.busy = append(p.busy, c)
	p.mu.Unlock()
	if !f.spawn(c.read) {
		c.close(net.ErrClosed)
		return nil, errNotConnected
	}
	return c, nil
}

// reserveLines books a descriptor; idle connections to other nodes make room.
func (f *Fleet) reserveLines() bool {
	for range 2 {
		if f.linesOpen.Add(1) <= int64(f.opt.MaxPlatformConns) {
			return true
		}
		f.linesOpen.Add(-1)
		f.mu.Lock()
		var oldest *linesConn
		for _, n := range f.nodes { // any idle one will do
			if oldest = n.lines.takeOldest(); oldest != nil {
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

func (p *linesPool) takeIdle(t *linesAttempt) *linesConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.enter(t) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.busy = append(p.busy, c)
			return c
		}
	}
	return nil
}

func (p *linesPool) takeOldest() *linesConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

func (p *linesPool) share(t *linesAttempt, most int) *linesConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *linesConn
	least := most
	for _, c := range p.busy {
		if n := c.load(); n < least {
			best, least = c, n
		}
	}
	if best == nil || !best.enter(t) {
		return nil
	}
	return best
}

func (p *linesPool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(net.ErrClosed)
	}
}

func (p *linesPool) close() {
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
func (p *linesPool) remove(c *linesConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle, p.busy = without(p.idle, c), without(p.busy, c)
}

func without(list []*linesConn, c *linesConn) []*linesConn {
	return slices.DeleteFunc(list, func(o *linesConn) bool { return o == c })
}

// enter puts an attempt on a connection; false where it is dead or knows the id already.
func (c *linesConn) enter(t *linesAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.worn || c.open[t.call.ID] != nil || slices.Contains(c.given, t.call.ID) {
		return false
	}
	c.open[t.call.ID] = t
	c.conn.SetReadDeadline(time.Time{})
	return true
}

func (c *linesConn) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// leave takes an attempt off its connection, which is kept where nothing speaks against that. What was given up may still
// be answered; a connection that let an attempt time out is not used again.
func (c *linesConn) leave(t *linesAttempt, given, silent bool) {
	c.mu.Lock()
	delete(c.open, t.call.ID)
	if given {
		c.given = append(c.given, t.call.ID)
	}
	idle := len(c.open) == 0 && !c.dead
	c.worn = c.worn || silent || len(c.given) >= givenMost
	worn := c.worn
	if idle {
		c.conn.SetReadDeadline(time.Now().Add(c.f.opt.PlatformIdleTimeout))
	}
	c.mu.Unlock()
	if idle && (worn || !c.pool.keep(c)) {
		c.close(net.ErrClosed)
	}
}

// keep puts a connection with nothing open among the idle ones; false where the pool is closed.
func (p *linesPool) keep(c *linesConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.load() > 0 { // shared with a new attempt meanwhile
		return true
	}
	if left := without(p.busy, c); len(left) < len(p.busy) {
		p.busy, p.idle = left, append(p.idle, c)
	}
	return !p.closed
}

// close ends a connection and all that is open on it.
func (c *linesConn) close(why error) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead = true
	open := make([]*linesAttempt, 0, len(c.open))
	for _, t := range c.open { // each by itself: the order does not matter
		open = append(open, t)
	}
	c.mu.Unlock()
	c.conn.Close()
	c.f.linesOpen.Add(-1)
	c.pool.remove(c)
	for _, t := range open {
		t.end(c, why)
	}
}

// read takes what the node sends until the connection ends.
func (c *linesConn) read() {
	r := lineproto.NewReader(c.conn)
	for {
		a, err := r.Read()
		if err != nil {
			c.close(err)
			return
		}
		c.mu.Lock()
		t := c.open[a.ID]
		c.mu.Unlock()
		if t == nil { // given up, answered already, or never asked for here
			continue
		}
		if err := t.take(c, &a); err != nil {
			c.close(err)
			return
		}
	}
}

// Bounds of the writing of one command: a node that does not read must not hold the attempt for long. A request has less time: what
// permits it to begin is known before it is written, and its first byte leaves at the end of a write that blocks.
const (
	writeWithin = time.Second
	beginWithin = 200 * time.Millisecond
)

func (c *linesConn) write(b []byte) (int, error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	return c.put(b, writeWithin)
}

// put writes one command within some time; c.wmu is held.
func (c *linesConn) put(b []byte, within time.Duration) (int, error) {
	c.conn.SetWriteDeadline(time.Now().Add(within))
	return c.conn.Write(b)
}
