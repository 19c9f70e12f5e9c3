package backend

import (
	"time"

	"embershunt/internal/native"
	"embershunt/policy"
)

// In the native protocol nodes do not report their load, only the progress and the cost of a query.

// progressInterval is the shortest time between two progress reports of one attempt.
const progressInterval = 100 * time.Millisecond

// readProgress holds how many rows of a query a node has read, and when that was last reported to the policy.
type readProgress struct {
	read, total uint64 // rows; total 0: the node does not know how many there are
	reportedAt  time.Time
}

// reportProgress adds a node's progress packet and reports to the policy what fraction of the query's rows the node has read. It reports
// nothing if the total is unknown or smaller than the rows read, or within progressInterval of the last report.
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

// recordCost adds the CPU time, and records the peak memory, that a node reports for the query. It ignores a report that cannot be
// parsed.
func (t *nativeAttempt) recordCost(r *native.Reader, block []byte) {
	p, err := r.ReadProfile(block, t.call.Revision)
	if err != nil {
		return
	}
	t.workMicros += p.CPUMicros
	t.neededMB = max(t.neededMB, float64(p.PeakMemoryBytes)/1e6)
}
