package simulated

import (
	"context"
	"time"
)

// Push is one endpoint list as it was sent to one dispatcher.
type Push struct {
	At         time.Time
	Dispatcher string
	Draining   []string
	Healthy    []string
	Nonce      string
	Refused    bool
}

// Reply is a dispatcher's ACK or NACK of one response.
type Reply struct {
	At             time.Time
	Dispatcher     string
	Type           string
	Version, Nonce string
	Refused        string // the error message of a NACK; "" for an ACK
}

// maxReplies bounds the replies recorded.
const maxReplies = 100000

// Pushed returns the endpoint lists that were sent, refused ones too.
func (c *Control) Pushed() []Push {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Push(nil), c.pushed...)
}

// Replies returns the replies of dispatchers, in order.
func (c *Control) Replies() []Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Reply(nil), c.replies...)
}

// Nacks returns the error messages of responses that dispatchers refused.
func (c *Control) Nacks() (out []string) {
	for _, r := range c.Replies() {
		if r.Refused != "" {
			out = append(out, r.Refused)
		}
	}
	return out
}

// Streams returns when each stream had its first request, in order.
func (c *Control) Streams() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.streamStarts...)
}

// Bytes is the size of all resources sent.
func (c *Control) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes
}

// Await waits until a condition on the requests and replies holds, or returns ctx's error. The condition may call the service.
func (c *Control) Await(ctx context.Context, condition func() bool) error {
	for {
		c.mu.Lock()
		changed := c.dispatcherChanged
		c.mu.Unlock()
		if condition() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
