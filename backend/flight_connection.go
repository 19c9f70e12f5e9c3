package backend

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"embershunt/internal/flightwire"
)

// One gRPC connection to a node carries all its calls: there is no pool.

// flightBackoff is how gRPC reconnects in the background. A call that waits resets it, see flightReady.
var flightBackoff = grpc.ConnectParams{MinConnectTimeout: time.Second,
	Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}

// flightDial returns the node's connection, created by the first call; nil where the node is closed. It does not wait: the
// connection is established in the background.
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
		grpc.WithConnectParams(flightBackoff),
	}
	if len(o.DialOptions) == 0 {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	conn, err := grpc.NewClient("passthrough:///"+n.flightAddress, append(options, o.DialOptions...)...)
	if err != nil {
		return nil, err
	}
	n.flightConn = conn
	return conn, nil
}

// flightReady waits until the connection is established, for the connect timeout at most. Where it fails nothing was sent.
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
	attempted := false // a connection attempt was made during this call
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.Shutdown:
			return nil, errNotConnected
		case connectivity.TransientFailure:
			if attempted { // it was refused: waiting longer would only hold the query
				return nil, errNotConnected
			}
			conn.ResetConnectBackoff()
			attempted = true
		default:
			attempted = attempted || state == connectivity.Connecting
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, errNotConnected
		}
	}
}
