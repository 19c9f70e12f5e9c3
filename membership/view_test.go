package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/nodelist"
	"embershunt/policy"
)

// parseList parses a list of node IDs: "a" is a healthy node, "a!" a draining one, "a+" one that has started
// later, "?a" an unusable row of a, and "?a!" an unusable row that drains a.
func parseList(number int64, text string) nodelist.VersionedList {
	out := nodelist.VersionedList{Number: number}
	for id := range strings.FieldsSeq(text) {
		id, drains := strings.CutSuffix(id, "!")
		if id, skipped := strings.CutPrefix(id, "?"); skipped {
			out.Skipped = append(out.Skipped, nodelist.Skipped{ID: id, Draining: drains})
			continue
		}
		id, later := strings.CutSuffix(id, "+")
		n := nodelist.Node{ID: id, PlatformAddress: "127.0.0.1:" + id}
		if later {
			n.Started = time.UnixMilli(1700000000000)
		}
		if drains {
			n.State = policy.Draining
		}
		out.Nodes = append(out.Nodes, n)
	}
	return out
}

// formatNodes formats the nodes in force as parseList reads them, without start times.
func formatNodes(v *View) string {
	var out []string
	for _, n := range v.Nodes() {
		id := n.ID
		if n.State != policy.Healthy {
			id += "!"
		}
		out = append(out, id)
	}
	return strings.Join(out, " ")
}

// interval is the time between two responses of a test.
const interval policy.Micros = 200_000

// response returns the response to a query, which arrives interval after that to the query before.
func response(query uint64, list nodelist.VersionedList) Response {
	return Response{Query: query, At: policy.Micros(query) * interval, VersionedList: list}
}

// responsesToReturn is the number of responses that it takes to return a node.
const responsesToReturn = max(returnResponses, int(staleListTime/interval)+1)

// repeat repeats a step.
func repeat(times int, step string) (out []string) {
	for range times {
		out = append(out, step)
	}
	return out
}

// repeatUnconfirmed repeats a step for one response less than it takes to return a node.
func repeatUnconfirmed(step string) []string { return repeat(responsesToReturn-1, step) }

