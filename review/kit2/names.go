package kit2

import (
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// NameService answers the SRV query of the protocol page with the whole list.
type NameService struct {
	record *Record
	conn   *net.UDPConn
	Silent atomic.Bool // answers nothing
	Asked  atomic.Int64
	Delay  atomic.Int64 // nanoseconds before each answer, which holds the list of the moment at which it is sent

	mu     sync.Mutex
	rows   []Row
	number int
}

// NewNameService starts a name service with a list whose number is 1.
func NewNameService(r *Record, rows []Row) *NameService {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Must(err)
	n := &NameService{record: r, conn: conn, rows: rows, number: 1}
	go n.serve()
	return n
}

// Address returns the address of the name service.
func (n *NameService) Address() string { return n.conn.LocalAddr().String() }

// List returns the list and its number.
func (n *NameService) List() ([]Row, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Row(nil), n.rows...), n.number
}

// Publish replaces the list; its number is one higher.
func (n *NameService) Publish(rows []Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rows = append([]Row(nil), rows...)
	n.number++
	n.record.Logf("name service: list %d has %d nodes", n.number, len(rows))
}

// Close ends the name service.
func (n *NameService) Close() { _ = n.conn.Close() }

func (n *NameService) serve() {
	buf := make([]byte, 1500)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		n.Asked.Add(1)
		if n.Silent.Load() || size < 17 {
			continue
		}
		query := append([]byte(nil), buf[:size]...)
		time.AfterFunc(time.Duration(n.Delay.Load()), func() { _, _ = n.conn.WriteToUDPAddrPort(n.answer(query), from) })
	}
}

func dnsName(b []byte, name string) []byte {
	for label := range strings.SplitSeq(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func dnsRecord(b []byte, name string, kind uint16, data []byte) []byte {
	b = dnsName(b, name)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0)
	return append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
}

func (n *NameService) answer(query []byte) []byte {
	rows, number := n.List()
	const service = "_api._tcp.svc.local"
	b := append([]byte(nil), query[:2]...)
	b = append(b, 0x84, 0, 0, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(len(rows)))
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(2*len(rows)))
	b = append(b, query[12:]...)
	var more []byte
	for _, r := range rows {
		host, port, _ := net.SplitHostPort(r.Address)
		p, _ := strconv.Atoi(port)
		target := r.ID + "." + r.Zone + ".hosts"
		var priority uint16
		if r.Draining {
			priority = 1
		}
		data := binary.BigEndian.AppendUint16(nil, priority)
		data = binary.BigEndian.AppendUint16(data, 160)
		data = dnsName(binary.BigEndian.AppendUint16(data, uint16(p)), target)
		b = dnsRecord(b, service, 33, data)
		more = dnsRecord(more, target, 1, net.ParseIP(host).To4())
		var text []byte
		for _, s := range []string{"kind=" + r.Kind, "cell=" + strconv.Itoa(r.Cell), "started=" + strconv.FormatInt(r.Started, 10)} {
			text = append(append(text, byte(len(s))), s...)
		}
		more = dnsRecord(more, target, 16, text)
	}
	soa := dnsName(dnsName(nil, "ns.svc.local"), "admin.svc.local")
	soa = binary.BigEndian.AppendUint32(soa, uint32(number))
	soa = append(soa, make([]byte, 16)...)
	b = append(dnsRecord(b, "svc.local", 6, soa), more...)
	if len(b) <= maxAnswer {
		return b
	}
	b = append(append([]byte(nil), query[:2]...), 0x86, 0, 0, 1, 0, 0, 0, 1, 0, 0) // truncated, by RFC 1035
	return dnsRecord(append(b, query[12:]...), "svc.local", 6, soa)
}

// maxAnswer is how many bytes an answer holds.
const maxAnswer = 8000

// StartedNow returns the present time as a list has it.
func StartedNow() int64 { return time.Now().UnixMilli() }

// Set replaces the list and its number.
func (n *NameService) Set(rows []Row, number int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rows, n.number = append([]Row(nil), rows...), number
	n.record.Logf("name service: list %d has %d nodes", n.number, len(rows))
}
