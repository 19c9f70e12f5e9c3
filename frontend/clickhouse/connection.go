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

// bufferBytes is the size of each of a connection's two buffers: thousands of idle clients have them, and what is larger
// is read and written without them.
const bufferBytes = 4 << 10

// inThePast is a deadline that ends a read or a write at once.
var inThePast = time.Unix(1, 0)

// connection is one connection of a client. One goroutine serves it; a second one may read the next packet meanwhile, and the
// backend writes an answer's packets to its answerSink.
type connection struct {
	front         *Front
	conn          net.Conn
	reader        *native.Reader
	revision      int
	hello         native.Hello
	session       sessionState
	requests      chan request // what a read in the background returned
	reading       bool         // there is one
	group         errgroup.Group
	watchTimer    *time.Timer
	payload       dispatch.PayloadReservation // of the present query's rows and tables; guarded by payloadAccount's lock
	exceptionSent bool                        // the last packet may have been an Exception of this frontend

	mu      sync.Mutex // guards what follows, and the order of writes
	writer  *bufio.Writer
	answer  *answerSink // the present answer
	partial bool        // a packet was written in part
}

func newConnection(f *Front, conn net.Conn) *connection {
	return &connection{front: f, conn: conn, reader: native.NewReaderSize(conn, f.options.MaxPacketBytes, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes)}
}

// serve runs a connection from its handshake to its end; its caller closes it.
func (c *connection) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.interruptReads)
	defer stop()
	if err := c.handshake(); err != nil {
		return err
	}
	c.requests = make(chan request, 1)
	err := c.run(ctx)
	c.session.close(c.front.options.Sessions)
	c.interruptReads()
	_ = c.group.Wait() // the background read returns no error: its request has it
	if c.exceptionSent {
		c.linger()
	}
	return err
}

// interruptReads ends a read that waits, and every later one.
func (c *connection) interruptReads() {
	_ = c.conn.SetReadDeadline(inThePast) // it fails only on a closed connection, where reads fail anyway
}

// Bounds of what linger reads and discards.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 20
)

// linger lets the client read the last packet: closed at once, with bytes unread, the connection would be reset.
func (c *connection) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))          // without it the byte limit still holds
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, maxLingerBytes)) // the connection is closed next, however this ended
	}
}

// handshake reads the client's Hello and answers it.
func (c *connection) handshake() (err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.front.options.HelloTimeout)) // it fails only on a closed connection, as the read then does
	if c.hello, err = c.reader.ReadHello(); err != nil {
		c.reject(codeUnexpectedPacket, err.Error())
		return err
	}
	if !c.front.options.Auth.Check(c.hello.User, c.hello.Password) {
		c.reject(codeAuthenticationFailed, c.hello.User+": Authentication failed: name or password is wrong")
		return errors.New("name or password is wrong")
	}
	newest := c.front.newestRevision()
	c.revision = min(c.hello.Revision, newest)
	if err = c.write(native.Server{Name: "embershunt", Major: 1, Revision: newest, Timezone: "UTC", DisplayName: "embershunt"}.Encode()); err != nil {
		return err
	}
	if err = c.reader.ReadAddendum(c.revision); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// newestRevision is the newest revision of the protocol that this frontend and all nodes speak, as far as known.
func (f *Front) newestRevision() int {
	if f.options.Revision != nil {
		if r := f.options.Revision(); r >= native.OldestRevision {
			return min(native.NewestRevision, r)
		}
	}
	return native.NewestRevision
}

var errUnexpectedRows = errors.New("rows that no INSERT waits for")

// run answers the client's packets, one query at a time.
func (c *connection) run(ctx context.Context) error {
	defer c.front.payloads.release(&c.payload)
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
			c.front.payloads.release(&c.payload)
			if err != nil {
				return err
			}
		}
	}
}