// Each step is "number: rows -> list in force after this response". With "=" before the number, the response is
// to the same query as that of the step before.
func TestView(t *testing.T) {
	for name, c := range map[string]struct{ steps []string }{
		"a drain is applied at once":            {[]string{"2: a! b -> a! b"}},
		"a node joins at the second response":   {[]string{"2: a b c -> a b", "2: a b c -> a b c"}},
		"a duplicate confirms nothing":          {[]string{"2: a b c -> a b", "=2: a b c -> a b", "2: a b c -> a b c"}},
		"a node leaves at the second response":  {[]string{"2: b -> a! b", "=2: b -> a! b", "2: b -> b"}},
		"a drain ends after many responses":     {append([]string{"2: a! b -> a! b"}, append(repeatUnconfirmed("3: a b -> a! b"), "3: a b -> a b")...)},
		"a drain in between restarts the count": {append(append([]string{"2: a! b -> a! b"}, repeatUnconfirmed("2: a b -> a! b")...), "1: a! b -> a! b", "2: a b -> a! b")},
		"a removed node needs many responses":   {append(append([]string{"2: b -> a! b", "2: b -> b"}, repeatUnconfirmed("2: a b -> b")...), "2: a b -> b a")},
		"an absence does not undo a drain":      {[]string{"2: a! b -> a! b", "2: b -> a! b", "2: a b -> a! b", "2: a b -> a! b"}},
		"a drain under an unchanged number":     {[]string{"2: a b -> a b", "2: a! b -> a! b"}},
		"old rows after the drain":              {[]string{"2: a! b -> a! b", "2: a b -> a! b", "2: a! b -> a! b", "2: a b -> a! b"}},
		"a drain under a lower number":          {[]string{"9: a b -> a b", "2: a! b -> a! b"}},
		"few lower numbers add nothing":         {[]string{"9: a b -> a b", "2: a b c -> a b", "3: a b c -> a b", "9: a b -> a b"}},
		"lower numbers in a row are accepted":   {[]string{"9: a b -> a b", "2: a b c -> a b", "2: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b c"}},
		"a node lost to a wrong number returns": {slices.Concat([]string{"9: a -> a b!"}, repeat(revertResponses-1, "2: a b -> a b!"), repeatUnconfirmed("2: a b -> a b!"), []string{"2: a b -> a b"})},
		"a restart after a drain is a new node": {[]string{"2: a! b -> a! b", "3: a+ b -> a! b", "3: a+ b -> a b"}},
		"an unusable row":                       {[]string{"2: a! ?b c -> a! b", "2: a! ?b c -> a! b c", "2: a! ?b! c -> a! b! c"}},
		"a row without an ID hides a removal":   {[]string{"2: ? a -> a b", "2: ? a -> a b"}},
		"a late drain that was cancelled":       {append([]string{"9: a b -> a b", "9: a b -> a b", "1: a! b -> a! b"}, append(repeatUnconfirmed("9: a b -> a! b"), "9: a b -> a b")...)},
		"an empty list":                         {[]string{"2:  -> a! b!", "2:  -> "}},
		"a wrong removal is cancelled":          {[]string{"2: b -> a! b", "2: a b -> a! b", "2: a b -> a b"}},
		"a lower number in between restarts":    {[]string{"2: b -> a! b", "9: a b -> a! b", "2: b -> a! b", "9: a b -> a! b", "9: a b -> a b"}},
		"a row that changes restarts the count": {[]string{"2: a b c -> a b", "2: a b d -> a b", "2: a b c -> a b", "2: a b c -> a b c"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(parseList(1, "a b"))
			query := uint64(0)
			for i, step := range c.steps {
				text, want, _ := strings.Cut(step, " ->")
				text, again := strings.CutPrefix(text, "=")
				if !again {
					query++
				}
				head, rows, _ := strings.Cut(text, ":")
				number, err := strconv.ParseInt(head, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				v.Observe(response(query, parseList(number, rows)))
				if got := formatNodes(v); got != strings.TrimSpace(want) {
					t.Fatalf("after step %d (%s): %q, want %q", i+1, step, got, strings.TrimSpace(want))
				}
			}
		})
	}
}

// Guards against work for a node that was drained, removed or moved, on the word of outdated lists: they come in a row for less than
// staleListTime, after one or more current lists, and none of the nodes that they list as healthy has started since.
func TestOutdatedListsGiveNoWorkAgain(t *testing.T) {
	stale := repeat(responsesToReturn-revertResponses, "6: a b")
	for name, responses := range map[string][]string{
		"a drain told once":              slices.Concat([]string{"7: a! b"}, stale),
		"a drain told often":             slices.Concat(repeat(revertResponses, "7: a! b"), stale),
		"a removal told once":            slices.Concat([]string{"7: b"}, stale),
		"a removal told twice":           slices.Concat([]string{"7: b", "7: b"}, stale),
		"with gaps":                      slices.Concat([]string{"7: a! b"}, stale, []string{"7: a! b"}, stale),
		"under the number of the drain":  slices.Concat([]string{"7: a! b"}, repeat(responsesToReturn-1, "7: a b")),
		"under a higher number":          slices.Concat([]string{"7: a! b"}, repeat(responsesToReturn-1, "40: a b")),
		"a high number after outdated":   slices.Concat([]string{"7: b"}, repeat(revertResponses+joinResponses, "6: a b"), []string{"40: a b"}),
		"a drain after an absence":       {"7: b", "6: a! b", "7: a b", "7: a b", "7: a b"},
		"an older start before a newer":  {"7: a+! b", "7: a! b", "7: a+ b", "7: a+ b", "7: a+ b"},
		"an older start, after an early": {"2: a+ b", "2: a+ b", "3: a+! b", "3: a b", "3: a b", "3: a+ b", "3: a+ b", "3: a+ b"},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(parseList(1, "a b"))
			told := false // the drain or the removal
			for i, text := range responses {
				head, rows, _ := strings.Cut(text, ":")
				number, err := strconv.ParseInt(head, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				v.Observe(response(uint64(i+1), parseList(number, rows)))
				hasWork := slices.Contains(strings.Fields(formatNodes(v)), "a")
				if told = told || !hasWork; told && hasWork {
					t.Fatalf("a has work again after response %d (%s)", i+1, text)
				}
			}
			if !told {
				t.Error("a was never drained")
			}
		})
	}
}

