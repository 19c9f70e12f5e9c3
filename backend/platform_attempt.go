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
	errNodeAtCapacity = errors.New("the node is full")
	errNodeExpired    = errors.New("the node says that the request was over")
	errNodeFailed     = errors.New("the node answers with an error")
	errPoolExhausted  = errors.New("every connection to the node is in full use")
	errNeverSent      = errors.New("over before anything was sent")
)

// platformAttempt makes an attempt over lines.
type platformAttempt struct {
	*attempt
	call    *lineproto.Request
	changed chan struct{} // holds one token when something has changed

	mu              sync.Mutex
	result          lineproto.Result
	done            bool
	err             error         // of a done attempt; nil: the result is whole
	conn            *platformConn // nil: the request is on none yet
	progressReports int           // progress notes that came
}

// maxPlatformConnAttempts bounds the connections tried for one attempt: kept ones may have ended without a word.
const maxPlatformConnAttempts = 3

// run implements carrier.
func (t *platformAttempt) run(ctx context.Context, n *node) (any, error) {
	if n.platform.address == "" {
		return nil, errWrongProtocol
	}
	t.unsent = true
	for range maxPlatformConnAttempts {
		c, failed := n.acquirePlatformConn(ctx, t.fleet, t)
		if errors.Is(failed, syscall.ECONNRESET) && ctx.Err() == nil { // a new connection broke: the machine is there
			continue
		}
		if failed != nil {
			return nil, failed
		}
		t.mu.Lock()
		t.conn = c
		t.mu.Unlock()
		written, failed := t.sendRequest(ctx, n, c)
		if t.unsent = written == 0; errors.Is(failed, errNeverSent) { // the connection is as good as before
			c.removeAttempt(t, false, false)
			return nil, failed
		}
		if failed != nil {
			c.close(failed)
		}
		if !t.unsent {
			return t.awaitAnswer(ctx, c)
		}
		// Nothing has left: another connection may do.
		t.mu.Lock()
		t.conn, t.done, t.err = nil, false, nil
		t.mu.Unlock()
		select {
		case <-t.changed:
		default:
		}
		if ctx.Err() != nil {
			return nil, errNeverSent
		}
	}
	return nil, errNotConnected
}

// sendRequest writes the request, unless it must not begin any more: a connection may have taken long to come up, or a command before
// it long to be written. Meanwhile the client may have left, the time or a keyed request's window run out, the node begun to drain, or
// gone from its address.
func (t *platformAttempt) sendRequest(ctx context.Context, n *node, c *platformConn) (written int, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if t.checkSendPermitted(ctx, n) != permit.Permitted {
		return 0, errNeverSent
	}
	q := *t.call
	q.TTL = (int64(t.spec.Deadline-t.fleet.clock.Now()) + 999) / 1000
	if t.spec.HasResources {
		q.MemoryMB, q.Priority = int64(t.spec.MemoryMB), t.spec.Priority
	}
	written, err = c.writeLocked(q.Append(make([]byte, 0, len(q.Text)+200)), requestWriteTimeout)
	if written > 0 {
		t.auditSent(n)
	}
	return written, err
}

// awaitAnswer gathers the answer.
func (t *platformAttempt) awaitAnswer(ctx context.Context, c *platformConn) (any, error) {
	asked := false
	for {
		select {
		case <-t.changed:
		case <-ctx.Done():
			t.abandon(ctx, c)
			t.mu.Lock()
			why := fmt.Errorf("%w, after %d notes and %d of %d pages", context.Cause(ctx), t.progressReports, t.result.Have(), t.result.Pages())
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
			c.removeAttempt(t, false, false)
			return &t.result, nil
		case done:
			c.removeAttempt(t, false, false)
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

// abandon tells the node that nobody waits any more. A connection on which an answer is overdue is not used again: it may
// be a machine that is gone.
func (t *platformAttempt) abandon(ctx context.Context, c *platformConn) {
	t.mu.Lock()
	t.done = true
	t.mu.Unlock()
	silent := errors.Is(context.Cause(ctx), errTimedOut)
	if _, err := c.write(lineproto.AppendDrop(nil, t.call.ID)); err != nil { // a close gives it up as well
		c.close(err)
	}
	c.removeAttempt(t, true, silent)
}

// connClosed ends the attempt with its connection. It may be on another one by now: where nothing had left on this one.
func (t *platformAttempt) connClosed(c *platformConn, why error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == c && !t.done {
		t.done, t.err = true, &connectionError{why}
		t.notify()
	}
}

func (t *platformAttempt) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// receive takes one answer; an error ends the connection.
func (t *platformAttempt) receive(c *platformConn, a *lineproto.Answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || t.conn != c {
		return nil
	}
	if load := platformLoad(a.Field("rep")); load != nil {
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
			t.notify()
		}
		return nil
	case lineproto.News:
		t.progressReports++
		if p, ok := platformProgress(a.Field("why"), a.Field("datum")); ok {
			p.ID, p.Attempt, p.Endpoint = t.spec.Query.ID, t.spec.Number, t.spec.Node
			t.fleet.post.Notify(p)
		}
		return nil
	case lineproto.Full:
		t.err = errNodeAtCapacity
	case lineproto.Moot:
		t.err = errNodeExpired
	case lineproto.Failed:
		t.err = errNodeFailed
	default:
		return nil
	}
	t.done = true
	t.notify()
	return nil
}

// connectionError tells that an attempt ended with its connection.
type connectionError struct{ err error }

func (e *connectionError) Error() string { return "the connection ended: " + e.err.Error() }
func (e *connectionError) Unwrap() error { return e.err }

// classify implements carrier.
func (t *platformAttempt) classify(err error) (policy.Code, bool) {
	var form *lineproto.FormatError
	switch {
	case errors.Is(err, errNodeAtCapacity):
		return policy.Rejected, false
	case errors.Is(err, errNodeExpired), errors.Is(err, errPoolExhausted): // no fault of the node
		return policy.NeverSent, false
	case errors.Is(err, errNodeFailed), errors.As(err, &form):
		return policy.Failed, false
	}
	return policy.ConnectionReset, false
}

// cleanUp implements carrier.
func (t *platformAttempt) cleanUp() {}

// setPriority sets a new priority for what runs.
func (t *platformAttempt) setPriority(priority int) {
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
