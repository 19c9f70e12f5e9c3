package dispatch

import (
	"container/heap"
	"fmt"
	"strings"

	"embershunt/permit"
	"embershunt/policy"
)

// entry is one query on the books, from Taken until it has its final answer and all its attempts have ended.
type entry struct {
	q        *Query
	taken    Micros
	step     int // in which it was taken
	attempts []attempt
	out      int // attempts that have not ended
	opened   int // number of the attempt whose answer flows to the client; -1: none
	final    OutcomeKind
	answered Micros
	terms    Attempt      // MemoryMB, Priority and HasResources of the next send
	last     AttemptEnded // the last attempt that ended
	history  []mark
	due      int // place in the heap; -1: not in it
}

// attempt is one send.
type attempt struct {
	node      string
	sent      Micros
	ended     bool
	code      policy.Code // of its end
	cancelled bool
}

// mark is one line of a query's history, kept small: it is written for every query and read for few.
type mark struct {
	at   Micros
	what string // a constant
	n    int    // attempt, where it is about one; else -1
	code int    // of policy.Code or Final
}

// historyMost bounds the marks kept; a query with more has seen many attempts, and its first ones tell least.
const historyMost = 24

func (e *entry) mark(at Micros, what string, n, code int) {
	if len(e.history) == historyMost {
		copy(e.history, e.history[1:])
		e.history = e.history[:historyMost-1]
	}
	e.history = append(e.history, mark{at, what, n, code})
}

// History tells what happened to a query, a part a line, times in milliseconds since it was taken.
func (e *entry) History() string {
	var b strings.Builder
	for i, m := range e.history {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "+%.1fms %s", float64(m.at-e.taken)/1e3, m.what)
		if m.n >= 0 && m.n < len(e.attempts) {
			fmt.Fprintf(&b, " %d at %s", m.n, e.attempts[m.n].node)
		}
		if m.code >= 0 {
			fmt.Fprintf(&b, " (%d)", m.code)
		}
	}
	return b.String()
}

// Fault is something that must not happen; each is counted and logged with the query's history.
type Fault struct {
	Kind    FaultKind
	ID      string
	History string
}

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	FaultLateOutcome  FaultKind = "late_outcome"  // the end of an attempt that is not on the books
	FaultDoubleEnd    FaultKind = "double_end"    // a second end of one attempt
	FaultDoubleAnswer FaultKind = "double_answer" // a second final answer, withheld
	FaultForgotten    FaultKind = "forgotten"     // the deadline came and the module had given no answer
	FaultLateSend     FaultKind = "late_send"     // a send after the final answer or the deadline, withheld
	FaultForbidden    FaultKind = "forbidden"     // a repeat that could have an effect twice, withheld
	FaultUnknown      FaultKind = "unknown_query" // an action that names a query which is not on the books
	FaultDoubleID     FaultKind = "double_id"     // a query with an id that is on the books, turned away
)

// FaultKinds lists all of them, for counters that start at nothing.
var FaultKinds = []FaultKind{FaultLateOutcome, FaultDoubleEnd, FaultDoubleAnswer, FaultForgotten, FaultLateSend,
	FaultForbidden, FaultUnknown, FaultDoubleID}

// ledger gives each query exactly one final answer.
type ledger struct {
	entries map[string]*entry
	due     dueHeap // of queries without a final answer
	faults  []Fault
	step    int
	settled map[string]int // attempts of queries both taken and closed in this step: what the module says of them crossed their end
}

// begin begins a step.
func (l *ledger) begin() {
	l.step++
	clear(l.settled)
}

func (l *ledger) fault(kind FaultKind, id string, e *entry) {
	f := Fault{Kind: kind, ID: id}
	if e != nil {
		f.History = e.History()
	}
	l.faults = append(l.faults, f)
}

