package standin

import (
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Row is a compute node in the list of the name service.
type Row struct {
	ID, Address, Zone, Kind string
	Cell                    int
	Draining                bool
	StartedMs               int64
}

// NameService answers DNS queries for the list over UDP. The number of the list counts from 1.
type NameService struct {
	record *Record
	conn   *net.UDPConn

	mu     sync.Mutex
	lists  []*list // by number; the last one is current
	silent bool
	older  bool
}

// list is a list under its number.
type list struct {
	number  int
	rows    []Row
	answers int // that have brought it
}

// NewNameService starts a name service with a first list.
func NewNameService(r *Record, rows []Row) (*NameService, error) {
	address, err := OwnAddress("udp")
	if err != nil {
		return nil, err
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	s := &NameService{record: r, lists: []*list{{number: 1, rows: rows}}}
	if s.conn, err = net.ListenUDP("udp4", a); err != nil {
		return nil, err
	}
	go s.serve()
	return s, nil
}

// Address returns the address of the name service.
func (s *NameService) Address() string { return s.conn.LocalAddr().String() }

// Set publishes a list under the next number.
func (s *NameService) Set(rows []Row) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.lists) + 1
	s.lists = append(s.lists, &list{number: number, rows: rows})
	s.record.Printf("name service: list %d: %+v", number, rows)
	return number
}

// Answers returns how many answers have brought a list.
func (s *NameService) Answers(number int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[number-1].answers
}

// SetOlder makes each answer bring the list before the current one, with that list's number, or the current one again.
func (s *NameService) SetOlder(older bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older = older
	s.record.Printf("name service: older lists %v", older)
}

// SetSilent makes the name service answer nothing, or answer again.
func (s *NameService) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.record.Printf("name service: silent %v", silent)
}

// Close stops the name service.
func (s *NameService) Close() { _ = s.conn.Close() }

func (s *NameService) serve() {
	buf := make([]byte, 1024)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.silent && n > 12 {
			list := s.lists[len(s.lists)-1]
			if s.older {
				list = s.lists[max(0, len(s.lists)-2)]
			}
			list.answers++
			s.record.Printf("name service: answer with list %d", list.number)
			_, _ = s.conn.WriteToUDPAddrPort(list.answer(buf[:n]), from) // a failure is like a lost datagram
		}
		s.mu.Unlock()
	}
}

// appendName appends a domain name.
func appendName(b []byte, name string) []byte {
	for label := range strings.SplitSeq(strings.TrimSuffix(name, "."), ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

// appendRecord appends a resource record of class IN.
func appendRecord(b []byte, name string, kind uint16, data []byte) []byte {
	b = appendName(b, name)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

// answer returns the answer to a query, whose header and question it repeats.
func (s *list) answer(query []byte) []byte {
	const service = "_api._tcp.svc.local"
	end := 12 + len(appendName(nil, service)) + 4
	b := append([]byte(nil), query[:min(end, len(query))]...)
	b[2], b[3] = 0x84, 0
	binary.BigEndian.PutUint16(b[6:], uint16(len(s.rows)))
	binary.BigEndian.PutUint16(b[8:], 1)
	binary.BigEndian.PutUint16(b[10:], uint16(2*len(s.rows)))
	for _, r := range s.rows {
		_, port, _ := net.SplitHostPort(r.Address)
		p, _ := strconv.Atoi(port)
		priority := uint16(0)
		if r.Draining {
			priority = 1
		}
		data := binary.BigEndian.AppendUint16(nil, priority)
		data = binary.BigEndian.AppendUint16(data, 40)
		data = binary.BigEndian.AppendUint16(data, uint16(p))
		b = appendRecord(b, service, 33, appendName(data, r.target()))
	}
	soa := appendName(appendName(nil, "ns.svc.local"), "admin.svc.local")
	soa = binary.BigEndian.AppendUint32(soa, uint32(s.number))
	b = appendRecord(b, "svc.local", 6, append(soa, make([]byte, 16)...))
	for _, r := range s.rows {
		host, _, _ := net.SplitHostPort(r.Address)
		b = appendRecord(b, r.target(), 1, net.ParseIP(host).To4())
		var text []byte
		for _, t := range []string{"kind=" + r.Kind, "cell=" + strconv.Itoa(r.Cell), "started=" + strconv.FormatInt(r.StartedMs, 10)} {
			text = append(append(text, byte(len(t))), t...)
		}
		b = appendRecord(b, r.target(), 16, text)
	}
	return b
}

// target returns the domain name of a row's node.
func (r Row) target() string { return r.ID + "." + r.Zone + ".hosts" }
