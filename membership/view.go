// Package membership decides which node list is in force, from the responses of a name service. Responses
// may be late, lost, duplicated, reordered or wrong. The package does no I/O and has no clock and no
// goroutines.
//
// A single response proves little: its version number may be wrong, or its rows may be those of an older
// list. The number of responses that a change needs therefore depends on its direction:
//   - A change that withdraws work from a node (a drain, or a missing row) is applied at the first response.
//   - A change that gives a node work (a new row, or another address) needs a second response, to another
//     query, with the same row.
//   - The return of a node that has drained or left, and has not started since, needs returnResponses in a
//     row over staleListTime: such returns are rare, and every outdated list looks like one. So does any
//     other work for a node under a number below that of the newest list that told of the node.
//   - A lower version number is accepted after revertResponses in a row with a number below the one in force.
//     Until staleListTime has passed, the nodes that its lists leave out drain, but are not removed.
package membership

import (
	"slices"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Response is a valid response of the name service.
type Response struct {
	Query uint64        // serial of the query; a second response to the same query confirms nothing
	At    policy.Micros // when it arrived, on a clock that never goes back
	nodelist.VersionedList
}

// Update reports the effect of a response.
type Update struct {
	Changed bool // the nodes in force have changed
	// Unconfirmed is set while a change waits for another response. Returns of nodes alone do not set it.
	Unconfirmed bool
	Reverted    bool // a lower version number has replaced the one in force, which was wrong
}

// View holds the list in force and the changes that wait for confirmation. It is not safe for concurrent
// use.
type View struct {
	number    int64              // version number of the list in force
	highest   int64              // highest version number that was in force
	nodes     []nodelist.Node    // in force; new nodes are appended
	indexes   map[string]int     // indexes into nodes, by ID; set during Observe only
	histories map[string]history // of the nodes in force, by ID

	newestQuery  uint64          // newest query whose response had the number in force or a higher one
	lastRows     []nodelist.Node // rows of the last such response; nil: evaluate the next one in any case
	lower        lowerNumbers
	unconfirmed  map[string]confirmation // rows that wait for confirmation, by node ID
	missing      map[string]absence      // nodes that drain until it is confirmed that they left or moved
	removed      map[string]unixMicros   // newest starts of nodes that have left the list; at most maxRemoved
	removalOrder []string                // IDs in removed, oldest first
}

// lowerNumbers counts the responses in a row with a version number below the one in force.
type lowerNumbers struct {
	count  int
	number int64  // version number of the last counted response
	query  uint64 // query of the last counted response
}

// New returns a view with an initial list in force.
func New(initial nodelist.VersionedList) *View {
	v := &View{number: initial.Number, highest: initial.Number, nodes: slices.Clone(initial.Nodes),
		unconfirmed: map[string]confirmation{}, missing: map[string]absence{},
		removed: map[string]unixMicros{}, histories: make(map[string]history, len(initial.Nodes))}
	for _, n := range initial.Nodes {
		v.histories[n.ID] = history{number: initial.Number, started: startOf(n)}
	}
	return v
}

// Number returns the version number of the list in force.
func (v *View) Number() int64 { return v.number }

// Nodes returns the list in force. The caller must not change it.
func (v *View) Nodes() []nodelist.Node { return v.nodes }

// Observe evaluates one response, and changes the list in force if enough responses agree.
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
		v.number, v.highest, v.lastRows = r.Number, max(v.highest, r.Number), r.Nodes
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

// repeats reports whether a response repeats the number and the rows of the previous one while no change
// waits for confirmation. Observe skips these responses, since most responses are such repeats.
func (v *View) repeats(r Response) bool {
	settled := len(v.unconfirmed) == 0 && len(v.missing) == 0 && v.lower.count == 0
	return settled && r.Number == v.number && len(r.Skipped) == 0 &&
		v.lastRows != nil && slices.Equal(r.Nodes, v.lastRows)
}

// applyDrains applies only the drains of a list with a lower number: its rows may be right, and the number
// in force wrong.
func (v *View) applyDrains(r Response) {
	for _, row := range r.Nodes {
		if row.State != policy.Healthy && !v.isOutdatedDrain(r.Number, row) {
			v.drain(row.ID)
		}
	}
	v.applySkippedDrains(r)
}

// applySkippedDrains drains the nodes whose rows are unusable but mark them as draining.
func (v *View) applySkippedDrains(r Response) {
	for _, row := range r.Skipped {
		if row.Draining {
			v.drain(row.ID)
		}
	}
}

// revert counts responses in a row with a lower number, and reports whether it has replaced the number in
// force by theirs. A late response to an older query does not count, since an outdated list has a lower
// number. A number below that of the response counted last restarts the count.
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

// apply applies a list whose number is now in force.
func (v *View) apply(r Response) {
	listed := map[string]bool{}
	for _, row := range r.Skipped {
		listed[row.ID] = true
		delete(v.missing, row.ID)
	}
	v.applySkippedDrains(r)
	for _, row := range r.Nodes {
		listed[row.ID] = true
		v.applyRow(r, row)
	}
	if !listed[""] { // an unusable row without an ID may belong to any node
		v.applyMissing(r, listed)
	}
	for id := range v.unconfirmed {
		if !listed[id] {
			delete(v.unconfirmed, id)
		}
	}
	v.dropReplaced()
}

// applyRow applies one row of a response. Two kinds of rows are applied only once confirm has counted enough
// responses with exactly that row: the row of a node that is not in v.nodes, and a row by which a known node
// would receive work that it does not receive now (a healthy row of a node that is not healthy, or that has
// another address). Any other row is applied at once. A healthy node whose row has another address drains
// until the row is confirmed.
func (v *View) applyRow(r Response, row nodelist.Node) {
	i := v.index(row.ID)
	if i < 0 {
		if v.confirm(r, row) {
			v.indexes[row.ID] = len(v.nodes)
			v.nodes = append(v.nodes, row)
			v.histories[row.ID] = history{number: r.Number, started: startOf(row)}
		}
		return
	}
	if v.isOutdatedDrain(r.Number, row) {
		return
	}
	current, h := v.nodes[i], v.histories[row.ID]
	givesWork := row.State == policy.Healthy &&
		(current.State != policy.Healthy || row.PlatformAddress != current.PlatformAddress)
	switch {
	case !givesWork:
		h.number, h.started = max(h.number, r.Number), max(h.started, startOf(row))
		v.setRow(i, row, h)
	case v.confirm(r, row):
		v.setRow(i, row, history{number: r.Number, started: startOf(row)})
	case current.State == policy.Healthy: // its address has changed
		v.missing[row.ID] = absence{r.Query, r.At, true}
		v.recordAbsence(row.ID, r.Number)
		v.nodes[i].State = policy.Draining
		v.lastRows = nil
	}
}

// setRow replaces the row of a node in force, and its history.
func (v *View) setRow(i int, row nodelist.Node, h history) {
	delete(v.unconfirmed, row.ID)
	delete(v.missing, row.ID)
	v.nodes[i], v.histories[row.ID] = row, h
}

// applyMissing drains the nodes without a row, and removes those that the responses to two queries left out,
// over staleListTime if the list may be outdated.
func (v *View) applyMissing(r Response, listed map[string]bool) {
	var overTime policy.Micros
	if r.Number < v.highest {
		overTime = staleListTime
	}
	kept := v.nodes[:0]
	for _, n := range v.nodes {
		if !listed[n.ID] {
			first, again := v.missing[n.ID]
			if again && first.query != r.Query && r.At-first.at >= overTime {
				v.remove(n)
				continue
			}
			if !again {
				v.missing[n.ID] = absence{r.Query, r.At, n.State == policy.Healthy}
				v.recordAbsence(n.ID, r.Number)
			}
			n.State = policy.Draining
		}
		kept = append(kept, n)
	}
	v.nodes = kept
}

// dropReplaced removes the nodes whose address now belongs to another healthy node. Of several healthy nodes
// with one address, the last in nodes stays.
func (v *View) dropReplaced() {
	owner := map[string]string{}
	for _, n := range v.nodes {
		if n.State == policy.Healthy {
			owner[n.PlatformAddress] = n.ID
		}
	}
	v.nodes = slices.DeleteFunc(v.nodes, func(n nodelist.Node) bool {
		id, owned := owner[n.PlatformAddress]
		replaced := owned && id != n.ID
		if replaced {
			v.remove(n)
		}
		return replaced
	})
}

// index returns the index of a node in nodes, or -1 if the node is not in force. The result is valid during
// Observe, until the first node is removed.
func (v *View) index(id string) int {
	if i, ok := v.indexes[id]; ok {
		return i
	}
	return -1
}

// drain marks a node as draining, also one that drains because a response left it out, and discards the
// confirmation of a row that would give it work.
func (v *View) drain(id string) {
	delete(v.unconfirmed, id)
	if a, ok := v.missing[id]; ok {
		a.wasHealthy = false
		v.missing[id] = a
	}
	if i := v.index(id); i >= 0 && v.nodes[i].State == policy.Healthy {
		v.nodes[i].State = policy.Draining
		v.lastRows = nil
	}
}
