package nodelist

import (
	"encoding/json"
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

// Service is the name under which the platform's name service lists the query nodes.
const Service = "_api._tcp.svc.local."

// hostsSuffix ends the name of every node there.
const hostsSuffix = ".hosts."

// Numbered is a whole list with the number of the last event in it.
type Numbered struct {
	Number int64
	Nodes  []Node
	// Skipped are the rows that cannot be used; the others can be, a drain above all.
	Skipped []Skipped
}

// Skipped is a row of a list that cannot be used as a whole.
type Skipped struct {
	ID       string // "" where not even that can be read
	Draining bool   // the row says that its node drains
	Err      error
}

// knownEvent is one event of the list that a dispatcher starts with.
type knownEvent struct {
	Pos   int64 `json:"pos"`
	Hosts struct {
		All     bool `json:"all"`
		Targets []struct {
			UID      string  `json:"uid"`
			Endpoint string  `json:"endpoint"`
			Zone     string  `json:"az"`
			Model    string  `json:"model"`
			PodGroup int     `json:"pod_group"`
			State    string  `json:"state"`
			Capacity float64 `json:"capacity_hint"`
			BootMs   int64   `json:"boot_ms"`
		} `json:"targets"`
	} `json:"hosts"`
}

var knownStates = map[string]policy.EndpointState{"active": policy.Healthy, "leaving": policy.Draining, "left": policy.Removed}

// ParseInitial reads the events that a dispatcher starts with into the list that they come to.
func ParseInitial(raw json.RawMessage, names Names) (Numbered, error) {
	var known struct {
		Pos     int64        `json:"pos"`
		Entries []knownEvent `json:"entries"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return Numbered{}, err
	}
	out := Numbered{Number: known.Pos}
	at := map[string]int{}
	for i, ev := range known.Entries {
		if ev.Hosts.All {
			out.Nodes = nil
			clear(at)
		}
		for j, t := range ev.Hosts.Targets {
			n := Node{ID: t.UID, Platform: t.Endpoint, PlacementGroup: t.PodGroup, Weight: t.Capacity}
			place := fmt.Sprintf("entries[%d].hosts.targets[%d]", i, j)
			var ok bool
			var err error
			if n.State, ok = knownStates[t.State]; !ok {
				return Numbered{}, fmt.Errorf("%s.state: found %q; allowed: active, leaving, left", place, t.State)
			}
			if n.Zone, err = names.Zone(t.Zone); err != nil {
				return Numbered{}, fmt.Errorf("%s.az: %w", place, err)
			}
			if n.Kind, err = names.Kind(t.Model); err != nil {
				return Numbered{}, fmt.Errorf("%s.model: %w", place, err)
			}
			if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && n.State != policy.Removed {
				return Numbered{}, fmt.Errorf("%s.endpoint: %w", place, err)
			}
			if t.BootMs > 0 {
				n.Started = time.UnixMilli(t.BootMs)
			}
			if k, known := at[n.ID]; known {
				out.Nodes[k] = n
			} else {
				at[n.ID] = len(out.Nodes)
				out.Nodes = append(out.Nodes, n)
			}
		}
		out.Number = max(out.Number, ev.Pos)
	}
	kept := out.Nodes[:0]
	for _, n := range out.Nodes {
		if n.State != policy.Removed {
			kept = append(kept, n)
		}
	}
	out.Nodes = kept
	return out, Check(out.Nodes)
}

// Question is a question for the whole list.
func Question(id uint16) ([]byte, error) {
	b := dnsmessage.NewBuilder(make([]byte, 0, 64), dnsmessage.Header{ID: id})
	if err := b.StartQuestions(); err != nil {
		return nil, err
	}
	name, err := dnsmessage.NewName(Service)
	if err != nil {
		return nil, err
	}
	if err := b.Question(dnsmessage.Question{Name: name, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}); err != nil {
		return nil, err
	}
	return b.Finish()
}

// MaxAnswerBytes is the longest answer, in bytes.
const MaxAnswerBytes = 8000

// Errors of answers that are whole but tell nothing.
var (
	ErrOtherID = errors.New("nodelist: an answer to no question that is open")
	errFailure = errors.New("nodelist: the name service reports a failure")
	errCut     = errors.New("nodelist: the answer is cut short")
)

// ParseAnswer reads an answer to Question; asked tells whether an id is that of an open one. A row that cannot be used is skipped and
// named; an answer in which no row can be used is an error.
func ParseAnswer(msg []byte, asked func(id uint16) bool, names Names) (Numbered, error) {
	var m dnsmessage.Message
	if err := m.Unpack(msg); err != nil {
		return Numbered{}, err
	}
	switch {
	case !asked(m.ID) || !m.Response:
		return Numbered{}, ErrOtherID
	case m.RCode != dnsmessage.RCodeSuccess:
		return Numbered{}, fmt.Errorf("%w: %v", errFailure, m.RCode)
	case m.Truncated:
		return Numbered{}, errCut
	case len(m.Questions) != 1 || !strings.EqualFold(m.Questions[0].Name.String(), Service) ||
		m.Questions[0].Type != dnsmessage.TypeSRV || m.Questions[0].Class != dnsmessage.ClassINET:
		return Numbered{}, errors.New("nodelist: an answer to another question")
	}
	out := Numbered{Number: -1}
	for _, r := range m.Authorities {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			out.Number = int64(soa.Serial)
		}
	}
	if out.Number < 0 {
		return Numbered{}, errors.New("nodelist: an answer without a number")
	}
	addresses, facts := map[string]netip.Addr{}, map[string][]string{}
	for _, section := range [][]dnsmessage.Resource{m.Additionals, m.Answers} {
		for _, r := range section {
			switch body := r.Body.(type) {
			case *dnsmessage.AResource:
				addresses[r.Header.Name.String()] = netip.AddrFrom4(body.A)
			case *dnsmessage.TXTResource:
				facts[r.Header.Name.String()] = body.TXT
			}
		}
	}
	ids, owners := map[string]bool{}, map[string]string{}
	for _, r := range m.Answers {
		srv, ok := r.Body.(*dnsmessage.SRVResource)
		if !ok {
			continue
		}
		target := srv.Target.String()
		address, has := addresses[target]
		n, err := record(srv, target, facts[target], names)
		n.Platform = net.JoinHostPort(address.String(), strconv.Itoa(int(srv.Port)))
		switch {
		case err != nil:
		case !has:
			err = errors.New("the row has no address")
		case ids[n.ID]:
			err = errors.New("the node is listed twice")
		case owners[n.Platform] != "":
			err = fmt.Errorf("node %q has the same address %s", owners[n.Platform], n.Platform)
		}
		if err != nil {
			err = fmt.Errorf("nodelist: %s: %w", target, err)
			out.Skipped = append(out.Skipped, Skipped{ID: n.ID, Draining: srv.Priority == priorityDraining, Err: err})
			continue
		}
		ids[n.ID], owners[n.Platform] = true, n.ID
		out.Nodes = append(out.Nodes, n)
	}
	if len(out.Nodes) == 0 && len(out.Skipped) > 0 {
		return Numbered{}, out.Skipped[0].Err
	}
	return out, nil
}

// Priorities of SRV records, as the platform uses them.
const (
	priorityReady    = 0
	priorityDraining = 1
)

// record reads one row but for its address. Its ID is set wherever the target names one, also beside an error.
func record(srv *dnsmessage.SRVResource, target string, texts []string, names Names) (n Node, err error) {
	host, ok := strings.CutSuffix(target, hostsSuffix)
	id, hall, two := strings.Cut(host, ".")
	if !ok || !two || id == "" || hall == "" {
		return n, errors.New("the name is not that of a node")
	}
	n = Node{ID: id, Weight: float64(srv.Weight) / 10}
	if n.Zone, err = names.Zone(hall); err != nil {
		return n, err
	}
	switch srv.Priority {
	case priorityReady:
	case priorityDraining:
		n.State = policy.Draining
	default:
		return n, fmt.Errorf("priority %d; allowed are 0 and 1", srv.Priority)
	}
	seen := 0
	for _, t := range texts {
		name, value, _ := strings.Cut(t, "=")
		switch name {
		case "kind":
			n.Kind, err = names.Kind(value)
			seen |= 1
		case "cell":
			n.PlacementGroup, err = strconv.Atoi(value)
			seen |= 2
		case "started":
			var ms int64
			if ms, err = strconv.ParseInt(value, 10, 64); err == nil && (ms < 0 || ms > math.MaxInt64/1000000) {
				err = fmt.Errorf("started=%d", ms)
			}
			if ms > 0 {
				n.Started = time.UnixMilli(ms)
			}
			seen |= 4
		}
		if err != nil {
			return n, err
		}
	}
	if seen != 7 {
		return n, errors.New("kind, cell or started is missing")
	}
	return n, nil
}
