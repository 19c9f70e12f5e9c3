package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"embershunt/policy"
)

// node is a query node with its connections: one gRPC connection, and pools for the other two protocols.
type node struct {
	id            string
	flightAddress string        // "": the node does not speak Flight SQL
	nativeAddress string        // "": the node does not speak the ClickHouse native protocol
	platform      platformPool  // has the address for the platform's protocol
	listedStart   time.Time     // when the node started, as listed
	startedAt     policy.Micros // the same by the dispatcher's clock; converted once, as another result would look like a restart
	users         int           // calls that use the node, see Fleet.acquire; guarded by Fleet.mu
	removed       bool          // no longer in the list, or replaced because an address changed; guarded by Fleet.mu

	drainNotifiedAt atomic.Int64 // when the drain or removal became known, by the dispatcher's clock; 0: the node is healthy
	nativeRevision  atomic.Int64 // newest revision of the native protocol that the node supports; 0: not known yet

	mu              sync.Mutex       // guards the fields below
	flightConn      *grpc.ClientConn // nil before the first call
	nativeIdleConns []*nativeConn    // most recently used last
	closed          bool
}

// recordState records whether the node is listed as healthy, and otherwise since when it is not.
func (n *node) recordState(now policy.Micros, healthy bool) {
	if healthy {
		n.drainNotifiedAt.Store(0)
	} else {
		n.drainNotifiedAt.CompareAndSwap(0, now)
	}
}

// close closes the node's connections, except native ones of sessions; none goes back into a pool afterwards.
func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.nativeIdleConns {
		c.close()
	}
	n.nativeIdleConns = nil
	n.platform.close()
	if n.flightConn != nil {
		_ = n.flightConn.Close() // fails only if it is already closed
	}
}