// Guards against requests to the address that a node has left, on the word of outdated lists.
func TestOutdatedListsMoveNoNodeBack(t *testing.T) {
	for _, told := range []int{1, joinResponses} {
		t.Run(fmt.Sprint("told ", told), func(t *testing.T) { testOutdatedAddress(t, told) })
	}
}

// testOutdatedAddress moves a node by a number of current lists, before outdated ones.
func testOutdatedAddress(t *testing.T, told int) {
	const left, current = "127.0.0.1:a", "127.0.0.1:new"
	v := New(parseList(1, "a b"))
	query := uint64(0)
	observe := func(number int64, address string) {
		list := parseList(number, "a b")
		list.Nodes[0].PlatformAddress = address
		query++
		v.Observe(response(query, list))
	}
	for range told {
		observe(7, current)
	}
	for range responsesToReturn - revertResponses {
		observe(6, left)
		if n := v.Nodes()[0]; n.State == policy.Healthy && n.PlatformAddress == left {
			t.Fatalf("a has work at the address that it has left, after response %d", query)
		}
	}
	for range joinResponses {
		observe(7, current)
	}
	if n := v.Nodes()[0]; n.State != policy.Healthy || n.PlatformAddress != current {
		t.Errorf("a is in state %d at %s after current lists", n.State, n.PlatformAddress)
	}
}

// Guards against a removal that is forgotten early: a node that returns and leaves again is remembered like one that leaves for the first
// time, although its first removal is the oldest.
func TestSecondRemovalIsRemembered(t *testing.T) {
	v := New(parseList(1, "a b"))
	query := uint64(0)
	observe := func(times int, rows string) {
		for range times {
			query++
			v.Observe(response(query, parseList(int64(query)+1, rows)))
		}
	}
	observe(2, "b")    // a leaves
	observe(2, "a+ b") // a has started again
	observe(2, "b")    // a leaves again
	for i := range maxRemoved - 1 {
		v.remove(nodelist.Node{ID: fmt.Sprint("other-", i)})
	}
	observe(joinResponses, "a+ b")
	if got := formatNodes(v); got != "b" {
		t.Errorf("in force: %s", got)
	}
}

// Outdated lists cost a node that they do not have its work for a short time only: it is back at the second current list. The drain of
// an earlier start does not apply to it.
func TestNodesSurviveOutdatedLists(t *testing.T) {
	v := New(parseList(1, "a b"))
	query := uint64(0)
	observe := func(times int, number int64, rows string) {
		for range times {
			query++
			v.Observe(response(query, parseList(number, rows)))
		}
	}
	observe(2, 7, "a+ b c")
	observe(responsesToReturn-1, 6, "a! b")
	if got := formatNodes(v); got != "a b c!" {
		t.Errorf("in force after outdated lists: %s", got)
	}
	observe(2, 7, "a+ b c")
	if got := formatNodes(v); got != "a b c" {
		t.Errorf("in force after current lists: %s", got)
	}
}

// Responses that arrive after the response to a newer query do not show that the number in force is wrong.
func TestLateResponsesDoNotRevertANumber(t *testing.T) {
	v := New(parseList(1, "a b"))
	v.Observe(response(100, parseList(9, "a b")))
	for q := range uint64(2 * revertResponses) {
		if u := v.Observe(response(10+q, parseList(5, "a b c"))); u.Reverted || u.Unconfirmed {
			t.Fatalf("%+v after %d late responses", u, q+1)
		}
	}
	for q := range uint64(revertResponses) {
		if u := v.Observe(response(101+q, parseList(5, "a b c"))); u.Reverted != (q+1 == revertResponses) {
			t.Fatalf("%+v after %d responses", u, q+1)
		}
	}
}

