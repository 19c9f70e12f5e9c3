package backend

import (
	"context"
	"net"
	"syscall"
	"time"
)

// TCP itself detects a peer that disappeared without a reset. HTTP/2 pings would detect it too, but a gRPC server by default treats
// more than one ping in five minutes as abuse and closes the connection.
const (
	unacknowledgedTimeout = 10 * time.Second // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged
	keepAliveIdle         = 10 * time.Second // time without traffic before the first keep-alive probe
	keepAliveInterval     = 3 * time.Second  // between two probes
	keepAliveCount        = 3                // unanswered probes before the connection is closed
)

// dialTCP connects to an address, with keep-alive probes and, on Linux, a limit on how long sent data may stay unacknowledged.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return limitUnacknowledged(c, unacknowledgedTimeout)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// pastDeadline is a time in the past: as a deadline it makes blocked reads and writes of a connection return at once.
var pastDeadline = time.Unix(1, 0)

// interruptOnDone makes blocked reads and writes of a connection return when ctx ends. stop cancels this; it returns false if ctx has
// already ended, in which case the connection's deadlines are, or soon will be, in the past.
func interruptOnDone(ctx context.Context, c net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(pastDeadline) // fails only on a closed connection, on which nothing blocks
	})
}
