package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/simulated"
)

// NameFaults are faults of a name service; shares, from 0 to 1, are of its answers. The zero value has none.
type NameFaults struct {
	Down                bool          // nothing is answered
	Latency             time.Duration // of each answer
	Loss                float64       // share lost on their way
	Corrupt             float64       // share that are cut short, have the wrong ID, report SERVFAIL, or hold the oldest list
	Duplicate           float64       // share sent twice
	BadRow              bool          // each answer has a row with an unknown zone
	PreviousIncarnation float64       // share that hold a list published before the dispatcher's last start, with its number
	StaleRows           float64       // share that hold the previous rows under the current number
	MuteClients         bool          // clients seen so far are never answered again; a single event
}

// version is one endpoint list as it was published.
type version struct {
	number int
	at     time.Duration
	nodes  []nodelist.Node
}

// NameService is the name service as one dispatcher sees it. It records when that dispatcher counts as notified.
type NameService struct {
	record     *Record
	dispatcher int

	mu               sync.Mutex
	conn             *net.UDPConn
	rng              *rand.Rand
	faults           NameFaults
	versions         []version // of this incarnation; the last one is current
	previousVersions []version // of earlier incarnations
	incarnation      int
	clients          map[netip.AddrPort]bool
	muted            map[netip.AddrPort]bool
	notified         map[string]bool // nodes of whose drain or removal it was notified
	outageAt         time.Duration   // when the last outage began; 0: never
	movedAt          time.Duration   // when the dispatcher was notified of the last move; 0: never
	done             sync.WaitGroup
}

// The platform's protocol counts a dispatcher as notified of a change this long after it, after the begin of an outage, or
// after a move, at the latest.
const (
	notifyLimit       = 1500 * time.Millisecond
	outageNotifyLimit = 4500 * time.Millisecond
	moveNotifyLimit   = 4 * time.Second
)

// newNameService returns a name service for one dispatcher, which listens on loopback.
func newNameService(r *Record, dispatcher int, seed uint64) (*NameService, error) {
	s := &NameService{record: r, dispatcher: dispatcher, rng: rand.New(rand.NewPCG(seed, uint64(dispatcher)))}
	return s, s.listen()
}

// listen opens another socket and answers queries on it; the clients of the old one are forgotten.
func (s *NameService) listen() error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.clients, s.muted = conn, map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	s.done.Add(1)
	go s.serve(conn)
	return nil
}

// Address is where it listens now.
func (s *NameService) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.LocalAddr().String()
}

// Move has it listen at another port; the old address answers no more.
func (s *NameService) Move() error {
	s.mu.Lock()
	old := s.conn
	s.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	_ = old.Close() // its serve loop ends either way
	return nil
}

// SetMoved records that the dispatcher has been notified of the new address.
func (s *NameService) SetMoved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movedAt = s.record.now()
}

// Close stops it; delayed answers may still fail to be sent.
func (s *NameService) Close() {
	s.mu.Lock()
	_ = s.conn.Close() // its serve loop ends either way
	s.mu.Unlock()
	s.done.Wait()
}

// Restart begins another incarnation of the dispatcher: numbers begin again at 1, with the list of its configuration.
func (s *NameService) Restart(incarnation int, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.record.now()
	s.previousVersions = append(s.previousVersions, s.versions...)
	s.incarnation, s.notified, s.versions = incarnation, map[string]bool{}, []version{{1, now, nodes}}
	s.markNotified(s.versions[0], now)
}

// SetEndpoints publishes another list.
func (s *NameService) SetEndpoints(nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return
	}
	v := version{len(s.versions) + 1, s.record.now(), nodes}
	s.versions = append(s.versions, v)
	s.scheduleNotified(v, s.incarnation, s.notifyLimitFrom(v.at))
}

// scheduleNotified counts the dispatcher as notified of a version some time after it was published; an outage or a move
// until then gives more time. s.mu is held.
func (s *NameService) scheduleNotified(v version, incarnation int, within time.Duration) {
	time.AfterFunc(within-(s.record.now()-v.at), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch later := s.notifyLimitFrom(v.at); {
		case s.incarnation != incarnation:
		case later > within:
			s.scheduleNotified(v, incarnation, later)
		default:
			s.markNotified(v, v.at+within)
		}
	})
}

