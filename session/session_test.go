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
	return Limits{MaxSessions: 8, MaxPerTenant: 5, MaxPerNode: 4, MaxTables: 3, IdleTimeout: 10 * sec, MaxAge: 60 * sec, DrainGrace: 2 * sec, RetrySpread: 4 * sec, Retention: 30 * sec}
}

// transitions are the states that may follow each state in one step, as the comment of State has them; an end whose node has
// nothing to release passes through Ending within the step.
var transitions = map[State][]State{
	Free:    {Sticky, Ending, Lost, Expired},
	Sticky:  {Ending, Lost, Expired, Free},
	Ending:  {Lost, Expired},
	Lost:    {Free},
	Expired: {Free},
}

// truth is a node as it is, whatever the machine was told.
type truth struct {
	up      bool
	started time.Time
	holds   map[string]bool // sessions whose state is there
}

// world steps a machine against nodes that hold state, with lists that may be late.
type world struct {
	r        *rapid.T
	m        *Machine
	now      Micros
	nodes    map[string]*truth
	start    int64 // of the latest incarnation of a node, in seconds
	serial   uint64
	running  map[uint64]*sent
	releases []Release         // not carried out yet
	sticky   map[string]string // session to node, by the machine's actions
	states   map[string]State  // after the last step
	told     map[string]Micros // when the drain or removal of each node was listed
	starts   map[string]time.Time
	// failedReleases counts the releases that did not come through, by session: after some more the machine leaves it to the
	// node's own timeout.
	failedReleases map[string]int
}

// sent is a statement that runs.
type sent struct {
	ev        StatementReceived
	node      string
	started   time.Time
	cancelled bool
}

var nodeIDs = []string{"a", "b", "c"}

func newWorld(r *rapid.T) *world {
	w := &world{r: r, m: New(limits()), now: 100 * sec, nodes: map[string]*truth{}, start: 1, running: map[uint64]*sent{}, sticky: map[string]string{},
		states: map[string]State{}, told: map[string]Micros{}, starts: map[string]time.Time{}, failedReleases: map[string]int{}}
	for _, id := range nodeIDs {
		w.nodes[id] = &truth{up: true, started: time.Unix(w.start, 0), holds: map[string]bool{}}
		w.starts[id] = w.nodes[id].started
	}
	return w
}

// step steps the machine and checks its actions and its state.
func (w *world) step(ev Event) []Action {
	actions := w.m.Step(w.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			w.checkRun(a)
		case Stick:
			if w.sticky[a.ID] != "" {
				w.r.Fatalf("%s is made sticky twice", a.ID)
			}
			w.sticky[a.ID] = a.Node
		case Unstick:
			delete(w.sticky, a.ID)
		case Cancel:
			if s := w.running[a.Serial]; s == nil || s.ev.ID != a.ID || s.cancelled {
				w.r.Fatalf("cancel of statement %d, which does not run", a.Serial)
			} else {
				s.cancelled = true
			}
		case Release:
			w.releases = append(w.releases, a)
		}
	}
	w.checkTransitions()
	w.checkReservations()
	w.checkNodes()
	return actions
}

// checkRun fails unless a statement runs where its session's state is, on a node whose drain leaves it the time.
func (w *world) checkRun(a Run) {
	if n := w.sticky[a.ID]; n != a.StickyTo {
		w.r.Fatalf("session %s is on %q and runs on %q", a.ID, n, a.StickyTo)
	}
	if at := w.told[a.StickyTo]; a.StickyTo != "" && at > 0 && w.now >= at+w.m.limits.DrainGrace {
		w.r.Fatalf("%s: run on %s, whose drain was told %d us ago", a.ID, a.StickyTo, w.now-at)
	}
}

// checkTransitions fails unless every session is in a state that may follow its last one.
func (w *world) checkTransitions() {
	for id := range w.m.sessions {
		if _, known := w.states[id]; !known {
			w.states[id] = Free
		}
	}
	for id, last := range w.states {
		now, _ := w.m.State(id)
		if now != last && !slices.Contains(transitions[last], now) {
			w.r.Fatalf("%s is %s after %s", id, now, last)
		}
		w.states[id] = now
	}
}

