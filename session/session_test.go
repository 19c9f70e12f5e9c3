package session

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = Micros(1e6)

func limits() Limits {
	return Limits{MaxSessions: 8, MaxPerTenant: 5, MaxPerNode: 4, MaxTables: 3,
		IdleTimeout: 10 * sec, MaxAge: 60 * sec, DrainGrace: 2 * sec, RetrySpread: 4 * sec, Retention: 30 * sec}
}

// transitions lists the states that may follow each state in one step. It extends the table at State: a session whose node has
// nothing to release passes through Ending within the step.
var transitions = map[State][]State{
	Free:    {Sticky, Ending, Lost, Expired},
	Sticky:  {Ending, Lost, Expired, Free},
	Ending:  {Lost, Expired},
	Lost:    {Free},
	Expired: {Free},
}

// simulatedNode is the actual state of a node, which the machine's node list may not show yet.
type simulatedNode struct {
	up      bool
	started time.Time
	holds   map[string]bool // sessions whose state the node holds
}

// simulation runs a machine against simulated nodes that hold state and whose node lists may be late.
type simulation struct {
	r                *rapid.T
	m                *Machine
	now              Micros
	nodes            map[string]*simulatedNode
	lastStart        int64  // start time of the latest incarnation of any node, in seconds
	serial           uint64 // of the last statement
	running          map[uint64]*runningStatement
	releases         []Release            // emitted and not carried out yet
	sticky           map[string]string    // session to node, from the machine's Stick and Unstick actions
	states           map[string]State     // of each session after the last step
	unavailableSince map[string]Micros    // when a list first showed the drain or removal of a node
	listedStarts     map[string]time.Time // start time of each node in the latest list
	// failedReleases counts the failed releases in a row by session. It bounds the failures that the test draws: after maxReleaseAttempts
	// the machine leaves the state to the node's own timeout, which the test does not simulate.
	failedReleases map[string]int
}

// runningStatement is a statement for which the machine emitted a Run, and the node on which it runs.
type runningStatement struct {
	ev        StatementReceived
	node      string
	started   time.Time
	cancelled bool
}

var nodeIDs = []string{"a", "b", "c"}

func newSimulation(r *rapid.T) *simulation {
	sim := &simulation{r: r, m: New(limits()), now: 100 * sec, nodes: map[string]*simulatedNode{}, lastStart: 1,
		running: map[uint64]*runningStatement{}, sticky: map[string]string{},
		states: map[string]State{}, unavailableSince: map[string]Micros{}, listedStarts: map[string]time.Time{},
		failedReleases: map[string]int{}}
	for _, id := range nodeIDs {
		sim.nodes[id] = &simulatedNode{up: true, started: time.Unix(sim.lastStart, 0), holds: map[string]bool{}}
		sim.listedStarts[id] = sim.nodes[id].started
	}
	return sim
}

// step applies one event to the machine and checks its actions and its state.
func (sim *simulation) step(ev Event) []Action {
	actions := sim.m.Step(sim.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			sim.checkRun(a)
		case Stick:
			if sim.sticky[a.ID] != "" {
				sim.r.Fatalf("%s is made sticky twice", a.ID)
			}
			sim.sticky[a.ID] = a.Node
		case Unstick:
			delete(sim.sticky, a.ID)
		case Cancel:
			if s := sim.running[a.Serial]; s == nil || s.ev.ID != a.ID || s.cancelled {
				sim.r.Fatalf("cancel of statement %d, which is not running", a.Serial)
			} else {
				s.cancelled = true
			}
		case Release:
			sim.releases = append(sim.releases, a)
		}
	}
	sim.checkTransitions()
	sim.checkReservations()
	sim.checkNodes()
	return actions
}

// checkRun fails unless a statement runs on the node that holds its session's state and the drain grace of that node has not
// expired.
func (sim *simulation) checkRun(a Run) {
	if n := sim.sticky[a.ID]; n != a.StickyTo {
		sim.r.Fatalf("session %s is sticky to %q, but its statement runs on %q", a.ID, n, a.StickyTo)
	}
	if at := sim.unavailableSince[a.StickyTo]; a.StickyTo != "" && at > 0 && sim.now >= at+sim.m.limits.DrainGrace {
		sim.r.Fatalf("%s: run on %s, whose drain or removal was listed %d us ago", a.ID, a.StickyTo, sim.now-at)
	}
}

// checkTransitions fails if a session has changed to a state that may not follow its previous one.
func (sim *simulation) checkTransitions() {
	for id := range sim.m.sessions {
		if _, known := sim.states[id]; !known {
			sim.states[id] = Free
		}
	}
	for id, last := range sim.states {
		now, _ := sim.m.State(id)
		if now != last && !slices.Contains(transitions[last], now) {
			sim.r.Fatalf("%s is %s after %s", id, now, last)
		}
		sim.states[id] = now
	}
}

