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

// sessionState is the state of the sessions in a node's process.
type sessionState struct {
	serial       int                     // of the last transaction begun
	transactions map[string]*transaction // by transaction ID
	bySession    map[string]string       // open transaction by session ID
}

// transaction is an open transaction; its writes become visible when it is committed.
type transaction struct {
	session    string        // session ID; "": none
	idleLimit  time.Duration // how long it may be without a statement before it is rolled back; 0: without limit
	lastUsed   time.Time
	writes     []string       // statements of updates, in order
	savepoints map[string]int // by savepoint ID: the number of writes before it
}

// SessionRecord is the record of transactions and misplaced statements at a node, over all its incarnations.
type SessionRecord struct {
	Begun            int            // number of transactions begun
	Committed        []string       // statements of committed transactions, in order of commit
	CommitsBySession map[string]int // number of commits by session ID
	Misplaced        []string       // statements that reached the node without their transaction or temporary table being there
}

// Transactions returns the number of open transactions.
func (n *Node) Transactions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions.transactions)
}

// SessionRecord returns a copy of the node's session record.
func (n *Node) SessionRecord() SessionRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return SessionRecord{Begun: n.sessionRecord.Begun, Committed: slices.Clone(n.sessionRecord.Committed),
		CommitsBySession: maps.Clone(n.sessionRecord.CommitsBySession), Misplaced: slices.Clone(n.sessionRecord.Misplaced)}
}

// sessionOf returns the session ID in a call's headers; "" for none.
func sessionOf(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session"); len(v) > 0 {
		return v[0]
	}
	return ""
}

// idleLimitOf returns how long a transaction may be idle, as the headers of its BeginTransaction call state it; 0: without limit.
func idleLimitOf(ctx context.Context) time.Duration {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get("embershunt-session-idle-ms"); len(v) > 0 {
		ms, _ := strconv.ParseInt(v[0], 10, 64) // 0 if it is not a number
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// rollBackIdle rolls back transactions that have been idle for too long, as their dispatcher may have crashed.
func (n *Node) rollBackIdle() {
	n.change(func() {
		for id, tx := range n.sessions.transactions {
			if tx.idleLimit > 0 && time.Since(tx.lastUsed) > tx.idleLimit {
				n.endTransaction(id, false)
			}
		}
	})
}

// useTransaction marks a statement's transaction as used. If the transaction is not open at this node, it returns an error and records
// the statement as misplaced. An empty ID means no transaction.
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
	if statement != "ROLLBACK" { // a second rollback has no effect
		n.sessionRecord.Misplaced = append(n.sessionRecord.Misplaced, statement)
	}
	return status.Errorf(codes.NotFound, "no transaction %q here", id)
}

// recordWrite adds a statement to the writes of its transaction, if it has one.
func (n *Node) recordWrite(id []byte, statement string) {
	n.change(func() {
		if tx := n.sessions.transactions[string(id)]; tx != nil {
			tx.writes = append(tx.writes, statement)
		}
	})
}

// endTransaction commits or rolls back a transaction, if it is open. The caller holds n.mu.
func (n *Node) endTransaction(id string, commit bool) {
	tx := n.sessions.transactions[id]
	if tx == nil {
		return
	}
	if delete(n.sessions.transactions, id); n.sessions.bySession[tx.session] == id {
		delete(n.sessions.bySession, tx.session)
	}
	if commit {
		n.sessionRecord.CommitsBySession[tx.session]++
		n.sessionRecord.Committed = append(n.sessionRecord.Committed, tx.writes...)
	}
}

// releaseSession rolls back the open transaction of a session, if it has one.
func (n *Node) releaseSession(id string) {
	n.change(func() { n.endTransaction(n.sessions.bySession[id], false) })
}
