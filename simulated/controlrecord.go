package simulated

import (
	"context"
	"time"
)

// Push is the record of one endpoint list sent to one dispatcher.
type Push struct {
	At         time.Time
	Dispatcher string
	Draining   []string // node names
	Healthy    []string // node names
	Nonce      string
	Rejected   bool // the dispatcher replied with a NACK
}

// Reply is a dispatcher's ACK or NACK of one response.
type Reply struct {
	At             time.Time
	Dispatcher     string
	Type           string // type URL of the response
	Version, Nonce string
	ErrorMessage   string // the error message of a NACK; "" for an ACK
}

// maxReplies is how many earlier replies are kept when a reply is recorded.
const maxReplies = 100000

// Pushed returns the endpoint lists sent, including rejected ones but not malformed ones.
func (c *Control) Pushed() []Push {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Push(nil), c.pushed...)
}

// Replies returns the ACKs and NACKs of all dispatchers, in order of arrival.
func (c *Control) Replies() []Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Reply(nil), c.replies...)
}

// Nacks returns the error messages of the NACKs among Replies.
func (c *Control) Nacks() (out []string) {
	for _, r := range c.Replies() {
		if r.ErrorMessage != "" {
			out = append(out, r.ErrorMessage)
		}
	}
	return out
}

// StreamStarts returns when each stream had its first request, in order.
func (c *Control) StreamStarts() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.streamStarts...)
}

// BytesSent returns the encoded size of all resources sent, in bytes.
func (c *Control) BytesSent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes
}

// Await waits until condition holds, or returns ctx's error. It checks again after each request or reply of a dispatcher. The
// condition may call the service's methods.
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