// checkReservations checks that the counters of the limits agree with the sessions and do not exceed the limits, and that exactly
// the sessions with state are Sticky, unless their end has begun.
func (sim *simulation) checkReservations() {
	reserved, tenants := 0, map[string]int{}
	for id, s := range sim.m.sessions {
		if s.id != id {
			sim.r.Fatalf("session %s is stored under the ID %s", s.id, id)
		}
		if s.reserved {
			reserved++
			tenants[s.tenant]++
		}
		if (s.state == Sticky) != (!s.endingOrEnded() && s.hasState()) {
			sim.r.Fatalf("%s is %s, in transaction %v, tables %d", id, s.state, s.inTransaction, len(s.tables))
		}
		if s.endingOrEnded() {
			delete(sim.sticky, id)
		}
	}
	if reserved != sim.m.reserved || len(tenants) != len(sim.m.tenants) || reserved > sim.m.limits.MaxSessions {
		sim.r.Fatalf("%d sessions reserved, %d counted, tenants %v and %v", reserved, sim.m.reserved, tenants, sim.m.tenants)
	}
	for t, n := range tenants {
		if sim.m.tenants[t] != n || n > sim.m.limits.MaxPerTenant {
			sim.r.Fatalf("tenant %s has %d, counted %d", t, n, sim.m.tenants[t])
		}
	}
}

// checkNodes checks that the nodes and their attached sessions agree, that no unused node is kept and that the number of timers
// stays in proportion to that of the sessions.
func (sim *simulation) checkNodes() {
	attached := map[string]int{}
	for id, s := range sim.m.sessions {
		if s.nodeIndex < 0 {
			continue
		}
		attached[s.node]++
		if n := sim.m.nodes[s.node]; n == nil || s.nodeIndex >= len(n.sessions) || n.sessions[s.nodeIndex] != s {
			sim.r.Fatalf("%s is not at its nodeIndex on node %s", id, s.node)
		}
	}
	for id, n := range sim.m.nodes {
		if len(n.sessions) == 0 && !n.listed {
			sim.r.Fatalf("node %s is kept, but is not listed and has no sessions", id)
		}
		if len(n.sessions) != attached[id] {
			sim.r.Fatalf("node %s: %d sessions, %d attached", id, len(n.sessions), attached[id])
		}
	}
	if len(sim.m.timers.timers) > 4*len(sim.m.sessions)+8 {
		sim.r.Fatalf("%d timers for %d sessions", len(sim.m.timers.timers), len(sim.m.sessions))
	}
}

// updateNodeList sends the machine a node list that shows the nodes as they are.
func (sim *simulation) updateNodeList() {
	var l NodeListUpdated
	for _, id := range nodeIDs {
		n := sim.nodes[id]
		if !n.up {
			if sim.unavailableSince[id] == 0 {
				sim.unavailableSince[id] = sim.now
			}
			continue
		}
		draining := sim.unavailableSince[id] > 0 && sim.listedStarts[id].Equal(n.started)
		if !draining {
			sim.unavailableSince[id] = 0
		}
		sim.listedStarts[id] = n.started
		l.Nodes = append(l.Nodes, Node{ID: id, Draining: draining, Started: n.started})
	}
	sim.step(l)
}

// applyEffect applies a statement to the state that its node holds. A node that refuses a commit has rolled back.
func (sim *simulation) applyEffect(s *runningStatement, happened, refused bool) {
	holds, session := sim.nodes[s.node].holds, sim.m.sessions[s.ev.ID]
	last := session == nil || len(session.tables) == 0
	switch s.ev.Kind {
	case Begin, CreateState:
		if happened {
			holds[s.ev.ID] = true
		}
	case Commit, Rollback:
		if (happened || refused) && last {
			delete(holds, s.ev.ID)
		}
	case DropState:
		if happened && session != nil && !session.inTransaction && len(session.tables) == 1 {
			delete(holds, s.ev.ID)
		}
	}
}

// carryOut carries out a Release at its node. With mayFail one of four fails, until the session has had maxReleaseAttempts-2
// failures.
func (sim *simulation) carryOut(a Release, mayFail bool) {
	n := sim.nodes[a.Node]
	ok := n.up && (!mayFail || sim.failedReleases[a.ID] >= maxReleaseAttempts-2 || rapid.IntRange(0, 3).Draw(sim.r, "released at node") > 0)
	if !ok {
		sim.failedReleases[a.ID]++
	} else {
		delete(sim.failedReleases, a.ID)
		delete(n.holds, a.ID)
	}
	sim.step(Released{ID: a.ID, OK: ok})
}

// sendStatement gives the machine a random statement of a session and checks that it is answered exactly once.
func (sim *simulation) sendStatement(id string) {
	sim.serial++
	ev := StatementReceived{ID: id, Serial: sim.serial, Tenant: fmt.Sprint(len(id) % 2),
		Kind:     Kind(rapid.IntRange(0, 5).Draw(sim.r, "kind")),
		Name:     rapid.SampledFrom([]string{"t1", "t2", "t3", "t4"}).Draw(sim.r, "name"),
		ReadOnly: rapid.Bool().Draw(sim.r, "read-only"), OutlivesState: id < "s3"}
	ev.HasToken = sim.sticky[id] != ""
	answers := 0
	actions := sim.step(ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			if answers++; a.Serial != ev.Serial {
				sim.r.Fatalf("run of statement %d, received statement %d", a.Serial, ev.Serial)
			}
			s := &runningStatement{ev: ev, node: a.StickyTo}
			if s.node == "" {
				s.node = rapid.SampledFrom(nodeIDs).Draw(sim.r, "node")
			}
			s.started = sim.listedStarts[s.node]
			sim.running[ev.Serial] = s
		case Reject:
			answers++
		}
	}
	if answers != 1 {
		sim.r.Fatalf("%d answers to %+v: %v", answers, ev, actions)
	}
}