// checkReservations compares sessions, tenants and limits with each other.
func (w *world) checkReservations() {
	reserved, tenants := 0, map[string]int{}
	for id, s := range w.m.sessions {
		if s.id != id {
			w.r.Fatalf("%s is known as %s", s.id, id)
		}
		if s.reserved {
			reserved++
			tenants[s.tenant]++
		}
		if (s.state == Sticky) != (!s.ended() && s.hasState()) {
			w.r.Fatalf("%s is %s, tx %v, tables %d", id, s.state, s.inTransaction, len(s.tables))
		}
		if s.ended() {
			delete(w.sticky, id)
		}
	}
	if reserved != w.m.reserved || len(tenants) != len(w.m.tenants) || reserved > w.m.limits.MaxSessions {
		w.r.Fatalf("%d sessions reserved, %d counted, tenants %v and %v", reserved, w.m.reserved, tenants, w.m.tenants)
	}
	for t, n := range tenants {
		if w.m.tenants[t] != n || n > w.m.limits.MaxPerTenant {
			w.r.Fatalf("tenant %s has %d, counted %d", t, n, w.m.tenants[t])
		}
	}
}

// checkNodes compares nodes, sessions and timers with each other.
func (w *world) checkNodes() {
	attached := map[string]int{}
	for id, s := range w.m.sessions {
		if s.nodeIndex < 0 {
			continue
		}
		attached[s.node]++
		if n := w.m.nodes[s.node]; n == nil || s.nodeIndex >= len(n.sessions) || n.sessions[s.nodeIndex] != s {
			w.r.Fatalf("%s is not at its place on %s", id, s.node)
		}
	}
	for id, n := range w.m.nodes {
		if len(n.sessions) == 0 && !n.listed {
			w.r.Fatalf("node %s is kept for nothing", id)
		}
		if len(n.sessions) != attached[id] {
			w.r.Fatalf("node %s: %d sessions, %d attached", id, len(n.sessions), attached[id])
		}
	}
	if len(w.m.timers.timers) > 4*len(w.m.sessions)+8 {
		w.r.Fatalf("%d timers for %d sessions", len(w.m.timers.timers), len(w.m.sessions))
	}
}

// list tells the machine of the nodes.
func (w *world) list() {
	var l NodeListUpdated
	for _, id := range nodeIDs {
		n := w.nodes[id]
		if !n.up {
			if w.told[id] == 0 {
				w.told[id] = w.now
			}
			continue
		}
		draining := w.told[id] > 0 && w.starts[id].Equal(n.started)
		if !draining {
			w.told[id] = 0
		}
		w.starts[id] = n.started
		l.Nodes = append(l.Nodes, Node{ID: id, Draining: draining, Started: n.started})
	}
	w.step(l)
}

// effect is what a statement does to its node's state: a node that refuses a commit has rolled back.
func (w *world) effect(s *sent, happened, refused bool) {
	holds, session := w.nodes[s.node].holds, w.m.sessions[s.ev.ID]
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

// release carries a Release out at the node; one of four fails, where failures are drawn.
func (w *world) release(a Release, mayFail bool) {
	n := w.nodes[a.Node]
	ok := n.up && (!mayFail || w.failedReleases[a.ID] >= maxReleaseAttempts-2 || rapid.IntRange(0, 3).Draw(w.r, "heard") > 0)
	if !ok {
		w.failedReleases[a.ID]++
	} else {
		delete(w.failedReleases, a.ID)
		delete(n.holds, a.ID)
	}
	w.step(Released{ID: a.ID, OK: ok})
}

// receive has a client send a statement of a session.
func (w *world) receive(id string) {
	w.serial++
	ev := StatementReceived{ID: id, Serial: w.serial, Tenant: fmt.Sprint(len(id) % 2), Kind: Kind(rapid.IntRange(0, 5).Draw(w.r, "kind")),
		Name: rapid.SampledFrom([]string{"t1", "t2", "t3", "t4"}).Draw(w.r, "name"), ReadOnly: rapid.Bool().Draw(w.r, "reads"), OutlivesState: id < "s3"}
	ev.HasToken = w.sticky[id] != ""
	answers := 0
	actions := w.step(ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			if answers++; a.Serial != ev.Serial {
				w.r.Fatalf("run of %d, received was %d", a.Serial, ev.Serial)
			}
			s := &sent{ev: ev, node: a.StickyTo}
			if s.node == "" {
				s.node = rapid.SampledFrom(nodeIDs).Draw(w.r, "placed")
			}
			s.started = w.starts[s.node]
			w.running[ev.Serial] = s
		case Reject:
			answers++
		}
	}
	if answers != 1 {
		w.r.Fatalf("%d answers to %+v: %v", answers, ev, actions)
	}
}

