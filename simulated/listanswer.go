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

// ListAnswer returns a complete DNS answer with an endpoint list: an SRV record of each node, an SOA record with the list's serial
// number, and the A and TXT records of each node. All names are compressed, SRV targets too.
func ListAnswer(id uint16, number uint32, nodes []nodelist.Node, names nodelist.Names) []byte {
	m := dnsMessage{offsets: map[string]int{}}
	m.writeUint16s(id, flagsAuthoritativeAnswer, 1, uint16(len(nodes)), 1, uint16(2*len(nodes)))
	m.writeName(nodelist.ServiceName)
	m.writeUint16s(uint16(dnsmessage.TypeSRV), uint16(dnsmessage.ClassINET))
	target := func(n nodelist.Node) string { return n.ID + "." + names.Zones[n.Zone] + ".hosts." }
	for _, n := range nodes {
		m.writeService(n, target(n))
	}
	m.writeRecord(nodelist.ServiceName, dnsmessage.TypeSOA, func() {
		m.writeName("ns.hosts.")
		m.writeName("mail.hosts.")
		m.writeUint32s(number, 1, 1, 1, 1)
	})
	for _, n := range nodes {
		m.writeHost(n, target(n), names)
	}
	return m.bytes
}

// flagsAuthoritativeAnswer is the header's flags QR (response) and AA (authoritative).
const flagsAuthoritativeAnswer = 0x8400

// dnsMessage is a DNS message under construction.
type dnsMessage struct {
	bytes   []byte
	offsets map[string]int // of names written so far, for compression pointers
}

// writeService writes a node's SRV record. Priority 1 marks a draining node, 0 any other.
func (m *dnsMessage) writeService(n nodelist.Node, target string) {
	priority, port := uint16(0), netip.MustParseAddrPort(n.PlatformAddress).Port()
	if n.State == policy.Draining {
		priority = 1
	}
	m.writeRecord(nodelist.ServiceName, dnsmessage.TypeSRV, func() {
		m.writeUint16s(priority, uint16(n.Weight*10), port)
		m.writeName(target)
	})
}

// writeHost writes a node's A record, and a TXT record with its kind, placement group and start time in Unix milliseconds.
func (m *dnsMessage) writeHost(n nodelist.Node, name string, names nodelist.Names) {
	started := int64(0)
	if !n.Started.IsZero() {
		started = n.Started.UnixMilli()
	}
	m.writeRecord(name, dnsmessage.TypeA, func() {
		m.bytes = append(m.bytes, netip.MustParseAddrPort(n.PlatformAddress).Addr().AsSlice()...)
	})
	m.writeRecord(name, dnsmessage.TypeTXT, func() {
		for _, text := range []string{"kind=" + names.Kinds[n.Kind], "cell=" + strconv.Itoa(n.PlacementGroup), "started=" + strconv.FormatInt(started, 10)} {
			m.bytes = append(append(m.bytes, byte(len(text))), text...)
		}
	})
}

// writeUint16s writes numbers in network byte order.
func (m *dnsMessage) writeUint16s(values ...uint16) {
	for _, v := range values {
		m.bytes = binary.BigEndian.AppendUint16(m.bytes, v)
	}
}

// writeUint32s writes numbers in network byte order.
func (m *dnsMessage) writeUint32s(values ...uint32) {
	for _, v := range values {
		m.bytes = binary.BigEndian.AppendUint32(m.bytes, v)
	}
}

// writeName writes a domain name. A suffix that the message already holds is written as a compression pointer.
func (m *dnsMessage) writeName(name string) {
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

// writeRecord writes a record of class IN with a TTL of one second. writeData writes the record's data.
func (m *dnsMessage) writeRecord(name string, recordType dnsmessage.Type, writeData func()) {
	m.writeName(name)
	m.writeUint16s(uint16(recordType), uint16(dnsmessage.ClassINET))
	m.writeUint32s(1)
	m.writeUint16s(0) // the data's length, set below
	start := len(m.bytes)
	writeData()
	binary.BigEndian.PutUint16(m.bytes[start-2:], uint16(len(m.bytes)-start))
}
