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
	return Limits{All: 8, PerTenant: 5, PerNode: 4, Tables: 3, Idle: 10 * sec, Age: 60 * sec, DrainGrace: 2 * sec, RetrySpread: 4 * sec, Retention: 30 * sec}
}

// truth is the nodes as they are, whatever the module was told.
type truth struct {
	up      bool
	started time.Time
	holds   map[string]bool // sessions whose state is there
}

// world plays a module against nodes that hold state, with lists that may be late.
type world struct {
	m      *Module
	now    Micros
	nodes  map[string]*truth
	out    map[uint64]*sent // statements that run
	done   []Action
	pinned map[string]string // session to node, by the module's word
	told   map[string]Micros // when each node's drain or end was told
	starts map[string]time.Time
	// unheard counts the releases that did not come through: after some more the module leaves it to the node's own time-out.
	unheard map[string]int
	fail    func(format string, args ...any)
}

type sent struct {
	ev      StatementReceived
	only    string
	node    string
	started time.Time
	stopped bool
}

func (w *world) step(ev Event) []Action {
	acts := w.m.Step(w.now, ev)
	for _, a := range acts {
		switch a := a.(type) {
		case Run:
			if n := w.pinned[a.ID]; n != a.StickyTo {
				w.fail("session %s is on %q and runs on %q", a.ID, n, a.StickyTo)
			}
			if at := w.told[a.StickyTo]; a.StickyTo != "" && at > 0 && w.now >= at+w.m.limits.DrainGrace {
				w.fail("%s: run on %s, whose drain was told %d us ago", a.ID, a.StickyTo, w.now-at)
			}
		case Stick:
			if w.pinned[a.ID] != "" {
				w.fail("%s pinned twice", a.ID)
			}
			w.pinned[a.ID] = a.Node
		case Unstick:
			delete(w.pinned, a.ID)
		case Stop:
			if s := w.out[a.Serial]; s == nil || s.ev.ID != a.ID || s.stopped {
				w.fail("stop of statement %d, which does not run", a.Serial)
			} else {
				s.stopped = true
			}
		}
	}
	w.done = append(w.done, acts...)
	w.check()
	return acts
}

// check compares the module's books with each other.
func (w *world) check() {
	held, tenants, pins := 0, map[string]int{}, map[string]int{}
	for id, e := range w.m.all {
		if e.id != id {
			w.fail("%s is booked as %s", e.id, id)
		}
		if e.counted {
			held++
			tenants[e.tenant]++
		}
		if e.at >= 0 {
			pins[e.node]++
			if n := w.m.nodes[e.node]; n == nil || e.at >= len(n.pins) || n.pins[e.at] != e {
				w.fail("%s is not at its place on %s", id, e.node)
			}
		}
		if (e.state == Sticky) != (!e.over() && e.pinned()) {
			w.fail("%s is %s, tx %v, tables %d", id, e.state, e.tx, len(e.tables))
		}
		if e.over() == (w.pinned[id] != "" && e.state == Sticky) {
			if e.over() {
				delete(w.pinned, id)
			}
		}
	}
	if held != w.m.held || len(tenants) != len(w.m.tenants) || held > w.m.limits.All {
		w.fail("%d sessions held, %d booked, tenants %v and %v", held, w.m.held, tenants, w.m.tenants)
	}
	for t, n := range tenants {
		if w.m.tenants[t] != n || n > w.m.limits.PerTenant {
			w.fail("tenant %s has %d, booked %d", t, n, w.m.tenants[t])
		}
	}
	for id, n := range w.m.nodes {
		if len(n.pins) == 0 && !n.listed {
			w.fail("node %s is kept for nothing", id)
		}
		if len(n.pins) != pins[id] {
			w.fail("node %s: %d pins, %d sessions", id, len(n.pins), pins[id])
		}
	}
	if len(w.m.due.items) > 4*len(w.m.all)+8 {
		w.fail("%d looks for %d sessions", len(w.m.due.items), len(w.m.all))
	}
}

func (w *world) list() {
	var l Listed
	for _, id := range []string{"a", "b", "c"} {
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
	holds, e := w.nodes[s.node].holds, w.m.all[s.ev.ID]
	last := e == nil || len(e.tables) == 0
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
		if happened && e != nil && !e.tx && len(e.tables) == 1 {
			delete(holds, s.ev.ID)
		}
	}
}

// release carries a Release out at the node.
func (w *world) release(r *rapid.T, a Release) {
	n := w.nodes[a.Node]
	ok := n.up && (r == nil || w.unheard[a.ID] >= releaseMost-2 || rapid.IntRange(0, 3).Draw(r, "heard") > 0)
	if !ok {
		w.unheard[a.ID]++
	} else {
		delete(w.unheard, a.ID)
		delete(n.holds, a.ID)
	}
	w.step(Released{ID: a.ID, OK: ok})
}

