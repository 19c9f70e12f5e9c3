package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"embershunt/control"
	"embershunt/control/configv1"
	"embershunt/control/stream"
	"embershunt/internal/flightwire"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/server"
	"embershunt/simulated"
)

// sharedKey configures the key that seals tokens, so that another dispatcher with the same key can read them.
const sharedKey = `, "keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]`

// sessionFailure returns the reason of a session's failure and whether a commit is known not to have run. Without an ErrorInfo, reason
// is the text of the error, "<nil>" for none.
func sessionFailure(err error) (reason, commit string) {
	for _, d := range status.Convert(err).Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok {
			return i.GetReason(), i.GetMetadata()["commit"]
		}
	}
	return fmt.Sprint(err), ""
}

// nodeWithTransaction returns the index of the first node that has a transaction open.
func (r *rig) nodeWithTransaction() int {
	r.t.Helper()
	for i, n := range r.nodes {
		if n.Transactions() > 0 {
			return i
		}
	}
	r.t.Fatal("no node has a transaction open")
	return -1
}

// awaitNoState waits until no node has a transaction open, and checks that no session was committed twice.
func (r *rig) awaitNoState() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	for _, n := range r.nodes {
		if n.Await(ctx, func([]simulated.AttemptRecord) bool { return n.Transactions() == 0 }) != nil {
			r.t.Errorf("%s still has %d open transactions", n.Name, n.Transactions())
		}
		for session, commits := range n.SessionRecord().CommitsBySession {
			if commits > 1 {
				r.t.Errorf("session %s was committed %d times", session, commits)
			}
		}
	}
}

// awaitRollback waits until the node with the given index has no transaction open.
func (r *rig) awaitRollback(ctx context.Context, node int) {
	r.t.Helper()
	if err := r.nodes[node].Await(ctx, func([]simulated.AttemptRecord) bool { return r.nodes[node].Transactions() == 0 }); err != nil {
		r.t.Errorf("%s has not rolled back: %v", r.nodes[node].Name, err)
	}
}

// committedStatements returns the committed statements of all nodes.
func (r *rig) committedStatements() (all []string) {
	for _, n := range r.nodes {
		all = append(all, n.SessionRecord().Committed...)
	}
	return all
}

