// Package soak injects random, overlapping faults into dispatchers that run as separate processes between simulated clients, query
// nodes and name services, which speak the platform's protocol. Afterwards it checks invariants on what these peers recorded.
//
// Everything listens on loopback. A seed determines which faults are injected and when. What happens at a given moment still depends
// on the scheduler, so a seed reproduces the plan of a run and not its interleaving.
package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Pending       Outcome = iota // no answer yet
	Served                       // all rows and CommandComplete
	Rejected                     // SQLSTATE class 53 or 57P03: the request can be retried safely
	Failed                       // any other error
	Closed                       // the connection ended without a complete answer
	Abandoned                    // the client cancelled or disconnected first
	InvalidAnswer                // the answer could not be read, or is not what a node made for the request
)

// Request is one request as its client saw it. Times count from the start of the run.
type Request struct {
	ID          string // trace ID
	Dispatcher  int
	Incarnation int // number of the dispatcher's process that was current when the request was drawn
	Class       *Class
	Key         string        // idempotency key of keyed classes
	Sent        time.Duration // when its last byte was written
	Timeout     time.Duration
	Outcome     Outcome
	Ended       time.Duration // when the outcome was known; 0: still pending
	AbandonedAt time.Duration // when the client cancelled or disconnected; 0: it did neither
	RacedClose  bool          // the dispatcher closed the idle connection while the request was on its way
	Detail      string        // SQLSTATE, or why the answer is incomplete or unreadable
}

// Arrival is one attempt of a request that reached a query node complete. Times count from the start of the run.
type Arrival struct {
	ID    string        // trace ID of the request
	Node  string        // ID of the node
	Conn  int           // number of the connection among those that the node accepted
	At    time.Duration // earliest time at which it can have arrived, where the node read it later
	TTL   time.Duration // remaining time as the dispatcher forwarded it
	Key   string        // idempotency key as the dispatcher forwarded it
	Ran   bool          // it had its effect
	Full  bool          // the node answered "full": it never ran
	Ended time.Duration // when the node finished it, read a cancel for it or closed the connection; 0: in flight
}

// Notice is when a dispatcher counts as notified that a node is draining or was removed.
type Notice struct {
	Dispatcher, Incarnation int
	Node                    string
	At                      time.Duration
}

// Incarnation is one process of a dispatcher, from its start to its end. Times count from the start of the run.
type Incarnation struct {
	Dispatcher, Number int
	Started            time.Duration
	Ready              time.Duration // when it answered an empty query; 0: never
	Terminated         time.Duration // when SIGTERM was sent; 0: never
	Killed             time.Duration // when SIGKILL was sent to the running process; 0: never
	Ended              time.Duration
	ExitCode           int
	Violations         []string // log lines that report a fault, a panic or a violated rule, and an error of waiting for the process
}

// Record holds what clients, nodes and name services observed in a run. Its mutex also guards the requests, arrivals and incarnations
// that it points to.
type Record struct {
	mu           sync.Mutex
	started      time.Time
	requests     []*Request
	arrivals     []*Arrival
	notices      []Notice
	incarnations []*Incarnation
}

func newRecord() *Record { return &Record{started: time.Now()} }

// now returns the time since the start of the run, from the monotonic clock.
func (r *Record) now() time.Duration { return time.Since(r.started) }

// change runs f with the record locked.
func (r *Record) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Record) addRequest(q *Request) { r.change(func() { r.requests = append(r.requests, q) }) }
func (r *Record) addArrival(a *Arrival) { r.change(func() { r.arrivals = append(r.arrivals, a) }) }
func (r *Record) addNotice(n Notice)    { r.change(func() { r.notices = append(r.notices, n) }) }
func (r *Record) addIncarnation(inc *Incarnation) {
	r.change(func() { r.incarnations = append(r.incarnations, inc) })
}

// Summary formats the numbers of requests by outcome, and of attempts, notices and incarnations.
func (r *Record) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[Outcome]int{}
	raced := 0
	for _, q := range r.requests {
		counts[q.Outcome]++
		if q.RacedClose {
			raced++
		}
	}
	return fmt.Sprintf("%d requests: %d served, %d rejected, %d failed, %d abandoned, %d closed (%d raced with a close), %d pending; "+
		"%d attempts, %d notices, %d incarnations",
		len(r.requests), counts[Served], counts[Rejected], counts[Failed], counts[Abandoned], counts[Closed], raced, counts[Pending],
		len(r.arrivals), len(r.notices), len(r.incarnations))
}