// Whatever happens in whatever order: every statement is answered once, one with state runs where its state is and nowhere
// else, nothing new reaches a node after the grace of its drain, limits hold, and in the end no node holds anything.
func TestSessionsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &world{m: New(limits()), now: 100 * sec, nodes: map[string]*truth{}, out: map[uint64]*sent{}, pinned: map[string]string{},
			told: map[string]Micros{}, starts: map[string]time.Time{}, unheard: map[string]int{}, fail: r.Fatalf}
		start := int64(1)
		for _, id := range []string{"a", "b", "c"} {
			w.nodes[id] = &truth{up: true, started: time.Unix(start, 0), holds: map[string]bool{}}
			w.starts[id] = w.nodes[id].started
		}
		w.list()
		serial := uint64(0)
		var releases []Release
		answered := func(acts []Action, ev StatementReceived) {
			n := 0
			for _, a := range acts {
				switch a := a.(type) {
				case Run:
					if n++; a.Serial != ev.Serial {
						r.Fatalf("run of %d, asked was %d", a.Serial, ev.Serial)
					}
					s := &sent{ev: ev, only: a.StickyTo, node: a.StickyTo}
					if s.node == "" {
						s.node = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "placed")
					}
					s.started = w.starts[s.node]
					w.out[ev.Serial] = s
				case Reject:
					n++
				}
			}
			if n != 1 {
				r.Fatalf("%d answers to %+v: %v", n, ev, acts)
			}
		}
		for range rapid.IntRange(1, 80).Draw(r, "events") {
			w.now += int64(rapid.IntRange(0, 1500).Draw(r, "ms")) * 1000
			w.done = nil
			id := fmt.Sprintf("s%d", rapid.IntRange(0, 11).Draw(r, "session"))
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0, 1, 2, 3:
				serial++
				ev := StatementReceived{ID: id, Serial: serial, Tenant: fmt.Sprint(len(id) % 2), Kind: Kind(rapid.IntRange(0, 5).Draw(r, "kind")),
					Name: rapid.SampledFrom([]string{"t1", "t2", "t3", "t4"}).Draw(r, "name"), ReadOnly: rapid.Bool().Draw(r, "reads"), OutlivesState: id < "s3"}
				ev.HasToken = w.pinned[id] != ""
				answered(w.step(ev), ev)
			case 4, 5, 6:
				for _, n := range slices.Sorted(maps.Keys(w.out))[:min(1, len(w.out))] { // the oldest
					s := w.out[n]
					outcome := Outcome(rapid.IntRange(0, 3).Draw(r, "outcome"))
					if s.ev.Serial != n {
						r.Fatal("books of the test")
					}
					node := w.nodes[s.node]
					same := node.up && node.started.Equal(s.started)
					if !same && outcome == OK {
						outcome = NodeError
					}
					happened := outcome == OK || outcome == Unknown && rapid.Bool().Draw(r, "happened")
					w.effect(s, happened && same, outcome == NodeError && same)
					delete(w.out, n)
					w.step(StatementEnded{ID: s.ev.ID, Serial: n, Node: s.node, Started: s.started, Outcome: outcome})
				}
			case 7:
				node := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "node")
				n := w.nodes[node]
				switch rapid.IntRange(0, 2).Draw(r, "fate") {
				case 0:
					n.up = !n.up
					start++
					n.started, n.holds = time.Unix(start, 0), map[string]bool{}
				case 1: // within a heartbeat
					start++
					n.started, n.holds = time.Unix(start, 0), map[string]bool{}
				case 2:
					if n.up && w.told[node] == 0 {
						w.told[node] = w.now
						w.list()
					}
				}
				if rapid.Bool().Draw(r, "listed") {
					w.list()
				}
			case 8:
				w.step(Closed{ID: id})
			case 9:
				w.step(TimerFired{})
			}
			for _, a := range w.done {
				if rel, ok := a.(Release); ok {
					releases = append(releases, rel)
				}
			}
			for len(releases) > 0 && rapid.Bool().Draw(r, "released") {
				rel := releases[0]
				releases = releases[1:]
				w.done = nil
				w.release(r, rel)
				for _, a := range w.done {
					if again, ok := a.(Release); ok {
						releases = append(releases, again)
					}
				}
			}
		}
		// All end: what is out ends, clients close, nodes hear.
		w.list()
		for _, n := range slices.Sorted(maps.Keys(w.out)) {
			s := w.out[n]
			delete(w.out, n)
			node := w.nodes[s.node]
			outcome := OK
			if !node.up || !node.started.Equal(s.started) {
				outcome = NodeError
			}
			w.effect(s, outcome == OK, false)
			w.done = nil
			w.step(StatementEnded{ID: s.ev.ID, Serial: n, Node: s.node, Started: s.started, Outcome: outcome})
			for _, a := range w.done {
				if rel, ok := a.(Release); ok {
					releases = append(releases, rel)
				}
			}
		}
		w.done = nil
		for i := range 12 {
			w.step(Closed{ID: fmt.Sprintf("s%d", i)})
		}
		for range 200 {
			acts := append(w.done, Action(nil))
			w.done = nil
			for _, rel := range releases {
				w.release(nil, rel)
			}
			releases = nil
			for _, a := range acts {
				if rel, ok := a.(Release); ok {
					w.release(nil, rel)
				}
			}
			w.now += sec
			w.step(TimerFired{})
		}
		if w.m.held != 0 || len(w.m.all) != 0 {
			r.Fatalf("%d sessions held, %d known in the end", w.m.held, len(w.m.all))
		}
		for id, n := range w.nodes {
			if len(n.holds) > 0 && n.up {
				r.Fatalf("%s holds %v in the end", id, n.holds)
			}
		}
	})
}
