package membership

import (
	"slices"

	"embershunt/nodelist"
	"embershunt/policy"
)

// Numbers of responses in a row that a change needs.
const (
	joinResponses   = 2  // a node gets work
	returnResponses = 10 // a node gets work again after it drained or left
	revertResponses = 5  // a lower version number replaces the one in force
)

// staleListTime is longer than a name service may go on giving outdated lists without a current one in
// between: 3 s on the platform.
const staleListTime policy.Micros = 5_000_000

// maxRemoved is the maximum number of removed nodes that a View remembers.
const maxRemoved = 4096

// unixMicros is the start of a node as its row has it, in microseconds since 1970. Starts are only compared
// with each other.
type unixMicros int64

// startOf returns the start of a row. A start that is unknown is earlier than any other.
func startOf(row nodelist.Node) unixMicros { return unixMicros(row.Started.UnixMicro()) }

// history is what lists have told of a node in force.
type history struct {
	number  int64      // highest version number of a list that told of the node, or left it out
	started unixMicros // newest start in a row that was applied
}

// confirmation counts the successive responses with the same row.
type confirmation struct {
	node      nodelist.Node // the row
	query     uint64        // query of the last counted response
	since     policy.Micros // arrival of the first counted response
	responses int
	required  int
}

// absence records the first response that left a node out, or listed it at another address.
type absence struct {
	query      uint64
	at         policy.Micros // arrival of that response
	wasHealthy bool          // state of the node before that response
}

// confirm counts a response with a row, and reports whether the row is confirmed: whether enough responses
// in a row, to different queries and over enough time, had exactly this row. Responses that had to be more do
// not count among those that may be fewer.
func (v *View) confirm(r Response, row nodelist.Node) bool {
	required, overTime := joinResponses, policy.Micros(0)
	if v.isReturn(r.Number, row) {
		required, overTime = returnResponses, staleListTime
	}
	c, seen := v.unconfirmed[row.ID]
	switch {
	case !seen || c.node != row || c.required != required:
		c = confirmation{node: row, since: r.At, required: required}
	case c.query == r.Query:
		return false
	}
	c.query = r.Query
	if c.responses++; c.responses < c.required || r.At-c.since < overTime {
		v.unconfirmed[row.ID] = c
		return false
	}
	delete(v.unconfirmed, row.ID)
	v.forgetRemoval(row.ID)
	return true
}

// isReturn reports whether a row, in a list with a number, would give work again to a node that has drained
// or left and has not started since, or give it work on the word of a list older than the newest that told
// of it. A node that drains only because a response left it out or listed it at another address does not
// count as drained.
func (v *View) isReturn(number int64, row nodelist.Node) bool {
	started, withdrawn := v.removed[row.ID]
	if i := v.index(row.ID); i >= 0 {
		h := v.histories[row.ID]
		drained := v.nodes[i].State != policy.Healthy && !v.missing[row.ID].wasHealthy
		started, withdrawn = h.started, drained || number < h.number
	}
	return withdrawn && startOf(row) <= started
}

// forgetRemoval forgets that a node had left the list, since it is in force again.
func (v *View) forgetRemoval(id string) {
	if _, removed := v.removed[id]; !removed {
		return
	}
	delete(v.removed, id)
	v.removalOrder = slices.DeleteFunc(v.removalOrder, func(other string) bool { return other == id })
}

// remove records that a node has left the list; the caller removes it from nodes. Beyond maxRemoved the
// oldest removal is forgotten.
func (v *View) remove(n nodelist.Node) {
	delete(v.missing, n.ID)
	delete(v.unconfirmed, n.ID)
	v.removed[n.ID] = v.histories[n.ID].started
	delete(v.histories, n.ID)
	if v.removalOrder = append(v.removalOrder, n.ID); len(v.removalOrder) > maxRemoved {
		delete(v.removed, v.removalOrder[0])
		v.removalOrder = v.removalOrder[1:]
	}
}

// contradict discards the confirmations of rows that a newer response with a lower number does not have:
// the rows of that response may be right, and the number in force wrong.
func (v *View) contradict(r Response) {
	for id, c := range v.unconfirmed { // the entries are independent of each other
		if r.Query > c.query && !slices.Contains(r.Nodes, c.node) {
			delete(v.unconfirmed, id)
		}
	}
}

// recordAbsence records that a list with a number left a node out, or listed it at another address.
func (v *View) recordAbsence(id string, number int64) {
	h := v.histories[id]
	h.number = max(h.number, number)
	v.histories[id] = h
}

// isOutdatedDrain reports whether a row drains an earlier start of a node, in a list with a lower number than
// the newest that told of the node.
func (v *View) isOutdatedDrain(number int64, row nodelist.Node) bool {
	h := v.histories[row.ID]
	return row.State != policy.Healthy && number < h.number && startOf(row) < h.started
}
