package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"embershunt/config"
	"embershunt/control/configv1"
	"embershunt/nodelist"
	"embershunt/policy"
)

const second = Micros(1e6)

func local() config.File {
	c, err := config.Parse("local", []byte(`{"any_user": true, "nodes": {"eds": {"address": "127.0.0.1:1", "cluster": "c"}},
	  "kinds": [{"name": "k", "cores": 8}], "limits": {"drain_grace": "2s", "budget_free": 5, "budget_span": "5s", "turn_rest": "1s"},
	  "classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}, {"name": "report", "aim": "1s", "deadline": "2s"}]}`))
	if err != nil {
		panic(err)
	}
	return c.File
}

// version is a whole good set; change may spoil it.
func version(n uint64, change func(*Set)) Set {
	s := Set{Number: n, Classes: &configv1.Classes{Set: n, Classes: []*configv1.Class{
		{Name: "lookup", AimUs: 1e6, DeadlineUs: 2e6}, {Name: "report", AimUs: 1e6, DeadlineUs: 9e6}}},
		Tenants: &configv1.Tenants{Set: n}, Classification: &configv1.Classification{Set: n}, Fronts: &configv1.Fronts{Set: n},
		Limits: &configv1.Limits{Set: n, DrainGraceUs: 2e6, BudgetFree: 5, BudgetSpanUs: 5e6, TurnRestUs: 1e6}}
	if change != nil {
		change(&s)
	}
	return s
}

// offer plays a whole set; it returns what the last event brought.
func offerSet(m *Module, now Micros, s Set, k LiveState) (out []Action) {
	for i, p := range s.Parts() {
		out = append(out, m.Step(now, Offered{Kind: Kind(i), Version: fmt.Sprint(s.Number), Nonce: fmt.Sprintf("n%d", i), Message: p, Live: k})...)
	}
	return out
}

// said sums actions up in words, in order.
func said(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Ack:
			out = append(out, "ack "+a.Kind.String())
		case Nack:
			out = append(out, "nack "+a.Kind.String())
		case Store:
			out = append(out, fmt.Sprint("store ", a.Set.Number))
		case Apply:
			out = append(out, fmt.Sprint("apply ", a.Set.Number))
		case Forget:
			out = append(out, fmt.Sprint("forget ", a.Number))
		case List:
			out = append(out, fmt.Sprint("list ", len(a.Nodes)))
		case ListRefused:
			out = append(out, "list refused")
		}
	}
	return strings.Join(out, "; ")
}

const acks = "ack classes; ack tenants; ack limits; ack classification; ack fronts"
const nacks = "nack classes; nack tenants; nack limits; nack classification; nack fronts"

// take brings a set into force.
func take(t *testing.T, m *Module, now Micros, s Set) {
	t.Helper()
	if got := said(offerSet(m, now, s, LiveState{})); got != fmt.Sprint("store ", s.Number) {
		t.Fatalf("offered set %d: %s (%v)", s.Number, got, m.last)
	}
	if got := said(m.Step(now, Stored{Number: s.Number})); got != fmt.Sprint("apply ", s.Number) {
		t.Fatalf("stored: %s", got)
	}
	if got := said(m.Step(now, Applied{Number: s.Number})); got != acks {
		t.Fatalf("applied: %s", got)
	}
}

