// Package peers carries the module's messages between dispatchers, as datagrams. It reads nothing into them.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"embershunt/policy"
)

// MaxMessageBytes is the longest message, in bytes.
const MaxMessageBytes = 256

// Poster takes what was heard.
type Poster interface{ Notify(policy.Event) }

// Peers is the socket to the other dispatchers of a tier.
type Peers struct {
	conn *net.UDPConn
	me   int
	to   []netip.AddrPort
	from map[netip.AddrPort]int

	sent, heard, dropped atomic.Int64
}

// Listen opens the socket; addresses are those of all dispatchers by their numbers, me is this one's.
func Listen(address string, addresses []string, me int) (*Peers, error) {
	p := &Peers{me: me, from: map[netip.AddrPort]int{}}
	for i, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.to = append(p.to, to)
		p.from[to] = i
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	return p, err
}

// Send sends one message to one dispatcher; what cannot be sent is lost, as any datagram may be.
func (p *Peers) Send(to int, data []byte) {
	if to < 0 || to >= len(p.to) || to == p.me || len(data) > MaxMessageBytes {
		p.dropped.Add(1)
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(data, p.to[to]); err != nil {
		p.dropped.Add(1)
		return
	}
	p.sent.Add(1)
}

// Counts tells how many messages were sent, heard and dropped.
func (p *Peers) Counts() (sent, heard, dropped int64) {
	return p.sent.Load(), p.heard.Load(), p.dropped.Load()
}

// Run passes on what is heard from dispatchers of the tier until ctx ends; then the socket is closed.
func (p *Peers) Run(ctx context.Context, post Poster) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	defer p.conn.Close()
	buf := make([]byte, MaxMessageBytes+1)
	for {
		n, sender, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as word that a peer does not listen
			continue
		}
		from, known := p.from[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !known || from == p.me || n > MaxMessageBytes {
			p.dropped.Add(1)
			continue
		}
		p.heard.Add(1)
		post.Notify(policy.GossipReceived{From: from, Data: append([]byte(nil), buf[:n]...)})
	}
}
