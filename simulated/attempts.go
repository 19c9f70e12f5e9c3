package simulated

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
)

// AttemptRecord is one attempt as a node recorded it.
type AttemptRecord struct {
	Query        string
	Attempt      int
	Node         string
	At           time.Time // when the call arrived
	Statement    string
	Update       bool
	Ran          bool // its work was done
	Rows         int  // handed to the transport, or received by an INSERT
	Deduplicated bool // a duplicate by its token: it had no effect
	Token        string
	Tables       []string // external tables and their rows, as name:rows
	Cancelled    bool     // the caller cancelled or disconnected before the end
	End          time.Time
}

// Attempts returns the attempts that the node recorded, over all its incarnations.
func (n *Node) Attempts() []AttemptRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]AttemptRecord, len(n.attempts))
	for i, s := range n.attempts {
		out[i] = *s
	}
	return out
}

// recordAttempt records an attempt with its call headers.
func (n *Node) recordAttempt(ctx context.Context, statement string, update bool) *AttemptRecord {
	md, _ := metadata.FromIncomingContext(ctx)
	first := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	number, _ := strconv.Atoi(first("embershunt-attempt"))
	s := &AttemptRecord{Query: first("embershunt-query"), Attempt: number, Node: n.Name, At: time.Now(), Statement: statement,
		Update: update}
	if update { // over Flight SQL the query ID is the deduplication token
		s.Token = s.Query
	}
	n.change(func() { n.attempts = append(n.attempts, s) })
	return s
}

// change changes the node's record under its lock and wakes what waits in Await.
func (n *Node) change(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Await waits until the attempts satisfy a condition, or returns ctx's error.
func (n *Node) Await(ctx context.Context, condition func([]AttemptRecord) bool) error {
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		if condition(n.Attempts()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
