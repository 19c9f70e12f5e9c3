package backend

import (
	"context"
	"fmt"
	"strings"

	"embershunt/internal/lineproto"
)

// A cancel command names the request, not the attempt, and a retry goes to another connection. A node that reads the cancel after the
// retry's request may therefore cancel the retry. So a retry at the same node first waits for the answer to a ping that was sent after
// the cancel on the same connection.

// errCancelUnread means that a node may not have read the cancel of an earlier attempt.
var errCancelUnread = fmt.Errorf("the node has not confirmed that it read the cancel of an earlier attempt: %w", errNeverSent)

// barrierTagPrefix begins the tag of a ping that follows a cancel; the id of the cancelled request is the rest of the tag.
const barrierTagPrefix = "cancelled-"

// awaitCancelRead waits until the node has read the cancel of every earlier attempt of the request.
func (n *node) awaitCancelRead(ctx context.Context, t *platformAttempt) error {
	if t.spec.Number == 0 {
		return nil
	}
	for c := n.platform.connWithUnreadCancel(t.call.ID); c != nil; c = n.platform.connWithUnreadCancel(t.call.ID) {
		if err := c.awaitBarrier(ctx, t.call.ID); err != nil {
			return err
		}
	}
	return nil
}

// connWithUnreadCancel returns a connection on which the node has not confirmed the cancel of a request; nil if there is none.
func (p *platformPool) connWithUnreadCancel(id string) *platformConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range [][]*platformConn{p.idle, p.busy} {
		for _, c := range list {
			if c.cancelUnread(id) {
				return c
			}
		}
	}
	return nil
}

// cancelUnread reports whether a cancel of the request was recorded on this connection and has not been confirmed.
func (c *platformConn) cancelUnread(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadCancels.contains(id)
}

// recordCancel records that the cancel of an attempt is about to be written.
func (c *platformConn) recordCancel(t *platformAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadCancels.add(t.call.ID, c.fleet.clock.Now(), t.spec.Query.Deadline)
}

// awaitBarrier pings the node and waits for the answer, at most for the connect timeout. Its only error is errCancelUnread.
func (c *platformConn) awaitBarrier(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.fleet.options.ConnectTimeout)
	defer cancel()
	answered := make(chan struct{})
	c.setBarrier(id, answered)
	defer c.setBarrier(id, nil)
	if err := c.write(lineproto.AppendPing(nil, barrierTagPrefix+id)); err != nil {
		c.close(err)
		return errCancelUnread
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return errCancelUnread
	}
}

// setBarrier sets the channel that is closed when the node answers the ping for a request; nil removes the channel.
func (c *platformConn) setBarrier(id string, answered chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.barriers == nil {
		c.barriers = map[string]chan struct{}{}
	}
	if c.barriers[id] = answered; answered == nil {
		delete(c.barriers, id)
	}
}

// confirmCancel processes the answer to a ping; it returns false if no attempt waits for that answer.
func (c *platformConn) confirmCancel(tag string) bool {
	id, ok := strings.CutPrefix(tag, barrierTagPrefix)
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := c.barriers[id]
	if !ok || answered == nil {
		return false
	}
	delete(c.barriers, id)
	c.unreadCancels.remove(id)
	close(answered)
	return true
}
