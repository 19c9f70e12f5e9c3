// Package nodelist defines the list of query nodes, and reads it from xDS endpoint discovery, from the platform's name
// service and from the list that a dispatcher starts with.
package nodelist

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"embershunt/policy"
)

// Node is one row of the list.
type Node struct {
	ID             string // unique name, stable over restarts
	Address        string // host:port of Flight SQL; empty where the node does not serve it
	Native         string // host:port of the ClickHouse native protocol; likewise
	Platform       string // host:port of the platform's protocol; likewise
	Zone           int    // index into Names.Zones
	Kind           int    // index into Names.Kinds
	PlacementGroup int
	State          policy.EndpointState
	Weight         float64   // 0 counts as 1
	Started        time.Time // last start; zero: long ago
	DrainAt        time.Time // when an announced drain begins; zero: none
}

// Bits of the protocols that a node may serve.
const (
	FlightSQL uint8 = 1 << iota
	ClickHouse
	Platform
)

// Protocols are the protocols that a node has an address for.
func (n Node) Protocols() (bits uint8) {
	if n.Address != "" {
		bits |= FlightSQL
	}
	if n.Native != "" {
		bits |= ClickHouse
	}
	if n.Platform != "" {
		bits |= Platform
	}
	return bits
}

// Names are the zones and the kinds of machine that a list may name, in the order of their indexes.
type Names struct{ Zones, Kinds []string }

// indexOf returns the index of a name; the empty name is the first.
func indexOf(what, name string, names []string) (int, error) {
	if name == "" && len(names) > 0 {
		return 0, nil
	}
	if i := slices.Index(names, name); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%s %q is not known, allowed are: %s", what, name, strings.Join(names, ", "))
}

// Zone is the index of a zone; the empty name is the first.
func (n Names) Zone(name string) (int, error) { return indexOf("hall", name, n.Zones) }

// Kind is the index of a kind of machine; the empty name is the first.
func (n Names) Kind(name string) (int, error) { return indexOf("kind", name, n.Kinds) }

// Check returns an error that names the first unusable row of a list: without a name or an address, or with those of
// another row.
func Check(nodes []Node) error {
	ids, addresses := map[string]bool{}, map[string]string{}
	for _, n := range nodes {
		switch {
		case n.ID == "":
			return fmt.Errorf("a node at %q has no name", n.Address)
		case ids[n.ID]:
			return fmt.Errorf("node %q is listed twice", n.ID)
		case n.Protocols() == 0 && n.State != policy.Removed:
			return fmt.Errorf("node %q has no address", n.ID)
		case n.Address != "" && addresses[n.Address] != "":
			return fmt.Errorf("nodes %q and %q have the same address %s", addresses[n.Address], n.ID, n.Address)
		case n.Platform != "" && addresses[n.Platform] != "":
			return fmt.Errorf("nodes %q and %q have the same address %s", addresses[n.Platform], n.ID, n.Platform)
		}
		ids[n.ID], addresses[n.Address], addresses[n.Platform] = true, n.ID, n.ID
	}
	return nil
}
