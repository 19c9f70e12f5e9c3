package simulated

import (
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/nodelist"
	"embershunt/policy"
)

// NameService answers questions for the node list over UDP, as the platform's does.
type NameService struct {
	conn  *net.UDPConn
	names nodelist.Names
	done  sync.WaitGroup

	mu     sync.Mutex
	number uint32
	nodes  []nodelist.Node
	spoil  func(question, answer []byte) []byte // nil: nothing is spoilt
	delay  time.Duration                        // of every answer
	asked  int
	heard  map[netip.AddrPort]bool // who has asked
	mute   map[netip.AddrPort]bool // who gets no answer any more
}

// NewNameService listens on loopback.
func NewNameService(names nodelist.Names) (*NameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &NameService{conn: conn, names: names, heard: map[netip.AddrPort]bool{}}
	s.done.Add(1)
	go s.serve()
	return s, nil
}

// Address is where it listens.
func (s *NameService) Address() string { return s.conn.LocalAddr().String() }

// Set changes the list.
func (s *NameService) Set(number uint32, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number, s.nodes = number, nodes
}

// Spoil has every answer changed on its way; an empty one is lost.
func (s *NameService) Spoil(spoil func(question, answer []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = spoil
}

// Delay has every answer sent so much later.
func (s *NameService) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Mute has every socket that has asked so far get no answer any more.
func (s *NameService) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute, s.heard = s.heard, map[netip.AddrPort]bool{}
}

// Asked counts the questions.
func (s *NameService) Asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Close ends it.
func (s *NameService) Close() {
	s.conn.Close()
	s.done.Wait()
}

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
		s.asked++
		s.heard[from] = true
		mute := s.mute[from]
		answer, spoil, delay := ListAnswer(q.ID, s.number, s.nodes, s.names), s.spoil, s.delay
		s.mu.Unlock()
		if spoil != nil {
			answer = spoil(buf[:n], answer)
		}
		switch {
		case len(answer) == 0 || mute:
		case delay > 0:
			time.AfterFunc(delay, func() { s.conn.WriteToUDPAddrPort(answer, from) })
		default:
			s.conn.WriteToUDPAddrPort(answer, from)
		}
	}
}

// ListAnswer is a whole answer with a list. Every name in it is compressed, targets too.
func ListAnswer(id uint16, number uint32, nodes []nodelist.Node, names nodelist.Names) []byte {
	a := answer{at: map[string]int{}}
	for _, v := range []uint16{id, 0x8400, 1, uint16(len(nodes)), 1, uint16(2 * len(nodes))} {
		a.b = binary.BigEndian.AppendUint16(a.b, v)
	}
	a.name(nodelist.Service)
	a.b = append(a.b, 0, 33, 0, 1)
	target := func(n nodelist.Node) string { return n.ID + "." + names.Zones[n.Zone] + ".hosts." }
	for _, n := range nodes {
		priority, port := uint16(0), netip.MustParseAddrPort(n.Platform).Port()
		if n.State == policy.Draining {
			priority = 1
		}
		a.record(nodelist.Service, 33, func() {
			for _, v := range []uint16{priority, uint16(n.Weight * 10), port} {
				a.b = binary.BigEndian.AppendUint16(a.b, v)
			}
			a.name(target(n))
		})
	}
	a.record(nodelist.Service, 6, func() {
		a.name("ns.hosts.")
		a.name("mail.hosts.")
		for _, v := range []uint32{number, 1, 1, 1, 1} {
			a.b = binary.BigEndian.AppendUint32(a.b, v)
		}
	})
	for _, n := range nodes {
		started := int64(0)
		if !n.Started.IsZero() {
			started = n.Started.UnixMilli()
		}
		a.record(target(n), 1, func() { a.b = append(a.b, netip.MustParseAddrPort(n.Platform).Addr().AsSlice()...) })
		a.record(target(n), 16, func() {
			for _, text := range []string{"kind=" + names.Kinds[n.Kind], "cell=" + strconv.Itoa(n.PlacementGroup), "started=" + strconv.FormatInt(started, 10)} {
				a.b = append(append(a.b, byte(len(text))), text...)
			}
		})
	}
	return a.b
}

// answer is a message that is being written.
type answer struct {
	b  []byte
	at map[string]int // where a name stands already
}

// name writes a name, by a pointer as far as it stands already.
func (a *answer) name(name string) {
	for name != "" {
		if at, ok := a.at[name]; ok {
			a.b = binary.BigEndian.AppendUint16(a.b, 0xc000|uint16(at))
			return
		}
		a.at[name] = len(a.b)
		label, rest, _ := strings.Cut(name, ".")
		a.b = append(append(a.b, byte(len(label))), label...)
		name = rest
	}
	a.b = append(a.b, 0)
}

// record writes one record of class IN.
func (a *answer) record(name string, kind byte, data func()) {
	a.name(name)
	a.b = append(a.b, 0, kind, 0, 1, 0, 0, 0, 1, 0, 0)
	at := len(a.b)
	data()
	binary.BigEndian.PutUint16(a.b[at-2:], uint16(len(a.b)-at))
}
