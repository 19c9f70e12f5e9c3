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

// platformConn is one connection to a node in the platform's protocol. Its reader goroutine belongs to the fleet's group.
type platformConn struct {
	fleet   *Fleet
	id      int64 // in logs; unique within the fleet
	pool    *platformPool
	conn    net.Conn
	writeMu sync.Mutex // held while one command is written

	mu       sync.Mutex
	attempts map[string]*platformAttempt // by request id
	carried  requestIDs                  // requests of all attempts, past ones too: a connection carries at most one attempt of a request
	retired  bool                        // takes no more attempts
	closed   bool

	unreadCancels requestIDs               // cancelled requests whose cancel the node may not have read
	barriers      map[string]chan struct{} // by request id; closed when the node has read the cancel of the request

	discarded int // answers that belonged to no attempt; used by the reader goroutine only
}

// maxCarriedIDs bounds the requests that a connection remembers. A connection that has reached it takes no more attempts and is closed
// when it becomes idle.
const maxCarriedIDs = 1024

// newPlatformConn returns a connection with t as its first attempt.
func newPlatformConn(f *Fleet, p *platformPool, conn net.Conn, t *platformAttempt) *platformConn {
	c := &platformConn{fleet: f, id: f.platformConnSerial.Add(1), pool: p, conn: conn, attempts: map[string]*platformAttempt{}}
	c.addAttempt(t)
	return c
}

// canAdd reports whether an attempt may be added: the connection takes attempts and has carried none of the same request before.
func (c *platformConn) canAdd(t *platformAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canAddLocked(t)
}

// canAddLocked is canAdd for callers that hold c.mu.
func (c *platformConn) canAddLocked(t *platformAttempt) bool {
	return !c.closed && !c.retired && !c.carried.contains(t.call.ID)
}

// addAttempt adds an attempt; it returns false if the connection does not take the attempt.
func (c *platformConn) addAttempt(t *platformAttempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canAddLocked(t) {
		return false
	}
	c.attempts[t.call.ID] = t
	c.carried.add(t.call.ID, c.fleet.clock.Now(), t.spec.Query.Deadline)
	c.retired = c.carried.size() >= maxCarriedIDs
	c.setReadDeadline(time.Time{})
	return true
}

// setReadDeadline sets until when the reader waits for an answer; the zero time means without limit.
func (c *platformConn) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // fails only on a closed connection, which the reader notices
}

// attemptCount returns the number of attempts on the connection.
func (c *platformConn) attemptCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// markRetired makes the connection take no more attempts; it is closed when it becomes idle.
func (c *platformConn) markRetired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// markRetiredIfIdle retires a connection whose idle timeout has passed; it returns false if an attempt was added at that moment.
func (c *platformConn) markRetiredIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) > 0 {
		return false
	}
	c.retired = true
	return true
}

// removeAttempt removes an attempt from the connection. When that was the last attempt the connection goes back to the pool, or is
// closed if it is retired or the pool is closed.
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
	for _, t := range c.attempts { // each attempt ends on its own: the order does not matter
		attempts = append(attempts, t)
	}
	c.mu.Unlock()
	_ = c.conn.Close() // its attempts end with cause in any case
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
		if t == nil { // it was abandoned, answered before, or never sent on this connection
			c.logDiscarded(&a)
			continue
		}
		if err := t.receive(c, &a); err != nil {
			c.close(err)
			return
		}
	}
}

// Limits on the time that the write of one command takes: a node that does not read must not block the attempt for long. A request has
// less time: the permission to start it is checked before the write, and package permit tolerates a start that is this much later than
// the deadline or the end of the dedup window.
const (
	commandWriteTimeout = time.Second
	requestWriteTimeout = 50 * time.Millisecond
)

// write writes one command within commandWriteTimeout.
func (c *platformConn) write(b []byte) error {
	return c.writeIf(func() bool { return true }, b)
}

// writeIf writes one command within commandWriteTimeout, if wanted returns true once the commands before it have been written.
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

// writeRequestLocked writes a request within requestWriteTimeout and returns how many bytes were written. The end of ctx interrupts the
// write. c.writeMu is held.
func (c *platformConn) writeRequestLocked(ctx context.Context, q *lineproto.Request) (written int, err error) {
	c.setWriteDeadline(time.Now().Add(requestWriteTimeout))
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.setWriteDeadline(pastDeadline)
		close(interrupted)
	})
	n, err := q.WriteTo(c.conn)
	if !stop() {
		<-interrupted // otherwise its deadline could interrupt the write of the next command
	}
	return int(n), err
}

// setWriteDeadline sets until when a write may block.
func (c *platformConn) setWriteDeadline(at time.Time) {
	_ = c.conn.SetWriteDeadline(at) // fails only on a closed connection, where the write fails as well
}
