package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"embershunt/simulated"
)

// serverConn is one connection to a Server.
type serverConn struct {
	server *Server
	conn   net.Conn
	number int // 1 for the first connection that the server accepted, 2 for the next; recorded in Arrival.Conn

	opened        time.Duration // when the connection was accepted, since the start of the run
	input         countingReader
	reader        *bufio.Reader // on input
	initialUnread int64         // bytes that waited in the socket's buffer when reading began

	mu      sync.Mutex
	pending map[string]*pendingRequest // by request ID
	lost    map[string]bool            // IDs of requests whose further pages are lost
}

// pendingRequest is a request that has not been answered. Its timer answers it.
type pendingRequest struct {
	arrival *Arrival
	timer   *time.Timer
}

// serve reads and executes commands until the connection ends or a command requires that it is closed.
func (s *Server) serve(conn net.Conn, number int) {
	defer s.done.Done()
	c := &serverConn{server: s, conn: conn, number: number, pending: map[string]*pendingRequest{}, lost: map[string]bool{}}
	defer c.close()
	f := s.currentFaults()
	if s.chance(f.ResetNew) {
		simulated.ResetConn(conn)
		return
	}
	c.opened = s.record.now()
	time.Sleep(f.ReadDelay)
	c.input.conn, c.initialUnread = conn, unreadBytes(conn)
	c.reader = bufio.NewReader(&c.input)
	for {
		c.setIdleDeadline()
		begin := c.position()
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return
		}
		if !c.command(strings.Fields(line), begin) {
			return
		}
	}
}

// position returns how many bytes have been taken from reader, which is where the next command begins.
func (c *serverConn) position() int64 { return c.input.read - int64(c.reader.Buffered()) }

// arrivedAt returns the earliest time at which a request can have reached the node's machine. The request begins at the given position
// and has just been read. If it waited in the socket's buffer when reading began, it may have come as soon as the connection was open.
func (c *serverConn) arrivedAt(begin int64) time.Duration {
	if begin < c.initialUnread {
		return c.opened
	}
	return c.server.record.now()
}

