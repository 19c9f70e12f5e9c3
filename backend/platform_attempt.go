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

// Errors of attempts in the platform's protocol.
var (
	errNodeAtCapacity = errors.New("the node is full")
	errNodeExpired    = errors.New("the node says that the request was over")
	errNodeFailed     = errors.New("the node answers with an error")
	errPoolExhausted  = errors.New("every connection to the node is in full use")
)

// connectionError means that an attempt ended with its connection.
type connectionError struct{ err error }

// Error says what ended the connection.
func (e *connectionError) Error() string { return "the connection ended: " + e.err.Error() }

// Unwrap is the error that ended it.
func (e *connectionError) Unwrap() error { return e.err }

// platformAttempt makes an attempt in the platform's protocol. The reader of its connection fills in the answer; run waits for it.
type platformAttempt struct {
	*attempt
	call    *lineproto.Request
	changed chan struct{} // holds one token when the fields below have changed

	mu              sync.Mutex
	result          lineproto.Result
	done            bool
	err             error         // of a done attempt; nil: the result is complete
	conn            *platformConn // nil: the request is on none yet
	written         bool          // at least in part
	progressReports int           // received so far
}

// maxPlatformConnAttempts bounds the connections tried for one attempt: the node may have closed pooled ones unnoticed.
const maxPlatformConnAttempts = 3

// run implements protocolAttempt.
func (t *platformAttempt) run(ctx context.Context, n *node) (any, error) {
	if n.platform.address == "" {
		return nil, errWrongProtocol
	}
	t.unsent = true
	if err := n.awaitCancelRead(ctx, t); err != nil {
		return nil, err
	}
	for range maxPlatformConnAttempts {
		c, err := n.acquirePlatformConn(ctx, t)
		if errors.Is(err, syscall.ECONNRESET) && ctx.Err() == nil { // a new connection was reset: the machine is up
			continue
		}
		if err != nil {
			return nil, err
		}
		t.setConn(c)
		written, err := t.sendRequest(ctx, n, c)
		if t.unsent = written == 0; errors.Is(err, errNeverSent) { // the connection is as good as before
			c.removeAttempt(t)
			return nil, err
		}
		if err != nil {
			c.close(err)
		}
		if !t.unsent {
			result, err := t.awaitAnswer(ctx, c)
			t.logEnd(c, err)
			return result, err
		}
		t.reset() // nothing was written: another connection may do
		if ctx.Err() != nil {
			return nil, errNeverSent
		}
	}
	return nil, errNotConnected
}

// setConn records the connection that the request goes to.
func (t *platformAttempt) setConn(c *platformConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
}

// reset takes the attempt off a connection on which nothing was written.
func (t *platformAttempt) reset() {
	t.mu.Lock()
	t.conn, t.done, t.err = nil, false, nil
	t.mu.Unlock()
	select {
	case <-t.changed:
	default:
	}
}

// sendRequest writes the request, unless it may not start any more: establishing the connection or writing a command before it may
// have taken long. Meanwhile the client may have disconnected, the deadline or the window of an idempotency key have passed, or the
// node have begun to drain or left its address.
func (t *platformAttempt) sendRequest(ctx context.Context, n *node, c *platformConn) (written int, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if t.checkSendPermitted(ctx, n) != permit.Permitted {
		return 0, errNeverSent
	}
	q := *t.call
	q.TTLMillis = (t.spec.Deadline - t.fleet.clock.Now() + 999) / 1000 // rounded up to milliseconds
	if t.spec.HasResources {
		q.MemoryMB, q.Priority = int64(t.spec.MemoryMB), t.spec.Priority
	}
	const headerSize = 200 // bytes, an estimate
	written, err = c.writeRequestLocked(ctx, q.Append(make([]byte, 0, len(q.Text)+headerSize)))
	switch {
	case written > 0:
		t.mu.Lock()
		t.written = true
		t.mu.Unlock()
		t.auditStart(n)
		t.logStart(c)
	case err != nil && ctx.Err() != nil:
		return 0, errNeverSent
	}
	return written, err
}

