// Package soak injects random, overlapping faults into dispatchers that run as processes of their own, between simulated
// clients, query nodes and name services of the platform's protocol, and checks invariants on what those recorded.
//
// Everything listens on loopback. A run is drawn from a seed: which faults are injected and when. What happens at a given moment still
// depends on the scheduler, so that a seed reproduces the plan of a run and not its interleaving.
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
	Pending    Outcome = iota // no answer yet
	Served                    // all rows and CommandComplete
	Rejected                  // SQLSTATE class 53 or 57P03: trying again is harmless
	Failed                    // any other error
	Closed                    // the connection ended without a complete answer
	Abandoned                 // the client cancelled or disconnected first
	Unreadable                // the answer could not be read, or is not what a node made for the request
)

// Request is one request as its client saw it. Times count from the start of the run.
type Request struct {
	ID          string // trace
	Dispatcher  int
	Incarnation int // which start of that dispatcher's process
	Class       *Class
	Key         string        // idempotency key of keyed classes
	Sent        time.Duration // its last byte was written
	Timeout     time.Duration
	Outcome     Outcome
	Ended       time.Duration
	AbandonedAt time.Duration // the client cancelled or closed; 0: it did not
	RacedClose  bool          // the dispatcher closed the idle connection while it was on its way: it is sent once more
	Detail      string
}

// Arrival is one request that reached a query node complete.
type Arrival struct {
	ID    string
	Node  string
	Conn  int           // number of the node's connection
	At    time.Duration // earliest possible time, where the node itself read it late
	TTL   time.Duration // as the dispatcher forwarded it
	Key   string
	Ran   bool          // it had an effect
	Full  bool          // the node said that it never ran
	Ended time.Duration // its end was written or it was given up; 0: it is still running
}

// Notice is when a dispatcher counts as notified that a node is draining or was removed.
type Notice struct {
	Dispatcher, Incarnation int
	Node                    string
	At                      time.Duration
}

// Incarnation is one process of a dispatcher, from its start to its end.
type Incarnation struct {
	Dispatcher, Number int
	Started            time.Duration
	Ready              time.Duration // 0: never
	Terminated         time.Duration // SIGTERM; 0: none
	Killed             time.Duration // SIGKILL found it running; 0: it did not
	Ended              time.Duration
	ExitCode           int
	Violations         []string // log lines that report a fault, a panic or a rule violated
}

// Record is what clients, nodes and name services observed in a run. Its mutex guards all that it points to.
type Record struct {
	mu           sync.Mutex
	started      time.Time
	requests     []*Request
	arrivals     []*Arrival
	notices      []Notice
	incarnations []*Incarnation
}

func newRecord() *Record { return &Record{started: time.Now()} }

// now is the time since the start of the run, from the monotonic clock.
func (r *Record) now() time.Duration { return time.Since(r.started) }

// change runs f while nobody else reads or changes the record.
func (r *Record) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Record) addRequest(q *Request) { r.change(func() { r.requests = append(r.requests, q) }) }
func (r *Record) addArrival(a *Arrival) { r.change(func() { r.arrivals = append(r.arrivals, a) }) }
func (r *Record) addNotice(n Notice)    { r.change(func() { r.notices = append(r.notices, n) }) }
func (r *Record) addIncarnation(l *Incarnation) {
	r.change(func() { r.incarnations = append(r.incarnations, l) })
}

// Summary counts the requests by outcome, and the attempts, notices and starts.
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
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d left, %d closed (%d crossed a close), %d without an answer; "+
		"%d attempts, %d notices, %d starts", len(r.requests), counts[Served], counts[Rejected], counts[Failed], counts[Abandoned], counts[Closed],
		raced, counts[Pending], len(r.arrivals), len(r.notices), len(r.incarnations))
}
