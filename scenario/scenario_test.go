package scenario

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"embershunt/config"
	"embershunt/simulated"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Plays a shortened bad day: clients send for 9 s, faults come at half their time and last at most 1.5 s, and no dispatcher is killed. The
// faults before 8 s include a slow, a failing, a crashing and a hanging node.
func TestShortBadDay(t *testing.T) {
	text, err := os.ReadFile("../examples/badday.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("badday.jsonc", text)
	if err != nil {
		t.Fatal(err)
	}
	s.Length = config.Duration(9 * time.Second)
	var kept []Fault
	for _, f := range s.Faults {
		f.At, f.For = f.At/2, min(f.For, config.Duration(1500*time.Millisecond))
		if f.At.D() < 8*time.Second && f.Kind != "kill" {
			kept = append(kept, f)
		}
	}
	s.Faults = kept
	for i := range s.Clients {
		s.Clients[i].BurstAt = config.Duration(4 * time.Second)
	}
	r, err := Run(t.Context(), s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := r.Print(&out); err != nil {
		t.Fatal(err)
	}
	if r.Violated() || r.Clients[0].Served < r.Clients[0].Sent/2 {
		t.Errorf("%s", out.String())
	}
	for _, x := range r.Rules {
		if x.Checked == 0 {
			t.Errorf("rule %s has checked nothing", x.Name)
		}
	}
}

// Each rule finds a violation in records that contain one, and no other rule does. The rules of drains (checkDrains) and of
// transactions (checkTransactions) have no case here.
func TestRulesFindViolations(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	script := &Script{Dispatchers: 1, Config: config.File{
		Zones: []string{"a", "b"}, Kinds: []config.Kind{{Name: "k", Cores: 4}},
		Classes: []config.Class{{Name: "plain", LatencyObjective: config.Duration(time.Second), Deadline: config.Duration(time.Second)},
			{Name: "keyed", LatencyObjective: config.Duration(time.Second), Deadline: config.Duration(time.Second),
				Ordered: true, Zones: []string{"b"}}},
		Limits: config.Limits{DrainGrace: config.Duration(time.Second), RetryBudgetFloor: 1,
			RetryBudgetWindow: config.Duration(time.Second), SlowStartDuration: config.Duration(time.Second)},
		AnyUser: true},
		Nodes:   []NodeGroup{{Count: 1, Zone: "a", Kind: "k"}, {Count: 1, Zone: "b", Kind: "k"}},
		Clients: []ClientGroup{{Class: "plain"}, {Class: "plain", Update: true}, {Class: "keyed", Keys: 1}}}
	cfg, err := script.config(0, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	served := func(serial, group int) *ClientQuery {
		return &ClientQuery{Serial: serial, Group: group, Key: -1, Sent: at(0), Deadline: at(1000), Ended: at(500), Outcome: "served"}
	}
	seen := func(node string, attempt, ms int) simulated.AttemptRecord {
		return simulated.AttemptRecord{Node: node, Attempt: attempt, At: at(ms), End: at(ms + 100), Ran: true}
	}
	cases := []struct {
		rule   int // index of the rule that is violated
		change func(e *environment, q *ClientQuery)
		group  int
		seen   []simulated.AttemptRecord
	}{
		{0, func(_ *environment, q *ClientQuery) { q.Outcome = "" }, 0, nil},
		{0, func(_ *environment, q *ClientQuery) { q.Ended = at(1001) }, 0, nil},
		{0, func(_ *environment, q *ClientQuery) { q.Rows = 1 }, 0, nil},
		{0, nil, 0, []simulated.AttemptRecord{seen("node-0", 0, 700)}},
		{1, nil, 1, []simulated.AttemptRecord{seen("node-0", 0, 1), seen("node-1", 1, 200)}},
		{1, func(_ *environment, q *ClientQuery) { q.Outcome = "refused" }, 1, []simulated.AttemptRecord{seen("node-0", 0, 1)}},
		{3, func(e *environment, q *ClientQuery) {
			e.restarts = []restart{{"node-0", at(0)}}
			q.Work = time.Hour
		}, 0, []simulated.AttemptRecord{seen("node-0", 0, 1)}},
		{5, nil, 2, []simulated.AttemptRecord{seen("node-0", 0, 1)}},
		{6, nil, 0, []simulated.AttemptRecord{seen("node-0", 0, 1), seen("node-0", 1, 2), seen("node-0", 2, 3)}},
	}
	for i, c := range cases {
		e := &environment{script: script, dispatchers: []*dispatcherProcess{{config: cfg}}, control: simulated.NewControl("c"),
			nodes: []*simulated.Node{simulated.NewNode("node-0", simulated.MachineModel{}, 1),
				simulated.NewNode("node-1", simulated.MachineModel{}, 1)}}
		q := served(0, c.group)
		if c.change != nil {
			c.change(e, q)
		}
		e.queries = []*ClientQuery{q}
		all := [][]simulated.AttemptRecord{c.seen}
		rules := []RuleResult{e.checkAnswers(all), e.checkEffects(all), e.checkDrains(nil, &Report{}), e.checkSlowStart(all),
			e.checkOrder(all), e.checkPlacement(all), e.checkRetryBudget(all)}
		for j, r := range rules {
			if (r.Violations > 0) != (j == c.rule) {
				t.Errorf("case %d: rule %s violated %d times", i, r.Name, r.Violations)
			}
		}
	}
	// A violation of the order takes two queries.
	e := &environment{script: script, dispatchers: []*dispatcherProcess{{config: cfg}}, queries: []*ClientQuery{served(0, 2), served(1, 2)}}
	e.queries[0].Key, e.queries[1].Key = 0, 0
	if r := e.checkOrder([][]simulated.AttemptRecord{{seen("node-1", 0, 1)}, {seen("node-1", 0, 50)}}); r.Violations != 1 {
		t.Errorf("order violated %d times, want once", r.Violations)
	}
}
