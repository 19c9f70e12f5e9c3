package simulated

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/nodelist"
	"embershunt/policy"
)

// ListAnswer is a complete DNS answer with an endpoint list: an SRV record of each node, an SOA record with the list's number, and
// address and TXT records of each node. Every name in it is compressed, SRV targets too.
func ListAnswer(id uint16, number uint32, nodes []nodelist.Node, names nodelist.Names) []byte {
	m := dnsMessage{offsets: map[string]int{}}
	m.uint16s(id, flagsAuthoritativeAnswer, 1, uint16(len(nodes)), 1, uint16(2*len(nodes)))
	m.name(nodelist.Service)
	m.uint16s(uint16(dnsmessage.TypeSRV), uint16(dnsmessage.ClassINET))
	target := func(n nodelist.Node) string { return n.ID + "." + names.Zones[n.Zone] + ".hosts." }
	for _, n := range nodes {
		m.service(n, target(n))
	}
	m.record(nodelist.Service, dnsmessage.TypeSOA, func() {
		m.name("ns.hosts.")
		m.name("mail.hosts.")
		m.uint32s(number, 1, 1, 1, 1)
	})
	for _, n := range nodes {
		m.host(n, target(n), names)
	}
	return m.bytes
}

// flagsAuthoritativeAnswer are the header's flags QR and AA.
const flagsAuthoritativeAnswer = 0x8400

// dnsMessage is a DNS message under construction.
type dnsMessage struct {
	bytes   []byte
	offsets map[string]int // of names written so far, for compression
}

// service writes a node's SRV record; priority 1 marks one that is draining.
func (m *dnsMessage) service(n nodelist.Node, target string) {
	priority, port := uint16(0), netip.MustParseAddrPort(n.Platform).Port()
	if n.State == policy.Draining {
		priority = 1
	}
	m.record(nodelist.Service, dnsmessage.TypeSRV, func() {
		m.uint16s(priority, uint16(n.Weight*10), port)
		m.name(target)
	})
}

// host writes a node's address, and its kind, placement group and start as TXT.
func (m *dnsMessage) host(n nodelist.Node, name string, names nodelist.Names) {
	started := int64(0)
	if !n.Started.IsZero() {
		started = n.Started.UnixMilli()
	}
	m.record(name, dnsmessage.TypeA, func() { m.bytes = append(m.bytes, netip.MustParseAddrPort(n.Platform).Addr().AsSlice()...) })
	m.record(name, dnsmessage.TypeTXT, func() {
		for _, text := range []string{"kind=" + names.Kinds[n.Kind], "cell=" + strconv.Itoa(n.PlacementGroup), "started=" + strconv.FormatInt(started, 10)} {
			m.bytes = append(append(m.bytes, byte(len(text))), text...)
		}
	})
}

// uint16s writes numbers in network byte order.
func (m *dnsMessage) uint16s(values ...uint16) {
	for _, v := range values {
		m.bytes = binary.BigEndian.AppendUint16(m.bytes, v)
	}
}

// uint32s writes numbers in network byte order.
func (m *dnsMessage) uint32s(values ...uint32) {
	for _, v := range values {
		m.bytes = binary.BigEndian.AppendUint32(m.bytes, v)
	}
}

// name writes a name, with a pointer for the part that was written before.
func (m *dnsMessage) name(name string) {
	for name != "" {
		if at, ok := m.offsets[name]; ok {
			m.bytes = binary.BigEndian.AppendUint16(m.bytes, 0xc000|uint16(at))
			return
		}
		m.offsets[name] = len(m.bytes)
		label, rest, _ := strings.Cut(name, ".")
		m.bytes = append(append(m.bytes, byte(len(label))), label...)
		name = rest
	}
	m.bytes = append(m.bytes, 0)
}

// record writes a record of class IN with a TTL of one second, whose data a function writes.
func (m *dnsMessage) record(name string, kind dnsmessage.Type, data func()) {
	m.name(name)
	m.uint16s(uint16(kind), uint16(dnsmessage.ClassINET))
	m.uint32s(1)
	m.uint16s(0) // the length, set below
	start := len(m.bytes)
	data()
	binary.BigEndian.PutUint16(m.bytes[start-2:], uint16(len(m.bytes)-start))
}
