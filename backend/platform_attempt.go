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
	errNodeAtCapacity = errors.New("the node rejected the request: it is at capacity")
	errNodeExpired    = errors.New("the node did not run the request: its time had passed")
	errNodeFailed     = errors.New("the node answered with an error")
	errPoolExhausted  = errors.New("connection limit reached, and no connection to the node takes another attempt")
)

// connectionError means that an attempt ended because its connection ended.
type connectionError struct{ err error }

// Error returns the message, which includes why the connection ended.
func (e *connectionError) Error() string { return "the connection to the node ended: " + e.err.Error() }

// Unwrap returns the error that ended the connection.
func (e *connectionError) Unwrap() error { return e.err }

// platformAttempt makes an attempt in the platform's protocol. The reader goroutine of its connection stores the answer; run waits for
// the answer.
type platformAttempt struct {
	*attempt
	call    *lineproto.Request
	changed chan struct{} // capacity 1; holds a value while awaitAnswer has a change to process

	mu              sync.Mutex
	result          lineproto.Result
	done            bool
	err             error         // set when done; nil: the result is complete
	conn            *platformConn // nil: the attempt has no connection
	written         bool          // at least a part of the request was written
	progressReports int           // received so far
}

// maxPlatformConnAttempts bounds the connections tried for one attempt. More than one may be needed because the node may have closed
// pooled connections, which is noticed only when they are used.
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
		if errors.Is(err, syscall.ECONNRESET) && ctx.Err() == nil { // a new connection was reset: the host is up
			continue
		}
		if err != nil {
			return nil, err
		}
		t.setConn(c)
		written, err := t.sendRequest(ctx, n, c)
		if t.unsent = written == 0; errors.Is(err, errNeverSent) { // the connection is unaffected
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
		t.reset() // nothing was written: try another connection
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

// reset detaches the attempt from a connection on which nothing was written.
func (t *platformAttempt) reset() {
	t.mu.Lock()
	t.conn, t.done, t.err = nil, false, nil
	t.mu.Unlock()
	select {
	case <-t.changed:
	default:
	}
}

// sendRequest writes the request and returns how many bytes were written. It first checks whether the attempt may still start, because
// establishing the connection or waiting for another command's write may have taken long: meanwhile the client may have disconnected,
// the deadline or the dedup window may have passed, or the node may have begun to drain, been removed or moved to another address.
// errNeverSent means that nothing was written and that the connection is unaffected.
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
	written, err = c.writeRequestLocked(ctx, &q)
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

// awaitAnswer waits for the complete result. When the first page has arrived it requests the other ones.
func (t *platformAttempt) awaitAnswer(ctx context.Context, c *platformConn) (any, error) {
	pagesRequested := false
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
				_ = c.write(lineproto.AppendClose(nil, t.call.ID)) // if it is lost, the node discards the pages later by itself
			}
			c.removeAttempt(t)
			return &t.result, nil
		case done:
			c.removeAttempt(t)
			return nil, err
		case pages > 1 && !pagesRequested:
			pagesRequested = true
			var b []byte
			for i := 1; i < pages; i++ {
				b = lineproto.AppendPage(b, t.call.ID, i)
			}
			_ = c.write(b) // if it fails, the attempt ends with its connection or at its deadline
		}
	}
}

// abandon cancels the request on the node and detaches the attempt from its connection. A connection on which an attempt timed out
// takes no more attempts, because the node's machine may be down.
func (t *platformAttempt) abandon(ctx context.Context, c *platformConn) {
	t.mu.Lock()
	t.done = true
	t.mu.Unlock()
	if errors.Is(context.Cause(ctx), errTimedOut) {
		c.markRetired()
	}
	c.recordCancel(t)
	if err := c.write(lineproto.AppendCancel(nil, t.call.ID)); err != nil { // closing the connection cancels the request as well
		c.close(err)
	}
	c.removeAttempt(t)
}

// abandonedError returns why the attempt was abandoned, with how much of its answer had arrived.
func (t *platformAttempt) abandonedError(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Errorf("%w, after %d progress reports and %d of %d pages", context.Cause(ctx), t.progressReports,
		t.result.ReceivedPages(), t.result.TotalPages())
}

// connClosed ends the attempt after its connection was closed. It ignores a connection that the attempt has left because nothing was
// written there: the attempt may be on another connection by now.
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

// receive processes one answer of the node. After an error the connection must be closed.
func (t *platformAttempt) receive(c *platformConn, a *lineproto.Answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || t.conn != c {
		c.logDiscarded(a)
		return nil
	}
	if load := parsePlatformLoad(a.Field("rep")); load != nil {
		t.load = load
	}
	switch a.Kind {
	case lineproto.Data, lineproto.Page:
		return t.receivePage(a)
	case lineproto.Progress:
		t.progressReports++
		if p, ok := parsePlatformProgress(a.Field("why"), a.Field("datum")); ok {
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

// nodeError returns the error for an answer of a kind that ends the attempt. Once the first page has arrived the request has run, so
// that every such answer to the request for a further page means errNodeFailed. t.mu is held.
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

// setPriority changes the priority of the request while it runs on its node. The command names the request only, so it must reach the
// node neither before the request nor after its end, where it would apply to a later attempt. Since the command may have to wait for
// the write of another one, this is checked when its turn comes.
func (t *platformAttempt) setPriority(priority int) {
	t.mu.Lock()
	c := t.conn
	t.mu.Unlock()
	if c == nil {
		return
	}
	// Best effort: if the command is lost, the request keeps its old priority, which costs little.
	_ = c.writeIf(t.isRunning, lineproto.AppendSetPriority(nil, t.call.ID, priority))
}

// isRunning reports whether the request was written, at least in part, and has not ended.
func (t *platformAttempt) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written && !t.done
}
