package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/status"

	"embershunt/simulated"
)

// Tx is one transaction as its client saw it.
type Tx struct {
	Number     int
	Dispatcher int
	Begun      bool
	Statements int // that were served
	Failures   int // answers that said that it is lost
	Sent       int // statements after the first such answer
	End        string
	Reason     string
	From, To   time.Time
}

// How a transaction ended, as far as its client knows.
const (
	txCommitted = "committed"
	txRolled    = "rolled back"
	txNothing   = "lost, nothing committed"
	txUnknown   = "lost, commit unknown"
	txVanished  = "left open"
)

// transact plays one transaction: its statements, with pauses, then a commit, a roll back, or nothing at all.
func (w *world) transact(ctx context.Context, g int, rng *rand.Rand) {
	c := &w.script.Clients[g]
	t := &Tx{From: time.Now(), Dispatcher: rng.IntN(len(w.hosts))}
	w.mu.Lock()
	t.Number = len(w.txs)
	w.txs = append(w.txs, t)
	client := w.hosts[t.Dispatcher].client
	w.mu.Unlock()
	defer func() { t.To = time.Now() }()
	call := func(run func(ctx context.Context) error) error {
		inner, cancel := context.WithTimeout(ctx, c.Deadline.D())
		defer cancel()
		return run(inner)
	}
	lost := func(err error) bool {
		reason, commit := sessionWord(err)
		if commit == "" {
			return false
		}
		if t.Reason == "" {
			t.Reason = reason
		}
		t.Failures++
		t.End = txNothing
		if commit == "unknown" {
			t.End = txUnknown
		}
		return true
	}
	tx, err := client.BeginTransaction(ctx)
	if err != nil {
		lost(err)
		t.End = txNothing
		return
	}
	t.Begun = true
	for range c.Statements {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(c.Think)))
		work := c.WorkMS * math.Exp(c.Sigma*rng.NormFloat64())
		a := &Asked{Group: g, Key: -1, Dispatcher: t.Dispatcher, Work: time.Duration(work * float64(time.Millisecond))}
		statement := strings.Replace(w.book(a, false), "/*", fmt.Sprintf("/* tx=%d", t.Number), 1)
		err := call(func(ctx context.Context) error {
			w.mu.Lock()
			a.Sent, a.Deadline = time.Now(), time.Now().Add(c.Deadline.D())
			w.mu.Unlock()
			rows, err := tx.ExecuteUpdate(ctx, statement)
			final, reason, _ := word(err)
			w.mu.Lock()
			defer w.mu.Unlock()
			a.Ended, a.Final, a.Reason, a.Rows, a.Want = time.Now(), final, reason, rows, rows
			if err != nil {
				a.Error, a.Lost = err.Error(), final == ""
			}
			return err
		})
		if t.Failures > 0 {
			t.Sent++
		}
		if err == nil {
			t.Statements++
		} else if lost(err) {
			return
		}
	}
	sleep(ctx, time.Duration(rng.ExpFloat64()*float64(c.Think)))
	switch x := rng.Float64(); {
	case x < 0.05:
		t.End = txVanished
	case x < 0.2:
		if err := call(func(ctx context.Context) error { return tx.Rollback(ctx) }); err != nil && !lost(err) {
			t.End = txVanished
		} else if err == nil {
			t.End = txRolled
		}
	default:
		switch err := call(func(ctx context.Context) error { return tx.Commit(ctx) }); {
		case err == nil:
			t.End = txCommitted
		case lost(err):
		default:
			t.End = txUnknown
			if final, reason, _ := word(err); final == "refused" { // nothing ran; this client gives up
				t.End, t.Reason = txVanished, reason
			} else if t.Reason == "" {
				t.Reason = fmt.Sprint(err)
			}
		}
	}
}

// sessionWord reads what an error says of a session: its reason and whether a commit is known not to have run; "" where it
// says nothing of one that is lost.
func sessionWord(err error) (reason, commit string) {
	var s interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &s) {
		return "", ""
	}
	for _, d := range s.GRPCStatus().Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok && i.GetMetadata()["final"] == "failed" {
			return i.GetReason(), i.GetMetadata()["commit"]
		}
	}
	return "", ""
}

// Sessions is what came of a day's transactions.
type Sessions struct {
	Begun, NotBegun int
	Ends            map[string]int
	Reasons         map[string]int
	Open            int // left on nodes in the end
	ByNode          []int
}

// transactions compares what clients were told with what became visible on nodes, once.
func (w *world) transactions(rep *Report) Rule {
	r := Rule{Name: "8 transactions end once, as told"}
	seen := map[int][]string{} // statements that became visible, by transaction
	for _, n := range w.nodes {
		t := n.Tally()
		for s, k := range t.Commits {
			r.check(k > 1, "session %s was committed %d times at %s", s, k, n.Name)
		}
		for _, statement := range t.Committed {
			var number int
			if _, rest, ok := strings.Cut(statement, "tx="); ok {
				fmt.Sscanf(rest, "%d", &number)
				seen[number] = append(seen[number], statement)
			}
		}
		rep.Sessions.ByNode = append(rep.Sessions.ByNode, t.Begun)
		rep.Sessions.Open += n.Transactions()
	}
	rep.Sessions.Ends, rep.Sessions.Reasons = map[string]int{}, map[string]int{}
	for _, t := range w.txs {
		if !t.Begun {
			rep.Sessions.NotBegun++
			continue
		}
		rep.Sessions.Begun++
		rep.Sessions.Ends[t.End]++
		if t.Reason != "" {
			rep.Sessions.Reasons[t.Reason]++
		}
		list := seen[t.Number]
		slices.Sort(list)
		r.check(len(slices.Compact(slices.Clone(list))) != len(list), "transaction %d: a statement became visible twice", t.Number)
		down := w.away(t)
		switch t.End {
		case txCommitted:
			r.check(len(list) != t.Statements, "transaction %d: committed with %d statements, visible are %d", t.Number, t.Statements, len(list))
		case txRolled, txNothing, txVanished:
			r.check(len(list) > 0, "transaction %d: %s, and %d statements are visible (%s)", t.Number, t.End, len(list), t.Reason)
		case txUnknown:
			r.check(len(list) != 0 && len(list) != t.Statements, "transaction %d: %d of %d statements are visible", t.Number, len(list), t.Statements)
		}
		r.check(t.Failures > 1 && !down, "transaction %d: told %d times that it is lost", t.Number, t.Failures)
	}
	r.check(rep.Sessions.Open > 0, "%d transactions are left on nodes", rep.Sessions.Open)
	return r
}

// away tells that a transaction's dispatcher was down while it ran.
func (w *world) away(t *Tx) bool {
	for _, d := range w.downs {
		if d.dispatcher == t.Dispatcher && t.From.Before(d.to) && t.To.After(d.from) {
			return true
		}
	}
	return false
}

// drainSessions waits until nodes hold nothing of a session, as long as the idle time-out and a little more allow.
func (w *world) drainSessions(ctx context.Context) {
	if len(w.txs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*w.hosts[0].cfg.File.Sessions.Idle.D()+5*time.Second)
	defer cancel()
	for _, n := range w.nodes {
		n.Await(ctx, func([]simulated.Seen) bool { return n.Transactions() == 0 })
	}
}
