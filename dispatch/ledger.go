package dispatch

import (
	"container/heap"

	"embershunt/permit"
	"embershunt/policy"
)

// ledger gives each query exactly one final answer.
type ledger struct {
	entries    map[string]*entry
	unanswered deadlineHeap // entries without a final answer
	faults     []Fault      // of the step under way
	step       int          // number of the step under way
	// closedInStep counts the attempts of queries that were both received and closed in this step: the gateway may still send
	// attempts for them, since it has not been told of the end.
	closedInStep map[string]int
}

func newLedger() ledger {
	return ledger{entries: map[string]*entry{}, closedInStep: map[string]int{}}
}

// beginStep begins a step.
func (l *ledger) beginStep() {
	l.step++
	clear(l.closedInStep)
}

// fault notes a fault; e is nil where no entry belongs to it.
func (l *ledger) fault(kind FaultKind, id string, e *entry) {
	f := Fault{Kind: kind, ID: id}
	if e != nil {
		f.History = e.formatHistory()
	}
	l.faults = append(l.faults, f)
}

// open makes an entry; nil where the id has one already.
func (l *ledger) open(now Micros, q *Query) *entry {
	if old := l.entries[q.ID]; old != nil {
		l.fault(FaultDoubleID, q.ID, old)
		return nil
	}
	e := &entry{query: q, receivedAt: now, receivedInStep: l.step, forwarded: -1, history: make([]historyEntry, 0, 8)}
	e.record(now, "taken", -1, -1)
	l.entries[q.ID] = e
	heap.Push(&l.unanswered, e)
	return e
}

// answer gives the final answer; false where the query has one already.
func (l *ledger) answer(now Micros, e *entry, outcome Outcome) bool {
	if e.outcome != 0 {
		l.fault(FaultDoubleAnswer, e.query.ID, e)
		return false
	}
	e.outcome = outcome.Kind
	e.record(now, "answered", -1, int(outcome.Kind))
	heap.Remove(&l.unanswered, e.heapIndex)
	e.query.Client.Answer(outcome)
	l.closeIfDone(e)
	return true
}

// closeIfDone removes an entry that has its final answer and no attempt in flight.
func (l *ledger) closeIfDone(e *entry) {
	if e.outcome == 0 || e.inFlight > 0 {
		return
	}
	delete(l.entries, e.query.ID)
	if e.receivedInStep == l.step {
		l.closedInStep[e.query.ID] = len(e.attempts)
	}
}

// attemptAfterClose numbers an attempt that the gateway sends for a query received and closed in this step; ok is false for
// any other query.
func (l *ledger) attemptAfterClose(id string) (number int, ok bool) {
	if number, ok = l.closedInStep[id]; ok {
		l.closedInStep[id]++
	}
	return number, ok
}

// send adds an attempt; ok is false where it must not be sent. It is numbered all the same, as the gateway does.
func (l *ledger) send(now Micros, e *entry, node string, class policy.Class, hedging bool) (number int, ok bool) {
	number = len(e.attempts)
	if reason := e.retryState(now, class, hedging).Retry(); reason != permit.Permitted {
		kind := FaultLateSend
		if reason == permit.AttemptInFlight || reason == permit.MayHaveRun || reason == permit.DedupWindow {
			kind = FaultForbidden
		}
		l.fault(kind, e.query.ID, e)
		e.attempts = append(e.attempts, attempt{node: node, sentAt: now, ended: true, code: policy.NeverSent})
		return number, false
	}
	e.attempts = append(e.attempts, attempt{node: node, sentAt: now})
	e.inFlight++
	e.record(now, "sent", number, -1)
	return number, true
}

// endAttempt marks an attempt as ended; nil where there is none in flight by that number.
func (l *ledger) endAttempt(now Micros, ev AttemptEnded) *entry {
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
	e.inFlight--
	e.lastEnded = ev
	e.record(now, "ended", ev.Number, int(ev.Code))
	return e
}

// nextDeadline is the earliest deadline of the pending queries; ok is false where there are none.
func (l *ledger) nextDeadline() (at Micros, ok bool) {
	if len(l.unanswered) == 0 {
		return 0, false
	}
	return l.unanswered[0].query.Deadline, true
}

// overdue is a pending query whose deadline has passed; nil where there is none.
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
