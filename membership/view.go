// Package membership decides which query nodes are in force, from the answers of a name service that may
// be late, lost, repeated, out of order or wrong. It is free of I/O, clocks and goroutines.
//
// A single answer never proves much: its number may be wrong, or its rows those of an older list. So
// the direction of a change decides what it takes. What takes work away from a node (a drain, or a row
// that is missing) is heeded at the first answer that says so. What gives a node work (a new row,
// another address) needs a second answer, to another question, that says the same; a node that was
// told to drain or to be gone, and has not started since, needs many in a row, for that hardly ever
// happens and an old list says it every time. A number that goes back is believed once enough answers
// in a row agree that the one in force is too high.
package membership

import (
	"slices"

	"embershunt/nodelist"
	"embershunt/policy"
)

// How many answers in a row it takes ...
const (
	joinAnswers   = 2  // ... to give a node work
	returnAnswers = 10 // ... to give it work again after it was told to drain or to be gone
	lowerMost     = 5  // ... under a lower number to show that the number in force is wrong
)

// goneMost bounds the nodes that are remembered as gone.
const goneMost = 4096

// Answer is a usable answer of the name service.
type Answer struct {
	Question uint64 // the question it answers; an answer that comes twice confirms nothing
	nodelist.Numbered
}

// Update tells what an answer has changed.
type Update struct {
	Changed  bool // the list in force
	Unsure   bool // another answer is needed to decide
	Reverted bool // the number in force was wrong: it has gone back
}

// View is the list in force. It is not safe for concurrent use.
type View struct {
	number   int64
	nodes    []nodelist.Node // in force, in the order of the list
	places   map[string]int  // of nodes, by name, while an answer is taken into account
	applied  []nodelist.Node // rows of the last answer under the number in force
	awaiting map[string]confirmation
	missing  map[string]absence       // nodes that an answer left out; they drain until another one agrees
	gone     map[string]nodelist.Node // nodes that have left the list, as they were
	left     []string                 // their names, in the order of their leaving

	heard      uint64 // newest question that was answered under the number in force, or a higher one
	lower      int    // answers in a row with a number below the one in force
	lowerSeen  int64  // number of the last of them
	lowerAsked uint64 // its question
}

// confirmation is a row that gives a node work and has not been seen often enough.
type confirmation struct {
	node     nodelist.Node
	question uint64 // of the last answer that held it
	answers  int
	needed   int
}

// absence is an answer that left a node out.
type absence struct {
	question   uint64
	wasHealthy bool // it had not been told to drain before
}

// New returns a view with the list that is known at the start.
func New(known nodelist.Numbered) *View {
	return &View{number: known.Number, nodes: slices.Clone(known.Nodes), awaiting: map[string]confirmation{},
		missing: map[string]absence{}, gone: map[string]nodelist.Node{}}
}

// Number is that of the list in force.
func (v *View) Number() int64 { return v.number }

// Nodes is the list in force. The caller must not change it.
func (v *View) Nodes() []nodelist.Node { return v.nodes }

// Observe takes one answer into account.
func (v *View) Observe(a Answer) Update {
	if v.repeats(a) {
		v.heard = max(v.heard, a.Question)
		return Update{}
	}
	before := v.nodes
	v.nodes, v.places = slices.Clone(before), make(map[string]int, len(before))
	for i, n := range v.nodes {
		v.places[n.ID] = i
	}
	var u Update
	if a.Number < v.number {
		v.heedDrains(a)
		u.Reverted = v.goesBack(a)
	}
	if a.Number >= v.number {
		v.lower, v.heard = 0, max(v.heard, a.Question)
		v.number, v.applied = a.Number, a.Nodes
		v.apply(a)
	}
	v.places = nil
	u.Changed = !slices.Equal(before, v.nodes)
	u.Unsure = len(v.missing) > 0 || v.lower > 0
	for _, c := range v.awaiting {
		u.Unsure = u.Unsure || c.needed == joinAnswers
	}
	return u
}

// repeats tells that an answer holds what the one before it did, and that nothing is open: most answers.
func (v *View) repeats(a Answer) bool {
	settled := len(v.awaiting) == 0 && len(v.missing) == 0 && v.lower == 0
	return settled && a.Number == v.number && len(a.Skipped) == 0 &&
		v.applied != nil && slices.Equal(a.Nodes, v.applied)
}

// heedDrains takes the drains that a list under a lower number tells; whether the number or the rows
// are wrong is open.
func (v *View) heedDrains(a Answer) {
	for _, row := range a.Nodes {
		if row.State != policy.Healthy {
			v.drain(row.ID)
		}
	}
	v.heedSkipped(a)
}

func (v *View) heedSkipped(a Answer) {
	for _, row := range a.Skipped {
		if row.Draining {
			v.drain(row.ID)
		}
	}
}

