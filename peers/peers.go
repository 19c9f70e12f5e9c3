// Package peers sends and receives the gossip of the decision module between dispatchers, as UDP datagrams. It does not
// interpret their content.
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

// MaxMessageBytes is the maximum length of a message; longer ones are dropped.
const MaxMessageBytes = 256

// Receiver receives messages as policy.GossipReceived events.
type Receiver interface{ Notify(policy.Event) }

// Peers holds the UDP socket to the other dispatchers of a tier. Its methods are safe for concurrent use.
type Peers struct {
	conn      *net.UDPConn
	self      int                    // number of this dispatcher, its index in addresses
	addresses []netip.AddrPort       // of the dispatchers, by number
	numbers   map[netip.AddrPort]int // of the dispatchers, by address

	sent, received, dropped atomic.Int64
}

// Listen opens the socket at an IPv4 address and port. addresses holds the addresses of all dispatchers by number, and
// self is the number of this one. Run closes the socket.
func Listen(address string, addresses []string, self int) (*Peers, error) {
	p := &Peers{self: self, numbers: map[netip.AddrPort]int{}}
	for i, a := range addresses {
		peer, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.addresses = append(p.addresses, peer)
		p.numbers[peer] = i
	}
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	return p, err
}

// Send sends a message to the dispatcher with the number to. A message that cannot be sent is dropped, which callers must
// expect of any datagram.
func (p *Peers) Send(to int, data []byte) {
	if to < 0 || to >= len(p.addresses) || to == p.self || len(data) > MaxMessageBytes {
		p.dropped.Add(1)
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(data, p.addresses[to]); err != nil {
		p.dropped.Add(1)
		return
	}
	p.sent.Add(1)
}

// Counts returns the numbers of messages sent, received, and dropped when sending or receiving.
func (p *Peers) Counts() (sent, received, dropped int64) {
	return p.sent.Load(), p.received.Load(), p.dropped.Load()
}

// Run passes the messages of the tier's other dispatchers to a receiver until ctx ends, and then closes the socket. Messages
// from other addresses are dropped. Run returns nil.
func (p *Peers) Run(ctx context.Context, receiver Receiver) error {
	closeSocket := func() { _ = p.conn.Close() } // a UDP socket has nothing to flush, and may be closed twice
	stop := context.AfterFunc(ctx, closeSocket)
	defer stop()
	defer closeSocket()
	buf := make([]byte, MaxMessageBytes+1)
	for {
		n, sender, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as ECONNREFUSED, when a peer does not listen
			continue
		}
		from, known := p.numbers[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !known || from == p.self || n > MaxMessageBytes {
			p.dropped.Add(1)
			continue
		}
		p.received.Add(1)
		receiver.Notify(policy.GossipReceived{From: from, Data: append([]byte(nil), buf[:n]...)})
	}
}
