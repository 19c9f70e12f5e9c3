package backend

import (
	"context"
	"time"

	"embershunt/internal/lineproto"
	"embershunt/policy"
)

// checkPlatformHealth pings a node on a connection of its own.
func (n *node) checkPlatformHealth(ctx context.Context, f *Fleet) policy.Code {
	ctx, cancel := context.WithTimeout(ctx, f.options.ConnectTimeout)
	defer cancel()
	if !f.reservePlatformConn() { // a probe holds a descriptor like any attempt
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
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(lineproto.AppendPing(nil, "ping")); err != nil {
		return policy.ConnectionReset
	}
	a, err := lineproto.NewReader(conn).Read()
	switch {
	case ctx.Err() != nil:
		return policy.TimedOut
	case err != nil:
		return policy.ConnectionReset
	case a.Word != lineproto.Well || a.ID != "ping":
		return policy.Failed
	}
	return policy.OK
}

// PlatformConns counts the connections to nodes that speak lines.
func (f *Fleet) PlatformConns() int64 { return f.platformConns.Load() }
