package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// TransactionReport counts the transactions of a day by how they ended.
type TransactionReport struct {
	Started, NotStarted int
	Ends                map[string]int // by End of Transaction
	Reasons             map[string]int // by Reason of Transaction
	Open                int            // left on nodes at the end
	ByNode              []int          // started, by the node's number
}

// checkTransactions checks that the statements that became visible on nodes are those that the clients' answers imply, each once: all or
// none of a transaction's.
func (e *environment) checkTransactions(rep *Report) RuleResult {
	r := RuleResult{Name: "8 transactions end once, as told"}
	seen := map[int][]string{} // statements that became visible, by transaction
	for _, n := range e.nodes {
		t := n.SessionRecord()
		for s, k := range t.CommitsBySession {
			r.check(k > 1, "session %s was committed %d times at %s", s, k, n.Name)
		}
		for _, statement := range t.Committed {
			var number int
			if _, rest, ok := strings.Cut(statement, "tx="); ok {
				_, _ = fmt.Sscanf(rest, "%d", &number) // statements come from this package's clients
				seen[number] = append(seen[number], statement)
			}
		}
		rep.Transactions.ByNode = append(rep.Transactions.ByNode, t.Begun)
		rep.Transactions.Open += n.Transactions()
	}
	rep.Transactions.Ends, rep.Transactions.Reasons = map[string]int{}, map[string]int{}
	for _, t := range e.transactions {
		if !t.Started {
			rep.Transactions.NotStarted++
			continue
		}
		rep.Transactions.Started++
		rep.Transactions.Ends[t.End]++
		if t.Reason != "" {
			rep.Transactions.Reasons[t.Reason]++
		}
		list := seen[t.Number]
		slices.Sort(list)
		r.check(len(slices.Compact(slices.Clone(list))) != len(list), "transaction %d: a statement became visible twice", t.Number)
		down := e.dispatcherWasDown(t)
		switch t.End {
		case transactionCommitted:
			r.check(len(list) != t.Statements, "transaction %d: committed with %d statements, %d are visible",
				t.Number, t.Statements, len(list))
		case transactionRolledBack, transactionLost, transactionLeftOpen:
			r.check(len(list) > 0, "transaction %d: %s, but %d statements are visible (%s)", t.Number, t.End, len(list), t.Reason)
		case transactionUnknown:
			r.check(len(list) != 0 && len(list) != t.Statements, "transaction %d: %d of %d statements are visible",
				t.Number, len(list), t.Statements)
		}
		r.check(t.Failures > 1 && !down, "transaction %d: %d answers said that it is lost", t.Number, t.Failures)
	}
	r.check(rep.Transactions.Open > 0, "%d transactions are still open on nodes", rep.Transactions.Open)
	return r
}

// dispatcherWasDown reports whether a transaction's dispatcher was down while the transaction ran.
func (e *environment) dispatcherWasDown(t *Transaction) bool {
	for _, d := range e.outages {
		if d.dispatcher == t.Dispatcher && t.From.Before(d.to) && t.To.After(d.from) {
			return true
		}
	}
	return false
}
