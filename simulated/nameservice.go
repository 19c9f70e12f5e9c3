package simulated

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/nodelist"
)

// NameService is a simulated name service of the platform. It answers DNS queries with the endpoint list over UDP.
type NameService struct {
	conn  *net.UDPConn
	names nodelist.Names
	done  sync.WaitGroup

	mu      sync.Mutex
	number  uint32 // serial number of the list
	nodes   []nodelist.Node
	corrupt func(question, answer []byte) []byte // applied to each answer; nil: answers are sent as they are
	delay   time.Duration                        // how much later each answer is sent
	queries int
	clients map[netip.AddrPort]bool // clients that have sent a query since the last MuteClients
	muted   map[netip.AddrPort]bool // clients that get no answer
}

// NewNameService returns a name service that listens on any free port on loopback. Its list is empty until Set.
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

// Address returns the address that the service listens on, as host:port.
func (s *NameService) Address() string { return s.conn.LocalAddr().String() }

// Set replaces the list and its serial number.
func (s *NameService) Set(number uint32, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number, s.nodes = number, nodes
}

// Corrupt sets a function that changes every answer. An answer that it returns empty is not sent.
func (s *NameService) Corrupt(corrupt func(question, answer []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = corrupt
}

// SetDelay sets how much later every answer is sent.
func (s *NameService) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// MuteClients stops answers to the clients that have sent a query since the last call. The clients of the last call get answers again.
func (s *NameService) MuteClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.clients = s.clients, map[netip.AddrPort]bool{}
}

// Queries returns how many queries were received, including those of muted clients.
func (s *NameService) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}

// Close stops the service. Delayed answers are lost.
func (s *NameService) Close() {
	_ = s.conn.Close() // the serve loop ends either way
	s.done.Wait()
}

// send sends an answer. A failure has the effect of a lost datagram.
func (s *NameService) send(answer []byte, to netip.AddrPort) {
	_, _ = s.conn.WriteToUDPAddrPort(answer, to) // UDP does not guarantee delivery either
}

// serve answers queries until the socket is closed.
func (s *NameService) serve() {
	defer s.done.Done()
	buf := make([]byte, 512) // the limit of DNS over UDP without EDNS
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
		muted := s.muted[from]
		answer, corrupt, delay := ListAnswer(q.ID, s.number, s.nodes, s.names), s.corrupt, s.delay
		s.mu.Unlock()
		if corrupt != nil {
			answer = corrupt(buf[:n], answer)
		}
		switch {
		case len(answer) == 0 || muted:
		case delay > 0:
			time.AfterFunc(delay, func() { s.send(answer, from) })
		default:
			s.send(answer, from)
		}
	}
}
