package backend

import (
	"context"
	"time"
)

// Limits of a node's pool of idle connections.
const (
	maxNativeIdleConns = 64
	nativeIdleTimeout  = 30 * time.Second
)

// acquireNativeConn returns a pooled connection or establishes a new one. If it fails, no query was sent.
func (n *node) acquireNativeConn(ctx context.Context, o *Options, key nativeKey) (*nativeConn, error) {
	if n.nativeAddress == "" {
		return nil, errWrongProtocol
	}
	if c := n.takeIdleNative(key); c != nil {
		return c, nil
	}
	return n.dialNative(ctx, o, key)
}

// takeIdleNative takes a usable connection out of the pool; nil if there is none. It closes connections that were idle for too long,
// that the node has closed or on which something has arrived.
func (n *node) takeIdleNative(key nativeKey) *nativeConn {
	for {
		c := n.popIdleNative(key)
		if c == nil || time.Since(c.idleSince) < nativeIdleTimeout && c.reusable() {
			return c
		}
		c.close()
	}
}

// popIdleNative takes the most recently used connection with a key out of the pool, so that the others can expire; nil if there is
// none.
func (n *node) popIdleNative(key nativeKey) *nativeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := len(n.nativeIdleConns) - 1; i >= 0; i-- {
		if c := n.nativeIdleConns[i]; c.key == key {
			n.nativeIdleConns = append(n.nativeIdleConns[:i], n.nativeIdleConns[i+1:]...)
			return c
		}
	}
	return nil
}

// releaseNativeConn puts a connection without an unfinished answer into the pool. It closes the connection if the pool is full or the
// node is closed.
func (n *node) releaseNativeConn(c *nativeConn) {
	c.idleSince = time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.nativeIdleConns) >= maxNativeIdleConns {
		c.close()
		return
	}
	n.nativeIdleConns = append(n.nativeIdleConns, c)
}

// sessionConn is a connection whose server side has a session's state.
type sessionConn struct {
	node *node
	conn *nativeConn
}

// takeSessionConn takes a session's connection out of the cache; nil if there is none. It closes a connection that is down, or that is to
// another node or has another protocol revision.
func (f *Fleet) takeSessionConn(session string, n *node, key nativeKey) *nativeConn {
	if session == "" {
		return nil
	}
	f.mu.Lock()
	s := f.sessionConns[session]
	delete(f.sessionConns, session)
	f.mu.Unlock()
	if s == nil {
		return nil
	}
	if s.node != n || s.conn.key.revision != key.revision || !s.conn.reusable() {
		s.conn.close()
		return nil
	}
	return s.conn
}

// cacheSessionConn stores a session's connection for its next statement. It closes the connection if the fleet is closing or the node is
// no longer in use.
func (f *Fleet) cacheSessionConn(session string, n *node, c *nativeConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil || f.nodes[n.id] != n {
		c.close()
		return
	}
	f.sessionConns[session] = &sessionConn{n, c}
}

// closeSessionConn closes a session's connection, which ends the session's state; false if there is no idle connection.
func (f *Fleet) closeSessionConn(session string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessionConns[session]
	if s != nil {
		s.conn.close()
		delete(f.sessionConns, session)
	}
	return s != nil
}