func TestStoreThenApplyThenAcknowledge(t *testing.T) {
	m := New(DefaultBounds(), local(), Set{})
	take(t, m, 0, version(1, nil))
	if got := said(offerSet(m, 1, version(1, nil), LiveState{})); got != acks {
		t.Errorf("the same again: %s", got)
	}
	if got := said(offerSet(m, 2, version(1, func(s *Set) { s.Limits.Attempts = 2 }), LiveState{})); got != strings.Replace(acks, "ack limits", "nack limits", 1) ||
		!strings.Contains(m.last[0], "two services disagree") {
		t.Errorf("the same number, another content: %s, %v", got, m.last)
	}
	// While one is stored a newer one comes, then a newer still: the newest is next, the one between is passed over.
	offerSet(m, 3, version(2, nil), LiveState{})
	if got := said(offerSet(m, 4, version(3, nil), LiveState{})) + said(offerSet(m, 5, version(4, nil), LiveState{})); got != "" {
		t.Errorf("while another moves: %s", got)
	}
	m.Step(6, Stored{Number: 2})
	if got := said(m.Step(7, Applied{Number: 2})); got != acks+"; store 4" {
		t.Errorf("after it: %s", got)
	}
	// It cannot be stored, then it cannot be put in force: the one before holds, and the store forgets it.
	if got := said(m.Step(8, Stored{4, errors.New("disk full")})); got != nacks || m.force.Number != 2 {
		t.Errorf("disk full: %s, set %d", got, m.force.Number)
	}
	offerSet(m, 9, version(5, nil), LiveState{})
	m.Step(10, Stored{Number: 5})
	if got := said(m.Step(11, Applied{5, errors.New("no")})); got != "forget 5; "+nacks || m.force.Number != 2 {
		t.Errorf("cannot be put in force: %s, set %d", got, m.force.Number)
	}
	// The stream is lost while one moves: nobody waits for a reply; offered again it is in force.
	offerSet(m, 12, version(6, nil), LiveState{})
	m.Step(13, Lost{})
	m.Step(14, Stored{Number: 6})
	if got := said(m.Step(15, Applied{Number: 6})); got != "" || m.force.Number != 6 {
		t.Errorf("after the loss: %s, set %d", got, m.force.Number)
	}
	if got := said(offerSet(m, 16, version(6, nil), LiveState{})); got != acks {
		t.Errorf("offered again: %s", got)
	}
	if got := said(offerSet(m, 17, version(3, nil), LiveState{})); got != nacks || !strings.Contains(m.last[0], "older than 6") {
		t.Errorf("going back: %s, %v", got, m.last)
	}
}

func TestVersionsThatAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(*Set)
		known  LiveState
		drain  Micros // told so long ago; 0: none
		reason string
		pass   bool // an override lets it pass
	}{
		{"a class without a deadline", func(s *Set) { s.Classes.Classes[0].DeadlineUs = 0 }, LiveState{}, 0, "reference: classes[0].deadline", false},
		{"a rule that names no class", func(s *Set) {
			s.Classification.Rules = []*configv1.Rule{{Name: "r", Class: "nobody"}}
		}, LiveState{}, 0, `reference: rules[0].class: found "nobody", allowed: lookup, report`, false},
		{"an effect that is none", func(s *Set) { s.Classes.Classes[0].Effect = "maybe" }, LiveState{}, 0, "classes[0].effect", false},
		{"a statement longer than the transport takes", func(s *Set) { s.Fronts.MaxStatementBytes = 60 << 20 }, LiveState{}, 0, "fixed: max_statement_bytes", false},
		{"a kind that moves", func(s *Set) { s.Limits.Kinds = []*configv1.Kind{{Name: "new", Cores: 4}, {Name: "k", Cores: 8}} }, LiveState{}, 0, "fixed: kinds", false},
		{"a class that ends with queries in flight", func(s *Set) { s.Classes.Classes = s.Classes.Classes[:1] },
			LiveState{InFlight: map[string]int{"report": 3}}, 0, `class_ends: class "report" would end with 3 queries`, true},
		{"a class that ends with updates in flight", func(s *Set) { s.Classes.Classes = s.Classes.Classes[:1] },
			LiveState{InFlight: map[string]int{"report (updates)": 1}}, 0, `class_ends`, true},
		{"a grace that ends early", func(s *Set) { s.Limits.DrainGraceUs = 5e5 }, LiveState{}, second, "grace: drain_grace would fall", true},
		{"a rest that ends early", func(s *Set) { s.Limits.TurnRestUs = 1e5 }, LiveState{OrderKeyResting: true}, 0, "grace: turn_rest", true},
		{"a budget that is overdrawn", func(s *Set) { s.Limits.BudgetFree = 1 }, LiveState{Retries: 4, Received: 10}, 0, "budget: 4 further attempts", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultBounds(), local(), Set{})
			take(t, m, 0, version(1, nil))
			now := 10 * second
			if c.drain > 0 {
				rows := []nodelist.Node{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}}
				m.Step(now-c.drain, Offered{Kind: Nodes, Nodes: rows})
				rows[0].State = policy.Draining
				m.Step(now-c.drain, Offered{Kind: Nodes, Nodes: rows})
			}
			bad := version(2, c.spoil)
			if got := said(offerSet(m, now, bad, c.known)); got != nacks {
				t.Fatalf("%s", got)
			}
			if !strings.Contains(strings.Join(m.last, "; "), c.reason) {
				t.Errorf("reasons %q, want one with %q", m.last, c.reason)
			}
			if m.force.Number != 1 || m.Status().Refused == nil {
				t.Errorf("status %+v", m.Status())
			}
			m.Step(now, Override{2})
			if got := said(offerSet(m, now, bad, c.known)); (got == "store 2") != c.pass {
				t.Errorf("with an override: %s", got)
			}
			if c.drain > 0 {
				return
			}
			// What would hurt now is harmless once nothing is out, and a good version is taken after a bad one.
			m = New(DefaultBounds(), local(), Set{})
			take(t, m, 0, version(1, nil))
			offerSet(m, now, bad, c.known)
			if c.pass {
				take(t, m, now+100*second, version(2, c.spoil))
			} else {
				take(t, m, now+100*second, version(2, nil))
			}
		})
	}
}

