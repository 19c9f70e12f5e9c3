package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/status"

	"embershunt/internal/clock"
	"embershunt/simulated"
)

// Transaction is one transaction as its client recorded it.
type Transaction struct {
	Number     int
	Dispatcher int
	Started    bool
	Statements int    // statements that were served
	Failures   int    // answers that said that the transaction is lost
	Sent       int    // statements after the first such answer
	End        string // one of the constants below
	Reason     string // why the transaction was lost or left open
	From, To   time.Time
}

// How a transaction ended, as its client knows it.
const (
	transactionCommitted  = "committed"
	transactionRolledBack = "rolled back"
	transactionLost       = "lost, nothing committed"
	transactionUnknown    = "lost, commit unknown"
	transactionLeftOpen   = "left open"
)

// transactionClient is the client that runs one transaction of a client group.
type transactionClient struct {
	environment *environment
	group       *ClientGroup
	groupIndex  int
	rng         *rand.Rand
	transaction *Transaction
	handle      *flightsql.Txn
}

// runTransaction runs one transaction of group g: its statements, with pauses, and then a commit, a rollback or neither.
func (e *environment) runTransaction(ctx context.Context, g int, rng *rand.Rand) {
	t := &Transaction{From: time.Now(), Dispatcher: rng.IntN(len(e.dispatchers))}
	e.mu.Lock()
	t.Number = len(e.transactions)
	e.transactions = append(e.transactions, t)
	client := e.dispatchers[t.Dispatcher].client
	e.mu.Unlock()
	defer func() { t.To = time.Now() }()
	handle, err := client.BeginTransaction(ctx)
	if err != nil {
		t.recordLoss(err)
		t.End = transactionLost
		return
	}
	t.Started = true
	c := &transactionClient{environment: e, group: &e.script.Clients[g], groupIndex: g, rng: rng, transaction: t, handle: handle}
	for range c.group.Statements {
		c.pause(ctx)
		if lost := c.execute(ctx); lost {
			return
		}
	}
	c.pause(ctx)
	c.end(ctx)
}

// recordLoss records an answer that says that the transaction is lost. It returns false if the error does not say so.
func (t *Transaction) recordLoss(err error) bool {
	reason, commit := sessionLoss(err)
	if commit == "" {
		return false
	}
	if t.Reason == "" {
		t.Reason = reason
	}
	t.Failures++
	t.End = transactionLost
	if commit == "unknown" {
		t.End = transactionUnknown
	}
	return true
}

// pause waits for a random time (exponential) with the group's mean.
func (c *transactionClient) pause(ctx context.Context) {
	clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.group.Pause)))
}

// withDeadline makes a call with the group's deadline.
func (c *transactionClient) withDeadline(ctx context.Context, call func(ctx context.Context) error) error {
	inner, cancel := context.WithTimeout(ctx, c.group.Deadline.D())
	defer cancel()
	return call(inner)
}

// execute runs one statement of the transaction and reports whether the transaction is lost.
func (c *transactionClient) execute(ctx context.Context) (lost bool) {
	t := c.transaction
	work := c.group.WorkMS * math.Exp(c.group.Sigma*c.rng.NormFloat64())
	query := &ClientQuery{Group: c.groupIndex, Key: -1, Dispatcher: t.Dispatcher, Work: time.Duration(work * float64(time.Millisecond))}
	statement := strings.Replace(c.environment.register(query, false), "/*", fmt.Sprintf("/* tx=%d", t.Number), 1)
	err := c.withDeadline(ctx, func(ctx context.Context) error { return c.update(ctx, query, statement) })
	if t.Failures > 0 {
		t.Sent++
	}
	if err == nil {
		t.Statements++
		return false
	}
	return t.recordLoss(err)
}

// update sends a statement and records how it ended.
func (c *transactionClient) update(ctx context.Context, query *ClientQuery, statement string) error {
	e := c.environment
	e.mu.Lock()
	query.Sent, query.Deadline = time.Now(), time.Now().Add(c.group.Deadline.D())
	e.mu.Unlock()
	rows, err := c.handle.ExecuteUpdate(ctx, statement)
	outcome := grpcOutcome(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	query.Ended, query.Outcome, query.Reason, query.Rows, query.WantRows = time.Now(), outcome.kind, outcome.reason, rows, rows
	if err != nil {
		query.Error, query.Lost = err.Error(), outcome.kind == ""
	}
	return err
}

// Shares of the transactions that their clients leave open, and that they leave open or roll back.
const (
	leftOpenShare = 0.05
	rollbackShare = 0.2
)

// end leaves the transaction open, rolls it back or commits it, by chance.
func (c *transactionClient) end(ctx context.Context) {
	switch x := c.rng.Float64(); {
	case x < leftOpenShare:
		c.transaction.End = transactionLeftOpen
	case x < rollbackShare:
		c.rollback(ctx)
	default:
		c.commit(ctx)
	}
}

// rollback rolls the transaction back; if the call fails for another reason than a lost transaction, the transaction counts as left open.
func (c *transactionClient) rollback(ctx context.Context) {
	t := c.transaction
	err := c.withDeadline(ctx, func(ctx context.Context) error { return c.handle.Rollback(ctx) })
	if err == nil {
		t.End = transactionRolledBack
	} else if !t.recordLoss(err) {
		t.End = transactionLeftOpen
	}
}

// commit commits the transaction. Whether it is committed is unknown if the call fails for a reason that does not say.
func (c *transactionClient) commit(ctx context.Context) {
	t := c.transaction
	err := c.withDeadline(ctx, func(ctx context.Context) error { return c.handle.Commit(ctx) })
	if err == nil {
		t.End = transactionCommitted
		return
	}
	if t.recordLoss(err) {
		return
	}
	t.End = transactionUnknown
	if outcome := grpcOutcome(err); outcome.kind == "refused" { // a rejected commit did not run, and this client does not retry it
		t.End, t.Reason = transactionLeftOpen, outcome.reason
	} else if t.Reason == "" {
		t.Reason = fmt.Sprint(err)
	}
}

// sessionLoss returns the reason why an error says that a session is lost, and its "commit" field: "unknown" if a commit may have run.
// The field is empty if the error does not tell of a lost session.
func sessionLoss(err error) (reason, commit string) {
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

// awaitSessionsEnd waits until no node has an open transaction, for at most twice the idle timeout of sessions plus 5 s.
func (e *environment) awaitSessionsEnd(ctx context.Context) {
	if len(e.transactions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*e.dispatchers[0].config.File.Sessions.IdleTimeout.D()+5*time.Second)
	defer cancel()
	for _, n := range e.nodes {
		_ = n.Await(ctx, func([]simulated.AttemptRecord) bool { return n.Transactions() == 0 })
	}
}
