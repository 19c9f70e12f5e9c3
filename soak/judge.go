package soak

import (
	"fmt"
	"sort"
	"time"

	"embershunt/policy"
)

// Invariant names a promise that a run checks.
type Invariant string

// The invariants, in the order in which they are reported.
const (
	InvariantAnswer    Invariant = "answer"    // each request taken gets one final answer in time, and a true one
	InvariantRefusal   Invariant = "refusal"   // what was refused never ran, where that matters
	InvariantDuplicate Invariant = "duplicate" // no effect twice
	InvariantDrain     Invariant = "drain"     // nothing new to a node past the grace after its drain or end was told
	InvariantClient    Invariant = "client"    // nothing begins for a client that has left, or after its time
	InvariantTTL       Invariant = "ttl"       // the deadline passed on is what the client has left
	InvariantBudget    Invariant = "budget"    // further attempts keep within their budget
	InvariantProcess   Invariant = "process"   // no crash, no late start, exit code 0 after SIGTERM
	InvariantOwn       Invariant = "own"       // the dispatcher's own checks count no violation
)

// Slack of the invariants.
const (
	slackRule   = 50 * time.Millisecond  // of every time limit
	slackAnswer = 500 * time.Millisecond // an answer this late only earns nothing
	slackLeft   = 100 * time.Millisecond // an attempt may begin this long after its client left
	slackTTL    = 150 * time.Millisecond
	slackRead   = 60 * time.Millisecond // scheduling between the wire and the stand-ins' clocks, on a busy machine
)

// Violation is one broken promise.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String is one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// judge checks a record whose run is over.
type judge struct {
	*Record
	lives    map[[2]int]*Life
	requests map[string]*Request
	arrivals map[string][]*Arrival // by request, in the order of their coming
	found    []Violation
}

// Judge lists the violations of a record, earliest first.
func (r *Record) Judge() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := &judge{Record: r, lives: map[[2]int]*Life{}, requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
	for _, l := range r.lives {
		j.lives[[2]int{l.Dispatcher, l.Start}] = l
	}
	for _, q := range r.requests {
		j.requests[q.ID] = q
	}
	for _, a := range r.arrivals {
		j.arrivals[a.ID] = append(j.arrivals[a.ID], a)
	}
	for _, q := range r.requests {
		j.answer(q)
		j.attempts(q)
	}
	j.drains()
	j.budgets()
	j.processes()
	sort.SliceStable(j.found, func(a, b int) bool { return j.found[a].At < j.found[b].At })
	return j.found
}

func (j *judge) add(i Invariant, at time.Duration, format string, args ...any) {
	j.found = append(j.found, Violation{i, at, fmt.Sprintf(format, args...)})
}

func (q *Request) life(j *judge) *Life { return j.lives[[2]int{q.Dispatcher, q.Start}] }

// excused tells that a process was killed outright, without an order to end before, while a request was open.
func (j *judge) excused(q *Request) bool {
	l := q.life(j)
	return l != nil && l.Killed > 0 && l.Terminated == 0 && q.Sent <= l.Killed+slackRead && (q.Ended == 0 || q.Ended >= l.Killed-slackRead)
}

func (q *Request) String() string {
	return fmt.Sprintf("n%d.%d %s %s sent %.3f patience %.3f", q.Dispatcher, q.Start, q.Class.Name, q.ID, q.Sent.Seconds(), q.Patience.Seconds())
}

// answer checks the final answer of one request.
func (j *judge) answer(q *Request) {
	switch q.Outcome {
	case Unreadable:
		j.add(InvariantAnswer, q.Ended, "%s: %s", q, q.Detail)
	case Closed:
		if q.Crossed && len(j.arrivals[q.ID]) > 0 && !j.excused(q) {
			j.add(InvariantAnswer, q.Ended, "%s: sent on, then closed unanswered", q)
		} else if !q.Crossed && !j.excused(q) {
			j.add(InvariantAnswer, q.Ended, "%s: connection ended without a whole answer after %v: %s", q, q.Ended-q.Sent, q.Detail)
		}
	case Pending:
		if end := j.end(); !j.excused(q) && q.Sent+q.Patience+slackAnswer+slackRead < end {
			j.add(InvariantAnswer, q.Sent+q.Patience, "%s: no answer", q)
		}
	case Served, Refused, Failed:
		if late := q.Ended - q.Sent - q.Patience; late > slackAnswer+slackRead {
			j.add(InvariantAnswer, q.Ended, "%s: answered %v after its time", q, late)
		}
	}
	if q.Outcome == Refused && q.Class.Effect == policy.NonIdempotent {
		for _, a := range j.arrivals[q.ID] {
			if a.Ran {
				j.add(InvariantRefusal, a.At, "%s: refused (%s), and ran at %s", q, q.Detail, a.Node)
			}
		}
	}
}

