package dispatch

import (
	"container/heap"

	"embershunt/permit"
	"embershunt/policy"
)

// ledger tracks queries and their attempts, and ensures that each query gets exactly one final answer.
type ledger struct {
	entries    map[string]*entry
	unanswered deadlineHeap // entries without a final answer
	faults     []Fault      // of the current step
	step       int          // number of the current step
	// closedInStep counts, by id, the attempts of queries that were both received and closed in the current step. The gateway may
	// still send attempts for them, since it was not yet told of the end.
	closedInStep map[string]int
}

func newLedger() ledger {
	return ledger{entries: map[string]*entry{}, closedInStep: map[string]int{}}
}

// beginStep starts a new step and forgets the queries closed in the previous one.
func (l *ledger) beginStep() {
	l.step++
	clear(l.closedInStep)
}

// recordFault records a fault, with the history of the query's entry e; e is nil if the query has none.
func (l *ledger) recordFault(kind FaultKind, id string, e *entry) {
	f := Fault{Kind: kind, ID: id}
	if e != nil {
		f.History = e.formatHistory()
	}
	l.faults = append(l.faults, f)
}

// open creates the entry of a query; it returns nil and records a fault if the query's id has an entry already.
func (l *ledger) open(now Micros, q *Query) *entry {
	if old := l.entries[q.ID]; old != nil {
		l.recordFault(FaultDoubleID, q.ID, old)
		return nil
	}
	e := &entry{query: q, receivedAt: now, receivedInStep: l.step, forwarded: -1, history: make([]historyEntry, 0, 8)}
	e.record(now, "taken", -1, -1)
	l.entries[q.ID] = e
	heap.Push(&l.unanswered, e)
	return e
}

// answer gives the query its final answer. It returns false and records a fault if the query has one already.
func (l *ledger) answer(now Micros, e *entry, outcome Outcome) bool {
	if e.outcome != 0 {
		l.recordFault(FaultDoubleAnswer, e.query.ID, e)
		return false
	}
	e.outcome = outcome.Kind
	e.record(now, "answered", -1, int(outcome.Kind))
	heap.Remove(&l.unanswered, e.heapIndex)
	e.query.Client.Answer(outcome)
	l.closeIfDone(e)
	return true
}

// closeIfDone removes the entry of a query that has its final answer and no attempt in flight.
func (l *ledger) closeIfDone(e *entry) {
	if e.outcome == 0 || e.inFlight > 0 {
		return
	}
	delete(l.entries, e.query.ID)
	if e.receivedInStep == l.step {
		l.closedInStep[e.query.ID] = len(e.attempts)
	}
}

// attemptAfterClose numbers an attempt that the gateway sends for a query received and closed in the current step. ok is false
// for any other query.
func (l *ledger) attemptAfterClose(id string) (number int, ok bool) {
	if number, ok = l.closedInStep[id]; ok {
		l.closedInStep[id]++
	}
	return number, ok
}

// send adds an attempt to the query's entry. ok is false, and a fault is recorded, if the attempt must not be sent; it gets a
// number nevertheless, since the gateway numbers it too.
func (l *ledger) send(now Micros, e *entry, node string, class policy.Class, hedging bool) (number int, ok bool) {
	number = len(e.attempts)
	if reason := e.retryState(now, class, hedging).Retry(); reason != permit.Permitted {
		kind := FaultLateSend
		if reason == permit.AttemptInFlight || reason == permit.MayHaveRun || reason == permit.DedupWindow {
			kind = FaultForbidden
		}
		l.recordFault(kind, e.query.ID, e)
		e.attempts = append(e.attempts, attempt{node: node, sentAt: now, ended: true, code: policy.NeverSent})
		return number, false
	}
	e.attempts = append(e.attempts, attempt{node: node, sentAt: now})
	e.inFlight++
	e.record(now, "sent", number, -1)
	return number, true
}

// endAttempt marks an attempt as ended and returns its query's entry. It returns nil and records a fault if the query has no
// attempt in flight with that number.
func (l *ledger) endAttempt(now Micros, ev AttemptEnded) *entry {
	e := l.entries[ev.ID]
	if e == nil || ev.Number < 0 || ev.Number >= len(e.attempts) {
		l.recordFault(FaultUnknownAttempt, ev.ID, e)
		return nil
	}
	a := &e.attempts[ev.Number]
	if a.ended {
		l.recordFault(FaultDoubleEnd, ev.ID, e)
		return nil
	}
	a.ended, a.code = true, ev.Code
	e.inFlight--
	e.lastEnded = ev
	e.record(now, "ended", ev.Number, int(ev.Code))
	return e
}

// nextDeadline returns the earliest deadline of the pending queries; ok is false if there are none.
func (l *ledger) nextDeadline() (at Micros, ok bool) {
	if len(l.unanswered) == 0 {
		return 0, false
	}
	return l.unanswered[0].query.Deadline, true
}

// overdue returns the pending query with the earliest deadline if this deadline has passed, else nil.
func (l *ledger) overdue(now Micros) *entry {
	if at, ok := l.nextDeadline(); ok && at <= now {
		return l.unanswered[0]
	}
	return nil
}

// deadlineHeap orders pending queries by deadline, for container/heap.
type deadlineHeap []*entry

var _ heap.Interface = (*deadlineHeap)(nil)

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].query.Deadline < h[j].query.Deadline }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1], e.heapIndex = nil, -1
	*h = old[:len(old)-1]
	return e
}