func TestNodeListsThatAreRefused(t *testing.T) {
	born, later := time.Unix(1000, 0), time.Unix(2000, 0)
	row := func(id, address string, state policy.EndpointState, started time.Time) nodelist.Node {
		return nodelist.Node{ID: id, Address: address, State: state, Started: started}
	}
	ok, drains := policy.Healthy, policy.Draining
	good := []nodelist.Node{row("a", "a:1", ok, born), row("b", "b:1", ok, born), row("c", "c:1", ok, born), row("d", "d:1", ok, born)}
	drained := slices.Clone(good)
	drained[0].State = drains
	with := func(rows []nodelist.Node, change ...nodelist.Node) []nodelist.Node {
		return append(slices.Clone(rows), change...)
	}
	cases := []struct {
		name   string
		before [][]nodelist.Node
		offer  []nodelist.Node
		after  Micros
		want   string // said
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
		{"all drained, which is said aloud", [][]nodelist.Node{good}, []nodelist.Node{row("a", "a:1", drains, born), row("b", "b:1", drains, born),
			row("c", "c:1", drains, born), row("d", "d:1", drains, born)}, second, "list 4; ack nodes", ""},
		{"a drain in a list that is refused", [][]nodelist.Node{good}, []nodelist.Node{row("b", "b:1", drains, born)}, second,
			"nack nodes; list refused; list 4", "floor"},
		{"a node twice", [][]nodelist.Node{good}, with(good, good[0]), second, "nack nodes; list refused", "form"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultBounds(), local(), Set{})
			for i, b := range c.before {
				if got := said(m.Step(Micros(i), Offered{Kind: Nodes, Version: "1", Nodes: b})); !strings.Contains(got, "ack nodes") || strings.Contains(got, "nack") {
					t.Fatalf("before: %s %v", got, m.last)
				}
			}
			got := said(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer}))
			if got != c.want || c.reason != "" && !strings.Contains(strings.Join(m.last, "; "), c.reason) {
				t.Errorf("%s, %v; want %s with %q", got, m.last, c.want, c.reason)
			}
			if c.reason != "" && c.reason != "form" {
				m.Step(c.after, Override{7})
				if got := said(m.Step(c.after, Offered{Kind: Nodes, Version: "7", Nodes: c.offer})); !strings.HasSuffix(got, "; ack nodes") {
					t.Errorf("with an override: %s", got)
				}
			}
		})
	}
}

func TestPinAndRollBack(t *testing.T) {
	m := New(DefaultBounds(), local(), Set{})
	take(t, m, 0, version(1, nil))
	take(t, m, 1, version(2, nil))
	if got := said(m.Step(2, RollBack{Set: version(1, nil)})); got != "store 1" {
		t.Fatalf("roll back: %s", got)
	}
	m.Step(3, Stored{Number: 1})
	m.Step(4, Applied{Number: 1})
	if got := said(offerSet(m, 5, version(3, nil), LiveState{})); got != nacks || !strings.Contains(m.last[0], "pinned") || m.force.Number != 1 {
		t.Errorf("while pinned: %s, %v", got, m.last)
	}
	m.Step(6, Pin{false})
	take(t, m, 7, version(3, nil))
}

