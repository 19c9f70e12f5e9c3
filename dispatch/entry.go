package dispatch

import (
	"fmt"
	"strings"

	"embershunt/permit"
	"embershunt/policy"
)

// entry is one query in the ledger, from its receipt until it has its final answer and all its attempts have ended.
type entry struct {
	query          *Query
	receivedAt     Micros
	receivedInStep int // number of the ledger's step
	attempts       []attempt
	inFlight       int          // attempts that have not ended
	forwarded      int          // number of the attempt whose response goes to the client; -1: none
	outcome        OutcomeKind  // of the final answer; 0: there is none yet
	resources      Attempt      // MemoryMB, Priority and HasResources of the next send
	lastEnded      AttemptEnded // the latest attempt that ended
	history        []historyEntry
	heapIndex      int // in ledger.pending; -1: not in it
}

// attempt is one send of a query, or one that was withheld.
type attempt struct {
	node      string
	sentAt    Micros
	ended     bool
	code      policy.Code // of its end
	cancelled bool
}

// historyEntry is one event in a query's history. It is small: it is written for every query and read for few.
type historyEntry struct {
	at      Micros
	event   string // a constant
	attempt int    // number; -1: it is not about an attempt
	code    int    // a policy.Code or an OutcomeKind; -1: none
}

// maxHistory is the number of entries kept, the latest ones.
const maxHistory = 24

// record adds an event to the history; attempt and code are -1 where there is none.
func (e *entry) record(at Micros, event string, attempt, code int) {
	if len(e.history) == maxHistory {
		copy(e.history, e.history[1:])
		e.history = e.history[:maxHistory-1]
	}
	e.history = append(e.history, historyEntry{at, event, attempt, code})
}

// formatHistory lists the events of a query, separated by semicolons, with the milliseconds since its receipt.
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

// retryState is what decides whether another attempt may be sent; class and hedging are of the settings in force.
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
