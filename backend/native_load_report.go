package backend

import (
	"time"

	"embershunt/internal/native"
	"embershunt/policy"
)

// Nodes report no load in the native protocol, only how far a query is and what it costs.

// progressInterval is the shortest time between two progress reports of one attempt.
const progressInterval = 100 * time.Millisecond

// readProgress is how many of its rows a node has read, and when that was last reported.
type readProgress struct {
	read, total uint64 // rows; total 0: the node does not know
	reportedAt  time.Time
}

// reportProgress reports the share of its rows that a node has read, where it knows how many there are.
func (t *nativeAttempt) reportProgress(p native.Progress) {
	t.progress.read += p.Rows
	t.progress.total += p.Total
	now := time.Now()
	if t.progress.total == 0 || t.progress.read > t.progress.total || now.Sub(t.progress.reportedAt) < progressInterval {
		return
	}
	t.progress.reportedAt = now
	t.fleet.post.Notify(policy.Progress{ID: t.spec.Query.ID, Attempt: t.spec.Number, Endpoint: t.spec.Node,
		Kind: policy.FractionDone, Value: float64(t.progress.read) / float64(t.progress.total)})
}

// recordCost adds what a node reports of a query's CPU time and memory; a report that does not parse is ignored.
func (t *nativeAttempt) recordCost(r *native.Reader, block []byte) {
	p, err := r.ReadProfile(block, t.call.Revision)
	if err != nil {
		return
	}
	t.workMicros += p.WorkMicros
	t.neededMB = max(t.neededMB, float64(p.Peak)/1e6)
}
