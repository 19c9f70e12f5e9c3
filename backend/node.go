package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"embershunt/internal/flightwire"
	"embershunt/policy"
)

// node is one query node and its kept connection.
type node struct {
	id, flightAddress string
	nativeAddress     string
	platform          platformPool
	listedStart       time.Time     // by the list
	startedAt         policy.Micros // the same by the dispatcher's clock, reckoned once: told anew it would look like another start
	users             int           // calls that hold it; under Fleet.mu
	removed           bool          // left the list, or moved to another address; under Fleet.mu

	drainNotifiedAt atomic.Int64 // when it was told that the node drains or is gone, by the dispatcher's clock; 0: it is ready
	nativeRevision  atomic.Int64 // newest of the native protocol that it speaks; 0: not known yet

	mu              sync.Mutex
	flightConn      *grpc.ClientConn
	nativeIdleConns []*nativeConn
	closed          bool
}

// flightDial returns the node's connection, made at the first call. Dialling itself happens in the background.
func (n *node) flightDial(o *Options) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.flightConn != nil || n.closed {
		return n.flightConn, nil
	}
	options := []grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(flightwire.Codec{}),
			grpc.MaxCallRecvMsgSize(o.MaxFrame), grpc.MaxCallSendMsgSize(o.MaxFrame)),
		grpc.WithStatsHandler(callStatsHandler{}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
		grpc.WithContextDialer(dialTCP),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: backoff.Config{
			BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
	}
	if len(o.Dial) == 0 {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	conn, err := grpc.NewClient("passthrough:///"+n.flightAddress, append(options, o.Dial...)...)
	if err != nil {
		return nil, err
	}
	n.flightConn = conn
	return conn, nil
}

// record notes whether the list calls the node ready.
func (n *node) recordState(now policy.Micros, ready bool) {
	if ready {
		n.drainNotifiedAt.Store(0)
	} else {
		n.drainNotifiedAt.CompareAndSwap(0, now)
	}
}

// flightReady waits until the connection is up, at most for the connect time-out. What fails here was never sent.
func (n *node) flightReady(ctx context.Context, o *Options) (*grpc.ClientConn, error) {
	if n.flightAddress == "" {
		return nil, errWrongProtocol
	}
	conn, err := n.flightDial(o)
	if err != nil || conn == nil {
		return nil, errNotConnected
	}
	if conn.GetState() == connectivity.Ready {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
	defer cancel()
	tried := false
	for {
		switch s := conn.GetState(); s {
		case connectivity.Ready:
			return conn, nil
		case connectivity.Shutdown:
			return nil, errNotConnected
		case connectivity.TransientFailure:
			if tried { // this call's own try was turned away: waiting longer would only hold the query
				return nil, errNotConnected
			}
			conn.ResetConnectBackoff()
			tried = true
			if !conn.WaitForStateChange(ctx, s) {
				return nil, errNotConnected
			}
		default:
			tried = tried || s == connectivity.Connecting
			conn.Connect()
			if !conn.WaitForStateChange(ctx, s) {
				return nil, errNotConnected
			}
		}
	}
}

func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.nativeIdleConns {
		c.conn.Close()
	}
	n.nativeIdleConns = nil
	n.platform.close()
	if n.flightConn != nil {
		n.flightConn.Close()
	}
}
