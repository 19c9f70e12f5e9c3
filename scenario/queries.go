package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"embershunt/internal/clock"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ClientQuery is one query as its client recorded it.
type ClientQuery struct {
	Serial            int
	Group             int
	Dispatcher        int
	Key               int // order key; -1: none
	Work              time.Duration
	Sent              time.Time
	Deadline          time.Time
	Ended             time.Time
	Outcome           string // served, refused or failed; "" without an answer of the dispatcher
	Reason            string
	Cancelled         bool // the client cancelled the query
	Lost              bool // no answer; over Flight SQL, only if the status is UNAVAILABLE
	Rows              int64
	WantRows          int64
	Error             string
	Native            bool   // sent over the native protocol
	Token             string // deduplication token of a keyed INSERT
	HonoredRetryAfter bool   // the query retries a rejected query after its retry-after
}

// runClients sends the queries of group g for the length of the day, or its burst, and waits until all have ended.
func (e *environment) runClients(ctx context.Context, g int, rng *rand.Rand) error {
	c := &e.script.Clients[g]
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // its goroutines return no error
	send := func() {
		if c.Statements > 0 {
			seed := rng.Uint64()
			group.Go(func() error {
				e.runTransaction(ctx, g, rand.New(rand.NewPCG(seed, 9)))
				return nil
			})
			return
		}
		q, statement := e.drawQuery(g, rng)
		cancelEarly := rng.Float64() < c.CancelRate
		group.Go(func() error {
			e.send(ctx, q, statement, cancelEarly, c.Retries)
			return nil
		})
	}
	if c.Burst > 0 {
		if !clock.Sleep(ctx, time.Until(e.begin.Add(c.BurstAt.D()))) {
			return nil
		}
		for range c.Burst {
			send()
		}
		return nil
	}
	at := e.begin
	for c.Rate > 0 {
		at = at.Add(time.Duration(rng.ExpFloat64() / c.Rate * 1e9))
		if at.Sub(e.begin) > e.script.Length.D() || !clock.Sleep(ctx, time.Until(at)) {
			return nil
		}
		send()
	}
	return nil
}

// drawQuery draws a query of group g at random, registers it and returns it with its statement.
func (e *environment) drawQuery(g int, rng *rand.Rand) (*ClientQuery, string) {
	c := &e.script.Clients[g]
	native := c.Keyed || c.Native > 0 && rng.Float64() < c.Native
	work := c.WorkMS * math.Exp(c.Sigma*rng.NormFloat64())
	q := &ClientQuery{Group: g, Key: -1, Dispatcher: rng.IntN(len(e.dispatchers)), WantRows: int64(c.Rows),
		Work: time.Duration(work * float64(time.Millisecond)), Native: native}
	if c.Keys > 0 {
		q.Key = rng.IntN(c.Keys)
		q.Dispatcher = q.Key % len(e.dispatchers) // a dispatcher orders only its own queries
	}
	return q, e.register(q, false)
}

// register gives a query its serial number, records it and returns its statement.
func (e *environment) register(q *ClientQuery, retry bool) string {
	c := &e.script.Clients[q.Group]
	e.mu.Lock()
	q.Serial = len(e.queries)
	e.queries = append(e.queries, q)
	e.mu.Unlock()
	verb := "SELECT * FROM policy"
	switch {
	case c.Keyed:
		verb = "INSERT INTO events (id, name)"
		if q.Token == "" {
			q.Token = fmt.Sprintf("token-%d", q.Serial)
		}
	case c.Update, c.Statements > 0:
		verb = "INSERT INTO payment VALUES (1)"
	}
	s := fmt.Sprintf("%s /* serial=%d class=%s work_ms=%.3f threads=%d rows=%d", verb, q.Serial, c.Class,
		float64(q.Work.Microseconds())/1e3, max(c.Threads, 1), c.Rows)
	if c.RowBytes > 0 {
		s += fmt.Sprintf(" row_bytes=%d", c.RowBytes)
	}
	if c.Hints {
		s += fmt.Sprintf(" cost_ms=%.3f", float64(q.Work.Microseconds())/1e3)
	}
	if c.MemoryMB > 0 {
		s += fmt.Sprintf(" memory_mb=%.0f", c.MemoryMB)
	}
	if q.Key >= 0 {
		s += fmt.Sprintf(" key=k%d", q.Key)
	}
	if retry {
		s += " retry=1"
	}
	if s += " */"; c.Keyed {
		s += " VALUES"
	}
	return s
}

// send sends one query and records how it ended. If cancelEarly is set, the client cancels halfway to the deadline. A rejected query is
// sent again, up to retries times, each time after its retry-after.
func (e *environment) send(runCtx context.Context, q *ClientQuery, statement string, cancelEarly bool, retries int) {
	c := &e.script.Clients[q.Group]
	now := time.Now()
	deadline := now.Add(c.Deadline.D())
	ctx, cancel := context.WithDeadline(runCtx, deadline)
	defer cancel()
	if cancelEarly {
		t := time.AfterFunc(c.Deadline.D()/2, cancel)
		defer t.Stop()
	}
	e.mu.Lock()
	q.Sent, q.Deadline = now, deadline
	e.mu.Unlock()
	rows, outcome, err := e.execute(ctx, q, statement)
	ended := time.Now()
	e.mu.Lock()
	q.Ended, q.Outcome, q.Reason, q.Rows = ended, outcome.kind, outcome.reason, rows
	q.Cancelled = cancelEarly && errors.Is(ctx.Err(), context.Canceled)
	if err != nil {
		q.Error = err.Error()
		q.Lost = outcome.kind == "" && (q.Native || status.Code(err) == codes.Unavailable)
	}
	e.mu.Unlock()
	if outcome.kind == "refused" && retries > 0 && clock.Sleep(runCtx, outcome.retryAfter) {
		retry := &ClientQuery{Group: q.Group, Dispatcher: q.Dispatcher, Key: q.Key, Work: q.Work, WantRows: q.WantRows, Native: q.Native,
			Token: q.Token, HonoredRetryAfter: outcome.retryAfter > 0}
		text := e.register(retry, true)
		e.send(runCtx, retry, text, false, retries-1)
	}
}

// execute runs a query over the protocol that was drawn for it.
func (e *environment) execute(ctx context.Context, q *ClientQuery, statement string) (rows int64, outcome outcome, err error) {
	c := &e.script.Clients[q.Group]
	e.mu.Lock()
	client, native := e.dispatchers[q.Dispatcher].client, e.dispatchers[q.Dispatcher].native
	e.mu.Unlock()
	if !q.Native {
		rows, err = execute(ctx, client, statement, c.Update)
		return rows, grpcOutcome(err), err
	}
	if rows, err = native.execute(ctx, statement, q.Token); c.Update || c.Keyed {
		rows = q.WantRows // the native client does not count the rows of writes
	}
	return rows, nativeOutcome(err), err
}

// outcome is the final answer of a query as its client reads it. The kind is empty without an answer of the dispatcher.
type outcome struct {
	kind       string // served, refused or failed
	reason     string
	retryAfter time.Duration
}