// Against a simple model, whatever comes in whatever order: the set in force is always one that was judged good, stored
// and then applied; numbers go up unless an operator says otherwise; every whole offer gets one reply a kind at the most.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := New(DefaultBounds(), local(), Set{})
		highest, storing, applying := uint64(0), uint64(0), uint64(0)
		open := map[string]int{} // replies by nonce
		handle := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Store:
					if storing != 0 || applying != 0 {
						r.Fatalf("set %d is stored while another moves", a.Set.Number)
					}
					if a.Set.Number <= highest {
						r.Fatalf("set %d after %d", a.Set.Number, highest)
					}
					if a.Set.Classes.Classes[0].DeadlineUs == 0 {
						r.Fatal("a bad set is stored")
					}
					storing = a.Set.Number
				case Apply:
					if a.Set.Number != storing {
						r.Fatalf("set %d is applied, stored was %d", a.Set.Number, storing)
					}
					applying, storing = storing, 0
				case Ack:
					open[a.Nonce]++
				case Nack:
					open[a.Nonce]++
					if len(a.Reasons) == 0 {
						r.Fatal("refused without a reason")
					}
				}
			}
			for n, c := range open {
				if c > 1 {
					r.Fatalf("nonce %s has %d replies", n, c)
				}
			}
		}
		serial := 0
		for range rapid.IntRange(1, 40).Draw(r, "events") {
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1: // a whole set, good or bad, newer or not
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				bad := rapid.Bool().Draw(r, "bad")
				s := version(n, func(s *Set) {
					if bad {
						s.Classes.Classes[0].DeadlineUs = 0
					}
				})
				for i, p := range s.Parts() {
					serial++
					handle(m.Step(0, Offered{Kind: Kind(i), Version: fmt.Sprint(n), Nonce: fmt.Sprint(serial), Message: p}))
				}
			case 2: // a part alone
				n := uint64(rapid.IntRange(1, 12).Draw(r, "number"))
				k := rapid.IntRange(0, 4).Draw(r, "kind")
				serial++
				handle(m.Step(0, Offered{Kind: Kind(k), Version: fmt.Sprint(n), Nonce: fmt.Sprint(serial), Message: version(n, nil).Parts()[k]}))
			case 3:
				fails := rapid.Bool().Draw(r, "fails")
				if storing != 0 {
					n := storing
					var err error
					if fails {
						err, storing = errors.New("disk"), 0
					}
					handle(m.Step(0, Stored{n, err}))
				}
			case 4:
				fails := rapid.Bool().Draw(r, "fails")
				if applying != 0 {
					n := applying
					var err error
					if fails {
						err = errors.New("no")
					}
					if applying = 0; err == nil {
						highest = n
					}
					handle(m.Step(0, Applied{n, err}))
				}
			case 5:
				handle(m.Step(0, Lost{}))
			}
			if m.force.Number != highest {
				r.Fatalf("in force is %d, the model has %d", m.force.Number, highest)
			}
		}
	})
}

// What a file holds comes through a set unchanged.
func TestFilePartsComeBack(t *testing.T) {
	f := local()
	f.Classes[0].Zones, f.Classes[0].Ordered, f.Tenants = []string{"hall"}, true, []config.Tenant{{Name: "a", Quota: 3}}
	f.Rules = []config.Rule{{Name: "r", User: "x", Class: "report", Cost: config.Duration(time.Second), Key: "user"}}
	parts := FileParts{Classes: f.Classes, Default: f.Default, Tenants: f.Tenants, Limits: f.Limits, Kinds: f.Kinds, Rules: f.Rules, Front: f.Front}
	got := merge(f, parts.Set(3))
	a, _ := (&config.Config{File: f}).Effective()
	b, _ := (&config.Config{File: got}).Effective()
	if string(a) != string(b) {
		t.Errorf("got\n%s\nwant\n%s", b, a)
	}
}

