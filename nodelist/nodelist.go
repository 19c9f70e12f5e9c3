// Package nodelist has the node list as everybody who reads, judges or uses it knows it.
package nodelist

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"embershunt/policy"
)

// Node is one row.
type Node struct {
	ID             string // its name; stable over restarts
	Address        string // host:port of Flight SQL; empty where it is not spoken
	Native         string // host:port of the ClickHouse native protocol; likewise
	Platform       string // host:port of the platform's lines; likewise
	Zone           int
	Kind           int
	PlacementGroup int
	State          policy.EndpointState
	Weight         float64   // 0 counts as 1
	Started        time.Time // last start; zero: long ago
	DrainAt        time.Time // when a drain is announced for; zero: none
}

// Bits of the protocols that a node may speak.
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

// Names turn the words of a node list into the indexes that the module knows.
type Names struct{ Zones, Kinds []string }

// indexOf finds a name; an empty one is the first.
func indexOf(what, name string, names []string) (int, error) {
	if name == "" && len(names) > 0 {
		return 0, nil
	}
	if i := slices.Index(names, name); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%s %q is not known, allowed are: %s", what, name, strings.Join(names, ", "))
}

// Zone is the index of a hall; an empty name is the first.
func (n Names) Zone(name string) (int, error) { return indexOf("hall", name, n.Zones) }

// Kind is the index of a kind of machine; an empty name is the first.
func (n Names) Kind(name string) (int, error) { return indexOf("kind", name, n.Kinds) }

// Check names the first row of a list that cannot be used.
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

// Change is one node whose row differs between two lists.
type Change struct {
	ID       string
	From, To policy.EndpointState // Gone: the node is not in that list
}

var stateNames = map[policy.EndpointState]string{policy.Healthy: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// String names the node and its new state.
func (c Change) String() string { return c.ID + ":" + stateNames[c.To] }

// Changes lists the nodes whose state differs between two lists, those of the newer list first.
func Changes(before, after []Node) (out []Change) {
	states := map[string]policy.EndpointState{}
	for _, n := range before {
		states[n.ID] = n.State
	}
	listed := map[string]bool{}
	for _, n := range after {
		listed[n.ID] = true
		from, known := states[n.ID]
		if !known {
			from = policy.Removed
		}
		if from != n.State {
			out = append(out, Change{ID: n.ID, From: from, To: n.State})
		}
	}
	for _, n := range before {
		if !listed[n.ID] && n.State != policy.Removed {
			out = append(out, Change{ID: n.ID, From: n.State, To: policy.Removed})
		}
	}
	return out
}