// setIdleDeadline limits the wait for the next command to the idle timeout, unless a request is pending.
func (c *serverConn) setIdleDeadline() {
	idle := c.server.currentFaults().IdleTimeout
	if idle == 0 {
		idle = idleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	if len(c.pending) == 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.conn.SetReadDeadline(deadline) // fails on a closed connection only, as the read then does
}

// close closes the connection and ends the requests that are pending on it, without an answer.
func (c *serverConn) close() {
	c.server.mu.Lock()
	delete(c.server.conns, c.conn)
	c.server.mu.Unlock()
	_ = c.conn.Close() // it may have been reset already
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.pending {
		r.timer.Stop()
		c.server.record.change(func() { r.arrival.Ended = c.server.record.now() })
		delete(c.pending, id)
	}
}

// command executes one command, which begins at the given position. It returns false where the connection must be closed.
func (c *serverConn) command(words []string, begin int64) bool {
	if len(words) < 2 {
		return false
	}
	switch words[0] {
	case "GET":
		if len(words) != 4 {
			return false
		}
		length, err := strconv.Atoi(words[3])
		if err != nil {
			return false
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(c.reader, text); err != nil {
			return false
		}
		return c.get(words[1], words[2], begin)
	case "DROP":
		c.finish(words[1])
	case "PING":
		c.write(simulated.PlatformAnswer(words[1], "well", "", ""))
	case "PAGE":
		if len(words) == 3 {
			c.page(words[1], words[2])
		}
	}
	return true
}

// meanLateness is the mean delay of an answer that is sent again or that follows an error. One draw in a thousand exceeds 8 ms.
const meanLateness = 2 * time.Millisecond

// page answers the request for a further page. Where the pages are lost, it answers "failed": at once for the page with index 1, late
// for the others.
func (c *serverConn) page(id, index string) {
	c.mu.Lock()
	lost := c.lost[id]
	c.mu.Unlock()
	if !lost {
		c.write(simulated.PlatformAnswer(id, "page", "index="+index, id+"\tpage\t"+index+"\n"))
		return
	}
	failed := simulated.PlatformAnswer(id, "failed", "", "")
	if index == "1" {
		c.write(failed)
		return
	}
	c.writeLater(failed)
}

// writeLater writes after a short random delay.
func (c *serverConn) writeLater(text string) {
	time.AfterFunc(c.server.drawWork(meanLateness, 1), func() { c.write(text) })
}

// finish ends a pending request. It returns false where no request with that ID is pending.
func (c *serverConn) finish(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.pending[id]
	if r == nil {
		return false
	}
	r.timer.Stop()
	delete(c.pending, id)
	c.server.record.change(func() { r.arrival.Ended = c.server.record.now() })
	return true
}

// write writes to the connection within a second. It ignores errors: the dispatcher notices that the answer is missing.
func (c *serverConn) write(text string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails on a closed connection only, as the write then does
	_, _ = io.WriteString(c.conn, text)                      // the dispatcher may have closed the connection
}

// get records a request and executes it, subject to the current faults. It returns false where the connection must be closed.
func (c *serverConn) get(id, fields string, begin int64) bool {
	f, record := c.server.currentFaults(), c.server.record
	a := &Arrival{ID: id, Node: c.server.id, Conn: c.number, At: c.arrivedAt(begin)}
	meanWork := a.parseFields(fields)
	record.addArrival(a)
	duration := c.server.drawWork(meanWork, max(f.Slowdown, 1))
	chance := c.server.chance
	switch {
	case f.Hang:
		c.neverAnswer(a)
	case chance(f.Full):
		record.change(func() { a.Full = true })
		c.answerAfter(0, a, simulated.PlatformAnswer(id, "full", "", ""))
	case chance(f.Fail):
		if chance(0.5) {
			c.markRan(a)
		}
		c.answerAfter(0, a, simulated.PlatformAnswer(id, "failed", "", ""))
	case chance(f.LostAnswer):
		c.markRan(a)
		c.neverAnswer(a)
	case chance(f.ResetDuring):
		if chance(0.5) {
			c.markRan(a)
		}
		record.change(func() { a.Ended = record.now() })
		simulated.ResetConn(c.conn)
		return false
	case chance(f.Malformed):
		c.markRan(a)
		c.answerAfter(duration, a, "\x01\x02 what is this\r\n")
	case chance(f.Incomplete):
		c.markRan(a)
		c.answerAfter(duration, a, id+" data total=1 5000\r\n"+strings.Repeat("x\ty\tz\n", 10))
	default:
		c.markRan(a)
		c.answerAfter(duration, a, c.drawResult(id, f))
	}
	return true
}

// parseFields sets the TTL and the idempotency key from the fields of a GET command. It returns the mean work of the class in them, or
// of the first class where they name no known one.
func (a *Arrival) parseFields(fields string) (meanWork time.Duration) {
	meanWork = classes[0].MeanWork
	for field := range strings.SplitSeq(fields, ",") {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "ttl":
			ms, _ := strconv.Atoi(value) // 0 where the value is not a number
			a.TTL = time.Duration(ms) * time.Millisecond
		case "dedupe":
			a.Key = value
		case "lane":
			for _, class := range classes {
				if class.Name == value {
					meanWork = class.MeanWork
				}
			}
		}
	}
	return meanWork
}

// drawResult draws a result of one page or three, subject to faults, and returns the answer with its first page.
func (c *serverConn) drawResult(id string, f ServerFaults) string {
	copies, pages := 1, 1
	if c.server.chance(f.Duplicate) {
		copies = 2
	}
	if c.server.chance(0.2) {
		pages = 3
	}
	if c.server.chance(f.LostPages) {
		pages = 3
		c.mu.Lock()
		c.lost[id] = true
		c.mu.Unlock()
	}
	return strings.Repeat(simulated.PlatformAnswer(id, "data", fmt.Sprintf("total=%d,rep=busy:0.2;rif:2", pages), id+"\tpage\t0\n"), copies)
}

// markRan records that a request ran and had its effect.
func (c *serverConn) markRan(a *Arrival) {
	c.server.record.change(func() { a.Ran = true })
}

// answerAfter answers a request after the given time, unless the request has been dropped or the connection has ended by then.
func (c *serverConn) answerAfter(d time.Duration, a *Arrival, text string) {
	c.addPending(a, d, func() {
		if c.finish(a.ID) {
			c.write(text)
			if c.server.chance(c.server.currentFaults().LateCopy) {
				c.writeLater(text)
			}
		}
	})
}

// neverAnswer leaves a request pending until it is dropped or the connection ends. Its timer does nothing.
func (c *serverConn) neverAnswer(a *Arrival) { c.addPending(a, time.Hour, func() {}) }

// addPending makes a request pending, and calls expire after the given time unless the request is finished before.
func (c *serverConn) addPending(a *Arrival, d time.Duration, expire func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[a.ID] = &pendingRequest{arrival: a, timer: time.AfterFunc(d, expire)}
}
