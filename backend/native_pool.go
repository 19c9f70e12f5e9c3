package backend

import (
	"context"
	"time"
)

// Bounds of a node's pool of idle connections.
const (
	maxNativeIdleConns = 64
	nativeIdleTimeout  = 30 * time.Second
)

// acquireNativeConn returns a pooled connection or establishes one. Where it fails nothing was sent.
func (n *node) acquireNativeConn(ctx context.Context, o *Options, key nativeKey) (*nativeConn, error) {
	if n.nativeAddress == "" {
		return nil, errWrongProtocol
	}
	if c := n.takeIdleNative(key); c != nil {
		return c, nil
	}
	return n.dialNative(ctx, o, key)
}

// takeIdleNative takes a pooled connection that is still up; nil if there is none. One on which something arrived meanwhile, or
// which the node has closed, is not used.
func (n *node) takeIdleNative(key nativeKey) *nativeConn {
	for {
		c := n.popIdleNative(key)
		if c == nil || time.Since(c.idleSince) < nativeIdleTimeout && c.reusable() {
			return c
		}
		c.close()
	}
}

// popIdleNative takes the most recently used connection of a key out of the pool, so that the others may expire; nil if there is
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

// releaseNativeConn puts a connection on which nothing is unfinished into the pool.
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

// sessionConn is the connection to a node on which a session's state lives.
type sessionConn struct {
	node *node
	conn *nativeConn
}

// takeSessionConn takes a session's connection if it is still up; nil where there is none.
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

// cacheSessionConn stores a session's connection for its next statement.
func (f *Fleet) cacheSessionConn(session string, n *node, c *nativeConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil || f.nodes[n.id] != n {
		c.close()
		return
	}
	f.sessionConns[session] = &sessionConn{n, c}
}

// dropSession closes a session's connection, which ends all state on it; false where there is none.
func (f *Fleet) dropSession(session string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessionConns[session]
	if s != nil {
		s.conn.close()
		delete(f.sessionConns, session)
	}
	return s != nil
}
