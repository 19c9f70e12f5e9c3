package clickhouse

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/dispatch"
	"embershunt/internal/native"
)

// bufferBytes is the size of a connection's read buffer and of its write buffer. It is small because thousands of idle clients
// hold both; larger reads and writes bypass the buffers.
const bufferBytes = 4 << 10

// inThePast is a deadline that interrupts a read or a write at once.
var inThePast = time.Unix(1, 0)

// connection is a client's connection. One goroutine serves it, a second one may read the next packet in the background, and the
// backend passes the packets of an answer to the connection's answerSink.
type connection struct {
	frontend       *Frontend
	conn           net.Conn
	reader         *native.Reader
	revision       int // negotiated in the handshake
	hello          native.Hello
	session        sessionState
	requests       chan request // results of background reads
	readingAhead   bool         // a background read is under way, or its result is in requests
	group          errgroup.Group
	readAheadTimer *time.Timer
	payload        dispatch.PayloadReservation // of the current query's rows and tables; guarded by payloadAccount's lock
	exceptionSent  bool                        // an Exception of this frontend was written, maybe as the last packet

	mu      sync.Mutex // guards the fields below and the order of writes
	writer  *bufio.Writer
	answer  *answerSink // of the current query
	partial bool        // a packet of the current answer was written only in part
}

func newConnection(f *Frontend, conn net.Conn) *connection {
	return &connection{frontend: f, conn: conn, reader: native.NewReaderSize(conn, f.options.MaxPacketBytes, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes)}
}

// serve runs the connection from its handshake to its end. The caller closes the connection.
func (c *connection) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.interruptReads)
	defer stop()
	if err := c.handshake(); err != nil {
		return err
	}
	c.requests = make(chan request, 1)
	err := c.run(ctx)
	c.session.close(c.frontend.options.Sessions)
	c.interruptReads()
	_ = c.group.Wait() // always nil: the background read reports its error in the request
	if c.exceptionSent {
		c.linger()
	}
	return err
}

// interruptReads makes the read under way and every later one fail.
func (c *connection) interruptReads() {
	_ = c.conn.SetReadDeadline(inThePast) // fails only on a closed connection, where reads fail anyway
}

// Limits of what linger reads and discards.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 20
)

// linger closes the connection for writing and discards what the client still sends, so that the client can read the last packet.
// Closing a connection with unread bytes would reset it.
func (c *connection) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))          // if it fails, the byte limit still holds
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, maxLingerBytes)) // the caller closes the connection in any case
	}
}

// handshake reads the client's Hello, authenticates the client, answers with the server's Hello and reads the client's addendum.
func (c *connection) handshake() (err error) {
	// SetReadDeadline fails only on a closed connection, where the read fails as well.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.frontend.options.HelloTimeout))
	if c.hello, err = c.reader.ReadHello(); err != nil {
		c.reject(codeUnexpectedPacket, err.Error())
		return err
	}
	if !c.frontend.options.Auth.Check(c.hello.User, c.hello.Password) {
		c.reject(codeAuthenticationFailed, c.hello.User+": Authentication failed: name or password is wrong")
		return errors.New("name or password is wrong")
	}
	newest := c.frontend.newestRevision()
	c.revision = min(c.hello.Revision, newest)
	if err = c.write(native.ServerInfo{Name: "embershunt", Major: 1, Revision: newest,
		Timezone: "UTC", DisplayName: "embershunt"}.Encode()); err != nil {
		return err
	}
	if err = c.reader.ReadAddendum(c.revision); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// newestRevision returns the newest protocol revision that this frontend and all nodes speak. It returns native.NewestRevision
// while the nodes' revision is unknown.
func (f *Frontend) newestRevision() int {
	if f.options.Revision != nil {
		if r := f.options.Revision(); r >= native.OldestRevision {
			return min(native.NewestRevision, r)
		}
	}
	return native.NewestRevision
}

var errUnexpectedRows = errors.New("unexpected Data packet: no INSERT waits for rows")

// run handles the client's packets, one query at a time, until the client closes the connection or an error ends it.
func (c *connection) run(ctx context.Context) error {
	defer c.frontend.payloads.release(&c.payload)
	for {
		r := c.next()
		switch actions[awaitingQuery][r.event()] {
		case endConnection:
			return nil
		case rejectUnreadable:
			if ctx.Err() == nil {
				c.rejectUnreadable(r.err)
			}
			return r.err
		case answerPing:
			if err := c.write([]byte{native.ServerPong}); err != nil {
				return err
			}
		case rejectUnexpected:
			c.reject(codeUnexpectedPacket, errUnexpectedRows.Error())
			return errUnexpectedRows
		case startQuery:
			err := c.runQuery(ctx, r)
			c.frontend.payloads.release(&c.payload)
			if err != nil {
				return err
			}
		}
	}
}