// endOldest ends the oldest running statement with a random outcome that its node's state allows.
func (sim *simulation) endOldest() {
	for _, serial := range slices.Sorted(maps.Keys(sim.running))[:min(1, len(sim.running))] {
		s := sim.running[serial]
		outcome := Outcome(rapid.IntRange(0, 3).Draw(sim.r, "outcome"))
		if s.ev.Serial != serial {
			sim.r.Fatal("the test's map of running statements is inconsistent")
		}
		node := sim.nodes[s.node]
		same := node.up && node.started.Equal(s.started)
		if !same && outcome == OK {
			outcome = NodeError
		}
		happened := outcome == OK || outcome == Unknown && rapid.Bool().Draw(sim.r, "happened")
		sim.applyEffect(s, happened && same, outcome == NodeError && same)
		delete(sim.running, serial)
		sim.step(StatementEnded{ID: s.ev.ID, Serial: serial, Node: s.node, Started: s.started, Outcome: outcome})
	}
}

// changeNode stops or starts a node, restarts it or starts its drain. The node list that shows the change may come later.
func (sim *simulation) changeNode() {
	id := rapid.SampledFrom(nodeIDs).Draw(sim.r, "node")
	n := sim.nodes[id]
	switch rapid.IntRange(0, 2).Draw(sim.r, "change") {
	case 0:
		n.up = !n.up
		sim.restart(n)
	case 1: // between two heartbeats, so that no list shows the node as removed
		sim.restart(n)
	case 2:
		if n.up && sim.unavailableSince[id] == 0 {
			sim.unavailableSince[id] = sim.now
			sim.updateNodeList()
		}
	}
	if rapid.Bool().Draw(sim.r, "listed") {
		sim.updateNodeList()
	}
}

// restart begins a new incarnation of a node, which holds no state.
func (sim *simulation) restart(n *simulatedNode) {
	sim.lastStart++
	n.started, n.holds = time.Unix(sim.lastStart, 0), map[string]bool{}
}

// endAll ends all running statements, closes all sessions and carries out all releases. Its 200 s exceed every timeout and the
// retention, so that the machine must have forgotten every session.
func (sim *simulation) endAll() {
	sim.updateNodeList()
	for _, serial := range slices.Sorted(maps.Keys(sim.running)) {
		s := sim.running[serial]
		delete(sim.running, serial)
		node := sim.nodes[s.node]
		outcome := OK
		if !node.up || !node.started.Equal(s.started) {
			outcome = NodeError
		}
		sim.applyEffect(s, outcome == OK, false)
		sim.step(StatementEnded{ID: s.ev.ID, Serial: serial, Node: s.node, Started: s.started, Outcome: outcome})
	}
	for i := range 12 {
		sim.step(ClientClosed{ID: fmt.Sprintf("s%d", i)})
	}
	for range 200 {
		releases := sim.releases
		sim.releases = nil
		for _, a := range releases {
			sim.carryOut(a, false)
		}
		sim.now += sec
		sim.step(TimerFired{})
	}
}

// For random events in random order: every statement is answered exactly once, a statement of a sticky session runs only on the
// node that holds the state, no statement starts on a node after its drain grace, the limits hold, and in the end no running
// node holds state and the machine has no sessions.
func TestSessionInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(r)
		sim.updateNodeList()
		for range rapid.IntRange(1, 80).Draw(r, "events") {
			sim.now += int64(rapid.IntRange(0, 1500).Draw(r, "ms")) * 1000
			id := fmt.Sprintf("s%d", rapid.IntRange(0, 11).Draw(r, "session"))
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0, 1, 2, 3:
				sim.sendStatement(id)
			case 4, 5, 6:
				sim.endOldest()
			case 7:
				sim.changeNode()
			case 8:
				sim.step(ClientClosed{ID: id})
			case 9:
				sim.step(TimerFired{})
			}
			for len(sim.releases) > 0 && rapid.Bool().Draw(r, "released") {
				first := sim.releases[0]
				sim.releases = sim.releases[1:]
				sim.carryOut(first, true)
			}
		}
		sim.endAll()
		if sim.m.reserved != 0 || len(sim.m.sessions) != 0 {
			r.Fatalf("%d sessions reserved, %d known in the end", sim.m.reserved, len(sim.m.sessions))
		}
		for id, n := range sim.nodes {
			if len(n.holds) > 0 && n.up {
				r.Fatalf("%s holds %v in the end", id, n.holds)
			}
		}
	})
}