func TestRollout(t *testing.T) {
	const n = 200
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("d", i)
	}
	begin := func() *Rollout {
		r := NewRollout(1, []float64{0.1, 0.5, 1}, 10*second, 0.05)
		for _, d := range names {
			r.Replied(0, d, r.Offer(d), "")
		}
		r.Begin(0, 2)
		return r
	}
	offered := func(r *Rollout) (out []string) {
		for _, d := range names {
			if r.Offer(d) == 2 {
				out = append(out, d)
			}
		}
		return out
	}
	r := begin()
	first := offered(r)
	if len(first) < n/20 || len(first) > n/5 {
		t.Fatalf("the first stage has %d of %d", len(first), n)
	}
	for _, d := range first {
		r.Replied(second, d, 2, "")
	}
	if r.Advance(5*second) || len(offered(r)) != len(first) {
		t.Error("it went on before its time")
	}
	if !r.Advance(11*second) || len(offered(r)) <= 2*len(first) {
		t.Errorf("the second stage has %d", len(offered(r)))
	}
	for _, d := range offered(r) {
		r.Replied(12*second, d, 2, "")
	}
	r.Advance(23 * second)
	if len(offered(r)) != n {
		t.Errorf("the last stage has %d: %s", len(offered(r)), r.State())
	}
	for _, d := range names {
		r.Replied(24*second, d, 2, "")
	}
	if r.State() != "set 2 is with all" {
		t.Error(r.State())
	}
	// One refusal of so many does not halt it, one in twenty does: all get the old set again.
	r = begin()
	first = offered(r)
	for i, d := range first {
		if i%15 == 0 {
			r.Replied(second, d, 2, "class_ends")
		}
	}
	if got := len(offered(r)); got != 0 || !strings.Contains(r.State(), "halted") || !strings.Contains(r.State(), "class_ends") {
		t.Errorf("after refusals %d are offered it: %s", got, r.State())
	}
	// A fall in service halts it too; the next version begins from the set before it.
	r = begin()
	took := offered(r)[0]
	r.Replied(second, took, 2, "")
	r.Halt("service fell to 0.7")
	// Who took it does not go back in numbers: it gets the old content under a new one.
	if number, of := r.Back(); number != 3 || of != 1 || r.Offer(took) != 3 || len(offered(r)) != 0 || r.Highest() != 3 {
		t.Errorf("halted: back %d of %d, offered to who took it %d", number, of, r.Offer(took))
	}
	r.Replied(2*second, took, 3, "")
	if r.Offer(took) != 3 {
		t.Errorf("back again it is offered %d", r.Offer(took))
	}
	r.Begin(30*second, 4)
	if r.old != 1 {
		t.Errorf("after the halt old is %d", r.old)
	}
}

// A version under which less is served is halted by the dispatchers' own counters; noise, few queries and a dispatcher that
// starts anew do not halt it.
func TestRolloutHaltsOnAFallInService(t *testing.T) {
	cases := []struct {
		name          string
		served, asked float64 // of each dispatcher with the new set, since it has it; those with the old one serve 95 of 100
		halts         bool
	}{
		{"as before", 940, 1000, false}, {"a clear fall", 700, 1000, true}, {"too few to tell", 1, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRollout(1, []float64{0.3, 1}, 10*second, 0.5)
			r.Fall = 0.1
			var staged, rest []string
			for i := range 20 {
				d := fmt.Sprint("d", i)
				r.Replied(0, d, 1, "")
				r.Service(0, d, 100, 5000) // a bad day before: it does not count
			}
			r.Begin(second, 2)
			for i := range 20 {
				d := fmt.Sprint("d", i)
				if r.Offer(d) == 2 {
					staged = append(staged, d)
					r.Replied(second, d, 2, "")
				} else {
					rest = append(rest, d)
				}
			}
			for _, d := range rest {
				r.Service(2*second, d, 100+950, 5000+1000)
			}
			r.Service(2*second, rest[0], 95, 100) // started anew
			for _, d := range staged {
				r.Service(2*second, d, 100+c.served, 5000+c.asked)
			}
			if halted := strings.Contains(r.State(), "halted"); halted != c.halts {
				t.Errorf("%s", r.State())
			}
		})
	}
}
