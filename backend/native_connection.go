package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"embershunt/internal/native"
)

// nativeConn is a connection to a node's native port. It carries one query at a time.
type nativeConn struct {
	conn        net.Conn
	r           *native.Reader
	w           *bufio.Writer
	key         nativeKey
	idleSince   time.Time // when it was last put into the pool
	used        bool      // it has carried a query
	pongPending bool      // packets belong to the previous query until the pong for sendQuery's ping arrives
}

// nativeKey identifies the connections that a query can use: those with its client's protocol revision and database.
type nativeKey struct {
	revision int
	database string
}

// dialNative establishes a connection within the connect timeout. If it fails, no query was sent.
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

// errOlderRevision means that the node's protocol revision is older than the client's, whose packets have a different format.
var errOlderRevision = errors.New("the node speaks an older revision")

// handshake exchanges Hello packets and records the node's protocol revision.
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
	return c.send(native.AppendString(nil, quotaKey))
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

// errStaleAnswer means that a node sent further packets after the end of an answer. Answers have no id in this protocol, so that late
// packets would be taken for the answer to the next query.
var errStaleAnswer = errors.New("the node sent more of the answer before")

// sendQuery writes a query's packets. On a connection that has carried another query it writes a ping before them and flushes both
// together: the pong separates the two answers.
func (c *nativeConn) sendQuery(packets ...[]byte) error {
	if c.pongPending = c.used; c.used {
		packets = append([][]byte{{native.ClientPing}}, packets...)
	}
	c.used = true
	return c.send(packets...)
}

// readAnswer reads the next packet of the present query's answer. It returns errStaleAnswer if a packet of the previous one arrives
// instead of the pong.
func (c *nativeConn) readAnswer(revision int) (native.Packet, error) {
	p, err := c.r.ReadServerPacket(revision)
	if err != nil || !c.pongPending {
		return p, err
	}
	if p.Code != native.ServerPong {
		return p, errStaleAnswer
	}
	c.pongPending = false
	return c.r.ReadServerPacket(revision)
}

// reusable reports whether the connection is still up and nothing has arrived on it since the last answer.
func (c *nativeConn) reusable() bool { return !c.r.Buffered() && reusable(c.conn) }

// close closes the connection at once.
func (c *nativeConn) close() {
	_ = c.conn.Close() // nothing on it is needed any more
}

// cancelTimeout limits the write of a cancel packet.
const cancelTimeout = 20 * time.Millisecond

// cancelAndClose sends a cancel packet, if it can be written within cancelTimeout, and closes the connection: packets of the old answer
// that are still to arrive would be taken for the next answer.
func (c *nativeConn) cancelAndClose() {
	_ = c.conn.SetDeadline(time.Now().Add(cancelTimeout))               // fails only on a closed connection, where the write fails as well
	_, _ = c.conn.Write(native.AppendUvarint(nil, native.ClientCancel)) // if this fails, the close ends the query later
	c.close()
}

// NativeRevision returns the newest revision of the native protocol that every node supports whose revision is known; 0 if none is.
// Frontends must not offer clients a newer one: a query with it gets no connection to an older node.
func (f *Fleet) NativeRevision() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := int64(0)
	for _, n := range f.nodes { // a minimum, whatever the order
		if r := n.nativeRevision.Load(); r > 0 && !n.removed && (oldest == 0 || r < oldest) {
			oldest = r
		}
	}
	return int(oldest)
}
