package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/nodelist"
	"embershunt/policy"
)

// list reads "a b! c" as the nodes a, b that drains, and c; "d+" has started later, "?d" is a row of d that
// cannot be used, "?d!" one that drains.
func list(number int64, text string) nodelist.Numbered {
	out := nodelist.Numbered{Number: number}
	for id := range strings.FieldsSeq(text) {
		id, drains := strings.CutSuffix(id, "!")
		if id, skipped := strings.CutPrefix(id, "?"); skipped {
			out.Skipped = append(out.Skipped, nodelist.Skipped{ID: id, Draining: drains})
			continue
		}
		id, later := strings.CutSuffix(id, "+")
		n := nodelist.Node{ID: id, Platform: "127.0.0.1:" + id}
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

func show(v *View) string {
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

func many(step string, times int) (out []string) {
	for range times {
		out = append(out, step)
	}
	return out
}

// Each step is an answer "number: rows" and the list in force after it; "=" before a number repeats the question before.
func TestView(t *testing.T) {
	for name, c := range map[string]struct{ steps []string }{
		"a drain is heeded at once":             {[]string{"2: a! b -> a! b"}},
		"a node joins at the second answer":     {[]string{"2: a b c -> a b", "2: a b c -> a b c"}},
		"an answer twice confirms nothing":      {[]string{"2: a b c -> a b", "=2: a b c -> a b", "2: a b c -> a b c"}},
		"a node leaves at the second answer":    {[]string{"2: b -> a! b", "=2: b -> a! b", "2: b -> b"}},
		"a drain ends after many answers":       {append([]string{"2: a! b -> a! b"}, append(many("3: a b -> a! b", returnAnswers-1), "3: a b -> a b")...)},
		"a drain in between counts anew":        {append(append([]string{"2: a! b -> a! b"}, many("2: a b -> a! b", returnAnswers-1)...), "1: a! b -> a! b", "2: a b -> a! b")},
		"what has gone returns after many":      {append(append([]string{"2: b -> a! b", "2: b -> b"}, many("2: a b -> b", returnAnswers-1)...), "2: a b -> b a")},
		"drained, left out, listed as ready":    {[]string{"2: a! b -> a! b", "2: b -> a! b", "2: a b -> a! b", "2: a b -> a! b"}},
		"old rows under the newest number":      {[]string{"2: a b -> a b", "2: a! b -> a! b"}},
		"old rows after the drain":              {[]string{"2: a! b -> a! b", "2: a b -> a! b", "2: a! b -> a! b", "2: a b -> a! b"}},
		"a lower number tells a drain":          {[]string{"9: a b -> a b", "2: a! b -> a! b"}},
		"a lower number alone adds nothing":     {[]string{"9: a b -> a b", "2: a b c -> a b", "3: a b c -> a b", "9: a b -> a b"}},
		"lower numbers in a row are believed":   {[]string{"9: a b -> a b", "2: a b c -> a b", "2: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b", "3: a b c -> a b c"}},
		"what was lost to it comes back":        {[]string{"9: a -> a b!", "2: a b -> a b!", "2: a b -> a b!", "2: a b -> a b!", "2: a b -> a b!", "2: a b -> a b!", "2: a b -> a b"}},
		"a restart after a drain is a new node": {[]string{"2: a! b -> a! b", "3: a+ b -> a! b", "3: a+ b -> a b"}},
		"a row that cannot be used":             {[]string{"2: a! ?b c -> a! b", "2: a! ?b c -> a! b c", "2: a! ?b! c -> a! b! c"}},
		"a row without a name hides an end":     {[]string{"2: ? a -> a b", "2: ? a -> a b"}},
		"a late drain that was taken back":      {append([]string{"9: a b -> a b", "9: a b -> a b", "1: a! b -> a! b"}, append(many("9: a b -> a! b", returnAnswers-1), "9: a b -> a b")...)},
		"an empty list":                         {[]string{"2:  -> a! b!", "2:  -> "}},
		"a wrong end is taken back":             {[]string{"2: b -> a! b", "2: a b -> a! b", "2: a b -> a b"}},
		"a row that changes is seen twice anew": {[]string{"2: a b c -> a b", "2: a b d -> a b", "2: a b c -> a b", "2: a b c -> a b c"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(list(1, "a b"))
			question := uint64(0)
			for i, step := range c.steps {
				text, want, _ := strings.Cut(step, " ->")
				text, again := strings.CutPrefix(text, "=")
				if !again {
					question++
				}
				var number int64
				head, rows, _ := strings.Cut(text, ":")
				fmt.Sscan(head, &number)
				v.Observe(Answer{question, list(number, rows)})
				if got := show(v); got != strings.TrimSpace(want) {
					t.Fatalf("after step %d (%s): %q, want %q", i+1, step, got, strings.TrimSpace(want))
				}
			}
		})
	}
}

// Answers that were on their way when a newer one overtook them are no proof against its number.
func TestLateAnswersDoNotTakeANumberBack(t *testing.T) {
	v := New(list(1, "a b"))
	v.Observe(Answer{100, list(9, "a b")})
	for q := range uint64(2 * lowerMost) {
		if u := v.Observe(Answer{10 + q, list(5, "a b c")}); u.Reverted || u.Unsure {
			t.Fatalf("%+v after %d late answers", u, q+1)
		}
	}
	for q := range uint64(lowerMost) {
		if u := v.Observe(Answer{101 + q, list(5, "a b c")}); u.Reverted != (q+1 == lowerMost) {
			t.Fatalf("%+v after %d answers", u, q+1)
		}
	}
}

// A node that takes the address of one that has gone: no list in force has an address twice.
func TestAnAddressChangesHands(t *testing.T) {
	v := New(list(1, "a b"))
	next := list(2, "b c")
	next.Nodes[1].Platform = "127.0.0.1:a"
	for q := range uint64(2) {
		v.Observe(Answer{q, next})
		if err := nodelist.Check(v.Nodes()); err != nil {
			t.Fatal(err)
		}
	}
	if show(v) != "b c" {
		t.Errorf("in force: %s", show(v))
	}
	moved := list(3, "b c")
	moved.Nodes[0].Platform = "127.0.0.1:elsewhere"
	v.Observe(Answer{7, moved})
	if show(v) != "b! c!" { // c as well: its address differs from that above
		t.Errorf("in force: %s", show(v))
	}
	v.Observe(Answer{8, moved})
	if show(v) != "b c" || v.Nodes()[0].Platform != "127.0.0.1:elsewhere" {
		t.Errorf("in force: %s at %s", show(v), v.Nodes()[0].Platform)
	}
}

// Whatever comes: two true answers with any untrue ones before them leave a drain heeded; and enough true ones in a row put the true
// list in force.
func TestTruthWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c", "d"}
		any := func(label string) string {
			out := ""
			for _, id := range ids {
				out += " " + rapid.SampledFrom([]string{"", id, id + "!", "?" + id}).Draw(t, label)
			}
			return out
		}
		v := New(list(rapid.Int64Range(1, 9).Draw(t, "known"), any("known rows")))
		question := uint64(0)
		observe := func(l nodelist.Numbered) {
			question++
			v.Observe(Answer{question, l})
			if err := nodelist.Check(v.Nodes()); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "untrue") {
			observe(list(rapid.Int64Range(0, 9).Draw(t, "number"), any("rows")))
		}
		truth := list(rapid.Int64Range(0, 9).Draw(t, "true number"), strings.ReplaceAll(any("true rows"), "?", ""))
		index := func(id string) int {
			return slices.IndexFunc(v.Nodes(), func(n nodelist.Node) bool { return n.ID == id })
		}
		observe(truth)
		for _, n := range truth.Nodes {
			if at := index(n.ID); n.State == policy.Draining && at >= 0 && v.nodes[at].State == policy.Healthy {
				t.Fatalf("%s drains, in force: %s", n.ID, show(v))
			}
		}
		for range lowerMost + returnAnswers {
			observe(truth)
		}
		if v.Number() != truth.Number {
			t.Errorf("number %d, want %d", v.Number(), truth.Number)
		}
		for _, n := range truth.Nodes {
			if at := index(n.ID); at < 0 || v.nodes[at] != n {
				t.Errorf("%s is not as in the list; in force: %s", n.ID, show(v))
			}
		}
		if len(v.Nodes()) != len(truth.Nodes) {
			t.Errorf("in force: %s, the list has %d", show(v), len(truth.Nodes))
		}
	})
}

// Most answers repeat the one before: at the largest fleet they cost a comparison, no copy.
func BenchmarkRepeatedAnswer(b *testing.B) {
	l := nodelist.Numbered{Number: 1}
	for i := range 3200 {
		l.Nodes = append(l.Nodes, nodelist.Node{ID: fmt.Sprint("s-", i), Platform: fmt.Sprint("127.0.0.1:", i)})
	}
	v := New(l)
	question := uint64(0)
	for range 3 {
		question++
		v.Observe(Answer{question, l})
	}
	b.ReportAllocs()
	for b.Loop() {
		question++
		v.Observe(Answer{question, l})
	}
}

// A change in the largest fleet.
func BenchmarkChange(b *testing.B) {
	l := nodelist.Numbered{Number: 1}
	for i := range 3200 {
		l.Nodes = append(l.Nodes, nodelist.Node{ID: fmt.Sprint("s-", i), Platform: fmt.Sprint("127.0.0.1:", i)})
	}
	v := New(l)
	question := uint64(0)
	for b.Loop() {
		question++
		l.Number++
		v.Observe(Answer{question, l})
	}
}
