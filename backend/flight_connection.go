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

// All calls to a node share one gRPC connection, so there is no pool.

// flightConnectParams sets how gRPC reconnects in the background. awaitFlightConn resets the backoff.
var flightConnectParams = grpc.ConnectParams{MinConnectTimeout: time.Second,
	Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}

// openFlightConn returns the node's connection, which the first call creates; nil if the node is closed. It does not wait: gRPC
// establishes the connection in the background.
func (n *node) openFlightConn(o *Options) (*grpc.ClientConn, error) {
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
		grpc.WithConnectParams(flightConnectParams),
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

// awaitFlightConn returns the node's connection once it is established; it waits for the connect timeout at most. If it fails, nothing
// was sent.
func (n *node) awaitFlightConn(ctx context.Context, o *Options) (*grpc.ClientConn, error) {
	if n.flightAddress == "" {
		return nil, errWrongProtocol
	}
	conn, err := n.openFlightConn(o)
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
			if attempted { // the connection was refused: waiting longer would only delay the query
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
