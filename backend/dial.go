package backend

import (
	"context"
	"net"
	"syscall"
	"time"
)

// A peer that vanished without a reset is noticed by TCP itself. HTTP/2 pings would do it too, but a gRPC server takes
// more than one in five minutes for an attack unless it was told otherwise, and breaks the connection off.
const (
	unacknowledgedTimeout = 10 * time.Second // with data on the way
	keepAliveIdle         = 10 * time.Second // without
)

// dialTCP connects with keep-alive and a bound on how long data may stay unacknowledged.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: 3 * time.Second, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error { return limitUnacknowledged(c, unacknowledgedTimeout) }}
	return d.DialContext(ctx, "tcp", address)
}