// endOldest ends the oldest statement that runs, in any way that its node allows.
func (w *world) endOldest() {
	for _, serial := range slices.Sorted(maps.Keys(w.running))[:min(1, len(w.running))] {
		s := w.running[serial]
		outcome := Outcome(rapid.IntRange(0, 3).Draw(w.r, "outcome"))
		if s.ev.Serial != serial {
			w.r.Fatal("running statements of the test")
		}
		node := w.nodes[s.node]
		same := node.up && node.started.Equal(s.started)
		if !same && outcome == OK {
			outcome = NodeError
		}
		happened := outcome == OK || outcome == Unknown && rapid.Bool().Draw(w.r, "happened")
		w.effect(s, happened && same, outcome == NodeError && same)
		delete(w.running, serial)
		w.step(StatementEnded{ID: s.ev.ID, Serial: serial, Node: s.node, Started: s.started, Outcome: outcome})
	}
}

// changeNode stops or starts a node, restarts it or lets it drain; the list of it may be late.
func (w *world) changeNode() {
	id := rapid.SampledFrom(nodeIDs).Draw(w.r, "node")
	n := w.nodes[id]
	switch rapid.IntRange(0, 2).Draw(w.r, "fate") {
	case 0:
		n.up = !n.up
		w.restart(n)
	case 1: // within a heartbeat
		w.restart(n)
	case 2:
		if n.up && w.told[id] == 0 {
			w.told[id] = w.now
			w.list()
		}
	}
	if rapid.Bool().Draw(w.r, "listed") {
		w.list()
	}
}

// restart begins a new incarnation of a node, without state.
func (w *world) restart(n *truth) {
	w.start++
	n.started, n.holds = time.Unix(w.start, 0), map[string]bool{}
}

// endAll ends what runs, closes all clients and carries all releases out, until nothing can be left.
func (w *world) endAll() {
	w.list()
	for _, serial := range slices.Sorted(maps.Keys(w.running)) {
		s := w.running[serial]
		delete(w.running, serial)
		node := w.nodes[s.node]
		outcome := OK
		if !node.up || !node.started.Equal(s.started) {
			outcome = NodeError
		}
		w.effect(s, outcome == OK, false)
		w.step(StatementEnded{ID: s.ev.ID, Serial: serial, Node: s.node, Started: s.started, Outcome: outcome})
	}
	for i := range 12 {
		w.step(ClientClosed{ID: fmt.Sprintf("s%d", i)})
	}
	for range 200 {
		releases := w.releases
		w.releases = nil
		for _, a := range releases {
			w.release(a, false)
		}
		w.now += sec
		w.step(TimerFired{})
	}
}

// Whatever happens in whatever order: every statement is answered once, one with state runs where its state is and nowhere
// else, nothing new reaches a node after the grace of its drain, limits hold, and in the end no node holds anything.
func TestSessionsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r)
		w.list()
		for range rapid.IntRange(1, 80).Draw(r, "events") {
			w.now += int64(rapid.IntRange(0, 1500).Draw(r, "ms")) * 1000
			id := fmt.Sprintf("s%d", rapid.IntRange(0, 11).Draw(r, "session"))
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0, 1, 2, 3:
				w.receive(id)
			case 4, 5, 6:
				w.endOldest()
			case 7:
				w.changeNode()
			case 8:
				w.step(ClientClosed{ID: id})
			case 9:
				w.step(TimerFired{})
			}
			for len(w.releases) > 0 && rapid.Bool().Draw(r, "released") {
				first := w.releases[0]
				w.releases = w.releases[1:]
				w.release(first, true)
			}
		}
		w.endAll()
		if w.m.reserved != 0 || len(w.m.sessions) != 0 {
			r.Fatalf("%d sessions reserved, %d known in the end", w.m.reserved, len(w.m.sessions))
		}
		for id, n := range w.nodes {
			if len(n.holds) > 0 && n.up {
				r.Fatalf("%s holds %v in the end", id, n.holds)
			}
		}
	})
}
