package backend

import (
	"context"

	"embershunt/internal/native"
	"embershunt/policy"
)

// checkNativeHealth sends a Ping on a connection of the pool that queries use, and waits for the Pong.
func (n *node) checkNativeHealth(ctx context.Context, o *Options) policy.Code {
	key := nativeKey{revision: native.NewestRevision}
	if r := int(n.nativeRevision.Load()); r >= native.OldestRevision {
		key.revision = min(r, native.NewestRevision)
	}
	c, err := n.acquireNativeConn(ctx, o, key)
	if err != nil {
		return policy.ConnectionRefused
	}
	stop := interruptOnDone(ctx, c.conn)
	err = c.send([]byte{native.ClientPing})
	var p native.Packet
	if err == nil {
		p, err = c.r.ReadServerPacket(key.revision)
	}
	if stop() && err == nil && p.Code == native.ServerPong {
		n.releaseNativeConn(c)
		return policy.OK
	}
	c.close()
	if ctx.Err() != nil {
		return policy.TimedOut
	}
	return policy.Failed
}
