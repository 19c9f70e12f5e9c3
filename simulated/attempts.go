package simulated

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
)

// AttemptRecord is a node's record of one attempt.
type AttemptRecord struct {
	Query        string
	Attempt      int
	Node         string
	At           time.Time // when the call arrived
	Statement    string
	Update       bool
	Ran          bool      // its work was done, and it was no duplicate
	Rows         int       // rows sent, or received by an INSERT
	Deduplicated bool      // its token marked it as a duplicate: it had no effect
	Token        string    // deduplication token; "": none
	Tables       []string  // external tables, as name:rows
	Cancelled    bool      // the caller cancelled or disconnected before the end
	End          time.Time // zero while the attempt is running
}

// Attempts returns the attempts that the node has recorded over all its incarnations, in order of arrival.
func (n *Node) Attempts() []AttemptRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]AttemptRecord, len(n.attempts))
	for i, a := range n.attempts {
		out[i] = *a
	}
	return out
}

// recordAttempt adds an attempt to the node's record, with the query ID and attempt number from the call headers.
func (n *Node) recordAttempt(ctx context.Context, statement string, update bool) *AttemptRecord {
	md, _ := metadata.FromIncomingContext(ctx)
	header := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	number, _ := strconv.Atoi(header("embershunt-attempt"))
	a := &AttemptRecord{Query: header("embershunt-query"), Attempt: number, Node: n.Name, At: time.Now(), Statement: statement,
		Update: update}
	if update { // over Flight SQL the query ID is the deduplication token
		a.Token = a.Query
	}
	n.change(func() { n.attempts = append(n.attempts, a) })
	return a
}

// change calls update with the node's lock held and wakes all callers of Await.
func (n *Node) change(update func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	update()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Await waits until condition holds for the recorded attempts, or returns ctx's error. It checks again after each change of the
// node's record.
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
