package nodelist

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"embershunt/policy"
)

// ServiceName is the DNS name of the SRV records with which the platform's name service lists the query nodes.
const ServiceName = "_api._tcp.svc.local."

// hostsSuffix ends the target name of every node, which is NODE.ZONE.hosts.
const hostsSuffix = ".hosts."

// MaxResponseBytes is the maximum length of a response from the name service.
const MaxResponseBytes = 8000

// VersionedList is a complete node list with its version number.
type VersionedList struct {
	Number int64
	Nodes  []Node
	// Skipped holds the unusable rows. They do not invalidate the other rows, since a drain among those must not be missed.
	Skipped []Skipped
}

// Skipped is an unusable row of a list.
type Skipped struct {
	ID       string // empty if not even the name can be parsed
	Draining bool   // the row marks its node as draining
	Err      error  // why the row is unusable
}

// Errors of responses that are well-formed but hold no usable list.
var (
	errUnknownQuery  = errors.New("nodelist: not a response to a pending query")
	errServerFailure = errors.New("nodelist: the name service reports an error")
	errTruncated     = errors.New("nodelist: the response is truncated")
	errOtherQuery    = errors.New("nodelist: the question in the response is not that of the query")
	errNoNumber      = errors.New("nodelist: the response has no SOA record with a version number")
)

// Errors of unusable rows. ParseResponse adds the target of the row.
var (
	errNodeName         = errors.New("the target is not of the form NODE.ZONE.hosts")
	errNoAddress        = errors.New("the target has no A record")
	errDuplicateNode    = errors.New("the node is listed twice")
	errIncompleteFields = errors.New("kind, cell or started is missing in the TXT record")
)

// Query returns a DNS query for the list, with an ID.
func Query(id uint16) ([]byte, error) {
	b := dnsmessage.NewBuilder(make([]byte, 0, 64), dnsmessage.Header{ID: id})
	if err := b.StartQuestions(); err != nil {
		return nil, err
	}
	name, err := dnsmessage.NewName(ServiceName)
	if err != nil {
		return nil, err
	}
	if err := b.Question(dnsmessage.Question{Name: name, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}); err != nil {
		return nil, err
	}
	return b.Finish()
}

// ParseResponse parses a response to Query; pending reports whether an ID is that of a pending query. Unusable rows are
// returned in Skipped. A response that has only unusable rows is an error; an empty list is not.
func ParseResponse(message []byte, pending func(id uint16) bool, names Names) (VersionedList, error) {
	var m dnsmessage.Message
	if err := m.Unpack(message); err != nil {
		return VersionedList{}, err
	}
	if err := checkResponse(&m, pending); err != nil {
		return VersionedList{}, err
	}
	number, err := serialNumber(m.Authorities)
	if err != nil {
		return VersionedList{}, err
	}
	p := newRowParser(&m, names)
	out := VersionedList{Number: number}
	for _, r := range m.Answers {
		srv, ok := r.Body.(*dnsmessage.SRVResource)
		if !ok {
			continue
		}
		n, err := p.parse(srv)
		if err != nil {
			err = fmt.Errorf("nodelist: %s: %w", srv.Target.String(), err)
			out.Skipped = append(out.Skipped, Skipped{ID: n.ID, Draining: srv.Priority == priorityDraining, Err: err})
			continue
		}
		out.Nodes = append(out.Nodes, n)
	}
	if len(out.Nodes) == 0 && len(out.Skipped) > 0 {
		return VersionedList{}, out.Skipped[0].Err
	}
	return out, nil
}

// checkResponse checks that a message is a successful, complete response to a pending query for the list.
func checkResponse(m *dnsmessage.Message, pending func(id uint16) bool) error {
	switch {
	case !pending(m.ID) || !m.Response:
		return errUnknownQuery
	case m.RCode != dnsmessage.RCodeSuccess:
		return fmt.Errorf("%w: %v", errServerFailure, m.RCode)
	case m.Truncated:
		return errTruncated
	case len(m.Questions) != 1 || !strings.EqualFold(m.Questions[0].Name.String(), ServiceName) ||
		m.Questions[0].Type != dnsmessage.TypeSRV || m.Questions[0].Class != dnsmessage.ClassINET:
		return errOtherQuery
	}
	return nil
}

