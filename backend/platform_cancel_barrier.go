package backend

import (
	"context"
	"fmt"
	"strings"

	"embershunt/internal/lineproto"
)

// A cancel names the request, not the attempt, and a retry goes to another connection: a node that reads the cancel behind the retry's
// request may cancel the retry. So a retry at the same node waits until a ping behind the cancel has been answered.

// errCancelUnread means that a node may not have read the cancel of the attempt before.
var errCancelUnread = fmt.Errorf("the node has not confirmed that it read the cancel of the attempt before: %w", errNeverSent)

// barrierTagPrefix begins the tags of such pings; the request's id follows.
const barrierTagPrefix = "cancelled-"

// awaitCancelRead waits until the node has read the cancel of every earlier attempt of the request.
func (n *node) awaitCancelRead(ctx context.Context, t *platformAttempt) error {
	if t.spec.Number == 0 {
		return nil
	}
	for c := n.platform.withUnreadCancel(t.call.ID); c != nil; c = n.platform.withUnreadCancel(t.call.ID) {
		if err := c.awaitBarrier(ctx, t.call.ID); err != nil {
			return err
		}
	}
	return nil
}

// withUnreadCancel is a connection on which a request was cancelled and the node has not confirmed it; nil if there is none.
func (p *platformPool) withUnreadCancel(id string) *platformConn {
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

// cancelUnread tells whether a cancel of the request was written here and is not confirmed.
func (c *platformConn) cancelUnread(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadCancels.contains(id)
}

// recordCancel records that the cancel of an attempt is to be written.
func (c *platformConn) recordCancel(t *platformAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadCancels.add(t.call.ID, c.fleet.clock.Now(), t.spec.Query.Deadline)
}

// awaitBarrier pings the node and waits for the answer, for the connect timeout at most. An error is errCancelUnread.
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

// setBarrier sets the channel that the answer to a ping closes; nil: nobody waits for it any more.
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

// confirmCancel takes the answer to a ping; false where nobody waits for it.
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
