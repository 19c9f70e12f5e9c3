package simulated

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/nodelist"
)

// NameService is a simulated name service of the platform: it answers queries for the endpoint list over UDP.
type NameService struct {
	conn  *net.UDPConn
	names nodelist.Names
	done  sync.WaitGroup

	mu      sync.Mutex
	number  uint32
	nodes   []nodelist.Node
	corrupt func(question, answer []byte) []byte // applied to each answer; nil: none
	delay   time.Duration                        // of every answer
	queries int
	clients map[netip.AddrPort]bool // clients that have sent a query
	muted   map[netip.AddrPort]bool // clients that get no answer any more
}

// NewNameService listens on loopback.
func NewNameService(names nodelist.Names) (*NameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &NameService{conn: conn, names: names, clients: map[netip.AddrPort]bool{}}
	s.done.Add(1)
	go s.serve()
	return s, nil
}

// Address is where it listens.
func (s *NameService) Address() string { return s.conn.LocalAddr().String() }

// Set changes the list and its serial number.
func (s *NameService) Set(number uint32, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number, s.nodes = number, nodes
}

// Corrupt has a function change every answer; an empty one is not sent.
func (s *NameService) Corrupt(spoil func(question, answer []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = spoil
}

// SetDelay sets how much later every answer is sent.
func (s *NameService) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Mute stops answers to all clients that have sent a query so far.
func (s *NameService) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.clients = s.clients, map[netip.AddrPort]bool{}
}

// Queries counts the queries received.
func (s *NameService) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}

// Close stops it; delayed answers are lost.
func (s *NameService) Close() {
	_ = s.conn.Close() // the serve loop ends either way
	s.done.Wait()
}

// send sends an answer; one that fails is like a datagram lost.
func (s *NameService) send(answer []byte, to netip.AddrPort) {
	_, _ = s.conn.WriteToUDPAddrPort(answer, to) // UDP gives no promise
}

// serve answers queries until the socket is closed.
func (s *NameService) serve() {
	defer s.done.Done()
	buf := make([]byte, 512)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var q dnsmessage.Message
		if q.Unpack(buf[:n]) != nil {
			continue
		}
		s.mu.Lock()
		s.queries++
		s.clients[from] = true
		mute := s.muted[from]
		answer, spoil, delay := ListAnswer(q.ID, s.number, s.nodes, s.names), s.corrupt, s.delay
		s.mu.Unlock()
		if spoil != nil {
			answer = spoil(buf[:n], answer)
		}
		switch {
		case len(answer) == 0 || mute:
		case delay > 0:
			time.AfterFunc(delay, func() { s.send(answer, from) })
		default:
			s.send(answer, from)
		}
	}
}
