package config

import (
	"fmt"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// nodeStates maps the values of Node.State.
var nodeStates = map[string]policy.EndpointState{"": policy.Healthy, "healthy": policy.Healthy, "draining": policy.Draining,
	"gone": policy.Removed}

// validateNodes checks the rows of a node list; path is the path of the list.
func (c *Config) validateNodes(v validator, path string, rows []Node) {
	for i := range rows {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, err := c.listNode(&rows[i]); err != nil {
			v.addViolation(at, err.Error(), "a node with a name, an address and, if given, a known hall, kind and state")
		}
	}
}

// listNode converts a row of a file into a node of the node list. The error names the first invalid field.
func (c *Config) listNode(n *Node) (nodelist.Node, error) {
	out := nodelist.Node{ID: n.Name, FlightSQLAddress: n.Address, NativeAddress: n.Native,
		PlacementGroup: n.PlacementGroup, Weight: n.Weight}
	state, ok := nodeStates[n.State]
	if !ok {
		return out, fmt.Errorf("node %q has the unknown state %q, allowed are healthy, draining, gone", n.Name, n.State)
	}
	out.State = state
	if n.Name == "" || n.Address == "" && n.Native == "" {
		return out, fmt.Errorf("node %q at %q: a name and an address are required", n.Name, n.Address)
	}
	for _, timestamp := range []struct {
		field, text string
		into        *time.Time
	}{{"started", n.Started, &out.Started}, {"drain_at", n.DrainAt, &out.DrainAt}} {
		if timestamp.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, timestamp.text)
		if err != nil {
			return out, fmt.Errorf("%s of node %q is %q, which is not an RFC 3339 time", timestamp.field, n.Name, timestamp.text)
		}
		*timestamp.into = t
	}
	var err error
	if out.Zone, err = c.Names().Zone(n.Zone); err == nil {
		out.Kind, err = c.Names().Kind(n.Kind)
	}
	return out, err
}

// Names returns the zones and kinds that rows of a node list may refer to.
func (c *Config) Names() nodelist.Names {
	names := nodelist.Names{Zones: c.File.Zones}
	for _, k := range c.File.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	return names
}

// Nodes returns the nodes that the configuration file itself lists.
func (c *Config) Nodes() []nodelist.Node {
	out := make([]nodelist.Node, 0, len(c.File.Nodes.List))
	for i := range c.File.Nodes.List {
		n, err := c.listNode(&c.File.Nodes.List[i])
		if err == nil { // never fails: the rows were validated when the file was read
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
		out[i], _ = c.listNode(&list.Nodes[i]) // validated above
	}
	return out, nil
}
