package control

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"embershunt/config"
	"embershunt/control/configv1"
	"embershunt/nodelist"
	"embershunt/policy"
)

const second = Micros(1e6)

// testFile returns the configuration file of the tests.
func testFile() config.File {
	c, err := config.Parse("local", []byte(`{"any_user": true, "nodes": {"eds": {"address": "127.0.0.1:1", "cluster": "c"}},
	  "kinds": [{"name": "k", "cores": 8}], "limits": {"drain_grace": "2s", "budget_free": 5, "budget_span": "5s", "turn_rest": "1s"},
	  "classes": [{"name": "lookup", "aim": "1s", "deadline": "2s"}, {"name": "report", "aim": "1s", "deadline": "2s"}]}`))
	if err != nil {
		panic(err)
	}
	return c.File
}

// testSet returns a complete valid set with this number, after change, which may make it invalid.
func testSet(n uint64, change func(*Set)) Set {
	s := Set{Number: n, Classes: &configv1.Classes{Set: n, Classes: []*configv1.Class{
		{Name: "lookup", AimUs: 1e6, DeadlineUs: 2e6}, {Name: "report", AimUs: 1e6, DeadlineUs: 9e6}}},
		Tenants: &configv1.Tenants{Set: n}, Classification: &configv1.Classification{Set: n}, Fronts: &configv1.Fronts{Set: n},
		Limits: &configv1.Limits{Set: n, DrainGraceUs: 2e6, BudgetFree: 5, BudgetSpanUs: 5e6, TurnRestUs: 1e6}}
	if change != nil {
		change(&s)
	}
	return s
}

// offerSet passes all resources of a set to the module and returns all actions.
func offerSet(m *Module, now Micros, s Set, live LiveState) (out []Action) {
	for i, p := range s.Resources() {
		out = append(out, m.Step(now, Offered{Kind: Kind(i), Version: fmt.Sprint(s.Number), Nonce: fmt.Sprintf("n%d", i), Message: p,
			Live: live})...)
	}
	return out
}

// summarize describes the actions in their order; it leaves out RenewStream and Log.
func summarize(actions []Action) string {
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
		case DeleteSet:
			out = append(out, fmt.Sprint("delete ", a.Number))
		case ApplyNodeList:
			out = append(out, fmt.Sprint("list ", len(a.Nodes)))
		case NodeListRejected:
			out = append(out, "list rejected")
		}
	}
	return strings.Join(out, "; ")
}

// The summaries of the replies to a complete set that is acknowledged or rejected.
const (
	acks  = "ack classes; ack tenants; ack limits; ack classification; ack fronts"
	nacks = "nack classes; nack tenants; nack limits; nack classification; nack fronts"
)

// activate offers a set, completes its Store and Apply actions and checks that it is acknowledged.
func activate(t *testing.T, m *Module, now Micros, s Set) {
	t.Helper()
	if got := summarize(offerSet(m, now, s, LiveState{})); got != fmt.Sprint("store ", s.Number) {
		t.Fatalf("offered set %d: actions %s, reasons %v", s.Number, got, m.rejectionReasons)
	}
	if got := summarize(m.Step(now, Stored{Number: s.Number})); got != fmt.Sprint("apply ", s.Number) {
		t.Fatalf("stored: %s", got)
	}
	if got := summarize(m.Step(now, Applied{Number: s.Number})); got != acks {
		t.Fatalf("applied: %s", got)
	}
}

// A set is stored, then applied, then acknowledged. Repeats, sets received during an update, failures to store or apply, a
// lost stream and a lower number follow.
func TestStoreThenApplyThenAcknowledge(t *testing.T) {
	m := New(DefaultBounds(), testFile(), Set{})
	activate(t, m, 0, testSet(1, nil))
	if got := summarize(offerSet(m, 1, testSet(1, nil), LiveState{})); got != acks {
		t.Errorf("the active set repeated: %s", got)
	}
	if got := summarize(offerSet(m, 2, testSet(1, func(s *Set) { s.Limits.Attempts = 2 }), LiveState{})); got !=
		strings.Replace(acks, "ack limits", "nack limits", 1) ||
		!strings.Contains(m.rejectionReasons[0], "two services disagree") {
		t.Errorf("the active number with different content: %s, %v", got, m.rejectionReasons)
	}
	// During an update only the newest of the sets received waits; the older one is dropped.
	offerSet(m, 3, testSet(2, nil), LiveState{})
	if got := summarize(offerSet(m, 4, testSet(3, nil), LiveState{})) + summarize(offerSet(m, 5, testSet(4, nil), LiveState{})); got != "" {
		t.Errorf("during an update: %s", got)
	}
	m.Step(6, Stored{Number: 2})
	if got := summarize(m.Step(7, Applied{Number: 2})); got != acks+"; store 4" {
		t.Errorf("after the update: %s", got)
	}
	// One set cannot be stored, the next cannot be activated: the active set stays, and the second is deleted from the store.
	if got := summarize(m.Step(8, Stored{4, errors.New("disk full")})); got != nacks || m.active.Number != 2 {
		t.Errorf("the set cannot be stored: %s, active is set %d", got, m.active.Number)
	}
	offerSet(m, 9, testSet(5, nil), LiveState{})
	m.Step(10, Stored{Number: 5})
	if got := summarize(m.Step(11, Applied{5, errors.New("no")})); got != "delete 5; "+nacks || m.active.Number != 2 {
		t.Errorf("the set cannot be activated: %s, active is set %d", got, m.active.Number)
	}
	// The stream is lost during an update: the set is activated without a reply, and acknowledged when it is received again.
	offerSet(m, 12, testSet(6, nil), LiveState{})
	m.Step(13, StreamLost{})
	m.Step(14, Stored{Number: 6})
	if got := summarize(m.Step(15, Applied{Number: 6})); got != "" || m.active.Number != 6 {
		t.Errorf("after the loss of the stream: %s, active is set %d", got, m.active.Number)
	}
	if got := summarize(offerSet(m, 16, testSet(6, nil), LiveState{})); got != acks {
		t.Errorf("the set offered again on a new stream: %s", got)
	}
	if got := summarize(offerSet(m, 17, testSet(3, nil), LiveState{})); got != nacks ||
		!strings.Contains(m.rejectionReasons[0], "older than 6") {
		t.Errorf("a lower number: %s, %v", got, m.rejectionReasons)
	}
}