// take opens an entry; nil where the id is on the books already.
func (l *ledger) take(now Micros, q *Query) *entry {
	if old := l.entries[q.ID]; old != nil {
		l.fault(FaultDoubleID, q.ID, old)
		return nil
	}
	e := &entry{q: q, taken: now, step: l.step, opened: -1, history: make([]mark, 0, 8)}
	e.mark(now, "taken", -1, -1)
	l.entries[q.ID] = e
	heap.Push(&l.due, e)
	return e
}

// answer gives the final answer, once; it tells whether this was it.
func (l *ledger) answer(now Micros, e *entry, v Outcome) bool {
	if e.final != 0 {
		l.fault(FaultDoubleAnswer, e.q.ID, e)
		return false
	}
	e.final, e.answered = v.Kind, now
	e.mark(now, "answered", -1, int(v.Kind))
	heap.Remove(&l.due, e.due)
	e.q.Client.Answer(v)
	l.settle(e)
	return true
}

// settle closes an entry that owes nothing and awaits nothing.
func (l *ledger) settle(e *entry) {
	if e.final != 0 && e.out == 0 {
		delete(l.entries, e.q.ID)
		if e.step != l.step {
			return
		}
		if l.settled == nil {
			l.settled = map[string]int{}
		}
		l.settled[e.q.ID] = len(e.attempts)
	}
}

// late is the number of an attempt that the module makes of a query taken and closed in this step; ok is false for any other query.
func (l *ledger) late(id string) (n int, ok bool) {
	if n, ok = l.settled[id]; ok {
		l.settled[id]++
	}
	return n, ok
}

// repeating is what is known of a query of which another attempt would be sent; class is that of the settings in force.
func (e *entry) repeating(now Micros, class policy.Class) permit.Retrying {
	r := permit.Retrying{Now: now, Deadline: e.q.Deadline, Answered: e.final != 0 || e.opened >= 0, Effect: class.Effect, DedupWindow: class.DedupWindow}
	for _, a := range e.attempts {
		r.Earlier = append(r.Earlier, permit.Attempt{Sent: a.sent, Ended: a.ended, Code: a.code})
	}
	return r
}

// send books an attempt; false where it must not leave.
func (l *ledger) send(now Micros, e *entry, node string, class policy.Class) (n int, ok bool) {
	n = len(e.attempts)
	if why := e.repeating(now, class).Retry(); why != permit.Permitted {
		kind := FaultLateSend
		if why == permit.MayHaveRun || why == permit.DedupWindow {
			kind = FaultForbidden
		}
		l.fault(kind, e.q.ID, e)
		e.attempts = append(e.attempts, attempt{node: node, sent: now, ended: true, code: policy.NeverSent}) // the module numbers it too
		return n, false
	}
	e.attempts = append(e.attempts, attempt{node: node, sent: now})
	e.out++
	e.mark(now, "sent", n, -1)
	return n, true
}

// ended books the end of an attempt; nil where it is none that is out.
func (l *ledger) ended(now Micros, ev AttemptEnded) *entry {
	e := l.entries[ev.ID]
	if e == nil || ev.Number < 0 || ev.Number >= len(e.attempts) {
		l.fault(FaultLateOutcome, ev.ID, e)
		return nil
	}
	a := &e.attempts[ev.Number]
	if a.ended {
		l.fault(FaultDoubleEnd, ev.ID, e)
		return nil
	}
	a.ended, a.code = true, ev.Code
	e.out--
	e.last = ev
	e.mark(now, "ended", ev.Number, int(ev.Code))
	return e
}

// overdue is a query whose deadline has come without a final answer; nil if there is none.
func (l *ledger) overdue(now Micros) *entry {
	if len(l.due) > 0 && l.due[0].q.Deadline <= now {
		return l.due[0]
	}
	return nil
}

// dueHeap orders open queries by deadline.
type dueHeap []*entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].q.Deadline < h[j].q.Deadline }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].due, h[j].due = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.due = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1], e.due = nil, -1
	*h = old[:len(old)-1]
	return e
}

// over tells that a query ends with this attempt; broken tells that its answer had begun.
func over(ev AttemptEnded, broken bool) bool {
	return ev.Code == policy.OK || ev.Rejected || broken
}
