package backend

import "embershunt/internal/lineproto"

// maxLoggedDiscards bounds the discarded answers of one connection that are logged; all of them are counted.
const maxLoggedDiscards = 8

// DiscardedAnswers counts the answers that belonged to no attempt on their connection.
func (f *Fleet) DiscardedAnswers() int64 { return f.discardedAnswers.Load() }

// logStart logs an attempt whose first bytes have been written.
func (t *platformAttempt) logStart(c *platformConn) {
	log := t.fleet.log.Debug
	if t.spec.Number > 0 {
		log = t.fleet.log.Info
	}
	log("attempt started", "query", t.spec.Query.ID, "trace", t.call.ID, "attempt", t.spec.Number, "node", t.spec.Node, "connection", c.id)
}

// logEnd logs how an attempt that was written ended. One that was abandoned ends with its client or its deadline: no other follows it.
func (t *platformAttempt) logEnd(c *platformConn, err error) {
	log := t.fleet.log.Debug
	if err != nil && t.cancelledAt.Load() == 0 {
		log = t.fleet.log.Info
	}
	t.mu.Lock()
	received, total := t.result.ReceivedPages(), t.result.TotalPages()
	t.mu.Unlock()
	log("attempt over", "query", t.spec.Query.ID, "trace", t.call.ID, "attempt", t.spec.Number, "node", t.spec.Node, "connection", c.id,
		"pages", received, "of", total, "error", err)
}

// logClosed logs the close of a connection with its reason.
func (c *platformConn) logClosed(attempts int, cause error) {
	log := c.fleet.log.Debug
	if attempts > 0 {
		log = c.fleet.log.Info
	}
	log("node connection closed", "connection", c.id, "address", c.pool.address, "attempts", attempts, "cause", cause)
}

// logDiscarded counts an answer that belongs to no attempt on its connection, and logs the first ones.
func (c *platformConn) logDiscarded(a *lineproto.Answer) {
	c.fleet.discardedAnswers.Add(1)
	if c.discarded++; c.discarded <= maxLoggedDiscards {
		c.fleet.log.Info("answer without an attempt", "connection", c.id, "address", c.pool.address, "trace", a.ID, "kind", string(a.Kind))
	}
}
