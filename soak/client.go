package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"embershunt/internal/clock"
	"embershunt/policy"
)

// ClientBehavior sets how a client behaves. The shares, from 0 to 1, are of its batches; a batch is one request or a few sent at once.
type ClientBehavior struct {
	ThinkTime           time.Duration // mean pause between two batches
	CancelShare         float64       // cancelled with a CancelRequest
	DisconnectShare     float64       // abandoned by closing the connection
	BurstShare          float64       // of up to three requests; the others have one
	SlowWriteShare      float64       // written in pieces
	ImmediateRetryShare float64       // share of rejections that are followed by the next request without backoff
}

// client sends requests to one dispatcher for as long as the run lasts, over one session at a time.
type client struct {
	record     *Record
	dispatcher *Dispatcher
	behavior   ClientBehavior
	rng        *rand.Rand
	session    *session // nil: not connected
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer func() {
		if c.session != nil {
			c.session.drop()
		}
	}()
	for clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.behavior.ThinkTime))) {
		if c.session != nil && !c.session.isIdle() { // the dispatcher closed the idle session
			c.session.drop()
			c.session = nil
		}
		if c.session == nil && !c.connect(ctx) {
			continue
		}
		c.send(ctx, 1+c.rng.IntN(3)*c.bernoulli(c.behavior.BurstShare), 0, c.drawClass())
	}
}

func (c *client) drawClass() *Class { return classes[c.rng.IntN(len(classes))] }

// bernoulli draws 1 with probability p, and 0 otherwise.
func (c *client) bernoulli(p float64) int {
	if c.rng.Float64() < p {
		return 1
	}
	return 0
}

// connect opens a session if clients may connect now. It returns false where no session was opened.
func (c *client) connect(ctx context.Context) bool {
	if !c.dispatcher.connectable() {
		return false
	}
	s, err := openSession(ctx, c.dispatcher.listen)
	if err == nil {
		c.session = s
	}
	return err == nil
}

// send sends a batch of count requests and waits for the answers. retries is 1 where the batch replaces a request that raced with a
// close, and 0 otherwise.
func (c *client) send(ctx context.Context, count, retries int, class *Class) {
	s, fresh := c.session, c.session.fresh
	s.fresh = false
	batch, message := c.newBatch(count, class)
	if c.bernoulli(c.behavior.SlowWriteShare) == 1 {
		message = c.writePieces(ctx, s, message)
	}
	writeStart := c.record.now()
	_, err := s.Write(message)
	for _, q := range batch {
		q.Sent = c.record.now()
		c.record.addRequest(q)
	}
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) { // closed before the dispatcher could read a whole request
		for _, q := range batch {
			c.record.change(func() { q.Outcome, q.RacedClose, q.Ended = Closed, true, writeStart })
		}
		c.replaceSession(ctx, retries, class, false)
		return
	}
	c.receive(ctx, s, batch, fresh, retries)
}

// newBatch draws requests of a class, and returns them with the Query messages that send them.
func (c *client) newBatch(count int, class *Class) (batch []*Request, message []byte) {
	// All requests share one timeout: answers come in the order of the requests, so a later request cannot be answered before an
	// earlier one.
	timeout := time.Duration((0.6 + 0.4*c.rng.Float64()) * float64(class.Deadline)).Truncate(time.Millisecond)
	for range count {
		q := &Request{ID: fmt.Sprintf("%016x", c.rng.Uint64()), Dispatcher: c.dispatcher.number,
			Incarnation: c.dispatcher.incarnationNumber(), Class: class, Timeout: timeout}
		nonce := ""
		if class.Effect == policy.IdempotentByKey {
			q.Key = q.ID + "k"
			nonce = ",nonce=" + q.Key
		}
		message = append(message, queryMessage(fmt.Sprintf("/* route=%s,trace=%s,patience=%d%s */ SELECT a FROM sales_%d.orders", class.Name, q.ID,
			q.Timeout.Milliseconds(), nonce, c.rng.IntN(8)))...)
		batch = append(batch, q)
	}
	return batch, message
}

