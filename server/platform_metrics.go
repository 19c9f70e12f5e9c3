package server

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/lineproto"
	"embershunt/policy"
)

var _ dispatch.Observer = (*platformMetrics)(nil)

// platformMetrics counts what the loop does and logs the counts at intervals, since a Platform serves no metrics. Its size does not
// grow with the number of ids, connections or nodes.
type platformMetrics struct {
	log      *slog.Logger
	received atomic.Int64
	outcomes [dispatch.Failed + 1]atomic.Int64
	codes    [policy.NeverSent + 1]atomic.Int64
	sent     atomic.Int64 // attempts
	retries  atomic.Int64 // attempts after a query's first
	faults   atomic.Int64
	pending  atomic.Int64
	reasons  [len(loggedReasons)]atomic.Int64
}

// loggedReasons are the reasons of shed and failed queries, in the order in which they are logged.
var loggedReasons = [...]dispatch.Reason{dispatch.ReasonOverload, dispatch.ReasonFull, dispatch.ReasonDraining,
	dispatch.ReasonAttemptFailed, dispatch.ReasonResponseBroken, dispatch.ReasonDeadline, dispatch.ReasonInternal,
	dispatch.ReasonClientDisconnected, dispatch.ReasonStopped}

func newPlatformMetrics(log *slog.Logger) *platformMetrics { return &platformMetrics{log: log} }

// QueryReceived implements dispatch.Observer.
func (m *platformMetrics) QueryReceived(q *dispatch.Query) {
	m.received.Add(1)
	m.log.Debug("query received", "query", q.ID, "trace", traceID(q))
}

// traceID returns the id that the client gave its query, or "" where its protocol has none.
func traceID(q *dispatch.Query) string {
	if r, ok := q.Payload.(*lineproto.Request); ok {
		return r.ID
	}
	return ""
}

// Answered implements dispatch.Observer.
func (m *platformMetrics) Answered(q *dispatch.Query, outcome dispatch.Outcome, duration dispatch.Micros) {
	m.outcomes[outcome.Kind].Add(1)
	if i := slices.Index(loggedReasons[:], outcome.Reason); i >= 0 {
		m.reasons[i].Add(1)
	}
	m.log.Debug("query answered", "query", q.ID, "trace", traceID(q), "final", outcome.Kind.String(), "reason", outcome.Reason,
		"attempts", outcome.Attempts, "took_ms", duration/1000)
}

// Sent implements dispatch.Observer.
func (m *platformMetrics) Sent(a dispatch.Attempt) {
	if m.sent.Add(1); a.Number > 0 {
		m.retries.Add(1)
	}
	m.log.Debug("attempt sent", "query", a.Query.ID, "trace", traceID(a.Query), "attempt", a.Number, "node", a.Node)
}

// AttemptEnded implements dispatch.Observer.
func (m *platformMetrics) AttemptEnded(_ *dispatch.Query, node string, ev dispatch.AttemptEnded) {
	m.codes[ev.Code].Add(1)
	if ev.Err != nil {
		m.log.Debug("attempt ended", "query", ev.ID, "attempt", ev.Number, "node", node, "code", codeNames[ev.Code], "error", ev.Err)
	}
}

// Fault implements dispatch.Observer.
func (m *platformMetrics) Fault(f dispatch.Fault) {
	m.faults.Add(1)
	m.log.Error("fault", "kind", f.Kind, "query", f.ID, "history", f.History)
}

// SettingsChanged implements dispatch.Observer.
func (m *platformMetrics) SettingsChanged(uint64, policy.Settings) {}

// SettingsChangeDuration implements dispatch.Observer.
func (m *platformMetrics) SettingsChangeDuration(dispatch.Micros) {}

// LogLine implements dispatch.Observer.
func (m *platformMetrics) LogLine(text string) { m.log.Info(text, "from", "module") }

// StepCompleted implements dispatch.Observer.
func (m *platformMetrics) StepCompleted(_, _, pending int) { m.pending.Store(int64(pending)) }

// metricsLogInterval is how often the counts are logged.
const metricsLogInterval = 10 * time.Second

// run logs the counts every metricsLogInterval and a last time when ctx ends.
func (m *platformMetrics) run(ctx context.Context, p *Platform) {
	ticker := time.NewTicker(metricsLogInterval)
	defer ticker.Stop()
	for {
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case <-ticker.C:
		}
		m.logCounts(p)
		m.logNodeList(p)
		m.logReasons()
		m.logAudit(p)
		m.logClosures(p)
		if ended {
			return
		}
	}
}

// logCounts logs the counts of queries, attempts, connections and gossip.
func (m *platformMetrics) logCounts(p *Platform) {
	open, rejected, unreadable := p.frontend.Counts()
	rejectedCommands, statementBytes := p.frontend.StatementCounts()
	args := []any{"taken", m.received.Load(), "served", m.outcomes[dispatch.Served].Load(), "refused", m.outcomes[dispatch.Shed].Load(),
		"failed", m.outcomes[dispatch.Failed].Load(), "held", m.pending.Load(), "sent", m.sent.Load(), "further", m.retries.Load(),
		"faults", m.faults.Load(), "sessions", open, "turned_away", rejected, "unreadable", unreadable,
		"commands_rejected", rejectedCommands, "statement_bytes", statementBytes,
		"node_connections", p.fleet.PlatformConns(), "answers_discarded", p.fleet.DiscardedAnswers(),
		"list_failures", p.resolver.Failures()}
	for code := range m.codes {
		args = append(args, "ended_"+codeNames[policy.Code(code)], m.codes[code].Load())
	}
	if p.peers != nil {
		sent, received, dropped := p.peers.Counts()
		args = append(args, "told", sent, "heard", received, "peer_dropped", dropped)
	}
	m.log.Info("metrics", args...)
}

// logNodeList logs the age of the node list and the counts of its polls.
func (m *platformMetrics) logNodeList(p *Platform) {
	list := p.resolver.Stats()
	m.log.Info("node list metrics", "version", list.Version, "age_ms", list.Age.Milliseconds(), "questions", list.Queries,
		"answers", list.Responses, "answer_ms", list.ResponseTime.Milliseconds(), "unusable", list.Unusable, "lower", list.LowerNumbers,
		"reverted", list.Reverted, "sockets", list.Sockets)
}

// logReasons logs how many queries were shed or failed, by reason; reasons that have not occurred are left out.
func (m *platformMetrics) logReasons() {
	var args []any
	for i, reason := range loggedReasons {
		if n := m.reasons[i].Load(); n > 0 {
			args = append(args, strings.ToLower(string(reason)), n)
		}
	}
	if len(args) > 0 {
		m.log.Info("queries shed or failed", args...)
	}
}

// logAudit logs how many attempts were withheld and how many violated a rule, by reason; reasons that have not occurred are left out.
func (m *platformMetrics) logAudit(p *Platform) {
	var args []any
	for _, c := range p.fleet.Audit().Counts() {
		args = append(args, c.Reason.String()+"_withheld", c.Withheld, c.Reason.String()+"_violated", c.Violated)
	}
	if len(args) > 0 {
		m.log.Info("attempts not permitted", args...)
	}
}

// logClosures logs how many client sessions have ended, by reason; reasons that have not occurred are left out.
func (m *platformMetrics) logClosures(p *Platform) {
	var args []any
	names, counts := p.frontend.CloseCounts()
	for i, name := range names {
		if counts[i] > 0 {
			args = append(args, name, counts[i])
		}
	}
	if len(args) > 0 {
		m.log.Info("sessions closed", args...)
	}
}