// serialNumber returns the list's version number: the serial of the last SOA record.
func serialNumber(authorities []dnsmessage.Resource) (int64, error) {
	number := int64(-1)
	for _, r := range authorities {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			number = int64(soa.Serial)
		}
	}
	if number < 0 {
		return 0, errNoNumber
	}
	return number, nil
}

// rowParser parses the SRV records of one response together with the A and TXT records of their targets. It rejects
// duplicate nodes and addresses.
type rowParser struct {
	names     Names
	addresses map[string]netip.Addr // by target
	texts     map[string][]string   // by target
	ids       map[string]bool       // nodes of the rows parsed so far
	owners    map[string]string     // these nodes, by address
}

// newRowParser collects the A and TXT records of a response. They may be in the additional or in the answer section.
func newRowParser(m *dnsmessage.Message, names Names) *rowParser {
	p := &rowParser{names: names, addresses: map[string]netip.Addr{}, texts: map[string][]string{}, ids: map[string]bool{},
		owners: map[string]string{}}
	for _, section := range [][]dnsmessage.Resource{m.Additionals, m.Answers} {
		for _, r := range section {
			switch body := r.Body.(type) {
			case *dnsmessage.AResource:
				p.addresses[r.Header.Name.String()] = netip.AddrFrom4(body.A)
			case *dnsmessage.TXTResource:
				p.texts[r.Header.Name.String()] = body.TXT
			}
		}
	}
	return p
}

// parse parses one row. The node's ID is set if the target names a node, even if an error is returned.
func (p *rowParser) parse(srv *dnsmessage.SRVResource) (Node, error) {
	target := srv.Target.String()
	n, err := parseRecord(srv, target, p.texts[target], p.names)
	if err != nil {
		return n, err
	}
	address, ok := p.addresses[target]
	n.PlatformAddress = net.JoinHostPort(address.String(), strconv.Itoa(int(srv.Port)))
	switch {
	case !ok:
		return n, errNoAddress
	case p.ids[n.ID]:
		return n, errDuplicateNode
	case p.owners[n.PlatformAddress] != "":
		return n, fmt.Errorf("node %q has the same address %s", p.owners[n.PlatformAddress], n.PlatformAddress)
	}
	p.ids[n.ID], p.owners[n.PlatformAddress] = true, n.ID
	return n, nil
}

// Priorities of SRV records, by which the platform marks draining nodes.
const (
	priorityHealthy  = 0
	priorityDraining = 1
)

// weightPerUnit is the SRV weight that corresponds to a Node.Weight of 1.
const weightPerUnit = 10

// parseRecord parses all of a row except its address.
func parseRecord(srv *dnsmessage.SRVResource, target string, texts []string, names Names) (n Node, err error) {
	host, ok := strings.CutSuffix(target, hostsSuffix)
	id, zone, separated := strings.Cut(host, ".")
	if !ok || !separated || id == "" || zone == "" {
		return n, errNodeName
	}
	n = Node{ID: id, Weight: float64(srv.Weight) / weightPerUnit}
	if n.Zone, err = names.Zone(zone); err != nil {
		return n, err
	}
	switch srv.Priority {
	case priorityHealthy:
	case priorityDraining:
		n.State = policy.Draining
	default:
		return n, fmt.Errorf("SRV priority %d; allowed are 0 and 1", srv.Priority)
	}
	err = parseFields(&n, texts, names)
	return n, err
}

// parseFields parses the name=value fields of a TXT record. It requires kind, cell and started, and ignores other names.
func parseFields(n *Node, texts []string, names Names) error {
	var hasKind, hasGroup, hasStart bool
	for _, t := range texts {
		name, value, _ := strings.Cut(t, "=")
		var err error
		switch name {
		case "kind":
			n.Kind, err = names.Kind(value)
			hasKind = true
		case "cell":
			n.PlacementGroup, err = strconv.Atoi(value)
			hasGroup = true
		case "started":
			n.Started, err = parseStart(value, n.Started)
			hasStart = true
		}
		if err != nil {
			return err
		}
	}
	if !hasKind || !hasGroup || !hasStart {
		return errIncompleteFields
	}
	return nil
}

// parseStart parses a start time in Unix milliseconds; 0 means unknown and returns the previous value.
func parseStart(text string, before time.Time) (time.Time, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil:
		return before, err
	case ms < 0 || ms > math.MaxInt64/1000000:
		return before, fmt.Errorf("started=%d is out of range", ms)
	case ms == 0:
		return before, nil
	}
	return time.UnixMilli(ms), nil
}
