package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"

	"embershunt/internal/lineproto"
	"embershunt/permit"
	"embershunt/policy"
)

// Errors of attempts over lines.
var (
	errNodeFull   = errors.New("the node is full")
	errNodeMoot   = errors.New("the node says that the request was over")
	errNodeFailed = errors.New("the node answers with an error")
	errNoRoom     = errors.New("every connection to the node is in full use")
	errUnsent     = errors.New("over before anything was sent")
)

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
	q.TTL = (int64(t.a.Deadline-t.f.clock.Now()) + 999) / 1000
	if t.a.HasResources {
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
			p.ID, p.Attempt, p.Endpoint = t.a.Query.ID, t.a.Number, t.a.Node
			t.f.post.Notify(p)
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
func (t *linesAttempt) ended(err error) (policy.Code, bool) {
	var form *lineproto.FormatError
	switch {
	case errors.Is(err, errNodeFull):
		return policy.Rejected, false
	case errors.Is(err, errNodeMoot), errors.Is(err, errNoRoom): // no fault of the node
		return policy.NeverSent, false
	case errors.Is(err, errNodeFailed), errors.As(err, &form):
		return policy.Failed, false
	}
	return policy.ConnectionReset, false
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
