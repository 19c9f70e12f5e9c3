package dispatch

import (
	"fmt"
	"strings"

	"embershunt/permit"
	"embershunt/policy"
)

// entry is the ledger's record of one query. It exists from the receipt of the query until the query has its final answer and
// all its attempts have ended.
type entry struct {
	query          *Query
	receivedAt     Micros
	receivedInStep int // ledger.step at receipt
	attempts       []attempt
	inFlight       int          // attempts that have not ended
	forwarded      int          // number of the attempt whose response is forwarded to the client; -1: none
	outcome        OutcomeKind  // of the final answer; 0: not answered yet
	resources      Attempt      // holds MemoryMB, Priority and HasResources of the next send; other fields are unused
	lastEnded      AttemptEnded // end of the attempt that ended last
	history        []historyEntry
	heapIndex      int // index in ledger.unanswered; -1: not in it
}

// attempt is one send of a query, including sends that the ledger withheld.
type attempt struct {
	node      string
	sentAt    Micros
	ended     bool
	code      policy.Code // set once the attempt has ended
	cancelled bool
}

// historyEntry is one event in a query's history. It is kept small and is formatted late, since histories are written for
// every query but read only when a fault occurs.
type historyEntry struct {
	at      Micros
	event   string // a string constant
	attempt int    // attempt number; -1: the event concerns no attempt
	code    int    // policy.Code of an ended attempt or OutcomeKind of an answer; -1: none
}

// maxHistory is the number of history entries kept for a query; the oldest are dropped.
const maxHistory = 24

// record appends an event to the query's history. attempt and code are -1 if the event has none.
func (e *entry) record(at Micros, event string, attempt, code int) {
	if len(e.history) == maxHistory {
		copy(e.history, e.history[1:])
		e.history = e.history[:maxHistory-1]
	}
	e.history = append(e.history, historyEntry{at, event, attempt, code})
}

// formatHistory formats the query's history as a list separated by semicolons. Each event starts with its time since the
// query's receipt, in milliseconds.
func (e *entry) formatHistory() string {
	var b strings.Builder
	for i, h := range e.history {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "+%.1fms %s", float64(h.at-e.receivedAt)/1e3, h.event)
		if h.attempt >= 0 && h.attempt < len(e.attempts) {
			fmt.Fprintf(&b, " %d at %s", h.attempt, e.attempts[h.attempt].node)
		}
		if h.code >= 0 {
			fmt.Fprintf(&b, " (%d)", h.code)
		}
	}
	return b.String()
}

// retryState returns the state from which permit decides whether another attempt may be sent. class and hedging come from the
// current settings.
func (e *entry) retryState(now Micros, class policy.Class, hedging bool) permit.Retrying {
	r := permit.Retrying{
		Now:         now,
		Deadline:    e.query.Deadline,
		Answered:    e.outcome != 0 || e.forwarded >= 0,
		Effect:      class.Effect,
		DedupWindow: class.DedupWindow,
		Hedging:     hedging,
	}
	for _, a := range e.attempts {
		r.Earlier = append(r.Earlier, permit.Attempt{Sent: a.sentAt, Ended: a.ended, Code: a.code})
	}
	return r
}