// When a node takes the address of a removed one, or moves, no list in force has an address twice.
func TestAddressPassesToAnotherNode(t *testing.T) {
	v := New(parseList(1, "a b"))
	next := parseList(2, "b c")
	next.Nodes[1].PlatformAddress = "127.0.0.1:a"
	for q := range uint64(2) {
		v.Observe(response(q, next))
		if err := nodelist.Check(v.Nodes()); err != nil {
			t.Fatal(err)
		}
	}
	if formatNodes(v) != "b c" {
		t.Errorf("in force: %s", formatNodes(v))
	}
	moved := parseList(3, "b c")
	moved.Nodes[0].PlatformAddress = "127.0.0.1:elsewhere"
	v.Observe(response(7, moved))
	if formatNodes(v) != "b! c!" { // c drains as well: in this list it is back at its own address
		t.Errorf("in force: %s", formatNodes(v))
	}
	v.Observe(response(8, moved))
	if formatNodes(v) != "b c" || v.Nodes()[0].PlatformAddress != "127.0.0.1:elsewhere" {
		t.Errorf("in force: %s at %s", formatNodes(v), v.Nodes()[0].PlatformAddress)
	}
}

// After any sequence of wrong responses, one correct response applies its drains, and enough correct responses
// in a row put the correct list in force.
func TestConvergesAfterWrongResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c", "d"}
		draw := func(label string) string {
			out := ""
			for _, id := range ids {
				out += " " + rapid.SampledFrom([]string{"", id, id + "!", "?" + id}).Draw(t, label)
			}
			return out
		}
		v := New(parseList(rapid.Int64Range(1, 9).Draw(t, "initial number"), draw("initial rows")))
		query := uint64(0)
		observe := func(l nodelist.VersionedList) {
			query++
			v.Observe(response(query, l))
			if err := nodelist.Check(v.Nodes()); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "wrong responses") {
			observe(parseList(rapid.Int64Range(0, 9).Draw(t, "number"), draw("rows")))
		}
		correct := parseList(rapid.Int64Range(0, 9).Draw(t, "correct number"), strings.ReplaceAll(draw("correct rows"), "?", ""))
		index := func(id string) int {
			return slices.IndexFunc(v.Nodes(), func(n nodelist.Node) bool { return n.ID == id })
		}
		observe(correct)
		for _, n := range correct.Nodes {
			if at := index(n.ID); n.State == policy.Draining && at >= 0 && v.nodes[at].State == policy.Healthy {
				t.Fatalf("%s drains in the list; in force: %s", n.ID, formatNodes(v))
			}
		}
		for range revertResponses + responsesToReturn {
			observe(correct)
		}
		if v.Number() != correct.Number {
			t.Errorf("number %d, want %d", v.Number(), correct.Number)
		}
		for _, n := range correct.Nodes {
			if at := index(n.ID); at < 0 || v.nodes[at] != n {
				t.Errorf("%s is not as in the list; in force: %s", n.ID, formatNodes(v))
			}
		}
		if len(v.Nodes()) != len(correct.Nodes) {
			t.Errorf("in force: %s, the list has %d", formatNodes(v), len(correct.Nodes))
		}
	})
}

// largestList returns a list with the maximum number of nodes.
func largestList() nodelist.VersionedList {
	l := nodelist.VersionedList{Number: 1}
	for i := range 3200 {
		l.Nodes = append(l.Nodes, nodelist.Node{ID: fmt.Sprint("s-", i),
			PlatformAddress: fmt.Sprint("127.0.0.1:", i)})
	}
	return l
}

// Most responses repeat the previous one. Even with the maximum number of nodes, they cost a comparison and no
// copy.
func BenchmarkRepeatedResponse(b *testing.B) {
	l := largestList()
	v := New(l)
	query := uint64(0)
	for range 3 {
		query++
		v.Observe(response(query, l))
	}
	b.ReportAllocs()
	for b.Loop() {
		query++
		v.Observe(response(query, l))
	}
}

// The version number changes in a list with the maximum number of nodes.
func BenchmarkChange(b *testing.B) {
	l := largestList()
	v := New(l)
	query := uint64(0)
	for b.Loop() {
		query++
		l.Number++
		v.Observe(response(query, l))
	}
}
