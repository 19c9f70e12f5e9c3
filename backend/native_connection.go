package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"embershunt/internal/native"
)

// nativeConn is one connection to a node's native port. It carries one query at a time.
type nativeConn struct {
	conn      net.Conn
	r         *native.Reader
	w         *bufio.Writer
	key       nativeKey
	idleSince time.Time // when it was last put into the pool
	used      bool      // it has carried a query
	awaitPong bool      // a ping was sent before the present query: what comes before its pong belongs to the query before
}

// nativeKey is what a query needs of a connection: its client's revision and database.
type nativeKey struct {
	revision int
	database string
}

// dialNative establishes a connection. Where it fails nothing was sent.
func (n *node) dialNative(ctx context.Context, o *Options, key nativeKey) (*nativeConn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
	defer cancel()
	conn, err := dialTCP(ctx, n.nativeAddress)
	if err != nil {
		return nil, errNotConnected
	}
	stop := interruptOnDone(ctx, conn)
	c := &nativeConn{conn: conn, r: native.NewReader(conn, o.MaxFrame), w: bufio.NewWriter(conn), key: key}
	err = c.handshake(o, n)
	if !stop() || err != nil {
		c.close()
		return nil, errNotConnected
	}
	return c, nil
}

// errOlderRevision means that a node's packets would have another form than the client's.
var errOlderRevision = errors.New("the node speaks an older revision")

// handshake exchanges hellos and records the node's revision.
func (c *nativeConn) handshake(o *Options, n *node) error {
	hello := native.Hello{Name: "embershunt", Major: 1, Revision: c.key.revision, Database: c.key.database,
		User: o.NativeUser, Password: o.NativePassword}
	if err := c.send(hello.Encode()); err != nil {
		return err
	}
	s, err := c.r.ReadServerHello()
	if err != nil {
		return err
	}
	n.nativeRevision.Store(int64(s.Revision))
	if s.Revision < c.key.revision {
		return errOlderRevision
	}
	if c.key.revision < native.AddendumFrom {
		return nil
	}
	const quotaKey = ""
	return c.send(native.PutText(nil, quotaKey))
}

// send writes packets and flushes them.
func (c *nativeConn) send(packets ...[]byte) error {
	for _, p := range packets {
		if _, err := c.w.Write(p); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// errStaleAnswer means that a node sent more of an answer than belongs to it. The protocol's answers have no id: what comes late would
// be taken for the next query's.
var errStaleAnswer = errors.New("the node sent more of the answer before")

// sendQuery writes a query's packets. On a connection that has carried another query a ping goes first, in the same write: its pong
// separates the two answers.
func (c *nativeConn) sendQuery(packets ...[]byte) error {
	if c.awaitPong = c.used; c.used {
		packets = append([][]byte{{native.ClientPing}}, packets...)
	}
	c.used = true
	return c.send(packets...)
}

// readAnswer reads the next packet of the present query's answer.
func (c *nativeConn) readAnswer(revision int) (native.Packet, error) {
	p, err := c.r.ReadServer(revision)
	if err != nil || !c.awaitPong {
		return p, err
	}
	if p.Code != native.ServerPong {
		return p, errStaleAnswer
	}
	c.awaitPong = false
	return c.r.ReadServer(revision)
}

// reusable tells that the connection is still up and that nothing has arrived on it since the last answer.
func (c *nativeConn) reusable() bool { return !c.r.Buffered() && reusable(c.conn) }

// close closes the connection at once.
func (c *nativeConn) close() {
	_ = c.conn.Close() // nothing on it is needed any more
}

// cancelTimeout bounds the write of a cancel packet.
const cancelTimeout = 20 * time.Millisecond

// abandon sends the node a cancel, as far as that can be written at once, and closes the connection: what is still to come on it
// would be taken for the next answer.
func (c *nativeConn) abandon() {
	_ = c.conn.SetDeadline(time.Now().Add(cancelTimeout))            // fails only on a closed connection, where the write fails as well
	_, _ = c.conn.Write(native.PutUvarint(nil, native.ClientCancel)) // the close ends the query as well, if later
	c.close()
}

// NativeRevision is the newest revision of the native protocol that every node speaks, as far as is known; 0 where nothing is.
// Clients must be held to it: one of a newer revision finds no connection to an older node.
func (f *Fleet) NativeRevision() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := int64(0)
	for _, n := range f.nodes { // a minimum: the order does not matter
		if r := n.nativeRevision.Load(); r > 0 && !n.removed && (oldest == 0 || r < oldest) {
			oldest = r
		}
	}
	return int(oldest)
}
