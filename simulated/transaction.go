package simulated

import (
	"context"
	"fmt"
	"strconv"
	"time"

	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// state is what a node's present life holds of sessions.
type state struct {
	serial  int
	open    map[string]*transaction // by the node's name for it
	session map[string]string       // by the session's name
}

// transaction is one that is open: its effects are seen when it is committed.
type transaction struct {
	session string
	idle    time.Duration // rolled back after so long without a statement; 0: never
	used    time.Time
	writes  []string
	points  map[string]int // savepoints: writes made before each
}

// Tally is what sessions did at a node, over all its lives.
type Tally struct {
	Begun     int            // transactions
	Committed []string       // statements that became visible, in order
	Commits   map[string]int // by session: how often one was committed
	Misplaced []string       // statements that came where their state was not
}

// Transactions is the number that are open.
func (n *Node) Transactions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.state.open)
}

// Tally returns what sessions did here.
func (n *Node) Tally() Tally {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := Tally{Begun: n.tally.Begun, Committed: append([]string(nil), n.tally.Committed...), Misplaced: append([]string(nil), n.tally.Misplaced...), Commits: map[string]int{}}
	for k, v := range n.tally.Commits {
		t.Commits[k] = v
	}
	return t
}

func sessionOf(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session"); len(v) > 0 {
		return v[0]
	}
	return ""
}

// idleOf is how long a transaction may be idle, by its BEGIN's header.
func idleOf(ctx context.Context) time.Duration {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session-idle-ms"); len(v) > 0 {
		ms, _ := strconv.ParseInt(v[0], 10, 64)
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// rollIdle rolls back what was idle for too long: its dispatcher may be gone.
func (n *Node) rollIdle() {
	n.mark(func() {
		for id, tx := range n.state.open {
			if tx.idle > 0 && time.Since(tx.used) > tx.idle {
				n.finish(id, false)
			}
		}
	})
}

// within finds the transaction that a statement belongs to; one that is not here is tallied. n.mu is not held.
func (n *Node) within(id []byte, statement string) error {
	if len(id) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx := n.state.open[string(id)]; tx != nil {
		tx.used = time.Now()
	} else {
		if statement == "ROLLBACK" { // of what is gone already: no harm
			return status.Errorf(codes.NotFound, "no transaction %q here", id)
		}
		n.tally.Misplaced = append(n.tally.Misplaced, statement)
		return status.Errorf(codes.NotFound, "no transaction %q here", id)
	}
	return nil
}

// wrote adds a statement to its transaction.
func (n *Node) wrote(id []byte, statement string) {
	n.mark(func() {
		if tx := n.state.open[string(id)]; tx != nil {
			tx.writes = append(tx.writes, statement)
		}
	})
}

// BeginTransaction implements the Flight SQL action.
func (s *flightServer) BeginTransaction(ctx context.Context, _ arrowsql.ActionBeginTransactionRequest) ([]byte, error) {
	if err := s.node.trouble(ctx); err != nil {
		return nil, err
	}
	id := ""
	s.node.mark(func() {
		st := &s.node.state
		st.serial++
		s.node.tally.Begun++
		id = fmt.Sprintf("%s-%d-%d", s.node.Name, s.life.started.UnixNano(), st.serial)
		st.open[id] = &transaction{session: sessionOf(ctx), idle: idleOf(ctx), used: time.Now(), points: map[string]int{}}
		st.session[sessionOf(ctx)] = id
	})
	return []byte(id), s.node.lost(ctx)
}

// EndTransaction implements the Flight SQL action.
func (s *flightServer) EndTransaction(ctx context.Context, r arrowsql.ActionEndTransactionRequest) error {
	commit := r.GetAction() == arrowsql.EndTransactionCommit
	name := "ROLLBACK"
	if commit {
		name = "COMMIT"
		if err := s.node.trouble(ctx); err != nil {
			return err
		}
	}
	if err := s.node.within(r.GetTransactionId(), name); err != nil {
		return err
	}
	s.node.mark(func() { s.node.finish(string(r.GetTransactionId()), commit) })
	if commit {
		return s.node.lost(ctx)
	}
	return nil
}

// finish ends a transaction; n.mu is held.
func (n *Node) finish(id string, commit bool) {
	tx := n.state.open[id]
	if tx == nil {
		return
	}
	if delete(n.state.open, id); n.state.session[tx.session] == id {
		delete(n.state.session, tx.session)
	}
	if commit {
		n.tally.Commits[tx.session]++
		n.tally.Committed = append(n.tally.Committed, tx.writes...)
	}
}

// BeginSavepoint implements the Flight SQL action.
func (s *flightServer) BeginSavepoint(_ context.Context, r arrowsql.ActionBeginSavepointRequest) ([]byte, error) {
	if err := s.node.within(r.GetTransactionId(), "SAVEPOINT"); err != nil {
		return nil, err
	}
	id := string(r.GetTransactionId()) + "/" + r.GetName()
	s.node.mark(func() {
		tx := s.node.state.open[string(r.GetTransactionId())]
		tx.points[id] = len(tx.writes)
	})
	return []byte(id), nil
}

// EndSavepoint implements the Flight SQL action.
func (s *flightServer) EndSavepoint(_ context.Context, r arrowsql.ActionEndSavepointRequest) error {
	err := status.Errorf(codes.NotFound, "no savepoint %q here", r.GetSavepointId())
	s.node.mark(func() {
		for _, tx := range s.node.state.open {
			if at, ok := tx.points[string(r.GetSavepointId())]; ok {
				if r.GetAction() == arrowsql.EndSavepointRollback {
					tx.writes = tx.writes[:at]
				}
				delete(tx.points, string(r.GetSavepointId()))
				err = nil
			}
		}
	})
	return err
}

// release ends what is held of a session, by its name.
func (n *Node) releaseSession(name string) {
	n.mark(func() { n.finish(n.state.session[name], false) })
}

// trouble is what faults do to an action before it has an effect.
func (n *Node) trouble(ctx context.Context) error {
	f := n.faults()
	n.mu.Lock()
	chance := n.rng.Float64()
	n.mu.Unlock()
	switch {
	case f.Hang:
		<-ctx.Done()
		return ctx.Err()
	case chance < f.Fail:
		return status.Error(codes.Internal, "failed at once")
	}
	return nil
}

// lost keeps an action's answer back where the fault says so.
func (n *Node) lost(ctx context.Context) error {
	if !n.faults().Lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}
