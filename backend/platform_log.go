package backend

import "embershunt/internal/lineproto"

// maxLoggedDiscards is how many discarded answers of one connection are logged; all of them are counted.
const maxLoggedDiscards = 8

// DiscardedAnswers returns the number of answers that belonged to no attempt on their connection.
func (f *Fleet) DiscardedAnswers() int64 { return f.discardedAnswers.Load() }

// logStart logs the start of an attempt, whose first bytes have been written: a retry at Info, a first attempt at Debug.
func (t *platformAttempt) logStart(c *platformConn) {
	log := t.fleet.log.Debug
	if t.spec.Number > 0 {
		log = t.fleet.log.Info
	}
	log("attempt started", "query", t.spec.Query.ID, "trace", t.call.ID, "attempt", t.spec.Number, "node", t.spec.Node, "connection", c.id)
}

// logEnd logs how an attempt ended whose request was written: at Info if it failed, at Debug if it succeeded or was cancelled by the
// dispatcher.
func (t *platformAttempt) logEnd(c *platformConn, err error) {
	log := t.fleet.log.Debug
	if err != nil && t.cancelledAt.Load() == 0 {
		log = t.fleet.log.Info
	}
	t.mu.Lock()
	received, total := t.result.ReceivedPages(), t.result.TotalPages()
	t.mu.Unlock()
	log("attempt finished", "query", t.spec.Query.ID, "trace", t.call.ID, "attempt", t.spec.Number, "node", t.spec.Node, "connection", c.id,
		"pages", received, "of", total, "error", err)
}

// logClosed logs why a connection was closed: at Info if that ended attempts, otherwise at Debug.
func (c *platformConn) logClosed(attempts int, cause error) {
	log := c.fleet.log.Debug
	if attempts > 0 {
		log = c.fleet.log.Info
	}
	log("node connection closed", "connection", c.id, "address", c.pool.address, "attempts", attempts, "cause", cause)
}

// logDiscarded counts an answer that belongs to no attempt on its connection, and logs the first maxLoggedDiscards of a connection.
func (c *platformConn) logDiscarded(a *lineproto.Answer) {
	c.fleet.discardedAnswers.Add(1)
	if c.discarded++; c.discarded <= maxLoggedDiscards {
		c.fleet.log.Info("answer discarded: no matching attempt on the connection", "connection", c.id, "address", c.pool.address,
			"trace", a.ID, "kind", string(a.Kind))
	}
}
