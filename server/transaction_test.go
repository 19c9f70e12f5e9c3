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

// sharedKey seals tokens, so that another dispatcher can read them.
const sharedKey = `, "keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]`

// sessionFailure is what a session's failure says: reason, and whether a commit is known not to have run.
func sessionFailure(err error) (reason, commit string) {
	for _, d := range status.Convert(err).Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok {
			return i.GetReason(), i.GetMetadata()["commit"]
		}
	}
	return fmt.Sprint(err), ""
}

// nodeWithTransaction is the node that has a transaction open.
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

// awaitNoState waits until no node holds anything of a session, and checks what reached them.
func (r *rig) awaitNoState() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	for _, n := range r.nodes {
		if n.Await(ctx, func([]simulated.AttemptRecord) bool { return n.Transactions() == 0 }) != nil {
			r.t.Errorf("%s still holds %d transactions", n.Name, n.Transactions())
		}
		for s, k := range n.Tally().Commits {
			if k > 1 {
				r.t.Errorf("session %s was committed %d times", s, k)
			}
		}
	}
}

// awaitRollback waits until a node has no transaction open.
func (r *rig) awaitRollback(ctx context.Context, node int) {
	r.t.Helper()
	if err := r.nodes[node].Await(ctx, func([]simulated.AttemptRecord) bool { return r.nodes[node].Transactions() == 0 }); err != nil {
		r.t.Errorf("%s has not rolled back: %v", r.nodes[node].Name, err)
	}
}

func (r *rig) committedStatements() (all []string) {
	for _, n := range r.nodes {
		all = append(all, n.Tally().Committed...)
	}
	return all
}

