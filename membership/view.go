// Package membership decides which query nodes are in force, from the responses of a name service that
// may be late, lost, repeated, reordered or wrong. It is free of I/O, clocks and goroutines.
//
// A single response proves little: its number may be wrong, or its rows those of an older list. So the
// direction of a change decides what it takes. A change that withdraws work from a node (a drain, or a
// missing row) is applied at the first response. A change that gives a node work (a new row, another
// address) needs a second response, to another query, with the same row. A node that has drained or left,
// and has not started since, needs many in a row, for that is rare and an old list always looks like it. A
// lower number is accepted once enough responses in a row agree that the one in force is too high.
package membership

import (
	"slices"

	"embershunt/nodelist"
	"embershunt/policy"
)

// How many responses in a row it takes ...
const (
	joinResponses   = 2  // ... to give a node work
	returnResponses = 10 // ... to give it work again after it drained or left
	revertResponses = 5  // ... with a lower number to show that the number in force is wrong
)

// maxRemoved bounds the nodes that are remembered after they left.
const maxRemoved = 4096

// Response is a usable response of the name service.
type Response struct {
	Query uint64 // serial of the query; a duplicate response to one confirms nothing
	nodelist.Versioned
}

// Update is what a response has changed.
type Update struct {
	Changed     bool // the list in force
	Unconfirmed bool // another response is needed to decide
	Reverted    bool // the number in force was wrong, and a lower one has replaced it
}

// View is the list in force. It is not safe for concurrent use.
type View struct {
	number  int64
	nodes   []nodelist.Node // in force, in the order of the list
	indexes map[string]int  // of nodes, by ID, during Observe

	newestQuery  uint64          // the newest with a response under the number in force or a higher one
	lastRows     []nodelist.Node // rows of the last such response; nil: the next one is evaluated in any case
	lower        lowerNumbers
	unconfirmed  map[string]confirmation  // rows that would give a node work
	missing      map[string]absence       // nodes that a response left out; they drain until another confirms
	removed      map[string]nodelist.Node // nodes that have left the list, as they were
	removalOrder []string                 // their IDs
}

// lowerNumbers are the responses in a row with a number below the one in force.
type lowerNumbers struct {
	count  int
	number int64  // of the last of them
	query  uint64 // of the last of them
}

// confirmation counts the responses in a row with a row that gives a node work.
type confirmation struct {
	node      nodelist.Node
	query     uint64 // of the last of them
	responses int
	required  int
}

// absence is a response that left a node out.
type absence struct {
	query      uint64
	wasHealthy bool // before that response
}

// New returns a view with the list at the start.
func New(initial nodelist.Versioned) *View {
	return &View{number: initial.Number, nodes: slices.Clone(initial.Nodes),
		unconfirmed: map[string]confirmation{}, missing: map[string]absence{},
		removed: map[string]nodelist.Node{}}
}

// Number is the version number of the list in force.
func (v *View) Number() int64 { return v.number }

// Nodes is the list in force. The caller must not change it.
func (v *View) Nodes() []nodelist.Node { return v.nodes }

// Observe evaluates one response.
func (v *View) Observe(r Response) Update {
	if v.repeats(r) {
		v.newestQuery = max(v.newestQuery, r.Query)
		return Update{}
	}
	before := v.nodes
	v.nodes, v.indexes = slices.Clone(before), make(map[string]int, len(before))
	for i, n := range v.nodes {
		v.indexes[n.ID] = i
	}
	var u Update
	if r.Number < v.number {
		v.applyDrains(r)
		v.contradict(r)
		u.Reverted = v.revert(r)
	}
	if r.Number >= v.number {
		v.lower.count, v.newestQuery = 0, max(v.newestQuery, r.Query)
		v.number, v.lastRows = r.Number, r.Nodes
		v.apply(r)
	}
	v.indexes = nil
	u.Changed = !slices.Equal(before, v.nodes)
	u.Unconfirmed = len(v.missing) > 0 || v.lower.count > 0
	for _, c := range v.unconfirmed {
		u.Unconfirmed = u.Unconfirmed || c.required == joinResponses
	}
	return u
}

// repeats tells whether a response has the rows of the one before, with nothing left to confirm. Most do.
func (v *View) repeats(r Response) bool {
	settled := len(v.unconfirmed) == 0 && len(v.missing) == 0 && v.lower.count == 0
	return settled && r.Number == v.number && len(r.Skipped) == 0 &&
		v.lastRows != nil && slices.Equal(r.Nodes, v.lastRows)
}

// applyDrains applies the drains alone of a list with a lower number, for its rows may be right and the
// number in force wrong.
func (v *View) applyDrains(r Response) {
	for _, row := range r.Nodes {
		if row.State != policy.Healthy {
			v.drain(row.ID)
		}
	}
	v.applySkippedDrains(r)
}

// applySkippedDrains applies the drains of unusable rows.
func (v *View) applySkippedDrains(r Response) {
	for _, row := range r.Skipped {
		if row.Draining {
			v.drain(row.ID)
		}
	}
}

// contradict restarts the count of the rows that a newer response with a lower number does not have: its
// rows may be right and the number in force wrong.
func (v *View) contradict(r Response) {
	for id, c := range v.unconfirmed { // each by itself: the order does not matter
		if r.Query > c.query && !slices.Contains(r.Nodes, c.node) {
			delete(v.unconfirmed, id)
		}
	}
}

