package backend

import (
	"context"
	"net"
	"syscall"
	"time"
)

// A peer that vanished without a reset is detected by TCP itself. HTTP/2 pings would detect it too, but a gRPC server takes more
// than one in five minutes for abuse unless it is configured otherwise, and closes the connection.
const (
	unacknowledgedTimeout = 10 * time.Second // for data that the peer does not acknowledge
	keepAliveIdle         = 10 * time.Second // without traffic before the first keep-alive probe
	keepAliveInterval     = 3 * time.Second
	keepAliveCount        = 3 // unanswered probes before the connection is closed
)

// dialTCP connects with keep-alive and a bound on how long data may stay unacknowledged.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return limitUnacknowledged(c, unacknowledgedTimeout)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// expired is a time long past: as a deadline it makes blocked reads and writes of a connection return at once.
var expired = time.Unix(1, 0)

// interruptOnDone makes blocked reads and writes of a connection return when ctx ends. stop ends that; it returns false where ctx
// has ended already, and the connection's deadlines are in the past.
func interruptOnDone(ctx context.Context, c net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(expired) // fails only on a closed connection, on which nothing blocks
	})
}
