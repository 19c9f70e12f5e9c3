package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"embershunt/choice"
)

// Node is one row of the node list.
type Node struct {
	ID      string // its name; stable over restarts
	Address string // host:port
	Hall    int
	Kind    int
	Cell    int
	State   choice.EngineState
	Weight  float64   // 0 counts as 1
	Started time.Time // last start; zero: long ago
}

// Names turn the words of a node list into the indexes that the module knows.
type Names struct{ Halls, Kinds []string }

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

// Hall is the index of a hall; an empty name is the first.
func (n Names) Hall(name string) (int, error) { return indexOf("hall", name, n.Halls) }

// Kind is the index of a kind of machine; an empty name is the first.
func (n Names) Kind(name string) (int, error) { return indexOf("kind", name, n.Kinds) }

// checkNodes names the first row of a list that cannot be used.
func checkNodes(nodes []Node) error {
	ids, addresses := map[string]bool{}, map[string]string{}
	for _, n := range nodes {
		switch {
		case n.ID == "":
			return fmt.Errorf("a node at %q has no name", n.Address)
		case ids[n.ID]:
			return fmt.Errorf("node %q is listed twice", n.ID)
		case n.Address == "" && n.State != choice.Gone:
			return fmt.Errorf("node %q has no address", n.ID)
		case n.Address != "" && addresses[n.Address] != "":
			return fmt.Errorf("nodes %q and %q have the same address %s", addresses[n.Address], n.ID, n.Address)
		}
		ids[n.ID], addresses[n.Address] = true, n.ID
	}
	return nil
}

// SetNodes takes a whole node list. Rows that are missing from it are gone. A list that cannot be used changes
// nothing and is told to the module as a failed call.
func (f *Fleet) SetNodes(nodes []Node) error {
	if err := checkNodes(nodes); err != nil {
		f.ListFailed(err)
		return err
	}
	event := choice.Engines{Whole: true}
	f.mu.Lock()
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
		event.Rows = append(event.Rows, choice.Engine{ID: n.ID, Zone: n.Hall, Kind: n.Kind, Cell: n.Cell,
			State: n.State, Weight: n.Weight, Started: f.clockTime(n.Started)})
		f.place(n)
		f.drains.notice(n.ID, n.State != choice.Healthy)
	}
	var idle []*node
	for _, id := range slices.Sorted(maps.Keys(f.nodes)) {
		if n := f.nodes[id]; !listed[id] {
			n.gone = true
			f.drains.notice(id, true)
			if n.users == 0 {
				idle = append(idle, n)
				delete(f.nodes, id)
			}
		}
	}
	f.mu.Unlock()
	for _, n := range idle {
		n.close()
	}
	f.post.Told(event)
	return nil
}

// ListFailed tells the module that the node list is out of reach or cannot be read; the last one holds.
func (f *Fleet) ListFailed(err error) {
	f.log.Warn("node list failed; the last good one holds", "error", err)
	f.listFailures.Add(1)
	f.post.Told(choice.Engines{Failed: true})
}

// place books a node; f.mu is held.
func (f *Fleet) place(row Node) {
	n := f.nodes[row.ID]
	if n != nil && n.address == row.Address {
		n.gone = false
		return
	}
	if n != nil { // attempts that are out keep the old connection until they end
		n.gone = true
		if n.users == 0 {
			n.close()
		}
	}
	f.nodes[row.ID] = &node{id: row.ID, address: row.Address}
}

// clockTime turns a wall time into the dispatcher's clock; 0 where it is unknown or lies before the clock's begin.
func (f *Fleet) clockTime(t time.Time) choice.Micros {
	if t.IsZero() {
		return 0
	}
	at := f.clock.Now() - time.Since(t).Microseconds()
	return max(at, 0)
}