// Invalid sets are rejected in any case, sets that are unsafe in the live state unless there is an override. A valid set is
// accepted after either.
func TestInvalidAndUnsafeSetsAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Set)
		live   LiveState
		drain  Micros // time since a node was drained; 0: none was
		reason string
		exempt bool // whether an override exempts from the check
	}{
		{"a class without a deadline", func(s *Set) { s.Classes.Classes[0].DeadlineUs = 0 }, LiveState{}, 0,
			"reference: classes[0].deadline", false},
		{"a rule with an unknown class", func(s *Set) {
			s.Classification.Rules = []*configv1.Rule{{Name: "r", Class: "nobody"}}
		}, LiveState{}, 0, `reference: rules[0].class: found "nobody", allowed: lookup, report`, false},
		{"an unknown effect", func(s *Set) { s.Classes.Classes[0].Effect = "maybe" }, LiveState{}, 0, "classes[0].effect", false},
		{"a statement limit above the transport's", func(s *Set) { s.Fronts.MaxStatementBytes = 60 << 20 }, LiveState{}, 0,
			"fixed: max_statement_bytes", false},
		{"a kind of machine that changes its place", func(s *Set) {
			s.Limits.Kinds = []*configv1.Kind{{Name: "new", Cores: 4}, {Name: "k", Cores: 8}}
		}, LiveState{}, 0, "fixed: kinds", false},
		{"a removed class with queries in flight", func(s *Set) { s.Classes.Classes = s.Classes.Classes[:1] },
			LiveState{PendingByClass: map[string]int{"report": 3}}, 0, `class_ends: class "report" would be removed with 3 queries`, true},
		{"a removed class with updates in flight", func(s *Set) { s.Classes.Classes = s.Classes.Classes[:1] },
			LiveState{PendingByClass: map[string]int{"report (updates)": 1}}, 0, `class_ends`, true},
		{"a drain grace shortened while in use", func(s *Set) { s.Limits.DrainGraceUs = 5e5 }, LiveState{}, second,
			"grace: drain_grace would fall", true},
		{"an ordering gap shortened while in use", func(s *Set) { s.Limits.TurnRestUs = 1e5 }, LiveState{OrderKeyPaused: true}, 0,
			"grace: turn_rest", true},
		{"a retry budget already exceeded", func(s *Set) { s.Limits.BudgetFree = 1 }, LiveState{Retries: 4, Received: 10}, 0,
			"budget: 4 retries", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultBounds(), testFile(), Set{})
			activate(t, m, 0, testSet(1, nil))
			now := 10 * second
			if c.drain > 0 {
				rows := []nodelist.Node{{ID: "a", FlightSQLAddress: "a:1"}, {ID: "b", FlightSQLAddress: "b:1"}}
				m.Step(now-c.drain, Offered{Kind: Nodes, Nodes: rows})
				rows[0].State = policy.Draining
				m.Step(now-c.drain, Offered{Kind: Nodes, Nodes: rows})
			}
			rejected := testSet(2, c.change)
			if got := summarize(offerSet(m, now, rejected, c.live)); got != nacks {
				t.Fatalf("actions %s, want %s", got, nacks)
			}
			if !strings.Contains(strings.Join(m.rejectionReasons, "; "), c.reason) {
				t.Errorf("reasons %q, want one with %q", m.rejectionReasons, c.reason)
			}
			if m.active.Number != 1 || m.Status().Rejected == nil {
				t.Errorf("status %+v", m.Status())
			}
			m.Step(now, Override{2})
			if got := summarize(offerSet(m, now, rejected, c.live)); (got == "store 2") != c.exempt {
				t.Errorf("with an override: %s", got)
			}
			if c.drain > 0 {
				return
			}
			// An unsafe set is accepted once nothing is in flight, and a valid set is accepted after an invalid one.
			m = New(DefaultBounds(), testFile(), Set{})
			activate(t, m, 0, testSet(1, nil))
			offerSet(m, now, rejected, c.live)
			if c.exempt {
				activate(t, m, now+100*second, testSet(2, c.change))
			} else {
				activate(t, m, now+100*second, testSet(2, nil))
			}
		})
	}
}

// A rollback activates an earlier set and pins it: sets that are offered are rejected until the pin is removed.
func TestPinAndRollBack(t *testing.T) {
	m := New(DefaultBounds(), testFile(), Set{})
	activate(t, m, 0, testSet(1, nil))
	activate(t, m, 1, testSet(2, nil))
	if got := summarize(m.Step(2, RollBack{Set: testSet(1, nil)})); got != "store 1" {
		t.Fatalf("roll back: %s", got)
	}
	m.Step(3, Stored{Number: 1})
	m.Step(4, Applied{Number: 1})
	if got := summarize(offerSet(m, 5, testSet(3, nil), LiveState{})); got != nacks || !strings.Contains(m.rejectionReasons[0], "pinned") ||
		m.active.Number != 1 {
		t.Errorf("while pinned: %s, %v", got, m.rejectionReasons)
	}
	m.Step(6, Pin{false})
	activate(t, m, 7, testSet(3, nil))
}