// All statements of an unmodified client's transaction reach the node that holds it. A commit makes their effects visible, a rollback
// discards them, and savepoints and prepared statements work within a transaction.
func TestTransactions(t *testing.T) {
	r := newRig(t, 3, "")
	for i := range 10 {
		tx, err := r.client.BeginTransaction(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		node := r.nodes[r.nodeWithTransaction()]
		before := len(node.Attempts())
		for k := range 3 {
			if _, err := tx.ExecuteUpdate(t.Context(), fmt.Sprintf("INSERT INTO t VALUES (%d) /* tx=%d */", k, i)); err != nil {
				t.Fatal(err)
			}
			info, err := tx.Execute(t.Context(), "SELECT 1 /* rows=2 */")
			if err != nil {
				t.Fatal(err)
			}
			reader, err := r.client.DoGet(t.Context(), info.Endpoint[0].Ticket)
			if err != nil {
				t.Fatal(err)
			}
			for reader.Next() {
			}
			if reader.Err() != nil {
				t.Fatal(reader.Err())
			}
			reader.Release()
		}
		if got := len(node.Attempts()) - before; got != 6 {
			t.Fatalf("%d of 6 statements reached the node that holds the transaction", got)
		}
		savepoint, err := tx.BeginSavepoint(t.Context(), "p")
		if err != nil {
			t.Fatal(err)
		}
		prepared, err := tx.Prepare(t.Context(), "INSERT INTO t VALUES (9)")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := prepared.ExecuteUpdate(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := tx.RollbackSavepoint(t.Context(), savepoint); err != nil {
			t.Fatal(err)
		}
		end := tx.Commit
		if i%2 == 1 {
			end = tx.Rollback
		}
		if err := end(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.committedStatements()); n != 15 { // 3 in each of 5 commits
		t.Errorf("%d statements were committed, want 15: %q", n, r.committedStatements())
	}
	r.awaitNoState()
	if _, withState, _ := r.d.Sessions().Status(); withState != 0 {
		t.Errorf("%d sessions still have state", withState)
	}
}

// A transaction that cannot go on fails with the reason and with what is known of its commit. It is never moved to another node or
// committed twice, and no node keeps its state.
func TestLostTransactions(t *testing.T) {
	drain := func(node int) func(i int, n *nodelist.Node) bool {
		return func(i int, n *nodelist.Node) bool {
			if i == node {
				n.State = policy.Draining
			}
			return true
		}
	}
	cases := []struct {
		name      string
		config    string
		act       func(r *rig, tx *flightsql.Txn, node int) error // node holds the transaction
		reason    string
		commit    string
		committed int // statements that are committed in the end
	}{
		{"a drain, and a commit after the grace", `, "limits": {"drain_grace": "400ms"}`, func(r *rig, tx *flightsql.Txn, node int) error {
			r.listNodes(drain(node))
			if _, err := tx.ExecuteUpdate(r.t.Context(), "INSERT INTO t VALUES (2)"); err != nil {
				return fmt.Errorf("within the grace: %w", err)
			}
			ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
			defer cancel()
			r.awaitRollback(ctx, node)
			return tx.Commit(r.t.Context())
		}, "NODE_DRAINED", "known not to have run", 0},
		{"a drain, and a commit within the grace", "", func(r *rig, tx *flightsql.Txn, node int) error {
			r.listNodes(drain(node))
			return tx.Commit(r.t.Context())
		}, "", "", 1},
		{"the node restarts and stays listed", "", func(r *rig, tx *flightsql.Txn, node int) error {
			r.nodes[node].Crash()
			if err := r.nodes[node].Start("", false); err != nil {
				return err
			}
			r.listNodes(func(i int, n *nodelist.Node) bool {
				if i == node {
					n.Started = r.nodes[node].Started()
				}
				return true
			})
			return tx.Commit(r.t.Context())
		}, "NODE_RESTARTED", "known not to have run", 0},
		{"the node leaves the list", "", func(r *rig, tx *flightsql.Txn, node int) error {
			r.listNodes(func(i int, _ *nodelist.Node) bool { return i != node })
			_, err := tx.ExecuteUpdate(r.t.Context(), "INSERT INTO t VALUES (2)")
			r.nodes[node].Crash()
			return err
		}, "NODE_GONE", "known not to have run", 0},
		{"the commit's answer is lost", "", func(r *rig, tx *flightsql.Txn, node int) error {
			r.nodes[node].SetFaults(simulated.Faults{LoseAnswers: true})
			ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
			defer cancel()
			id := tx.ID()
			err := tx.Commit(ctx)
			if reason, _ := sessionFailure(commitByToken(r, id)); reason != "COMMIT_UNKNOWN" {
				r.t.Errorf("the reason at a second commit: %s", reason)
			}
			return err
		}, "COMMIT_UNKNOWN", "unknown", 1},
		{"the node hangs while it executes a statement", "", func(r *rig, tx *flightsql.Txn, node int) error {
			r.nodes[node].SetFaults(simulated.Faults{Hang: true})
			ctx, cancel := context.WithTimeout(r.t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (2)")
			r.nodes[node].SetFaults(simulated.Faults{})
			return err
		}, "STATE_UNKNOWN", "known not to have run", 0},
		{"idle for too long", `, "sessions": {"idle": "200ms"}`, func(r *rig, tx *flightsql.Txn, node int) error {
			ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
			defer cancel()
			r.awaitRollback(ctx, node)
			return tx.Commit(r.t.Context())
		}, "SESSION_IDLE", "known not to have run", 0},
		{"committed twice by its client", "", func(r *rig, tx *flightsql.Txn, _ int) error {
			id := tx.ID()
			if err := tx.Commit(r.t.Context()); err != nil {
				return err
			}
			other, err := r.client.BeginTransaction(r.t.Context())
			if err != nil {
				return err
			}
			defer func() { _ = other.Rollback(r.t.Context()) }() // not what this case checks
			return commitByToken(r, id)
		}, "TRANSACTION_DONE", "known not to have run", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3, c.config)
			tx := r.beginWithInsert()
			reason, commit := "", ""
			if err := c.act(r, tx, r.nodeWithTransaction()); err != nil {
				reason, commit = sessionFailure(err)
			}
			if reason != c.reason || commit != c.commit {
				t.Errorf("reason %q, commit %q, want %q, %q", reason, commit, c.reason, c.commit)
			}
			if n := len(r.committedStatements()); n != c.committed {
				t.Errorf("%d statements were committed, want %d", n, c.committed)
			}
			r.checkNothingLeft()
		})
	}
}

// beginWithInsert begins a transaction and executes one update in it.
func (r *rig) beginWithInsert() *flightsql.Txn {
	r.t.Helper()
	tx, err := r.client.BeginTransaction(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(r.t.Context(), "INSERT INTO t VALUES (1)"); err != nil {
		r.t.Fatal(err)
	}
	return tx
}

// checkNothingLeft ends all faults and checks that no transaction is open, that each statement of a session reached the node with its
// state, and that queries without a session are served.
func (r *rig) checkNothingLeft() {
	r.t.Helper()
	for _, n := range r.nodes {
		n.SetFaults(simulated.Faults{})
	}
	r.awaitNoState()
	if m := r.misplacedStatements(); len(m) > 0 {
		r.t.Errorf("statements reached a node without their session's state: %q", m)
	}
	if _, err := r.query(r.t.Context(), "SELECT 1 /* rows=1 */"); err != nil {
		r.t.Error("a query without a session: ", err)
	}
}

// misplacedStatements returns the statements that reached a node without their session's state.
func (r *rig) misplacedStatements() (all []string) {
	for _, n := range r.nodes {
		all = append(all, n.SessionRecord().Misplaced...)
	}
	return all
}

// Two concurrent calls of one session: the second is rejected as SESSION_BUSY. A restarted dispatcher goes on with a transaction by its
// token. Transactions beyond the limit of sessions are rejected with a retry delay. Forged tokens are rejected.
func TestTransactionTokensAndLimits(t *testing.T) {
	r := newRig(t, 2, sharedKey+`, "sessions": {"most": 20, "idle": "30s"}`)
	tx, err := r.client.BeginTransaction(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	const slowInsert = "INSERT INTO t VALUES (1) /* work_ms=300 */"
	go func() {
		_, err := tx.ExecuteUpdate(t.Context(), slowInsert)
		done <- err
	}()
	r.awaitNodeWith(slowInsert)
	_, err = tx.ExecuteUpdate(t.Context(), "INSERT INTO t VALUES (2)")
	if reason, _ := sessionFailure(err); reason != "SESSION_BUSY" {
		t.Errorf("the concurrent call: %v", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	// A restarted dispatcher finds the node with the state from the token.
	address := r.d.Address()
	r.cancel()
	r.ended <- <-r.ended
	r.start(address)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	id := tx.ID()
	if err := tx.Commit(ctx); err != nil {
		t.Error("a commit after the restart: ", err)
	}
	if n := len(r.committedStatements()); n != 1 {
		t.Errorf("%d statements were committed, want 1", n)
	}
	var open []*flightsql.Txn
	var mu sync.Mutex
	var group sync.WaitGroup
	rejected := 0
	for range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			tx, err := r.client.BeginTransaction(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				open = append(open, tx)
				return
			}
			if reason, _ := sessionFailure(err); reason != "TOO_MANY_SESSIONS" || !hasRetryDelay(err) {
				t.Errorf("rejected with %v, want TOO_MANY_SESSIONS and a retry delay", err)
			}
			rejected++
		}()
	}
	group.Wait()
	if len(open) != 20 || rejected != 40 {
		t.Errorf("%d transactions begun, %d rejected, want 20 and 40", len(open), rejected)
	}
	if _, err := r.query(ctx, "SELECT 1 /* rows=1 */"); err != nil {
		t.Error("a query beside them: ", err)
	}
	for _, tx := range open {
		if err := tx.Rollback(ctx); err != nil {
			t.Error(err)
		}
	}
	r.awaitNoState()
	// Tokens that the dispatcher did not make.
	for name, token := range map[string]string{"forged": strings.Repeat("x", 60), "truncated": string(id)[:20]} {
		if err := commitByToken(r, []byte(token)); err == nil {
			t.Errorf("a token that is %s was accepted", name)
		}
	}
}

// commitByToken commits the transaction with the token through a raw EndTransaction action and returns its error.
func commitByToken(r *rig, token []byte) error {
	s, err := r.client.Client.DoAction(r.t.Context(), endTransactionAction(token, 1))
	if err != nil {
		return err
	}
	for {
		if _, err = s.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// endTransactionAction returns the EndTransaction action for a token; mode 1 commits.
func endTransactionAction(token []byte, mode uint64) *flight.Action {
	body := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, token), 2, mode)
	return &flight.Action{Type: "EndTransaction", Body: flightwire.NewCommand("ActionEndTransactionRequest", body)}
}

// Transactions through drains, lost clients and nodes, another dispatcher, changed settings and tenant limits.
func TestTransactionEdgeCases(t *testing.T) {
	t.Run("a drain during BEGIN", drainDuringBegin)
	t.Run("the client disconnects", clientDisconnects)
	t.Run("another dispatcher commits", anotherDispatcherContinues)
	t.Run("an announced drain", announcedDrain)
	t.Run("the class is removed from the settings", classRemoved)
	t.Run("a tenant at its session limit", tenantAtItsLimit)
	t.Run("the node with all sessions is lost", nodeWithAllSessionsLost)
}

// listNodes applies a node list with the rows for which change returns true; change may alter a row.
func (r *rig) listNodes(change func(i int, n *nodelist.Node) bool) {
	r.t.Helper()
	var rows []nodelist.Node
	for i, n := range r.nodes {
		row := nodelist.Node{ID: n.Name, FlightSQLAddress: n.Address, NativeAddress: n.NativeAddress}
		if change(i, &row) {
			rows = append(rows, row)
		}
	}
	if err := r.d.Fleet().SetNodes(rows); err != nil {
		r.t.Fatal(err)
	}
}

// drainDuringBegin drains a node while it executes BEGIN: the client gets an error, and no transaction stays open on the node.
func drainDuringBegin(t *testing.T) {
	r := newRig(t, 1, `, "limits": {"drain_grace": "300ms"}`)
	r.nodes[0].SetFaults(simulated.Faults{Hang: true})
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	go func() {
		_, err := r.client.BeginTransaction(ctx)
		done <- err
	}()
	for _, withState, _ := r.d.Sessions().Status(); withState == 0 && len(done) == 0; _, withState, _ = r.d.Sessions().Status() {
		runtime.Gosched()
	}
	r.listNodes(func(_ int, n *nodelist.Node) bool { n.State = policy.Draining; return true })
	if err := <-done; err == nil {
		t.Error("the transaction was begun on a draining node")
	}
	r.nodes[0].SetFaults(simulated.Faults{})
	r.awaitNoState()
}

// clientDisconnects disconnects a client within its transaction, which is rolled back after the idle timeout of the session.
func clientDisconnects(t *testing.T) {
	r := newRig(t, 2, `, "sessions": {"idle": "300ms"}`)
	other := r.connect()
	if _, err := other.BeginTransaction(t.Context()); err != nil {
		t.Fatal(err)
	}
	closeQuietly(other)
	r.awaitNoState()
}

// anotherDispatcherContinues commits a transaction through another dispatcher, by its token.
func anotherDispatcherContinues(t *testing.T) {
	r := newRig(t, 2, sharedKey)
	tx, err := r.client.BeginTransaction(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(t.Context(), "INSERT INTO t VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	d, err := server.New(r.cfg, server.Options{Seed: 8})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	defer func() { cancel(); _ = awaitEnd(ended) }()
	second := *r
	second.d = d
	second.client = second.connect()
	defer closeQuietly(second.client)
	if err := commitByToken(&second, tx.ID()); err != nil {
		t.Error(err)
	}
	if n := len(r.committedStatements()); n != 1 {
		t.Errorf("%d statements were committed, want 1", n)
	}
	r.awaitNoState()
}

// announcedDrain checks that the answers of a session tell its client, in a header, how long its node still accepts statements.
func announcedDrain(t *testing.T) {
	r := newRig(t, 1, "")
	tx, err := r.client.BeginTransaction(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r.listNodes(func(_ int, n *nodelist.Node) bool { n.DrainAt = time.Now().Add(time.Minute); return true })
	var header metadata.MD
	info, err := tx.Execute(t.Context(), "SELECT 1 /* rows=1 */")
	if err != nil {
		t.Fatal(err)
	}
	reader, err := r.client.DoGet(t.Context(), info.Endpoint[0].Ticket, grpc.Header(&header))
	if err != nil {
		t.Fatal(err)
	}
	for reader.Next() {
	}
	reader.Release()
	ms := 0
	if v := header.Get(flightwire.HeaderDrainsIn); len(v) == 1 {
		ms, _ = strconv.Atoi(v[0])
	}
	if ms < 55000 || ms > 62000 {
		t.Errorf("headers %v, want a drain in about 62000 ms: 60 s and the grace", header)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Error(err)
	}
}

// classRemoved removes the class of a transaction from the settings: statements of that class are rejected, others of the transaction
// still run.
func classRemoved(t *testing.T) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	r := newControlledRig(t, c, 2, "")
	c.SetEndpoints(listedNodes(r), "")
	applySettings := func(n uint64, withAudit bool) {
		t.Helper()
		c.SetResources(stream.SettingsName, settingsResources(t, n, func(s *control.Set) {
			if withAudit {
				s.Classes.Classes = append(s.Classes.Classes, &configv1.Class{Name: "audit", AimUs: 8e6, DeadlineUs: 9e6})
			}
		})...)
		r.awaitControlStatus("the settings in effect", func(s control.Status) bool { return s.Number == n && s.Versions["nodes"] != "" })
	}
	applySettings(1, true)
	ctx := metadata.AppendToOutgoingContext(t.Context(), "embershunt-class", "audit")
	tx, err := r.client.BeginTransaction(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	applySettings(2, false)
	if _, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (2)"); status.Code(err) != codes.InvalidArgument {
		t.Errorf("a statement of a removed class: %v", err)
	}
	if _, err := tx.ExecuteUpdate(t.Context(), "INSERT INTO t VALUES (3)"); err != nil {
		t.Error(err)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Error(err)
	}
	if n := len(r.committedStatements()); n != 2 {
		t.Errorf("%d statements were committed, want 2", n)
	}
}

// tenantAtItsLimit checks that sessions.per_tenant counts the sessions of each tenant separately.
func tenantAtItsLimit(t *testing.T) {
	r := newRig(t, 2, `, "tenants": [{"name": "motor", "per_second": 100}, {"name": "travel", "per_second": 100}], "sessions": {"per_tenant": 2},
		"rules": [{"name": "m", "user": "^m$", "tenant": "motor"}, {"name": "t", "user": "^t$", "tenant": "travel"}]`)
	begin := func(user string) string {
		ctx, err := r.client.Client.AuthenticateBasicToken(t.Context(), user, "x")
		if err != nil {
			t.Fatal(err)
		}
		_, err = r.client.BeginTransaction(ctx)
		reason, _ := sessionFailure(err)
		return reason
	}
	for i, want := range []string{"", "", "TOO_MANY_SESSIONS"} {
		if got := begin("m"); got != want && (want != "" || got != "<nil>") {
			t.Errorf("motor %d: %q, want %q", i, got, want)
		}
	}
	if got := begin("t"); got != "<nil>" {
		t.Errorf("travel: %q", got)
	}
}

// nodeWithAllSessionsLost checks that the clients of a lost node get retry delays spread over sessions.spread, so that they don't all
// reconnect at once.
func nodeWithAllSessionsLost(t *testing.T) {
	r := newRig(t, 1, `, "sessions": {"spread": "4s"}`)
	var transactions []*flightsql.Txn
	for range 40 {
		tx, err := r.client.BeginTransaction(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		transactions = append(transactions, tx)
	}
	r.nodes[0].Crash()
	r.listNodes(func(int, *nodelist.Node) bool { return false })
	retries := map[int64]int{} // by retry delay in units of 400 ms
	for _, tx := range transactions {
		begin := time.Now()
		err := tx.Commit(t.Context())
		if reason, commit := sessionFailure(err); reason != "NODE_GONE" || commit != "known not to have run" || time.Since(begin) > time.Second {
			t.Fatalf("%v after %v", err, time.Since(begin))
		}
		for _, d := range status.Convert(err).Details() {
			if i, ok := d.(*errdetails.RetryInfo); ok {
				retries[i.GetRetryDelay().AsDuration().Milliseconds()/400]++
			}
		}
	}
	for delay, n := range retries {
		if n > 5 || delay > 10 {
			t.Errorf("%d clients retry within 400 ms, after %d ms", n, delay*400)
		}
	}
	if len(retries) < 9 {
		t.Errorf("retry delays %v are not spread over 4 s", retries)
	}
}
