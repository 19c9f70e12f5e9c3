package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"embershunt/internal/lineproto"
)

// platformConn is one connection in the platform's protocol. Its reader belongs to the fleet's group.
type platformConn struct {
	fleet   *Fleet
	id      int64 // in logs; no other connection of the fleet has it
	pool    *platformPool
	conn    net.Conn
	writeMu sync.Mutex // held while one command is written

	mu       sync.Mutex
	attempts map[string]*platformAttempt // by request id
	carried  requestIDs                  // of all attempts, past ones too: it carries one attempt of a request at most
	retired  bool                        // takes no more attempts
	closed   bool

	unreadCancels requestIDs               // cancelled requests whose cancel the node may not have read
	barriers      map[string]chan struct{} // closed when the node has read the cancel of a request

	discarded int // answers without an attempt; the reader's alone
}

// maxCarriedIDs bounds the requests that a connection remembers. One that has so many takes no more attempts and is closed when it is
// idle.
const maxCarriedIDs = 1024

// newPlatformConn returns a connection that carries its first attempt.
func newPlatformConn(f *Fleet, p *platformPool, conn net.Conn, t *platformAttempt) *platformConn {
	c := &platformConn{fleet: f, id: f.platformConnSerial.Add(1), pool: p, conn: conn, attempts: map[string]*platformAttempt{}}
	c.addAttempt(t)
	return c
}

// takes tells whether an attempt may be added: the connection takes attempts, and has carried none of the same request before.
func (c *platformConn) takes(t *platformAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takesLocked(t)
}

// takesLocked is takes; c.mu is held.
func (c *platformConn) takesLocked(t *platformAttempt) bool {
	return !c.closed && !c.retired && !c.carried.contains(t.call.ID)
}

// addAttempt adds an attempt; false where the connection does not take it.
func (c *platformConn) addAttempt(t *platformAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takesLocked(t) {
		return false
	}
	c.attempts[t.call.ID] = t
	c.carried.add(t.call.ID, c.fleet.clock.Now(), t.spec.Query.Deadline)
	c.retired = c.carried.size() >= maxCarriedIDs
	c.setReadDeadline(time.Time{})
	return true
}

// setReadDeadline sets until when the reader waits for an answer.
func (c *platformConn) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // fails only on a closed connection, which the reader notices
}

// attemptCount counts the attempts on the connection.
func (c *platformConn) attemptCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// markRetired has the connection take no more attempts: it is closed when it is idle.
func (c *platformConn) markRetired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// markRetiredIfIdle retires a connection whose idle time is over; false where an attempt was added in that moment.
func (c *platformConn) markRetiredIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) > 0 {
		return false
	}
	c.retired = true
	return true
}

// removeAttempt takes an attempt off the connection, which goes back to the pool where it can be used again.
func (c *platformConn) removeAttempt(t *platformAttempt) {
	c.mu.Lock()
	delete(c.attempts, t.call.ID)
	idle := len(c.attempts) == 0 && !c.closed
	retired := c.retired
	if idle {
		c.setReadDeadline(time.Now().Add(c.fleet.options.PlatformIdleTimeout))
	}
	c.mu.Unlock()
	if idle && (retired || !c.pool.release(c)) {
		c.close(net.ErrClosed)
	}
}

// close closes the connection and ends all attempts on it.
func (c *platformConn) close(cause error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	attempts := make([]*platformAttempt, 0, len(c.attempts))
	for _, t := range c.attempts { // each by itself: the order does not matter
		attempts = append(attempts, t)
	}
	c.mu.Unlock()
	_ = c.conn.Close() // its attempts end with the cause
	c.logClosed(len(attempts), cause)
	c.fleet.platformConns.Add(-1)
	c.pool.remove(c)
	for _, t := range attempts {
		t.connClosed(c, cause)
	}
}

// readAnswers passes answers to their attempts until the connection ends.
func (c *platformConn) readAnswers() {
	r := lineproto.NewReader(c.conn)
	for {
		err := r.Await()
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.markRetiredIfIdle() {
			continue
		}
		if err != nil {
			c.close(err)
			return
		}
		a, err := r.Read()
		if err != nil {
			c.close(err)
			return
		}
		if a.Kind == lineproto.Pong && c.confirmCancel(a.ID) {
			continue
		}
		c.mu.Lock()
		t := c.attempts[a.ID]
		c.mu.Unlock()
		if t == nil { // abandoned, answered before, or never requested here
			c.logDiscarded(&a)
			continue
		}
		if err := t.receive(c, &a); err != nil {
			c.close(err)
			return
		}
	}
}

// Bounds of the writing of one command: a node that does not read must not hold the attempt for long. A request has less time: the
// permission to start it is checked before it is written, and the limits that it keeps are extended by so much.
const (
	commandWriteTimeout = time.Second
	requestWriteTimeout = 50 * time.Millisecond
)

// write writes one command.
func (c *platformConn) write(b []byte) error {
	return c.writeIf(func() bool { return true }, b)
}

// writeIf writes one command, unless it is not wanted any more when the commands before it have been written.
func (c *platformConn) writeIf(wanted func() bool, b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !wanted() {
		return nil
	}
	c.setWriteDeadline(time.Now().Add(commandWriteTimeout))
	_, err := c.conn.Write(b)
	return err
}

// writeRequestLocked writes a request within requestWriteTimeout, and no longer than ctx lasts; c.writeMu is held.
func (c *platformConn) writeRequestLocked(ctx context.Context, b []byte) (written int, err error) {
	c.setWriteDeadline(time.Now().Add(requestWriteTimeout))
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.setWriteDeadline(expired)
		close(interrupted)
	})
	written, err = c.conn.Write(b)
	if !stop() {
		<-interrupted // it must not hit the next command
	}
	return written, err
}

// setWriteDeadline sets until when a write may block.
func (c *platformConn) setWriteDeadline(at time.Time) {
	_ = c.conn.SetWriteDeadline(at) // fails only on a closed connection, where the write fails as well
}