// awaitAnswer waits for the answer and requests its further pages.
func (t *platformAttempt) awaitAnswer(ctx context.Context, c *platformConn) (any, error) {
	requested := false
	for {
		select {
		case <-t.changed:
		case <-ctx.Done():
			t.abandon(ctx, c)
			return nil, t.abandonedError(ctx)
		}
		t.mu.Lock()
		done, err, pages := t.done, t.err, t.result.TotalPages()
		t.mu.Unlock()
		switch {
		case done && err == nil:
			if pages > 1 {
				_ = c.write(lineproto.AppendClose(nil, t.call.ID)) // the node discards its pages by itself, if later
			}
			c.removeAttempt(t)
			return &t.result, nil
		case done:
			c.removeAttempt(t)
			return nil, err
		case pages > 1 && !requested:
			requested = true
			var b []byte
			for i := 1; i < pages; i++ {
				b = lineproto.AppendPage(b, t.call.ID, i)
			}
			_ = c.write(b) // an error ends the connection, and with it this attempt
		}
	}
}

// abandon tells the node that nobody waits any more. A connection on which an answer is overdue is not used again: the machine may
// be gone.
func (t *platformAttempt) abandon(ctx context.Context, c *platformConn) {
	t.mu.Lock()
	t.done = true
	t.mu.Unlock()
	if errors.Is(context.Cause(ctx), errTimedOut) {
		c.markRetired()
	}
	c.recordCancel(t)
	if err := c.write(lineproto.AppendCancel(nil, t.call.ID)); err != nil { // closing the connection drops the request as well
		c.close(err)
	}
	c.removeAttempt(t)
}

// abandonedError is the cause of an abandoned attempt, with how far its answer had come.
func (t *platformAttempt) abandonedError(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Errorf("%w, after %d notes and %d of %d pages", context.Cause(ctx), t.progressReports, t.result.ReceivedPages(), t.result.TotalPages())
}

// connClosed ends the attempt with its connection. It ignores a connection on which nothing was written: the attempt may be on another
// one by now.
func (t *platformAttempt) connClosed(c *platformConn, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == c && !t.done {
		t.done, t.err = true, &connectionError{cause}
		t.notify()
	}
}

// notify wakes awaitAnswer.
func (t *platformAttempt) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// receive takes one answer of the node; an error ends the connection.
func (t *platformAttempt) receive(c *platformConn, a *lineproto.Answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || t.conn != c {
		c.logDiscarded(a)
		return nil
	}
	if load := platformLoad(a.Field("rep")); load != nil {
		t.load = load
	}
	switch a.Kind {
	case lineproto.Data, lineproto.Page:
		return t.receivePage(a)
	case lineproto.Progress:
		t.progressReports++
		if p, ok := platformProgress(a.Field("why"), a.Field("datum")); ok {
			p.ID, p.Attempt, p.Endpoint = t.spec.Query.ID, t.spec.Number, t.spec.Node
			t.fleet.post.Notify(p)
		}
		return nil
	case lineproto.AtCapacity, lineproto.Expired, lineproto.Failed:
		t.done, t.err = true, t.nodeError(a.Kind)
		t.notify()
	}
	return nil
}

// nodeError is the error that a node's answer means. Once the first page is there the request has run, whatever the node says of a
// further page; t.mu is held.
func (t *platformAttempt) nodeError(kind lineproto.AnswerKind) error {
	switch {
	case t.result.Started():
		return errNodeFailed
	case kind == lineproto.AtCapacity:
		return errNodeAtCapacity
	case kind == lineproto.Expired:
		return errNodeExpired
	}
	return errNodeFailed
}

// receivePage adds a page to the result; t.mu is held.
func (t *platformAttempt) receivePage(a *lineproto.Answer) error {
	first := !t.result.Started()
	done, err := t.result.Add(a)
	if err != nil {
		return err
	}
	if t.done = done; done || first {
		t.notify()
	}
	return nil
}

// classify implements protocolAttempt.
func (t *platformAttempt) classify(err error) (policy.Code, bool) {
	var format *lineproto.FormatError
	switch {
	case errors.Is(err, errNodeAtCapacity):
		return policy.Rejected, false
	case errors.Is(err, errNodeExpired), errors.Is(err, errPoolExhausted): // not the node's fault
		return policy.NeverSent, false
	case errors.Is(err, errNodeFailed), errors.As(err, &format):
		return policy.Failed, false
	}
	return policy.ConnectionReset, false
}

// cleanUp implements protocolAttempt.
func (t *platformAttempt) cleanUp() {}

// setPriority changes the priority of the request while its node has it. A command that waited behind another one must not reach the
// node before the request, nor after its end, where it would mean a further attempt.
func (t *platformAttempt) setPriority(priority int) {
	t.mu.Lock()
	c := t.conn
	t.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.writeIf(t.isRunning, lineproto.AppendSetPriority(nil, t.call.ID, priority)) // advice: losing it costs little
}

// isRunning tells that the request was written and has not ended.
func (t *platformAttempt) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written && !t.done
}
