// Package nodelist defines the list of query nodes, and parses it from three sources: xDS endpoint discovery, the responses
// of the platform's name service, and the events that a dispatcher starts with.
package nodelist

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"embershunt/policy"
)

// Node is one row of a node list.
type Node struct {
	ID               string // unique name, the same after a restart
	FlightSQLAddress string // host:port of Flight SQL; empty if the node does not serve it
	NativeAddress    string // host:port of the ClickHouse native protocol; empty likewise
	PlatformAddress  string // host:port of the platform's protocol; empty likewise
	Zone             int    // index into Names.Zones
	Kind             int    // index into Names.Kinds
	PlacementGroup   int
	State            policy.EndpointState
	Weight           float64   // 0 counts as 1
	Started          time.Time // last start; zero: unknown, taken as long ago
	DrainAt          time.Time // when an announced drain begins; zero: none is announced
}

// Bits for the protocols that a node may serve.
const (
	FlightSQL uint8 = 1 << iota
	ClickHouse
	Platform
)

// Protocols returns the bits of the protocols that the node has an address for.
func (n Node) Protocols() (bits uint8) {
	if n.FlightSQLAddress != "" {
		bits |= FlightSQL
	}
	if n.NativeAddress != "" {
		bits |= ClickHouse
	}
	if n.PlatformAddress != "" {
		bits |= Platform
	}
	return bits
}

// Names holds the zones and the kinds of machine that a list may name. A Node refers to them by index.
type Names struct{ Zones, Kinds []string }

// indexOf returns the index of a name in names; an empty name stands for the first. The field is named in the error.
func indexOf(field, name string, names []string) (int, error) {
	if name == "" && len(names) > 0 {
		return 0, nil
	}
	if i := slices.Index(names, name); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%s %q is not known, allowed are: %s", field, name, strings.Join(names, ", "))
}

// Zone returns the index of a zone; an empty name stands for the first.
func (n Names) Zone(name string) (int, error) { return indexOf("hall", name, n.Zones) }

// Kind returns the index of a kind of machine; an empty name stands for the first.
func (n Names) Kind(name string) (int, error) { return indexOf("kind", name, n.Kinds) }

// Check returns an error that names the first invalid row of a list. A row is invalid without a name, without any address
// unless the node is removed, or with the name, the Flight SQL address or the platform address of an earlier row. Native
// addresses are not compared.
func Check(nodes []Node) error {
	ids, addresses := map[string]bool{}, map[string]string{}
	for _, n := range nodes {
		switch {
		case n.ID == "":
			return fmt.Errorf("a node at %q has no name", n.FlightSQLAddress)
		case ids[n.ID]:
			return fmt.Errorf("node %q is listed twice", n.ID)
		case n.Protocols() == 0 && n.State != policy.Removed:
			return fmt.Errorf("node %q has no address", n.ID)
		case n.FlightSQLAddress != "" && addresses[n.FlightSQLAddress] != "":
			return fmt.Errorf("nodes %q and %q have the same address %s", addresses[n.FlightSQLAddress], n.ID, n.FlightSQLAddress)
		case n.PlatformAddress != "" && addresses[n.PlatformAddress] != "":
			return fmt.Errorf("nodes %q and %q have the same address %s", addresses[n.PlatformAddress], n.ID, n.PlatformAddress)
		}
		ids[n.ID], addresses[n.FlightSQLAddress], addresses[n.PlatformAddress] = true, n.ID, n.ID
	}
	return nil
}
