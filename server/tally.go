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

// tally counts what the loop does where no metrics are served: nothing in it grows with ids, connections or nodes.
type tally struct {
	log     *slog.Logger
	taken   atomic.Int64
	finals  [dispatch.Failed + 1]atomic.Int64
	codes   [policy.NeverSent + 1]atomic.Int64
	sent    atomic.Int64
	further atomic.Int64
	faults  atomic.Int64
	held    atomic.Int64
	reasons [len(tallyReasons)]atomic.Int64
}

// tallyReasons are the reasons of refused and failed queries, in the order in which they are logged.
var tallyReasons = [...]dispatch.Reason{dispatch.ReasonOverload, dispatch.ReasonFull, dispatch.ReasonDraining, dispatch.ReasonAttempt,
	dispatch.ReasonBroken, dispatch.ReasonDeadline, dispatch.ReasonInternal, dispatch.ReasonClientDisconnected, dispatch.ReasonStopped}

func newTally(log *slog.Logger) *tally { return &tally{log: log} }

// Taken implements dispatch.Observer.
func (t *tally) QueryReceived(q *dispatch.Query) {
	t.taken.Add(1)
	t.log.Debug("taken", "query", q.ID, "trace", traceID(q))
}

// traceID is the client's id of a query; "" where its protocol has none.
func traceID(q *dispatch.Query) string {
	if r, ok := q.Work.(*lineproto.Request); ok {
		return r.ID
	}
	return ""
}

// Answered implements dispatch.Observer.
func (t *tally) Answered(q *dispatch.Query, v dispatch.Outcome, took dispatch.Micros) {
	t.finals[v.Kind].Add(1)
	if i := slices.Index(tallyReasons[:], v.Reason); i >= 0 {
		t.reasons[i].Add(1)
	}
	t.log.Debug("answered", "query", q.ID, "trace", traceID(q), "final", v.Kind.String(), "reason", v.Reason, "attempts", v.Attempts,
		"took_ms", took/1000)
}

// Sent implements dispatch.Observer.
func (t *tally) Sent(a dispatch.Attempt) {
	if t.sent.Add(1); a.Number > 0 {
		t.further.Add(1)
	}
	t.log.Debug("sent", "query", a.Query.ID, "trace", traceID(a.Query), "attempt", a.Number, "node", a.Node)
}

// Ended implements dispatch.Observer.
func (t *tally) AttemptEnded(_ *dispatch.Query, node string, ev dispatch.AttemptEnded) {
	t.codes[ev.Code].Add(1)
	if ev.Err != nil {
		t.log.Debug("attempt ended", "query", ev.ID, "attempt", ev.Number, "node", node, "code", codeNames[ev.Code], "error", ev.Err)
	}
}

// Fault implements dispatch.Observer.
func (t *tally) Fault(f dispatch.Fault) {
	t.faults.Add(1)
	t.log.Error("fault", "kind", f.Kind, "query", f.ID, "history", f.History)
}

// Changed implements dispatch.Observer.
func (t *tally) Changed(uint64, policy.Settings) {}

// Paused implements dispatch.Observer.
func (t *tally) Paused(dispatch.Micros) {}

// Note implements dispatch.Observer.
func (t *tally) LogLine(text string) { t.log.Info(text, "from", "module") }

// Stepped implements dispatch.Observer.
func (t *tally) StepCompleted(_, _, held int) { t.held.Store(int64(held)) }

// tallyEvery is how often the figures are logged.
const tallyEvery = 10 * time.Second

// run logs the figures now and then, and at the end.
func (t *tally) run(ctx context.Context, p *Platform) {
	tick := time.NewTicker(tallyEvery)
	defer tick.Stop()
	for {
		done := false
		select {
		case <-ctx.Done():
			done = true
		case <-tick.C:
		}
		open, away, unreadable := p.front.Counts()
		args := []any{"taken", t.taken.Load(), "served", t.finals[dispatch.Served].Load(), "refused", t.finals[dispatch.Shed].Load(),
			"failed", t.finals[dispatch.Failed].Load(), "held", t.held.Load(), "sent", t.sent.Load(), "further", t.further.Load(),
			"faults", t.faults.Load(), "sessions", open, "turned_away", away, "unreadable", unreadable,
			"node_connections", p.fleet.PlatformConns(), "list_failures", p.resolver.Failures()}
		for code := range t.codes {
			args = append(args, "ended_"+codeNames[policy.Code(code)], t.codes[code].Load())
		}
		if p.peers != nil {
			sent, heard, dropped := p.peers.Counts()
			args = append(args, "told", sent, "heard", heard, "peer_dropped", dropped)
		}
		t.log.Info("figures", args...)
		list := p.resolver.Stats()
		t.log.Info("node list figures", "version", list.Version, "age_ms", list.Age.Milliseconds(), "questions", list.Questions,
			"answers", list.Answers, "answer_ms", list.AnswerIn.Milliseconds(), "unusable", list.Unusable, "lower", list.Lower,
			"reverted", list.Reverted, "sockets", list.Sockets)
		t.logReasons()
		t.logAudit(p)
		t.logClosures(p)
		if done {
			return
		}
	}
}

// logReasons logs why queries were refused or failed, those reasons that occurred.
func (t *tally) logReasons() {
	var args []any
	for i, reason := range tallyReasons {
		if n := t.reasons[i].Load(); n > 0 {
			args = append(args, strings.ToLower(string(reason)), n)
		}
	}
	if len(args) > 0 {
		t.log.Info("queries refused or failed", args...)
	}
}

// logAudit logs how often attempts were withheld, and rules violated, by reason.
func (t *tally) logAudit(p *Platform) {
	var args []any
	for _, c := range p.fleet.Audit().Counts() {
		args = append(args, c.Reason.String()+"_withheld", c.Withheld, c.Reason.String()+"_violated", c.Violated)
	}
	if len(args) > 0 {
		t.log.Info("attempts not permitted", args...)
	}
}

// logClosures logs why client sessions have ended, those reasons that occurred.
func (t *tally) logClosures(p *Platform) {
	var args []any
	names, counts := p.front.Closures()
	for i, name := range names {
		if counts[i] > 0 {
			args = append(args, name, counts[i])
		}
	}
	if len(args) > 0 {
		t.log.Info("sessions closed", args...)
	}
}

var _ dispatch.Observer = (*tally)(nil)
