package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Safe lists are accepted; outdated, truncated and malformed lists are rejected with the reason. An override exempts a list
// from all checks but that of its form.
func TestUnsafeNodeListsAreRejected(t *testing.T) {
	started, restarted := time.Unix(1000, 0), time.Unix(2000, 0)
	row := func(id, address string, state policy.EndpointState, started time.Time) nodelist.Node {
		return nodelist.Node{ID: id, FlightSQLAddress: address, State: state, Started: started}
	}
	healthy, draining := policy.Healthy, policy.Draining
	initial := []nodelist.Node{row("a", "a:1", healthy, started), row("b", "b:1", healthy, started),
		row("c", "c:1", healthy, started), row("d", "d:1", healthy, started)}
	drained := slices.Clone(initial)
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
		{"a new node", [][]nodelist.Node{initial}, with(initial, row("e", "e:1", healthy, restarted)), second, "list 5; ack nodes", ""},
		{"a drain", [][]nodelist.Node{initial}, drained, second, "list 4; ack nodes", ""},
		{"healthy again without a new start", [][]nodelist.Node{initial, drained}, initial, second, "nack nodes; list rejected",
			"relisted"},
		{"healthy again after a new start", [][]nodelist.Node{initial, drained}, with(initial[1:], row("a", "a:1", healthy, restarted)),
			second, "list 4; ack nodes", ""},
		{"healthy again much later", [][]nodelist.Node{initial, drained}, initial, 61 * second, "list 4; ack nodes", ""},
		{"removed, then listed again without a new start", [][]nodelist.Node{initial, initial[1:]}, initial, second,
			"nack nodes; list rejected", "relisted"},
		{"an older list", [][]nodelist.Node{with(initial[1:], row("a", "a:1", healthy, restarted))}, initial, second,
			"nack nodes; list rejected", "older"},
		{"under a new name at the same address", [][]nodelist.Node{initial, drained}, with(initial[1:], row("z", "a:1", healthy, started)),
			second, "nack nodes; list rejected", "renamed"},
		{"another node at the same address, started later", [][]nodelist.Node{initial, drained},
			with(initial[1:], row("z", "a:1", healthy, restarted)), second, "list 4; ack nodes", ""},
		{"an empty list", [][]nodelist.Node{initial}, nil, second, "nack nodes; list rejected", "floor: 4 healthy nodes would become 0"},
		{"truncated below the floor", [][]nodelist.Node{initial}, initial[:1], second, "nack nodes; list rejected", "floor"},
		{"truncated to the floor", [][]nodelist.Node{initial}, initial[:2], second, "list 2; ack nodes", ""},
		{"all drained explicitly", [][]nodelist.Node{initial},
			[]nodelist.Node{row("a", "a:1", draining, started), row("b", "b:1", draining, started),
				row("c", "c:1", draining, started), row("d", "d:1", draining, started)}, second, "list 4; ack nodes", ""},
		{"a drain in a list that is rejected", [][]nodelist.Node{initial}, []nodelist.Node{row("b", "b:1", draining, started)}, second,
			"nack nodes; list rejected; list 4", "floor"},
		{"a node listed twice", [][]nodelist.Node{initial}, with(initial, initial[0]), second, "nack nodes; list rejected", "form"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultBounds(), testFile(), Set{})
			for i, b := range c.before {
				if got := summarize(m.Step(Micros(i), Offered{Kind: Nodes, Version: "1", Nodes: b})); !strings.Contains(got, "ack nodes") ||
					strings.Contains(got, "nack") {
					t.Fatalf("earlier list %d: %s %v", i, got, m.rejectionReasons)
				}
			}
			got := summarize(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer}))
			if got != c.want || c.reason != "" && !strings.Contains(strings.Join(m.rejectionReasons, "; "), c.reason) {
				t.Errorf("actions %s, reasons %v; want %s with %q", got, m.rejectionReasons, c.want, c.reason)
			}
			if c.reason != "" && c.reason != "form" {
				m.Step(c.after, Override{7})
				if got := summarize(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer})); !strings.HasSuffix(
					got, "; ack nodes") {
					t.Errorf("with an override: %s", got)
				}
			}
		})
	}
}
