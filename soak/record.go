// Package soak plays random, overlapping faults against dispatchers that run as processes of their own, between stand-ins for the
// clients, the query nodes and the name service of the platform's protocol, and checks invariants on what those saw.
//
// Everything listens on loopback. A run is drawn from a seed: which faults are played and when. What happens at a given moment still
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
	Refused                   // SQLSTATE class 53 or 57P03: trying again is harmless
	Failed                    // any other error
	Closed                    // the connection ended without a whole answer
	Left                      // the client went away first
	Unreadable                // the answer could not be read, or is not what a node made for the request
)

// Request is one request as its client saw it. Times count from the start of the run.
type Request struct {
	ID         string // trace
	Dispatcher int
	Start      int // which start of that dispatcher's process
	Class      *Class
	Key        string        // idempotency key of keyed classes
	Sent       time.Duration // its last byte was written
	Patience   time.Duration
	Outcome    Outcome
	Ended      time.Duration
	LeftAt     time.Duration // the client cancelled or closed; 0: it did not
	Crossed    bool          // the dispatcher's close of a resting connection crossed it: it is sent once more
	Detail     string
}

// Arrival is one request that reached a query node whole.
type Arrival struct {
	ID   string
	Node string
	At   time.Duration // it may have come earlier where the node itself read it late
	TTL  time.Duration // as passed on
	Key  string
	Ran  bool          // it had an effect
	Full bool          // the node said that it never ran
	Over time.Duration // its end was written or it was given up; 0: it is still out
}

// Notice is the moment from which on a dispatcher counts as notified that a node drains or is gone.
type Notice struct {
	Dispatcher, Start int
	Node              string
	At                time.Duration
}

// Span is a time during which something held.
type Span struct{ From, To time.Duration }

// Life is one start of a dispatcher's process.
type Life struct {
	Dispatcher, Start int
	Began             time.Duration
	Ready             time.Duration // 0: never
	Terminated        time.Duration // SIGTERM; 0: none
	Killed            time.Duration // SIGKILL found it running; 0: it did not
	Ended             time.Duration
	ExitCode          int
	Violations        []string // lines of its log that must not be there
}

// Record is all that a run has seen.
type Record struct {
	mu       sync.Mutex
	began    time.Time
	requests []*Request
	arrivals []*Arrival
	notices  []Notice
	lives    []*Life
}

func newRecord() *Record { return &Record{began: time.Now()} }

// now is the time since the start of the run, from the monotonic clock.
func (r *Record) now() time.Duration { return time.Since(r.began) }

// change runs f while nobody else reads or changes the record.
func (r *Record) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Record) addRequest(q *Request) { r.change(func() { r.requests = append(r.requests, q) }) }
func (r *Record) addArrival(a *Arrival) { r.change(func() { r.arrivals = append(r.arrivals, a) }) }
func (r *Record) addNotice(n Notice)    { r.change(func() { r.notices = append(r.notices, n) }) }
func (r *Record) addLife(l *Life)       { r.change(func() { r.lives = append(r.lives, l) }) }

// Summary counts what a run has seen.
func (r *Record) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[Outcome]int{}
	crossed := 0
	for _, q := range r.requests {
		counts[q.Outcome]++
		if q.Crossed {
			crossed++
		}
	}
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d left, %d closed (%d crossed a close), %d without an answer; "+
		"%d attempts, %d notices, %d starts", len(r.requests), counts[Served], counts[Refused], counts[Failed], counts[Left], counts[Closed],
		crossed, counts[Pending], len(r.arrivals), len(r.notices), len(r.lives))
}