// end is when the run ended.
func (j *judge) end() (end time.Duration) {
	for _, l := range j.Record.lives {
		end = max(end, l.Ended)
	}
	return end
}

// attempts checks what was sent for one request.
func (j *judge) attempts(q *Request) {
	for i, a := range j.arrivals[q.ID] {
		if gone := q.LeftAt; gone > 0 && a.At > gone+slackLeft+slackRead {
			j.add(InvariantClient, a.At, "%s: begun at %s %v after its client left", q, a.Node, a.At-gone)
		}
		left := q.Sent + q.Patience - a.At
		if left < -slackRule-slackRead {
			j.add(InvariantClient, a.At, "%s: begun at %s %v after its time", q, a.Node, -left)
		}
		if a.TTL > max(left, 0)+slackTTL+slackRead {
			j.add(InvariantTTL, a.At, "%s: %v passed on to %s, %v left", q, a.TTL, a.Node, left)
		}
		if i > 0 {
			j.repeated(q, j.arrivals[q.ID][:i], a)
		}
	}
}

// repeated checks a further attempt against those before it.
func (j *judge) repeated(q *Request, before []*Arrival, a *Arrival) {
	for _, b := range before {
		if b.Full {
			continue
		}
		switch q.Class.Effect {
		case policy.NonIdempotent:
			j.add(InvariantDuplicate, a.At, "%s: sent to %s %v after it had reached %s, which did not say that it never ran", q, a.Node, a.At-b.At, b.Node)
			return
		case policy.IdempotentByKey:
			if a.At-b.At > q.Class.Window+slackRule+slackRead {
				j.add(InvariantDuplicate, a.At, "%s: sent to %s %v after it had reached %s, its window is %v", q, a.Node, a.At-b.At, b.Node, q.Class.Window)
				return
			}
		}
	}
}

// drains checks that nothing new went to nodes that drain or are gone.
func (j *judge) drains() {
	noticed := map[Notice]time.Duration{}
	for _, n := range j.notices {
		noticed[Notice{Dispatcher: n.Dispatcher, Start: n.Start, Node: n.Node}] = n.At
	}
	for _, a := range j.Record.arrivals {
		q := j.requests[a.ID]
		if q == nil {
			continue
		}
		at, ok := noticed[Notice{Dispatcher: q.Dispatcher, Start: q.Start, Node: a.Node}]
		if ok && a.At > at+drainGrace+slackRule+slackRead {
			j.add(InvariantDrain, a.At, "n%d.%d sent %s to %s %v after it was told (%.3f) that it drains or is gone", q.Dispatcher, q.Start, q.ID,
				a.Node, a.At-at, at.Seconds())
		}
	}
}

// Allowance of further attempts beyond the settings: 15 in 100 and one attempt.
const (
	budgetWider = 1.15
	budgetMore  = 1
)

// budgets checks further attempts against the requests taken, for each start of each dispatcher.
func (j *judge) budgets() {
	type times struct{ taken, further []time.Duration }
	by := map[[2]int]*times{}
	for _, q := range j.Record.requests {
		key := [2]int{q.Dispatcher, q.Start}
		if by[key] == nil {
			by[key] = &times{}
		}
		by[key].taken = append(by[key].taken, q.Sent)
		for _, a := range j.arrivals[q.ID][min(1, len(j.arrivals[q.ID])):] {
			by[key].further = append(by[key].further, a.At)
		}
	}
	for key, t := range by {
		for _, at := range t.further {
			in := func(list []time.Duration) (n float64) {
				for _, other := range list {
					if other <= at && other > at-budgetSpan {
						n++
					}
				}
				return n
			}
			most := (budgetFree+budgetShare*in(t.taken))*budgetWider + budgetMore
			if n := in(t.further); n > most {
				j.add(InvariantBudget, at, "n%d.%d: %v further attempts within %v, %v allowed", key[0], key[1], n, budgetSpan, most)
				break
			}
		}
	}
}

// processes checks starts and ends.
func (j *judge) processes() {
	for _, l := range j.Record.lives {
		name := fmt.Sprintf("n%d.%d", l.Dispatcher, l.Start)
		if l.Ready == 0 && (l.Killed == 0 || l.Killed-l.Began > readyMost) {
			j.add(InvariantProcess, l.Began, "%s was never ready", name)
		}
		if l.Terminated > 0 && l.Killed == 0 && l.ExitCode != 0 || l.Terminated == 0 && l.Killed == 0 {
			j.add(InvariantProcess, l.Ended, "%s ended with code %d", name, l.ExitCode)
		}
		for _, line := range l.Violations {
			j.add(InvariantOwn, l.Ended, "%s: %s", name, line)
		}
	}
}