// An unmodified client's transactions: all statements reach the node that holds them, a commit makes them seen, a roll back
// does not, savepoints and prepared statements are part of it.
func TestTransactions(t *testing.T) {
	r := newRig(t, 3, "")
	for i := range 10 {
		tx, err := r.client.BeginTransaction(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		at := r.nodes[r.nodeWithTransaction()]
		before := len(at.Attempts())
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
		if got := len(at.Attempts()) - before; got != 6 {
			t.Fatalf("%d of 6 statements reached the node that holds the transaction", got)
		}
		point, err := tx.BeginSavepoint(t.Context(), "p")
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
		if err := tx.RollbackSavepoint(t.Context(), point); err != nil {
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
	if n := len(r.committedStatements()); n != 15 {
		t.Errorf("%d statements were committed, want 15: %q", n, r.committedStatements())
	}
	r.awaitNoState()
	if _, held, _ := r.d.Sessions().Status(); held != 0 {
		t.Errorf("%d sessions are held", held)
	}
}

// What goes wrong in the middle of a transaction: one clear failure, never a move, no commit twice, nothing left behind.
func TestTransactionsThatAreLost(t *testing.T) {
	drain := func(node int) func(i int, n *nodelist.Node) bool {
		return func(i int, n *nodelist.Node) bool {
			if i == node {
				n.State = policy.Draining
			}
			return true
		}
	}
	cases := []struct {
		name   string
		more   string
		play   func(r *rig, tx *flightsql.Txn, at int) error
		reason string
		commit string
		effect int // statements committed in the end
	}{
		{"a drain between statements, past the grace", `, "limits": {"drain_grace": "400ms"}`, func(r *rig, tx *flightsql.Txn, at int) error {
			r.listNodes(drain(at))
			if _, err := tx.ExecuteUpdate(r.t.Context(), "INSERT INTO t VALUES (2)"); err != nil {
				return fmt.Errorf("within the grace: %w", err)
			}
			ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
			defer cancel()
			r.awaitRollback(ctx, at)
			return tx.Commit(r.t.Context())
		}, "NODE_DRAINED", "known not to have run", 0},
		{"a drain, and a commit within the grace", "", func(r *rig, tx *flightsql.Txn, at int) error {
			r.listNodes(drain(at))
			return tx.Commit(r.t.Context())
		}, "", "", 1},
		{"the node restarts within a heartbeat", "", func(r *rig, tx *flightsql.Txn, at int) error {
			r.nodes[at].Crash()
			if err := r.nodes[at].Start("", false); err != nil {
				return err
			}
			r.listNodes(func(i int, n *nodelist.Node) bool {
				if i == at {
					n.Started = r.nodes[at].Started()
				}
				return true
			})
			return tx.Commit(r.t.Context())
		}, "NODE_RESTARTED", "known not to have run", 0},
		{"the node leaves the list", "", func(r *rig, tx *flightsql.Txn, at int) error {
			r.listNodes(func(i int, _ *nodelist.Node) bool { return i != at })
			_, err := tx.ExecuteUpdate(r.t.Context(), "INSERT INTO t VALUES (2)")
			r.nodes[at].Crash()
			return err
		}, "NODE_GONE", "known not to have run", 0},
		{"the commit's answer is lost", "", func(r *rig, tx *flightsql.Txn, at int) error {
			r.nodes[at].SetFaults(simulated.Faults{LoseAnswers: true})
			ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
			defer cancel()
			id := tx.ID()
			err := tx.Commit(ctx)
			if reason, _ := sessionFailure(actionError(r, id)); reason != "COMMIT_UNKNOWN" {
				r.t.Errorf("afterwards: %s", reason)
			}
			return err
		}, "COMMIT_UNKNOWN", "unknown", 1},
		{"the node hangs with a statement out", "", func(r *rig, tx *flightsql.Txn, at int) error {
			r.nodes[at].SetFaults(simulated.Faults{Hang: true})
			ctx, cancel := context.WithTimeout(r.t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (2)")
			r.nodes[at].SetFaults(simulated.Faults{})
			return err
		}, "STATE_UNKNOWN", "known not to have run", 0},
		{"idle for too long", `, "sessions": {"idle": "200ms"}`, func(r *rig, tx *flightsql.Txn, at int) error {
			ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
			defer cancel()
			r.awaitRollback(ctx, at)
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
			defer func() { _ = other.Rollback(r.t.Context()) }() // its answer is not the case's
			return actionError(r, id)
		}, "TRANSACTION_DONE", "known not to have run", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3, c.more)
			tx := r.beginWithInsert()
			reason, commit := "", ""
			if err := c.play(r, tx, r.nodeWithTransaction()); err != nil {
				reason, commit = sessionFailure(err)
			}
			if reason != c.reason || commit != c.commit {
				t.Errorf("told %q, commit %q, want %q, %q", reason, commit, c.reason, c.commit)
			}
			if n := len(r.committedStatements()); n != c.effect {
				t.Errorf("%d statements were committed, want %d", n, c.effect)
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

// checkNothingLeft ends all faults and checks that no state is left, that no statement ran where the state was not, and that queries without
// a session are served.
func (r *rig) checkNothingLeft() {
	r.t.Helper()
	for _, n := range r.nodes {
		n.SetFaults(simulated.Faults{})
	}
	r.awaitNoState()
	if m := r.misplacedStatements(); len(m) > 0 {
		r.t.Errorf("ran where the state was not: %q", m)
	}
	if _, err := r.query(r.t.Context(), "SELECT 1 /* rows=1 */"); err != nil {
		r.t.Error("without a session: ", err)
	}
}

func (r *rig) misplacedStatements() (all []string) {
	for _, n := range r.nodes {
		all = append(all, n.Tally().Misplaced...)
	}
	return all
}

// A session used by two calls at once, a flood of begins that never end, and another dispatcher that takes one over.
func TestTransactionsOfManyHands(t *testing.T) {
	r := newRig(t, 2, sharedKey+`, "sessions": {"most": 20, "idle": "30s"}`)
	tx, err := r.client.BeginTransaction(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	const slow = "INSERT INTO t VALUES (1) /* work_ms=300 */"
	go func() {
		_, err := tx.ExecuteUpdate(t.Context(), slow)
		done <- err
	}()
	r.seenBy(slow)
	_, err = tx.ExecuteUpdate(t.Context(), "INSERT INTO t VALUES (2)")
	if reason, _ := sessionFailure(err); reason != "SESSION_BUSY" {
		t.Errorf("the second call: %v", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	// The dispatcher restarts: the token says where the state is.
	address := r.d.Address()
	r.cancel()
	r.ended <- <-r.ended
	r.start(address)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	id := tx.ID()
	if err := tx.Commit(ctx); err != nil {
		t.Error("after a restart: ", err)
	}
	if n := len(r.committedStatements()); n != 1 {
		t.Errorf("%d statements were committed, want 1", n)
	}
	var open []*flightsql.Txn
	var mu sync.Mutex
	var group sync.WaitGroup
	turned := 0
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
				t.Errorf("turned away with %v", err)
			}
			turned++
		}()
	}
	group.Wait()
	if len(open) != 20 || turned != 40 {
		t.Errorf("%d begun, %d turned away, want 20 and 40", len(open), turned)
	}
	if _, err := r.query(ctx, "SELECT 1 /* rows=1 */"); err != nil {
		t.Error("beside them: ", err)
	}
	for _, tx := range open {
		if err := tx.Rollback(ctx); err != nil {
			t.Error(err)
		}
	}
	r.awaitNoState()
	// Forged and foreign tokens.
	for name, token := range map[string]string{"forged": strings.Repeat("x", 60), "another purpose": string(id)[:20]} {
		if err := actionError(r, []byte(token)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// actionError ends a transaction by hand and returns the error of that.
func actionError(r *rig, token []byte) error {
	s, err := r.client.Client.DoAction(r.t.Context(), endAction(token, 1))
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

func endAction(token []byte, how uint64) *flight.Action {
	body := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, token), 2, how)
	return &flight.Action{Type: "EndTransaction", Body: flightwire.NewCommand("ActionEndTransactionRequest", body)}
}

// A drain while BEGIN is out; a client that vanishes; a dispatcher that takes a transaction over from another; a drain that is
// announced; a tenant at its limit; and a node that dies with all sessions, whose clients are told to retry one after
// another.
func TestTransactionsOnBadDays(t *testing.T) {
	t.Run("a drain while BEGIN is out", drainDuringBegin)
	t.Run("the client vanishes", clientVanishes)
	t.Run("another dispatcher goes on", anotherDispatcherContinues)
	t.Run("a drain that is announced", announcedDrain)
	t.Run("its class ends in the settings", classRemoved)
	t.Run("a tenant that has its share", tenantAtItsLimit)
	t.Run("all on one node when it dies", nodeDiesWithAllSessions)
}

// listNodes puts a node list in force with the rows for which change returns true.
func (r *rig) listNodes(change func(i int, n *nodelist.Node) bool) {
	r.t.Helper()
	var rows []nodelist.Node
	for i, n := range r.nodes {
		row := nodelist.Node{ID: n.Name, Address: n.Address, Native: n.Native}
		if change(i, &row) {
			rows = append(rows, row)
		}
	}
	if err := r.d.Fleet().SetNodes(rows); err != nil {
		r.t.Fatal(err)
	}
}

// drainDuringBegin drains a node while it is asked to begin a transaction: nothing is begun, and nothing stays there.
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
	for _, held, _ := r.d.Sessions().Status(); held == 0 && len(done) == 0; _, held, _ = r.d.Sessions().Status() {
		runtime.Gosched()
	}
	r.listNodes(func(_ int, n *nodelist.Node) bool { n.State = policy.Draining; return true })
	if err := <-done; err == nil {
		t.Error("begun")
	}
	r.nodes[0].SetFaults(simulated.Faults{})
	r.awaitNoState()
}

// clientVanishes disconnects a client within its transaction: the idle timeout rolls it back.
func clientVanishes(t *testing.T) {
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
	if err := actionError(&second, tx.ID()); err != nil { // a commit
		t.Error(err)
	}
	if n := len(r.committedStatements()); n != 1 {
		t.Errorf("%d statements were committed, want 1", n)
	}
	r.awaitNoState()
}

// announcedDrain checks that a client is told when its node is to drain.
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
		t.Errorf("told %v, want about 62000 ms with the grace", header)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Error(err)
	}
}

// classRemoved removes the class of a transaction from the settings: statements of that class are rejected, others go on.
func classRemoved(t *testing.T) {
	c := simulated.NewControl("nodes")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	r := newControlledRig(t, c, 2, "")
	c.Set(listed(r), "")
	with := func(n uint64, audit bool) {
		t.Helper()
		c.Put(stream.SettingsName, settings(t, n, func(s *control.Set) {
			if audit {
				s.Classes.Classes = append(s.Classes.Classes, &configv1.Class{Name: "audit", AimUs: 8e6, DeadlineUs: 9e6})
			}
		})...)
		r.until("a set in force", func(s control.Status) bool { return s.Number == n && s.Versions["nodes"] != "" })
	}
	with(1, true)
	ctx := metadata.AppendToOutgoingContext(t.Context(), "embershunt-class", "audit")
	tx, err := r.client.BeginTransaction(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	with(2, false)
	if _, err := tx.ExecuteUpdate(ctx, "INSERT INTO t VALUES (2)"); status.Code(err) != codes.InvalidArgument {
		t.Errorf("a class that ended: %v", err)
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

// tenantAtItsLimit checks that a tenant's limit holds for it alone.
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

// nodeDiesWithAllSessions checks that clients of a lost node are told to retry at different times.
func nodeDiesWithAllSessions(t *testing.T) {
	r := newRig(t, 1, `, "sessions": {"spread": "4s"}`)
	var all []*flightsql.Txn
	for range 40 {
		tx, err := r.client.BeginTransaction(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, tx)
	}
	r.nodes[0].Crash()
	r.listNodes(func(int, *nodelist.Node) bool { return false })
	back := map[int64]int{}
	for _, tx := range all {
		begin := time.Now()
		err := tx.Commit(t.Context())
		if reason, commit := sessionFailure(err); reason != "NODE_GONE" || commit != "known not to have run" || time.Since(begin) > time.Second {
			t.Fatalf("%v after %v", err, time.Since(begin))
		}
		for _, d := range status.Convert(err).Details() {
			if i, ok := d.(*errdetails.RetryInfo); ok {
				back[i.GetRetryDelay().AsDuration().Milliseconds()/400]++
			}
		}
	}
	for at, n := range back {
		if n > 5 || at > 10 {
			t.Errorf("%d come back within 400 ms, at %d ms", n, at*400)
		}
	}
	if len(back) < 9 {
		t.Errorf("come-back times %v", back)
	}
}
