package backend

import (
	"context"
	"log/slog"

	"embershunt/internal/lineproto"
)

// maxLoggedDiscards bounds the discarded answers of one connection that are logged; all of them are counted.
const maxLoggedDiscards = 8

// DiscardedAnswers counts the answers that belonged to no attempt on their connection.
func (f *Fleet) DiscardedAnswers() int64 { return f.discardedAnswers.Load() }

// logStart logs an attempt whose first bytes have been written.
func (t *platformAttempt) logStart(c *platformConn) {
	level := slog.LevelDebug
	if t.spec.Number > 0 {
		level = slog.LevelInfo
	}
	t.logEvent(level, "attempt started", c)
}

// logEnd logs how an attempt that was written ended. One that was abandoned ends with its client or its deadline: no other follows it.
func (t *platformAttempt) logEnd(c *platformConn, err error) {
	level := slog.LevelDebug
	if err != nil && t.cancelledAt.Load() == 0 {
		level = slog.LevelInfo
	}
	t.mu.Lock()
	received, total := t.result.ReceivedPages(), t.result.TotalPages()
	t.mu.Unlock()
	t.logEvent(level, "attempt over", c, "pages", received, "of", total, "error", err)
}

// logEvent logs an event of an attempt with what identifies it, its connection included.
func (t *platformAttempt) logEvent(level slog.Level, message string, c *platformConn, more ...any) {
	if !t.fleet.log.Enabled(context.Background(), level) {
		return
	}
	args := []any{"query", t.spec.Query.ID, "trace", t.call.ID, "attempt", t.spec.Number, "node", t.spec.Node, "connection", c.id}
	t.fleet.log.Log(context.Background(), level, message, append(args, more...)...)
}

// logClosed logs the close of a connection with its reason.
func (c *platformConn) logClosed(attempts int, cause error) {
	level := slog.LevelDebug
	if attempts > 0 {
		level = slog.LevelInfo
	}
	c.fleet.log.Log(context.Background(), level, "node connection closed", "connection", c.id, "address", c.pool.address, "attempts", attempts, "cause", cause)
}

// logDiscarded counts an answer that belongs to no attempt on its connection, and logs the first ones.
func (c *platformConn) logDiscarded(a *lineproto.Answer) {
	c.fleet.discardedAnswers.Add(1)
	if c.discarded++; c.discarded <= maxLoggedDiscards {
		c.fleet.log.Info("answer without an attempt", "connection", c.id, "address", c.pool.address, "trace", a.ID, "kind", string(a.Kind))
	}
}
