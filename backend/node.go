package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"embershunt/policy"
)

// node is one query node with its connections: one gRPC connection, pools of the other two protocols.
type node struct {
	id            string
	flightAddress string        // "": the node does not speak Flight SQL
	nativeAddress string        // likewise, the ClickHouse native protocol
	platform      platformPool  // with the address of the platform's protocol
	listedStart   time.Time     // when the node started, by the list
	startedAt     policy.Micros // the same by the dispatcher's clock; converted once, because a second conversion would look like a restart
	users         int           // calls that hold the node; under Fleet.mu
	removed       bool          // not in the list any more, or moved to another address; under Fleet.mu

	drainNotifiedAt atomic.Int64 // when the dispatcher learnt that the node drains or was removed, by its clock; 0: it is ready
	nativeRevision  atomic.Int64 // newest revision of the native protocol that it speaks; 0: not known yet

	mu              sync.Mutex
	flightConn      *grpc.ClientConn // nil before the first call
	nativeIdleConns []*nativeConn    // the most recently used last
	closed          bool
}

// recordState records whether the list calls the node ready.
func (n *node) recordState(now policy.Micros, ready bool) {
	if ready {
		n.drainNotifiedAt.Store(0)
	} else {
		n.drainNotifiedAt.CompareAndSwap(0, now)
	}
}

// close closes all connections to the node.
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
		_ = n.flightConn.Close() // fails only where it is closed already
	}
}
