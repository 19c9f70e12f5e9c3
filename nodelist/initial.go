package nodelist

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"embershunt/policy"
)

// initialEvent is one of the events that make up the list a dispatcher starts with.
type initialEvent struct {
	Pos   int64 `json:"pos"`
	Hosts struct {
		All     bool            `json:"all"` // the event replaces the whole list; false: it adds and updates nodes
		Targets []initialTarget `json:"targets"`
	} `json:"hosts"`
}

// initialTarget is one node in an event.
type initialTarget struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"` // Unix time in milliseconds; 0: unknown
}

var initialStates = map[string]policy.EndpointState{"active": policy.Healthy, "leaving": policy.Draining, "left": policy.Removed}

// ParseInitial applies the events in their order and returns the resulting list, without removed nodes. Its number is the
// highest position in the document.
func ParseInitial(raw json.RawMessage, names Names) (VersionedList, error) {
	var initial struct {
		Pos     int64          `json:"pos"`
		Entries []initialEvent `json:"entries"`
	}
	if err := json.Unmarshal(raw, &initial); err != nil {
		return VersionedList{}, err
	}
	out := VersionedList{Number: initial.Pos}
	index := map[string]int{} // of nodes in out, by ID
	for i, ev := range initial.Entries {
		if ev.Hosts.All {
			out.Nodes = nil
			clear(index)
		}
		for j, t := range ev.Hosts.Targets {
			n, err := t.node(fmt.Sprintf("entries[%d].hosts.targets[%d]", i, j), names)
			if err != nil {
				return VersionedList{}, err
			}
			if k, listed := index[n.ID]; listed {
				out.Nodes[k] = n
			} else {
				index[n.ID] = len(out.Nodes)
				out.Nodes = append(out.Nodes, n)
			}
		}
		out.Number = max(out.Number, ev.Pos)
	}
	out.Nodes = dropRemoved(out.Nodes)
	return out, Check(out.Nodes)
}

// node converts the target; path is its place in the document, for error messages.
func (t initialTarget) node(path string, names Names) (Node, error) {
	n := Node{ID: t.UID, PlatformAddress: t.Endpoint, PlacementGroup: t.PodGroup, Weight: t.Capacity}
	var ok bool
	var err error
	if n.State, ok = initialStates[t.State]; !ok {
		return n, fmt.Errorf("%s.state: found %q; allowed: active, leaving, left", path, t.State)
	}
	if n.Zone, err = names.Zone(t.Zone); err != nil {
		return n, fmt.Errorf("%s.az: %w", path, err)
	}
	if n.Kind, err = names.Kind(t.Model); err != nil {
		return n, fmt.Errorf("%s.model: %w", path, err)
	}
	if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && n.State != policy.Removed {
		return n, fmt.Errorf("%s.endpoint: %w", path, err)
	}
	if t.BootMs > 0 {
		n.Started = time.UnixMilli(t.BootMs)
	}
	return n, nil
}

// dropRemoved deletes removed nodes from a list, in place.
func dropRemoved(nodes []Node) []Node {
	kept := nodes[:0]
	for _, n := range nodes {
		if n.State != policy.Removed {
			kept = append(kept, n)
		}
	}
	return kept
}