// revert counts responses with a lower number. It tells whether they have shown that the number in force
// is wrong, and replaces it then. A late response to an older query does not count.
func (v *View) revert(r Response) bool {
	switch {
	case r.Query <= v.newestQuery || v.lower.count > 0 && r.Query <= v.lower.query:
		return false
	case v.lower.count > 0 && r.Number >= v.lower.number:
		v.lower.count++
	default:
		v.lower.count = 1
	}
	v.lower.number, v.lower.query = r.Number, r.Query
	if v.lower.count < revertResponses {
		return false
	}
	v.number, v.newestQuery = r.Number, 0
	return true
}

// apply applies a list with the number in force or a higher one.
func (v *View) apply(r Response) {
	listed := map[string]bool{}
	for _, row := range r.Skipped {
		listed[row.ID] = true
		delete(v.missing, row.ID)
	}
	v.applySkippedDrains(r)
	for _, row := range r.Nodes {
		listed[row.ID] = true
		v.applyRow(r.Query, row)
	}
	if !listed[""] { // a row without an ID may be that of any node
		v.applyMissing(r.Query, listed)
	}
	for id := range v.unconfirmed {
		if !listed[id] {
			delete(v.unconfirmed, id)
		}
	}
	v.dropReplaced()
}

// applyRow applies one row.
func (v *View) applyRow(query uint64, row nodelist.Node) {
	i := v.index(row.ID)
	if i < 0 {
		if v.confirm(query, row) {
			v.indexes[row.ID] = len(v.nodes)
			v.nodes = append(v.nodes, row)
		}
		return
	}
	current := v.nodes[i]
	givesWork := row.State == policy.Healthy &&
		(current.State != policy.Healthy || row.Platform != current.Platform)
	switch {
	case !givesWork || v.confirm(query, row):
		delete(v.unconfirmed, row.ID)
		delete(v.missing, row.ID)
		v.nodes[i] = row
	case current.State == policy.Healthy: // its address has changed
		v.missing[row.ID] = absence{query, true}
		v.nodes[i].State = policy.Draining
		v.lastRows = nil
	}
}

// confirm counts a response with a row. It tells whether enough responses in a row, to different queries,
// had that row.
func (v *View) confirm(query uint64, row nodelist.Node) bool {
	c, seen := v.unconfirmed[row.ID]
	if !seen || c.node != row {
		c = confirmation{node: row, required: v.requiredResponses(row)}
	} else if c.query == query {
		return false
	}
	c.query = query
	if c.responses++; c.responses < c.required {
		v.unconfirmed[row.ID] = c
		return false
	}
	delete(v.unconfirmed, row.ID)
	delete(v.removed, row.ID)
	return true
}

// requiredResponses is how many responses it takes to give a node work.
func (v *View) requiredResponses(row nodelist.Node) int {
	old, withdrawn := v.removed[row.ID]
	if i := v.index(row.ID); i >= 0 && v.nodes[i].State != policy.Healthy {
		old, withdrawn = v.nodes[i], !v.missing[row.ID].wasHealthy
	}
	if withdrawn && !row.Started.After(old.Started) {
		return returnResponses
	}
	return joinResponses
}

// remove records that a node has left the list.
func (v *View) remove(n nodelist.Node) {
	delete(v.missing, n.ID)
	delete(v.unconfirmed, n.ID)
	v.removed[n.ID] = n
	if v.removalOrder = append(v.removalOrder, n.ID); len(v.removalOrder) > maxRemoved {
		delete(v.removed, v.removalOrder[0])
		v.removalOrder = v.removalOrder[1:]
	}
}

// applyMissing drains the nodes without a row, and removes those that responses to two queries left out.
func (v *View) applyMissing(query uint64, listed map[string]bool) {
	kept := v.nodes[:0]
	for _, n := range v.nodes {
		if !listed[n.ID] {
			first, again := v.missing[n.ID]
			if again && first.query != query {
				v.remove(n)
				continue
			}
			if !again {
				v.missing[n.ID] = absence{query, n.State == policy.Healthy}
			}
			n.State = policy.Draining
		}
		kept = append(kept, n)
	}
	v.nodes = kept
}

// dropReplaced removes nodes that drain at the address of another healthy node.
func (v *View) dropReplaced() {
	owner := map[string]string{}
	for _, n := range v.nodes {
		if n.State == policy.Healthy {
			owner[n.Platform] = n.ID
		}
	}
	v.nodes = slices.DeleteFunc(v.nodes, func(n nodelist.Node) bool {
		id, owned := owner[n.Platform]
		replaced := owned && id != n.ID
		if replaced {
			v.remove(n)
		}
		return replaced
	})
}

// index is the index of a node in nodes; -1 where it is not in force. It is valid during Observe, until the
// first node is removed.
func (v *View) index(id string) int {
	if i, ok := v.indexes[id]; ok {
		return i
	}
	return -1
}

// drain drains a node, and restarts the count of responses that would return it.
func (v *View) drain(id string) {
	delete(v.unconfirmed, id)
	if i := v.index(id); i >= 0 && v.nodes[i].State == policy.Healthy {
		v.nodes[i].State = policy.Draining
		v.lastRows = nil
	}
}
