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

// NameServiceFaults are faults of a name service. Shares, from 0 to 1, are of its answers. The zero value has no faults.
type NameServiceFaults struct {
	Down                bool          // no query is answered
	Latency             time.Duration // of each answer
	Loss                float64       // share that is lost on the way
	Corrupt             float64       // share that is cut short, has the wrong ID, reports SERVFAIL, or holds the incarnation's first list
	Duplicate           float64       // share that is sent twice
	UnknownZoneRow      bool          // each answer whose content no other fault changes has a row with an unknown zone
	PreviousIncarnation float64       // share that holds a list published before the dispatcher's last start, with that list's number
	StaleRows           float64       // share that holds the rows of the list before the current one, with the current number
	MuteClients         bool          // from now on the clients seen so far get no answer; it is an event, not a state
}

// version is a published endpoint list.
type version struct {
	number int           // counts from 1 in each incarnation
	at     time.Duration // when it was published
	nodes  []nodelist.Node
}

// NameService is a simulated name service for one dispatcher: it answers DNS queries with the endpoint list. It records when the
// dispatcher counts as notified that a node is draining or was removed.
type NameService struct {
	record     *Record
	dispatcher int

	mu               sync.Mutex
	conn             *net.UDPConn
	rng              *rand.Rand
	faults           NameServiceFaults
	versions         []version // of this incarnation; the last one is current
	previousVersions []version // of earlier incarnations
	incarnation      int
	clients          map[netip.AddrPort]bool // clients that sent a query to this socket since the last MuteClients
	muted            map[netip.AddrPort]bool // clients that get no answer
	notified         map[string]bool         // IDs of nodes of whose drain or removal the dispatcher counts as notified
	outageAt         time.Duration           // when the last outage began; 0: never
	movedAt          time.Duration           // when the dispatcher was notified of the last move; 0: never
	done             sync.WaitGroup          // serve loops
}

// By the platform's protocol a dispatcher counts as notified of a change at the latest when all of these limits have passed.
const (
	notifyLimit       = 1500 * time.Millisecond // after the change
	outageNotifyLimit = 4500 * time.Millisecond // after the begin of an outage
	moveNotifyLimit   = 4 * time.Second         // after the dispatcher was notified that the name service has moved
)

// newNameService returns a name service for one dispatcher. It listens on loopback, and answers after the first Restart.
func newNameService(r *Record, dispatcher int, seed uint64) (*NameService, error) {
	s := &NameService{record: r, dispatcher: dispatcher, rng: rand.New(rand.NewPCG(seed, uint64(dispatcher)))}
	return s, s.listen()
}

// listen opens another socket and answers queries on it. It forgets which clients the old socket has seen or muted.
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

// Address returns the host and port at which the name service listens now.
func (s *NameService) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.LocalAddr().String()
}

// Move makes the name service listen at another port. The old address answers no more queries.
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

// Close closes the socket and waits for the serve loops. Answers that are still delayed are lost.
func (s *NameService) Close() {
	s.mu.Lock()
	_ = s.conn.Close() // its serve loop ends either way
	s.mu.Unlock()
	s.done.Wait()
}

// Restart begins another incarnation of the dispatcher: list numbers begin again at 1, with the list in the dispatcher's configuration.
func (s *NameService) Restart(incarnation int, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.record.now()
	s.previousVersions = append(s.previousVersions, s.versions...)
	s.incarnation, s.notified, s.versions = incarnation, map[string]bool{}, []version{{1, now, nodes}}
	s.markNotified(s.versions[0], now)
}

// SetEndpoints publishes another endpoint list. Before the first Restart it does nothing.
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

// scheduleNotified counts the dispatcher as notified of v at the given time after v was published. An outage or a move until then
// extends the time; a new incarnation ends the wait. The caller holds s.mu.
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

// notifyLimitFrom returns how long after a change the dispatcher counts as notified of it in any case; at is the time of the change.
// The caller holds s.mu.
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

// SetFaults replaces the faults. Muted clients stay muted until a move, or until the next MuteClients, which instead mutes the clients
// seen since the last one.
func (s *NameService) SetFaults(f NameServiceFaults) {
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

// markNotified counts the dispatcher as notified that nodes of v or of earlier versions are draining in v or missing from it. The caller
// holds s.mu.
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

// answer answers one query, subject to the current faults. The dispatcher counts as notified when a useful answer is due, even if the
// answer is then lost by the Loss fault.
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
				_, _ = conn.WriteToUDPAddrPort(message, from) // a failure is like a lost datagram
			}
		}
	})
}

// drawMessage draws an answer. useful is false where a dispatcher need not learn the current list from it. The caller holds s.mu.
func (s *NameService) drawMessage(id uint16, current version, corrupted bool) (message []byte, useful bool) {
	encode := func(number int, nodes []nodelist.Node) []byte {
		return simulated.ListAnswer(id, uint32(number), nodes, nodeNames)
	}
	switch f := s.faults; {
	case s.rng.Float64() < f.PreviousIncarnation && len(s.previousVersions) > 0:
		previous := s.previousVersions[s.rng.IntN(len(s.previousVersions))]
		return encode(previous.number, previous.nodes), false
	case s.rng.Float64() < f.StaleRows && len(s.versions) > 1:
		return encode(current.number, s.versions[len(s.versions)-2].nodes), false
	case corrupted:
		return s.corrupt(encode(current.number, current.nodes), id), false
	case f.UnknownZoneRow:
		return simulated.ListAnswer(id, uint32(current.number), append([]nodelist.Node{unusableNode}, current.nodes...), unusableNames), true
	}
	return encode(current.number, current.nodes), true
}

// An endpoint that no dispatcher can use, because its zone is not in the settings, and the names that encode it.
var (
	unusableNode  = nodelist.Node{ID: "s-odd", Zone: 1, PlatformAddress: "127.0.0.1:9", Weight: 1}
	unusableNames = nodelist.Names{Zones: []string{"west", "nowhere"}, Kinds: nodeNames.Kinds}
)

// corrupt draws how an answer is made useless, and returns the changed answer. The caller holds s.mu.
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
		return simulated.ListAnswer(id, uint32(oldest.number), oldest.nodes, nodeNames)
	}
	return message
}
