package simulated

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// sessionState is the state of sessions in a node's current process.
type sessionState struct {
	serial       int
	transactions map[string]*transaction // by transaction ID
	bySession    map[string]string       // open transaction by session ID
}

// transaction is an open transaction; its writes become visible when it is committed.
type transaction struct {
	session    string
	idle       time.Duration // rolled back after so long without a statement; 0: never
	lastUsed   time.Time
	writes     []string
	savepoints map[string]int // by savepoint ID: the number of writes before it
}

// SessionRecord is what sessions did at a node, over all its incarnations.
type SessionRecord struct {
	Begun     int            // transactions
	Committed []string       // statements that became visible, in order
	Commits   map[string]int // by session: how often one was committed
	Misplaced []string       // statements that came where their state was not
}

// Transactions is the number of open transactions.
func (n *Node) Transactions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions.transactions)
}

// Tally returns what sessions did here.
func (n *Node) Tally() SessionRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return SessionRecord{Begun: n.tally.Begun, Committed: slices.Clone(n.tally.Committed), Commits: maps.Clone(n.tally.Commits),
		Misplaced: slices.Clone(n.tally.Misplaced)}
}

// sessionOf is the session ID in a call's headers; "" for none.
func sessionOf(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session"); len(v) > 0 {
		return v[0]
	}
	return ""
}

// idleOf is how long a transaction may be idle, by the header of its BEGIN; 0: without limit.
func idleOf(ctx context.Context) time.Duration {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session-idle-ms"); len(v) > 0 {
		ms, _ := strconv.ParseInt(v[0], 10, 64) // zero where it is no number
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// rollBackIdle rolls back transactions that were idle for too long: their dispatcher may have crashed.
func (n *Node) rollBackIdle() {
	n.change(func() {
		for id, tx := range n.sessions.transactions {
			if tx.idle > 0 && time.Since(tx.lastUsed) > tx.idle {
				n.endTransaction(id, false)
			}
		}
	})
}

// useTransaction marks a statement's transaction as used; a statement whose transaction is not open here is recorded as misplaced.
// An empty ID is no transaction.
func (n *Node) useTransaction(id []byte, statement string) error {
	if len(id) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx := n.sessions.transactions[string(id)]; tx != nil {
		tx.lastUsed = time.Now()
		return nil
	}
	if statement != "ROLLBACK" { // a second rollback does no harm
		n.tally.Misplaced = append(n.tally.Misplaced, statement)
	}
	return status.Errorf(codes.NotFound, "no transaction %q here", id)
}

// recordWrite adds a statement to its transaction.
func (n *Node) recordWrite(id []byte, statement string) {
	n.change(func() {
		if tx := n.sessions.transactions[string(id)]; tx != nil {
			tx.writes = append(tx.writes, statement)
		}
	})
}

// endTransaction commits or rolls back a transaction, if it is open. n.mu is held.
func (n *Node) endTransaction(id string, commit bool) {
	tx := n.sessions.transactions[id]
	if tx == nil {
		return
	}
	if delete(n.sessions.transactions, id); n.sessions.bySession[tx.session] == id {
		delete(n.sessions.bySession, tx.session)
	}
	if commit {
		n.tally.Commits[tx.session]++
		n.tally.Committed = append(n.tally.Committed, tx.writes...)
	}
}

// releaseSession rolls back the transaction that a session has open.
func (n *Node) releaseSession(name string) {
	n.change(func() { n.endTransaction(n.sessions.bySession[name], false) })
}
