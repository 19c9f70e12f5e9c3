package config

import (
	"fmt"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// states are the words of a row's state.
var states = map[string]policy.EndpointState{"": policy.Healthy, "healthy": policy.Healthy, "draining": policy.Draining,
	"gone": policy.Removed}

// validateNodes checks rows of a node list.
func (c *Config) validateNodes(v validator, path string, rows []Node) {
	for i := range rows {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, err := c.node(&rows[i]); err != nil {
			v.violation(at, err.Error(), "a node with name, address and, where given, a known hall, kind and state")
		}
	}
}

// node turns a row of the file into one of the node list; the error names what is wrong with it.
func (c *Config) node(n *Node) (nodelist.Node, error) {
	out := nodelist.Node{ID: n.Name, Address: n.Address, Native: n.Native, PlacementGroup: n.PlacementGroup, Weight: n.Weight}
	state, ok := states[n.State]
	if !ok {
		return out, fmt.Errorf("state %q of node %q: allowed are healthy, draining, gone", n.State, n.Name)
	}
	out.State = state
	if n.Name == "" || n.Address == "" && n.Native == "" {
		return out, fmt.Errorf("node %q at %q: name and address are needed", n.Name, n.Address)
	}
	for _, at := range []struct {
		field, text string
		into        *time.Time
	}{{"started", n.Started, &out.Started}, {"drain_at", n.DrainAt, &out.DrainAt}} {
		if at.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, at.text)
		if err != nil {
			return out, fmt.Errorf("%s %q of node %q: wanted is RFC 3339", at.field, at.text, n.Name)
		}
		*at.into = t
	}
	var err error
	if out.Zone, err = c.Names().Zone(n.Zone); err == nil {
		out.Kind, err = c.Names().Kind(n.Kind)
	}
	return out, err
}

// Names are the zones and kinds that rows of a node list may name.
func (c *Config) Names() nodelist.Names {
	names := nodelist.Names{Zones: c.File.Zones}
	for _, k := range c.File.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	return names
}

// Nodes are the rows of the configuration's own list.
func (c *Config) Nodes() []nodelist.Node {
	out := make([]nodelist.Node, 0, len(c.File.Nodes.List))
	for i := range c.File.Nodes.List {
		n, err := c.node(&c.File.Nodes.List[i])
		if err == nil { // checked when the file was read
			out = append(out, n)
		}
	}
	return out
}

// ParseNodes reads a node list file: {"nodes": [...]}. Its error is *Violations.
func (c *Config) ParseNodes(name string, text []byte) ([]nodelist.Node, error) {
	var list struct {
		Nodes []Node `json:"nodes"`
	}
	d, err := parse(name, text, &list)
	if err != nil {
		return nil, err
	}
	c.validateNodes(validator{d}, "nodes", list.Nodes)
	if len(d.violations) > 0 {
		return nil, &Violations{name, d.violations}
	}
	out := make([]nodelist.Node, len(list.Nodes))
	for i := range list.Nodes {
		out[i], _ = c.node(&list.Nodes[i]) // checked just now
	}
	return out, nil
}
