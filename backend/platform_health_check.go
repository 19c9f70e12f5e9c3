package backend

import (
	"context"

	"embershunt/internal/lineproto"
	"embershunt/policy"
)

// checkPlatformHealth pings a node on a new connection, which counts against MaxPlatformConns like any other.
func (n *node) checkPlatformHealth(ctx context.Context, f *Fleet) policy.Code {
	ctx, cancel := context.WithTimeout(ctx, f.options.ConnectTimeout)
	defer cancel()
	if !f.reservePlatformConn() {
		return policy.NeverSent
	}
	defer f.platformConns.Add(-1)
	conn, err := f.dialPlatform(ctx, n.platform.address)
	if isLocalDialError(err) {
		return policy.NeverSent
	}
	if err != nil {
		return policy.ConnectionRefused
	}
	defer func() { _ = conn.Close() }() // nothing on it is needed any more
	stop := interruptOnDone(ctx, conn)
	defer stop()
	const tag = "ping"
	if _, err := conn.Write(lineproto.AppendPing(nil, tag)); err != nil {
		return policy.ConnectionReset
	}
	a, err := lineproto.NewReader(conn).Read()
	switch {
	case ctx.Err() != nil:
		return policy.TimedOut
	case err != nil:
		return policy.ConnectionReset
	case a.Kind != lineproto.Pong || a.ID != tag:
		return policy.Failed
	}
	return policy.OK
}