// notifyLimitFrom is how long after a change at that time the dispatcher counts as notified in any case. s.mu is held.
func (s *NameService) notifyLimitFrom(at time.Duration) time.Duration {
	within := notifyLimit
	if s.outageAt > 0 {
		within = max(within, s.outageAt+outageNotifyLimit-at)
	}
	if s.movedAt > 0 {
		within = max(within, s.movedAt+moveNotifyLimit-at)
	}
	return within
}

// SetFaults sets its faults.
func (s *NameService) SetFaults(f NameFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.MuteClients {
		s.muted, f.MuteClients = s.clients, false
		s.clients = map[netip.AddrPort]bool{}
	}
	if f.Down && !s.faults.Down {
		s.outageAt = s.record.now()
	}
	s.faults = f
}

// markNotified counts the dispatcher as notified of the nodes that are draining or missing in a version. s.mu is held.
func (s *NameService) markNotified(v version, at time.Duration) {
	listed := map[string]policy.EndpointState{}
	for _, n := range v.nodes {
		listed[n.ID] = n.State
	}
	for _, earlier := range s.versions {
		if earlier.number > v.number {
			break
		}
		for _, n := range earlier.nodes {
			state, ok := listed[n.ID]
			if (!ok || state != policy.Healthy) && !s.notified[n.ID] {
				s.notified[n.ID] = true
				s.record.addNotice(Notice{s.dispatcher, s.incarnation, n.ID, at})
			}
		}
	}
}

// serve answers queries until the socket is closed.
func (s *NameService) serve(conn *net.UDPConn) {
	defer s.done.Done()
	buf := make([]byte, 512)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var q dnsmessage.Message
		if q.Unpack(buf[:n]) == nil {
			s.answer(conn, from, q.ID)
		}
	}
}

// answer answers one question, subject to the current faults.
func (s *NameService) answer(conn *net.UDPConn, from netip.AddrPort, id uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[from] = true
	f := s.faults
	if f.Down || s.muted[from] || len(s.versions) == 0 {
		return
	}
	current, incarnation := s.versions[len(s.versions)-1], s.incarnation
	lost, corrupted, copies := s.rng.Float64() < f.Loss, s.rng.Float64() < f.Corrupt, 1
	if s.rng.Float64() < f.Duplicate {
		copies = 2
	}
	message, useful := s.drawMessage(id, current, corrupted)
	time.AfterFunc(f.Latency, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incarnation == incarnation && useful && conn == s.conn {
			s.markNotified(current, s.record.now())
		}
		for range copies {
			if !lost {
				_, _ = conn.WriteToUDPAddrPort(message, from) // a failure is like a datagram lost
			}
		}
	})
}

// drawMessage draws an answer; useful is false where a dispatcher need not learn the current list from it. s.mu is held.
func (s *NameService) drawMessage(id uint16, current version, corrupted bool) (message []byte, useful bool) {
	encode := func(number int, nodes []nodelist.Node) []byte {
		return simulated.ListAnswer(id, uint32(number), nodes, names)
	}
	switch f := s.faults; {
	case s.rng.Float64() < f.PreviousIncarnation && len(s.previousVersions) > 0:
		previous := s.previousVersions[s.rng.IntN(len(s.previousVersions))]
		return encode(previous.number, previous.nodes), false
	case s.rng.Float64() < f.StaleRows && len(s.versions) > 1:
		return encode(current.number, s.versions[len(s.versions)-2].nodes), false
	case corrupted:
		return s.corrupt(encode(current.number, current.nodes), id), false
	case f.BadRow:
		return simulated.ListAnswer(id, uint32(current.number), append([]nodelist.Node{unusableNode}, current.nodes...), unusableNames), true
	}
	return encode(current.number, current.nodes), true
}

// A row that no dispatcher can use: its zone is in no settings.
var (
	unusableNode  = nodelist.Node{ID: "s-odd", Zone: 1, Platform: "127.0.0.1:9", Weight: 1}
	unusableNames = nodelist.Names{Zones: []string{"west", "nowhere"}, Kinds: names.Kinds}
)

// corrupt makes an answer useless. s.mu is held.
func (s *NameService) corrupt(message []byte, id uint16) []byte {
	switch s.rng.IntN(4) {
	case 0:
		return message[:len(message)/2]
	case 1:
		message[3] |= 2 // SERVFAIL
	case 2:
		message[0] ^= 0x55
	default:
		oldest := s.versions[0]
		return simulated.ListAnswer(id, uint32(oldest.number), oldest.nodes, names)
	}
	return message
}
