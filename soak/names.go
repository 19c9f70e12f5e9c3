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

// NameFaults are what a name service does amiss. The zero value answers at once.
type NameFaults struct {
	Down      bool          // nothing is answered
	Latency   time.Duration // of each answer
	Loss      float64       // share of the answers that are lost on their way
	Spoilt    float64       // share of the answers that are cut short, report a failure, or hold an older list
	Twice     float64       // share of the answers that come twice
	BadRow    bool          // one row of each answer cannot be read
	Earlier   float64       // share of the answers that bring a list told before the dispatcher's last start, with its number of then
	OldRows   float64       // share of the answers that bring the rows of the list before under the number in force
	SilentNow bool          // flows that have asked so far are never answered again; a single event
}

// version is one list that was in force.
type version struct {
	number int
	at     time.Duration
	nodes  []nodelist.Node
}

// NameService is the name service as one dispatcher sees it. It keeps account of when that dispatcher counts as notified.
type NameService struct {
	record     *Record
	dispatcher int

	mu       sync.Mutex
	conn     *net.UDPConn
	rng      *rand.Rand
	faults   NameFaults
	versions []version // from the last start on
	earlier  []version // told before that start
	start    int
	seen     map[netip.AddrPort]bool
	silent   map[netip.AddrPort]bool
	noticed  map[string]bool // nodes whose drain or end has been told
	brokeOff time.Duration   // when it was told to answer nothing, the last time; 0: never
	moved    time.Duration   // when the service was moved last; 0: never
	done     sync.WaitGroup
}

// How long after an event, a break-off or a move a dispatcher counts as notified at the latest, as the protocol page says.
const (
	toldWithin   = 1500 * time.Millisecond
	brokenWithin = 4500 * time.Millisecond
	movedWithin  = 4 * time.Second
)

func newNameService(r *Record, dispatcher int, seed uint64) (*NameService, error) {
	s := &NameService{record: r, dispatcher: dispatcher, rng: rand.New(rand.NewPCG(seed, uint64(dispatcher)))}
	return s, s.listen()
}

func (s *NameService) listen() error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.seen, s.silent = conn, map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
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

// Move has it listen elsewhere; the old address answers no more.
func (s *NameService) Move() error {
	s.mu.Lock()
	old := s.conn
	s.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	old.Close()
	return nil
}

// Moved notes that the dispatcher has been told of the new address.
func (s *NameService) Moved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moved = s.record.now()
}

// Close ends it.
func (s *NameService) Close() {
	s.mu.Lock()
	s.conn.Close()
	s.mu.Unlock()
	s.done.Wait()
}

// Begin begins another start of the dispatcher: numbers start again, and the list that it knows is the one in force.
func (s *NameService) Begin(start int, nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.record.now()
	s.earlier = append(s.earlier, s.versions...)
	s.start, s.noticed, s.versions = start, map[string]bool{}, []version{{1, now, nodes}}
	s.told(s.versions[0], now)
}

// Set puts another list in force.
func (s *NameService) Set(nodes []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return
	}
	v := version{len(s.versions) + 1, s.record.now(), nodes}
	s.versions = append(s.versions, v)
	s.tellBy(v, s.start, s.latest(v.at))
}

// tellBy counts a version as told some time after it came in force; a break-off or a move until then gives more time. s.mu is held.
func (s *NameService) tellBy(v version, start int, within time.Duration) {
	time.AfterFunc(within-(s.record.now()-v.at), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch later := s.latest(v.at); {
		case s.start != start:
		case later > within:
			s.tellBy(v, start, later)
		default:
			s.told(v, v.at+within)
		}
	})
}

// latest is how long after an event it counts as told in any case; s.mu is held.
func (s *NameService) latest(at time.Duration) time.Duration {
	within := toldWithin
	if s.brokeOff > 0 {
		within = max(within, s.brokeOff+brokenWithin-at)
	}
	if s.moved > 0 {
		within = max(within, s.moved+movedWithin-at)
	}
	return within
}

// SetFaults has it misbehave from now on.
func (s *NameService) SetFaults(f NameFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.SilentNow {
		s.silent, f.SilentNow = s.seen, false
		s.seen = map[netip.AddrPort]bool{}
	}
	if f.Down && !s.faults.Down {
		s.brokeOff = s.record.now()
	}
	s.faults = f
}

// told notes that a version has been told: from now on the dispatcher is notified of what drains or is gone by it. s.mu is held.
func (s *NameService) told(v version, at time.Duration) {
	listed := map[string]policy.EndpointState{}
	for _, n := range v.nodes {
		listed[n.ID] = n.State
	}
	for _, earlier := range s.versions {
		if earlier.number > v.number {
			break
		}
		for _, n := range earlier.nodes {
			state, is := listed[n.ID]
			if (!is || state != policy.Healthy) && !s.noticed[n.ID] {
				s.noticed[n.ID] = true
				s.record.addNotice(Notice{s.dispatcher, s.start, n.ID, at})
			}
		}
	}
}

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

// answer answers one question as the faults of the moment have it.
func (s *NameService) answer(conn *net.UDPConn, from netip.AddrPort, id uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[from] = true
	f := s.faults
	if f.Down || s.silent[from] || len(s.versions) == 0 {
		return
	}
	v, start := s.versions[len(s.versions)-1], s.start
	lost, spoilt, copies := s.rng.Float64() < f.Loss, s.rng.Float64() < f.Spoilt, 1
	if s.rng.Float64() < f.Twice {
		copies = 2
	}
	message := simulated.ListAnswer(id, uint32(v.number), v.nodes, names)
	if s.rng.Float64() < f.Earlier && len(s.earlier) > 0 {
		old := s.earlier[s.rng.IntN(len(s.earlier))]
		message, spoilt = simulated.ListAnswer(id, uint32(old.number), old.nodes, names), true
	} else if s.rng.Float64() < f.OldRows && len(s.versions) > 1 {
		message, spoilt = simulated.ListAnswer(id, uint32(v.number), s.versions[len(s.versions)-2].nodes, names), true
	} else if spoilt {
		message = s.spoil(message, id)
	} else if f.BadRow {
		message = simulated.ListAnswer(id, uint32(v.number), append([]nodelist.Node{unreadable}, v.nodes...), unreadableNames)
	}
	send := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.start == start && !spoilt && conn == s.conn {
			s.told(v, s.record.now())
		}
		for range copies {
			if !lost {
				conn.WriteToUDPAddrPort(message, from)
			}
		}
	}
	time.AfterFunc(f.Latency, send)
}

// unreadable is a row that no dispatcher can use: its zone is in no settings.
var (
	unreadable      = nodelist.Node{ID: "s-odd", Zone: 1, Platform: "127.0.0.1:9", Weight: 1}
	unreadableNames = nodelist.Names{Zones: []string{"west", "nowhere"}, Kinds: names.Kinds}
)

// spoil makes an answer one that tells nothing. s.mu is held.
func (s *NameService) spoil(message []byte, id uint16) []byte {
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
