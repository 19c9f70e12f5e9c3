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

// ClientBehavior is how a client behaves; shares are of its requests or batches, from 0 to 1.
type ClientBehavior struct {
	ThinkTime           time.Duration // mean time between two requests
	CancelShare         float64       // cancelled with a CancelRequest
	DisconnectShare     float64       // abandoned by closing the connection
	BurstShare          float64       // several requests sent at once
	SlowWriteShare      float64       // written in pieces
	ImmediateRetryShare float64       // a rejection is followed by the next request without backoff
}

// client sends requests to one dispatcher for as long as the run lasts.
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
		if c.session != nil && !c.session.isIdle() { // the dispatcher closed it while it was idle
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

// bernoulli draws 1 with probability p, else 0.
func (c *client) bernoulli(p float64) int {
	if c.rng.Float64() < p {
		return 1
	}
	return 0
}

// connect opens a session where the dispatcher accepts new connections now; false where it failed.
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

// send sends some requests at once and waits for their answers. retries counts how often one was sent before.
func (c *client) send(ctx context.Context, count, retries int, class *Class) {
	s, fresh := c.session, c.session.fresh
	s.fresh = false
	batch, message := c.newBatch(count, class)
	if c.bernoulli(c.behavior.SlowWriteShare) == 1 {
		message = c.writePieces(ctx, s, message)
	}
	before := c.record.now()
	_, err := s.Write(message)
	for _, q := range batch {
		q.Sent = c.record.now()
		c.record.addRequest(q)
	}
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) { // closed before: the dispatcher read nothing
		for _, q := range batch {
			c.record.change(func() { q.Outcome, q.RacedClose, q.Ended = Closed, true, before })
		}
		c.replaceSession(ctx, retries, class, false)
		return
	}
	c.receive(ctx, s, batch, fresh, retries)
}

// newBatch draws requests of a class, and the bytes that send them.
func (c *client) newBatch(count int, class *Class) (batch []*Request, message []byte) {
	// One timeout for all: answers come in the order of the requests, and a later one cannot be given before an earlier one is.
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

// writePieces writes the first bytes of a message in two pieces with pauses, and returns what is left to write.
func (c *client) writePieces(ctx context.Context, s *session, message []byte) []byte {
	for range 2 {
		n := min(len(message)/2, 40)
		_, _ = s.Write(message[:n]) // the write of the last piece fails too
		message = message[n:]
		clock.Sleep(ctx, time.Duration(1+c.rng.IntN(15))*time.Millisecond)
	}
	return message
}

// closeRaceWindow is how soon after it was sent a request may meet the dispatcher's close of an idle connection.
const closeRaceWindow = 50 * time.Millisecond

// receive waits for the answers of a batch, unless the client abandons it first.
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

// replaceSession drops a session that has ended; a request that raced with its close is sent once more on a new one.
func (c *client) replaceSession(ctx context.Context, retries int, class *Class, resend bool) {
	c.session.drop()
	c.session = nil
	if resend && retries == 0 && c.connect(ctx) {
		c.send(ctx, 1, retries+1, class)
	}
}

// lateAnswerWait is how long after its deadline a late answer is still waited for.
const lateAnswerWait = 700 * time.Millisecond

// awaitAnswer waits for one answer; ok is false where abandonAfter (0: never) or the last moment passes, or the run ends.
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

// cancelGrace is how long a session stays open behind its CancelRequest.
const cancelGrace = 500 * time.Millisecond

// abandon gives up requests whose answers have not come: by a CancelRequest and a close after cancelGrace, or by a close alone.
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
