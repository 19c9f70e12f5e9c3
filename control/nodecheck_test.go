package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

func TestUnsafeNodeListsAreRejected(t *testing.T) {
	born, later := time.Unix(1000, 0), time.Unix(2000, 0)
	row := func(id, address string, state policy.EndpointState, started time.Time) nodelist.Node {
		return nodelist.Node{ID: id, Address: address, State: state, Started: started}
	}
	ok, draining := policy.Healthy, policy.Draining
	good := []nodelist.Node{row("a", "a:1", ok, born), row("b", "b:1", ok, born), row("c", "c:1", ok, born), row("d", "d:1", ok, born)}
	drained := slices.Clone(good)
	drained[0].State = draining
	with := func(rows []nodelist.Node, change ...nodelist.Node) []nodelist.Node {
		return append(slices.Clone(rows), change...)
	}
	cases := []struct {
		name   string
		before [][]nodelist.Node
		offer  []nodelist.Node
		after  Micros
		want   string // summary of the actions
		reason string
	}{
		{"a new node", [][]nodelist.Node{good}, with(good, row("e", "e:1", ok, later)), second, "list 5; ack nodes", ""},
		{"a drain", [][]nodelist.Node{good}, drained, second, "list 4; ack nodes", ""},
		{"healthy again without a new start", [][]nodelist.Node{good, drained}, good, second, "nack nodes; list refused", "relisted"},
		{"healthy again after a new start", [][]nodelist.Node{good, drained}, with(good[1:], row("a", "a:1", ok, later)), second, "list 4; ack nodes", ""},
		{"healthy again much later", [][]nodelist.Node{good, drained}, good, 61 * second, "list 4; ack nodes", ""},
		{"gone, then back without a new start", [][]nodelist.Node{good, good[1:]}, good, second, "nack nodes; list refused", "relisted"},
		{"an older list", [][]nodelist.Node{with(good[1:], row("a", "a:1", ok, later))}, good, second, "nack nodes; list refused", "older"},
		{"renamed at its address", [][]nodelist.Node{good, drained}, with(good[1:], row("z", "a:1", ok, born)), second, "nack nodes; list refused", "renamed"},
		{"another at its address, newly started", [][]nodelist.Node{good, drained}, with(good[1:], row("z", "a:1", ok, later)), second, "list 4; ack nodes", ""},
		{"empty", [][]nodelist.Node{good}, nil, second, "nack nodes; list refused", "floor: 4 healthy nodes would become 0"},
		{"cut under the floor", [][]nodelist.Node{good}, good[:1], second, "nack nodes; list refused", "floor"},
		{"cut to the floor", [][]nodelist.Node{good}, good[:2], second, "list 2; ack nodes", ""},
		{"all drained explicitly", [][]nodelist.Node{good}, []nodelist.Node{row("a", "a:1", draining, born), row("b", "b:1", draining, born),
			row("c", "c:1", draining, born), row("d", "d:1", draining, born)}, second, "list 4; ack nodes", ""},
		{"a drain in a list that is rejected", [][]nodelist.Node{good}, []nodelist.Node{row("b", "b:1", draining, born)}, second,
			"nack nodes; list refused; list 4", "floor"},
		{"a node twice", [][]nodelist.Node{good}, with(good, good[0]), second, "nack nodes; list refused", "form"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultBounds(), local(), Set{})
			for i, b := range c.before {
				if got := summarize(m.Step(Micros(i), Offered{Kind: Nodes, Version: "1", Nodes: b})); !strings.Contains(got, "ack nodes") || strings.Contains(got, "nack") {
					t.Fatalf("before: %s %v", got, m.rejected)
				}
			}
			got := summarize(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer}))
			if got != c.want || c.reason != "" && !strings.Contains(strings.Join(m.rejected, "; "), c.reason) {
				t.Errorf("%s, %v; want %s with %q", got, m.rejected, c.want, c.reason)
			}
			if c.reason != "" && c.reason != "form" {
				m.Step(c.after, Override{7})
				if got := summarize(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer})); !strings.HasSuffix(got, "; ack nodes") {
					t.Errorf("with an override: %s", got)
				}
			}
		})
	}
}