// goesBack counts answers under a lower number; true once they have shown that the number in force is
// wrong, which goes back then.
func (v *View) goesBack(a Answer) bool {
	switch {
	case a.Question <= v.heard || v.lower > 0 && a.Question <= v.lowerAsked:
		return false
	case v.lower > 0 && a.Number >= v.lowerSeen:
		v.lower++
	default:
		v.lower = 1
	}
	v.lowerSeen, v.lowerAsked = a.Number, a.Question
	if v.lower < lowerMost {
		return false
	}
	v.number, v.heard = a.Number, 0
	return true
}

// apply takes a list under the number in force, or a newer one.
func (v *View) apply(a Answer) {
	listed := map[string]bool{}
	for _, row := range a.Skipped {
		listed[row.ID] = true
		delete(v.missing, row.ID)
	}
	v.heedSkipped(a)
	for _, row := range a.Nodes {
		listed[row.ID] = true
		v.applyRow(a.Question, row)
	}
	if !listed[""] { // a row without a name may be that of any node
		v.applyMissing(a.Question, listed)
	}
	for id := range v.awaiting {
		if !listed[id] {
			delete(v.awaiting, id)
		}
	}
	v.dropShadowed()
}

// applyRow takes one row.
func (v *View) applyRow(question uint64, row nodelist.Node) {
	at := v.index(row.ID)
	if at < 0 {
		if v.confirmed(question, row) {
			v.places[row.ID] = len(v.nodes)
			v.nodes = append(v.nodes, row)
		}
		return
	}
	current := v.nodes[at]
	more := row.State == policy.Healthy && (current.State != policy.Healthy || row.Platform != current.Platform)
	switch {
	case !more || v.confirmed(question, row):
		delete(v.awaiting, row.ID)
		delete(v.missing, row.ID)
		v.nodes[at] = row
	case current.State == policy.Healthy: // it is not where it was
		v.missing[row.ID] = absence{question, true}
		v.nodes[at].State = policy.Draining
		v.applied = nil // the next answer under the number in force is looked at whole
	}
}

// confirmed tells that enough answers in a row, to different questions, have held a row; it counts
// this one.
func (v *View) confirmed(question uint64, row nodelist.Node) bool {
	c, seen := v.awaiting[row.ID]
	if !seen || c.node != row {
		c = confirmation{node: row, needed: v.needed(row)}
	} else if c.question == question {
		return false
	}
	c.question = question
	if c.answers++; c.answers < c.needed {
		v.awaiting[row.ID] = c
		return false
	}
	delete(v.awaiting, row.ID)
	delete(v.gone, row.ID)
	return true
}

// needed is how many answers it takes to give a node work.
func (v *View) needed(row nodelist.Node) int {
	old, told := v.gone[row.ID]
	if at := v.index(row.ID); at >= 0 && v.nodes[at].State != policy.Healthy {
		old, told = v.nodes[at], !v.missing[row.ID].wasHealthy
	}
	if told && !row.Started.After(old.Started) {
		return returnAnswers
	}
	return joinAnswers
}

// remove notes that a node has left the list.
func (v *View) remove(n nodelist.Node) {
	delete(v.missing, n.ID)
	delete(v.awaiting, n.ID)
	v.gone[n.ID] = n
	if v.left = append(v.left, n.ID); len(v.left) > goneMost {
		delete(v.gone, v.left[0])
		v.left = v.left[1:]
	}
}

// applyMissing has nodes without a row drain, and removes those that two answers left out.
func (v *View) applyMissing(question uint64, listed map[string]bool) {
	kept := v.nodes[:0]
	for _, n := range v.nodes {
		if !listed[n.ID] {
			first, again := v.missing[n.ID]
			if again && first.question != question {
				v.remove(n)
				continue
			}
			if !again {
				v.missing[n.ID] = absence{question, n.State == policy.Healthy}
			}
			n.State = policy.Draining
		}
		kept = append(kept, n)
	}
	v.nodes = kept
}

// dropShadowed removes nodes that drain at an address that another one has taken.
func (v *View) dropShadowed() {
	owner := map[string]string{}
	for _, n := range v.nodes {
		if n.State == policy.Healthy {
			owner[n.Platform] = n.ID
		}
	}
	v.nodes = slices.DeleteFunc(v.nodes, func(n nodelist.Node) bool {
		by, taken := owner[n.Platform]
		if taken && by != n.ID {
			v.remove(n)
		}
		return taken && by != n.ID
	})
}

// index is the place of a node; -1 where it is not in force. It is for the time before nodes are removed.
func (v *View) index(id string) int {
	if at, ok := v.places[id]; ok {
		return at
	}
	return -1
}

// drain has a node drain; answers that it returns are counted anew.
func (v *View) drain(id string) {
	delete(v.awaiting, id)
	if at := v.index(id); at >= 0 && v.nodes[at].State == policy.Healthy {
		v.nodes[at].State = policy.Draining
		v.applied = nil // the next answer under the number in force is looked at whole
	}
}