// writePieces writes the first bytes of a message in two pieces, each followed by a pause, and returns the rest of the message.
func (c *client) writePieces(ctx context.Context, s *session, message []byte) []byte {
	for range 2 {
		n := min(len(message)/2, 40)
		_, _ = s.Write(message[:n]) // after an error the caller's write of the rest fails too
		message = message[n:]
		clock.Sleep(ctx, time.Duration(1+c.rng.IntN(15))*time.Millisecond)
	}
	return message
}

// closeRaceWindow is how long after a request was sent the end of its connection may still be the dispatcher's close of an idle
// connection, which the request met on its way.
const closeRaceWindow = 50 * time.Millisecond

// receive waits for the answers to a batch, unless the client abandons it first. After a rejection it waits for the backoff, unless the
// client retries immediately.
func (c *client) receive(ctx context.Context, s *session, batch []*Request, fresh bool, retries int) {
	abandonAfter, backoff := time.Duration(0), time.Duration(0)
	cancels := c.bernoulli(c.behavior.CancelShare) == 1
	if cancels || c.bernoulli(c.behavior.DisconnectShare) == 1 {
		abandonAfter = time.Duration(c.rng.ExpFloat64() * float64(40*time.Millisecond))
	}
	for i, q := range batch {
		a, ok := c.awaitAnswer(ctx, s, q, abandonAfter)
		if !ok {
			c.abandon(batch[i:], s, cancels && abandonAfter > 0)
			return
		}
		outcome, detail := a.outcome(q.ID)
		now := c.record.now()
		raced := outcome == Closed && i == 0 && !fresh && now-q.Sent <= closeRaceWindow
		c.record.change(func() { q.Outcome, q.Detail, q.Ended, q.RacedClose = outcome, detail, now, raced })
		switch {
		case outcome == Closed:
			for _, rest := range batch[i+1:] {
				c.record.change(func() { rest.Outcome, rest.Detail, rest.Ended, rest.RacedClose = Closed, detail, now, raced })
			}
			c.replaceSession(ctx, retries, q.Class, raced)
			return
		case outcome == Rejected && c.bernoulli(c.behavior.ImmediateRetryShare) == 0:
			backoff = max(backoff, min(max(a.retryAfter, 20*time.Millisecond), time.Second))
		}
	}
	clock.Sleep(ctx, backoff)
}

// replaceSession drops a session that has ended. With resend, it sends a new request of the same class on a new session, in place of a
// request that raced with the close; it does so once, not for the replacement.
func (c *client) replaceSession(ctx context.Context, retries int, class *Class, resend bool) {
	c.session.drop()
	c.session = nil
	if resend && retries == 0 && c.connect(ctx) {
		c.send(ctx, 1, retries+1, class)
	}
}

// lateAnswerWait is how long after the timeout of a request its client still waits for the answer.
const lateAnswerWait = 700 * time.Millisecond

// awaitAnswer waits for one answer. ok is false where abandonAfter (0: never) or the timeout plus lateAnswerWait has passed, or the run
// has ended.
func (c *client) awaitAnswer(ctx context.Context, s *session, q *Request, abandonAfter time.Duration) (a answer, ok bool) {
	wait := q.Timeout + lateAnswerWait - (c.record.now() - q.Sent)
	if abandonAfter > 0 {
		wait = min(wait, abandonAfter)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case a, ok = <-s.answers:
		if !ok {
			a.err, ok = net.ErrClosed, true
		}
		return a, ok
	case <-t.C:
	case <-ctx.Done():
	}
	return a, false
}

// cancelGrace is how long a session stays open after its CancelRequest.
const cancelGrace = 500 * time.Millisecond

// abandon gives up requests whose answers have not come: by a CancelRequest and a close after cancelGrace, or by a close alone. Requests
// whose timeout has passed stay Pending, so that the checker reports the missing answer.
func (c *client) abandon(batch []*Request, s *session, cancel bool) {
	c.session = nil
	now := c.record.now()
	for _, q := range batch {
		c.record.change(func() {
			if now-q.Sent < q.Timeout {
				q.Outcome, q.AbandonedAt, q.Ended = Abandoned, now, now
			}
		})
	}
	if !cancel {
		s.drop()
		return
	}
	s.sendCancel(c.dispatcher.listen)
	time.AfterFunc(cancelGrace, s.drop)
}
