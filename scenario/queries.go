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

// ClientQuery is one query as its client saw it.
type ClientQuery struct {
	Serial            int
	Group             int
	Dispatcher        int
	Key               int // -1: none
	Work              time.Duration
	Sent              time.Time
	Deadline          time.Time
	Ended             time.Time
	Outcome           string // served, refused, failed; "" where no word of the dispatcher came
	Reason            string
	Cancelled         bool // the client called it off
	Lost              bool // the dispatcher was killed meanwhile, or was not up
	Rows              int64
	WantRows          int64
	Error             string
	Native            bool // over the native protocol
	Token             string
	HonoredRetryAfter bool // it is a refused one that came back when it was told to
}

// runClients sends one group's queries for the length of the day and waits for all of their answers.
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
		a, statement := e.drawQuery(g, rng)
		leave := rng.Float64() < c.CancelRate
		group.Go(func() error {
			e.send(ctx, a, statement, leave, c.Retries)
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

// drawQuery draws a query.
func (e *environment) drawQuery(g int, rng *rand.Rand) (*ClientQuery, string) {
	c := &e.script.Clients[g]
	native := c.Keyed || c.Native > 0 && rng.Float64() < c.Native
	work := c.WorkMS * math.Exp(c.Sigma*rng.NormFloat64())
	a := &ClientQuery{Group: g, Key: -1, Dispatcher: rng.IntN(len(e.dispatchers)), WantRows: int64(c.Rows),
		Work: time.Duration(work * float64(time.Millisecond)), Native: native}
	if c.Keys > 0 {
		a.Key = rng.IntN(c.Keys)
		a.Dispatcher = a.Key % len(e.dispatchers) // order is kept by each dispatcher alone
	}
	return a, e.register(a, false)
}

// register numbers a query and writes its statement.
func (e *environment) register(a *ClientQuery, retry bool) string {
	c := &e.script.Clients[a.Group]
	e.mu.Lock()
	a.Serial = len(e.queries)
	e.queries = append(e.queries, a)
	e.mu.Unlock()
	verb := "SELECT * FROM policy"
	switch {
	case c.Keyed:
		verb = "INSERT INTO events (id, name)"
		if a.Token == "" {
			a.Token = fmt.Sprintf("token-%d", a.Serial)
		}
	case c.Update, c.Statements > 0:
		verb = "INSERT INTO payment VALUES (1)"
	}
	s := fmt.Sprintf("%s /* serial=%d class=%s work_ms=%.3f threads=%d rows=%d", verb, a.Serial, c.Class,
		float64(a.Work.Microseconds())/1e3, max(c.Threads, 1), c.Rows)
	if c.RowBytes > 0 {
		s += fmt.Sprintf(" row_bytes=%d", c.RowBytes)
	}
	if c.Hints {
		s += fmt.Sprintf(" cost_ms=%.3f", float64(a.Work.Microseconds())/1e3)
	}
	if c.MemoryMB > 0 {
		s += fmt.Sprintf(" memory_mb=%.0f", c.MemoryMB)
	}
	if a.Key >= 0 {
		s += fmt.Sprintf(" key=k%d", a.Key)
	}
	if retry {
		s += " retry=1"
	}
	if s += " */"; c.Keyed {
		s += " VALUES"
	}
	return s
}

// send sends one query and books its end; a refused one comes back when it may.
func (e *environment) send(outer context.Context, a *ClientQuery, statement string, leave bool, retries int) {
	c := &e.script.Clients[a.Group]
	now := time.Now()
	deadline := now.Add(c.Deadline.D())
	ctx, cancel := context.WithDeadline(outer, deadline)
	defer cancel()
	if leave {
		t := time.AfterFunc(c.Deadline.D()/2, cancel)
		defer t.Stop()
	}
	e.mu.Lock()
	a.Sent, a.Deadline = now, deadline
	e.mu.Unlock()
	rows, outcome, err := e.execute(ctx, a, statement)
	ended := time.Now()
	e.mu.Lock()
	a.Ended, a.Outcome, a.Reason, a.Rows = ended, outcome.kind, outcome.reason, rows
	a.Cancelled = leave && errors.Is(ctx.Err(), context.Canceled)
	if err != nil {
		a.Error = err.Error()
		a.Lost = outcome.kind == "" && (a.Native || status.Code(err) == codes.Unavailable)
	}
	e.mu.Unlock()
	if outcome.kind == "refused" && retries > 0 && clock.Sleep(outer, outcome.retryAfter) {
		again := &ClientQuery{Group: a.Group, Dispatcher: a.Dispatcher, Key: a.Key, Work: a.Work, WantRows: a.WantRows, Native: a.Native,
			Token: a.Token, HonoredRetryAfter: outcome.retryAfter > 0}
		text := e.register(again, true)
		e.send(outer, again, text, false, retries-1)
	}
}

// execute runs a query over the protocol it was drawn for.
func (e *environment) execute(ctx context.Context, a *ClientQuery, statement string) (rows int64, outcome outcome, err error) {
	c := &e.script.Clients[a.Group]
	e.mu.Lock()
	client, native := e.dispatchers[a.Dispatcher].client, e.dispatchers[a.Dispatcher].native
	e.mu.Unlock()
	if !a.Native {
		rows, err = execute(ctx, client, statement, c.Update)
		return rows, grpcOutcome(err), err
	}
	if rows, err = native.execute(ctx, statement, a.Token); c.Update || c.Keyed {
		rows = a.WantRows // counted by nodes
	}
	return rows, nativeOutcome(err), err
}

// outcome is a final answer as a client reads it; the kind is empty where no word of the dispatcher came.
type outcome struct {
	kind       string // served, refused or failed
	reason     string
	retryAfter time.Duration
}
