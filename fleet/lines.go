package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"embershunt/choice"
	"embershunt/internal/lineproto"
	"embershunt/permit"
)

// Errors of attempts over lines.
var (
	errNodeFull   = errors.New("the node is full")
	errNodeMoot   = errors.New("the node says that the request was over")
	errNodeFailed = errors.New("the node answers with an error")
	errNoRoom     = errors.New("every connection to the node is in full use")
	errUnsent     = errors.New("over before anything was sent")
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
		if c := p.share(t, f.opt.LinesShared); c != nil {
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
		if f.linesOpen.Add(1) <= int64(f.opt.LinesMost) {
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
		c.conn.SetReadDeadline(time.Now().Add(c.f.opt.LinesIdle))
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

// linesAttempt makes an attempt over lines.
type linesAttempt struct {
	*attempt
	call   *lineproto.Request
	signal chan struct{} // holds one token when something has changed

	mu     sync.Mutex
	result lineproto.Result
	done   bool
	err    error      // of a done attempt; nil: the result is whole
	conn   *linesConn // nil: the request is on none yet
	notes  int        // progress notes that came
}

// linesTries bounds the connections tried for one attempt: kept ones may have ended without a word.
const linesTries = 3

// try implements carrier.
func (t *linesAttempt) try(ctx context.Context, n *node) (any, error) {
	if n.lines.address == "" {
		return nil, errOtherWork
	}
	t.unsent = true
	for range linesTries {
		c, failed := n.takeLines(ctx, t.f, t)
		if errors.Is(failed, syscall.ECONNRESET) && ctx.Err() == nil { // a new connection broke: the machine is there
			continue
		}
		if failed != nil {
			return nil, failed
		}
		t.mu.Lock()
		t.conn = c
		t.mu.Unlock()
		written, failed := t.begin(ctx, n, c)
		if t.unsent = written == 0; errors.Is(failed, errUnsent) { // the connection is as good as before
			c.leave(t, false, false)
			return nil, failed
		}
		if failed != nil {
			c.close(failed)
		}
		if !t.unsent {
			return t.wait(ctx, c)
		}
		// Nothing has left: another connection may do.
		t.mu.Lock()
		t.conn, t.done, t.err = nil, false, nil
		t.mu.Unlock()
		select {
		case <-t.signal:
		default:
		}
		if ctx.Err() != nil {
			return nil, errUnsent
		}
	}
	return nil, errNotConnected
}

// begin writes the request, unless it must not begin any more: a connection may have taken long to come up, or a command before
// it long to be written. Meanwhile the client may have left, the time or a keyed request's window run out, the node begun to drain, or
// gone from its address.
func (t *linesAttempt) begin(ctx context.Context, n *node, c *linesConn) (written int, err error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if t.mayBegin(ctx, n) != permit.Permitted {
		return 0, errUnsent
	}
	q := *t.call
	q.TTL = (int64(t.a.Until-t.f.clock.Now()) + 999) / 1000
	if t.a.HasTerms {
		q.MemoryMB, q.Priority = int64(t.a.MemoryMB), t.a.Priority
	}
	written, err = c.put(q.Append(make([]byte, 0, len(q.Text)+200)), beginWithin)
	if written > 0 {
		t.begunAt(n)
	}
	return written, err
}

// wait gathers the answer.
func (t *linesAttempt) wait(ctx context.Context, c *linesConn) (any, error) {
	asked := false
	for {
		select {
		case <-t.signal:
		case <-ctx.Done():
			t.giveUp(ctx, c)
			t.mu.Lock()
			why := fmt.Errorf("%w, after %d notes and %d of %d pages", context.Cause(ctx), t.notes, t.result.Have(), t.result.Pages())
			t.mu.Unlock()
			return nil, why
		}
		t.mu.Lock()
		done, err, pages := t.done, t.err, t.result.Pages()
		t.mu.Unlock()
		switch {
		case done && err == nil:
			if pages > 1 {
				c.write(lineproto.AppendClose(nil, t.call.ID))
			}
			c.leave(t, false, false)
			return &t.result, nil
		case done:
			c.leave(t, false, false)
			return nil, err
		case pages > 1 && !asked:
			asked = true
			var b []byte
			for i := 1; i < pages; i++ {
				b = lineproto.AppendPage(b, t.call.ID, i)
			}
			c.write(b) // what goes wrong ends the connection, and with it this attempt
		}
	}
}

// giveUp tells the node that nobody waits any more. A connection on which an answer is overdue is not used again: it may
// be a machine that is gone.
func (t *linesAttempt) giveUp(ctx context.Context, c *linesConn) {
	t.mu.Lock()
	t.done = true
	t.mu.Unlock()
	silent := errors.Is(context.Cause(ctx), errTimedOut)
	if _, err := c.write(lineproto.AppendDrop(nil, t.call.ID)); err != nil { // a close gives it up as well
		c.close(err)
	}
	c.leave(t, true, silent)
}

// end ends the attempt with its connection. It may be on another one by now: where nothing had left on this one.
func (t *linesAttempt) end(c *linesConn, why error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == c && !t.done {
		t.done, t.err = true, &connectionError{why}
		t.ring()
	}
}

func (t *linesAttempt) ring() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// take takes one answer; an error ends the connection.
func (t *linesAttempt) take(c *linesConn, a *lineproto.Answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || t.conn != c {
		return nil
	}
	if load := linesLoad(a.Field("rep")); load != nil {
		t.load = load
	}
	switch a.Word {
	case lineproto.Data, lineproto.Page:
		first := !t.result.Begun()
		done, err := t.result.Add(a)
		if err != nil {
			return err
		}
		if t.done = done; done || first {
			t.ring()
		}
		return nil
	case lineproto.News:
		t.notes++
		if p, ok := linesNote(a.Field("why"), a.Field("datum")); ok {
			p.ID, p.Attempt, p.Engine = t.a.Query.ID, t.a.N, t.a.Node
			t.f.post.Told(p)
		}
		return nil
	case lineproto.Full:
		t.err = errNodeFull
	case lineproto.Moot:
		t.err = errNodeMoot
	case lineproto.Failed:
		t.err = errNodeFailed
	default:
		return nil
	}
	t.done = true
	t.ring()
	return nil
}

// connectionError tells that an attempt ended with its connection.
type connectionError struct{ err error }

func (e *connectionError) Error() string { return "the connection ended: " + e.err.Error() }
func (e *connectionError) Unwrap() error { return e.err }

// ended implements carrier.
func (t *linesAttempt) ended(err error) (choice.Code, bool) {
	var form *lineproto.FormatError
	switch {
	case errors.Is(err, errNodeFull):
		return choice.Full, false
	case errors.Is(err, errNodeMoot), errors.Is(err, errNoRoom): // no fault of the node
		return choice.Moot, false
	case errors.Is(err, errNodeFailed), errors.As(err, &form):
		return choice.Failed, false
	}
	return choice.Reset, false
}

// after implements carrier.
func (t *linesAttempt) after() {}

// rank sets a new priority for what runs.
func (t *linesAttempt) rank(priority int) {
	t.mu.Lock()
	c := t.conn
	if t.done {
		c = nil
	}
	t.mu.Unlock()
	if c != nil {
		c.write(lineproto.AppendRank(nil, t.call.ID, priority))
	}
}

// linesLoad reads a load report, name:value separated by semicolons; names of the settings and of the lines alike. One that
// does not parse counts as none.
func linesLoad(s string) *choice.Load {
	if s == "" {
		return nil
	}
	l := choice.Load{Util: -1, InFlight: -1, Queue: -1, Memory: -1, Disk: -1}
	for part := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			return nil
		}
		switch name {
		case "util", "busy":
			l.Util = v
		case "inflight", "rif":
			l.InFlight = v
		case "queue", "q":
			l.Queue = v
		case "x0":
			l.Memory = v
		case "x1":
			l.Disk = v
		}
	}
	return &l
}

// linesNote reads a note on an attempt that is out; ok is false where there is none.
func linesNote(why, datum string) (p choice.Progress, ok bool) {
	v, err := strconv.ParseFloat(datum, 64)
	if err != nil || !(v >= 0 && v < 1e9) {
		return p, false
	}
	p.Value = v
	switch {
	case why == "p":
		p.Kind = choice.ShareDone
	case why == "s":
		p.Kind = choice.Spills
	case why == "w" && v == 2:
		p.Kind = choice.WaitsLoad
	case why == "w":
		p.Kind = choice.WaitsMemory
	default:
		return p, false
	}
	return p, true
}

// linesProbe pings a node on a connection of its own.
func (n *node) linesProbe(ctx context.Context, f *Fleet) choice.Code {
	ctx, cancel := context.WithTimeout(ctx, f.opt.ConnectTimeout)
	defer cancel()
	if !f.reserveLines() { // a probe holds a descriptor like any attempt
		return choice.Moot
	}
	defer f.linesOpen.Add(-1)
	conn, err := f.dialLines(ctx, n.lines.address)
	if isLocal(err) {
		return choice.Moot
	}
	if err != nil {
		return choice.Refused
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(lineproto.AppendPing(nil, "ping")); err != nil {
		return choice.Reset
	}
	a, err := lineproto.NewReader(conn).Read()
	switch {
	case ctx.Err() != nil:
		return choice.TimedOut
	case err != nil:
		return choice.Reset
	case a.Word != lineproto.Well || a.ID != "ping":
		return choice.Failed
	}
	return choice.OK
}

// LinesOpen counts the connections to nodes that speak lines.
func (f *Fleet) LinesOpen() int64 { return f.linesOpen.Load() }
