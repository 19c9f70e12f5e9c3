package soak

import (
	"fmt"
	"sort"
	"time"

	"embershunt/policy"
)

// Invariant names a property that must hold in every run.
type Invariant string

// The invariants, in the order in which they are reported.
const (
	InvariantAnswer    Invariant = "answer"    // each request gets one final answer, in time and correct
	InvariantRejection Invariant = "refusal"   // a rejected request without idempotency never ran
	InvariantDuplicate Invariant = "duplicate" // no effect happens twice
	InvariantOverlap   Invariant = "overlap"   // no two attempts of one request are out at once
	InvariantDrain     Invariant = "drain"     // no attempt at a node past the grace period after notice of its drain or removal
	InvariantClient    Invariant = "client"    // no attempt starts for a client that has disconnected, or after its timeout
	InvariantTTL       Invariant = "ttl"       // the deadline forwarded is no more than the client's remaining time
	InvariantBudget    Invariant = "budget"    // retries keep within their budget
	InvariantProcess   Invariant = "process"   // no crash, start in time, exit code 0 after SIGTERM
	InvariantInternal  Invariant = "own"       // the dispatcher's own checks count no violation
)

// Tolerances of the invariants.
const (
	ruleSlack    = 50 * time.Millisecond  // of every time limit
	answerSlack  = 500 * time.Millisecond // an answer may be this late
	abandonSlack = 100 * time.Millisecond // an attempt may start this long after its client disconnected
	ttlSlack     = 150 * time.Millisecond
	readSlack    = 60 * time.Millisecond // scheduling between the wire and the stand-ins' clocks, on a busy machine
)

// Violation is one invariant broken once.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String is one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// incarnationKey identifies one process of one dispatcher.
type incarnationKey struct{ dispatcher, number int }

// checker checks the record of a run that has ended.
type checker struct {
	*Record
	incarnations map[incarnationKey]*Incarnation
	requests     map[string]*Request
	arrivals     map[string][]*Arrival // by request, in the order of arrival
	violations   []Violation
}

// Check lists the violations of a record, earliest first.
func (r *Record) Check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &checker{Record: r, incarnations: map[incarnationKey]*Incarnation{}, requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
	for _, l := range r.incarnations {
		c.incarnations[incarnationKey{l.Dispatcher, l.Number}] = l
	}
	for _, q := range r.requests {
		c.requests[q.ID] = q
	}
	for _, a := range r.arrivals {
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	for _, q := range r.requests {
		c.checkAnswer(q)
		c.checkAttempts(q)
	}
	c.checkDrains()
	c.checkBudgets()
	c.checkProcesses()
	sort.SliceStable(c.violations, func(a, b int) bool { return c.violations[a].At < c.violations[b].At })
	return c.violations
}

// add adds a violation.
func (c *checker) add(i Invariant, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{i, at, fmt.Sprintf(format, args...)})
}

// incarnation is the process that a request was sent to; nil where it is not in the record.
func (c *checker) incarnation(q *Request) *Incarnation {
	return c.incarnations[incarnationKey{q.Dispatcher, q.Incarnation}]
}

// excusedByKill tells that a process was killed without SIGTERM before while a request was open.
func (c *checker) excusedByKill(q *Request) bool {
	l := c.incarnation(q)
	return l != nil && l.Killed > 0 && l.Terminated == 0 && q.Sent <= l.Killed+readSlack && (q.Ended == 0 || q.Ended >= l.Killed-readSlack)
}

// String identifies the request in a report.
func (q *Request) String() string {
	return fmt.Sprintf("n%d.%d %s %s sent %.3f patience %.3f", q.Dispatcher, q.Incarnation, q.Class.Name, q.ID, q.Sent.Seconds(), q.Timeout.Seconds())
}

// checkAnswer checks the final answer of one request.
func (c *checker) checkAnswer(q *Request) {
	switch q.Outcome {
	case Unreadable:
		c.add(InvariantAnswer, q.Ended, "%s: %s", q, q.Detail)
	case Closed:
		if q.RacedClose && len(c.arrivals[q.ID]) > 0 && !c.excusedByKill(q) {
			c.add(InvariantAnswer, q.Ended, "%s: sent on, then closed unanswered", q)
		} else if !q.RacedClose && !c.excusedByKill(q) {
			c.add(InvariantAnswer, q.Ended, "%s: connection ended without a whole answer after %v: %s", q, q.Ended-q.Sent, q.Detail)
		}
	case Pending:
		if end := c.endOfRun(); !c.excusedByKill(q) && q.Sent+q.Timeout+answerSlack+readSlack < end {
			c.add(InvariantAnswer, q.Sent+q.Timeout, "%s: no answer", q)
		}
	case Served, Rejected, Failed:
		if late := q.Ended - q.Sent - q.Timeout; late > answerSlack+readSlack {
			c.add(InvariantAnswer, q.Ended, "%s: answered %v after its time", q, late)
		}
	}
	if q.Outcome == Rejected && q.Class.Effect == policy.NonIdempotent {
		for _, a := range c.arrivals[q.ID] {
			if a.Ran {
				c.add(InvariantRejection, a.At, "%s: refused (%s), and ran at %s", q, q.Detail, a.Node)
			}
		}
	}
}

// endOfRun is when the last process ended.
func (c *checker) endOfRun() (end time.Duration) {
	for _, l := range c.Record.incarnations {
		end = max(end, l.Ended)
	}
	return end
}

// checkAttempts checks the attempts at nodes for one request.
func (c *checker) checkAttempts(q *Request) {
	for i, a := range c.arrivals[q.ID] {
		if abandoned := q.AbandonedAt; abandoned > 0 && a.At > abandoned+abandonSlack+readSlack {
			c.add(InvariantClient, a.At, "%s: begun at %s %v after its client left", q, a.Node, a.At-abandoned)
		}
		remaining := q.Sent + q.Timeout - a.At
		if remaining < -ruleSlack-readSlack {
			c.add(InvariantClient, a.At, "%s: begun at %s %v after its time", q, a.Node, -remaining)
		}
		if a.TTL > max(remaining, 0)+ttlSlack+readSlack {
			c.add(InvariantTTL, a.At, "%s: %v passed on to %s, %v left", q, a.TTL, a.Node, remaining)
		}
		if i > 0 {
			c.checkRetry(q, c.arrivals[q.ID][:i], a)
			c.checkOverlap(q, c.arrivals[q.ID][:i], a)
		}
	}
}

// checkRetry checks a retry against the attempts before it.
func (c *checker) checkRetry(q *Request, before []*Arrival, a *Arrival) {
	for _, b := range before {
		if b.Full {
			continue
		}
		switch q.Class.Effect {
		case policy.NonIdempotent:
			c.add(InvariantDuplicate, a.At, "%s: sent to %s %v after it had reached %s, which did not say that it never ran", q, a.Node, a.At-b.At, b.Node)
			return
		case policy.IdempotentByKey:
			if a.At-b.At > q.Class.DedupWindow+ruleSlack+readSlack {
				c.add(InvariantDuplicate, a.At, "%s: sent to %s %v after it had reached %s, its window is %v", q, a.Node, a.At-b.At, b.Node, q.Class.DedupWindow)
				return
			}
		}
	}
}

// checkOverlap checks that no attempt before another one was still out. A node reads a cancel or the end of a connection with a delay.
func (c *checker) checkOverlap(q *Request, before []*Arrival, a *Arrival) {
	for _, b := range before {
		if b.Ended == 0 || b.Ended > a.At+readSlack {
			c.add(InvariantOverlap, a.At, "%s: sent to %s (connection %d) while the attempt of %.3f at %s (connection %d) was out, to %.3f", q, a.Node, a.Conn,
				b.At.Seconds(), b.Node, b.Conn, b.Ended.Seconds())
			return
		}
	}
}

// checkDrains checks that no attempt went to nodes that are draining or were removed.
func (c *checker) checkDrains() {
	type target struct { // of notices and attempts
		incarnationKey
		node string
	}
	noticed := map[target]time.Duration{}
	for _, n := range c.notices {
		noticed[target{incarnationKey{n.Dispatcher, n.Incarnation}, n.Node}] = n.At
	}
	for _, a := range c.Record.arrivals {
		q := c.requests[a.ID]
		if q == nil {
			continue
		}
		at, ok := noticed[target{incarnationKey{q.Dispatcher, q.Incarnation}, a.Node}]
		if ok && a.At > at+drainGrace+ruleSlack+readSlack {
			c.add(InvariantDrain, a.At, "n%d.%d sent %s to %s %v after it was told (%.3f) that it drains or is gone", q.Dispatcher, q.Incarnation, q.ID,
				a.Node, a.At-at, at.Seconds())
		}
	}
}

// Tolerance of the retry budget beyond the settings: 15 percent and one attempt.
const (
	budgetSlackFactor   = 1.15
	budgetSlackAttempts = 1
)

// checkBudgets checks retries against the requests sent, for each incarnation of each dispatcher.
func (c *checker) checkBudgets() {
	type sendTimes struct{ requests, retries []time.Duration }
	byIncarnation := map[incarnationKey]*sendTimes{}
	for _, q := range c.Record.requests {
		key := incarnationKey{q.Dispatcher, q.Incarnation}
		times := byIncarnation[key]
		if times == nil {
			times = &sendTimes{}
			byIncarnation[key] = times
		}
		times.requests = append(times.requests, q.Sent)
		for _, a := range c.arrivals[q.ID][min(1, len(c.arrivals[q.ID])):] {
			times.retries = append(times.retries, a.At)
		}
	}
	for key, times := range byIncarnation {
		for _, at := range times.retries {
			limit := (budgetBase+budgetRatio*countWithin(times.requests, at, budgetWindow))*budgetSlackFactor + budgetSlackAttempts
			if n := countWithin(times.retries, at, budgetWindow); n > limit {
				c.add(InvariantBudget, at, "n%d.%d: %v further attempts within %v, %v allowed", key.dispatcher, key.number, n, budgetWindow, limit)
				break
			}
		}
	}
}

// countWithin counts the times in the window that ends at a time, which is inside.
func countWithin(times []time.Duration, end, window time.Duration) (n float64) {
	for _, t := range times {
		if t <= end && t > end-window {
			n++
		}
	}
	return n
}

// checkProcesses checks how processes started and ended.
func (c *checker) checkProcesses() {
	for _, l := range c.Record.incarnations {
		name := fmt.Sprintf("n%d.%d", l.Dispatcher, l.Number)
		if l.Ready == 0 && (l.Killed == 0 || l.Killed-l.Started > maxStartup) {
			c.add(InvariantProcess, l.Started, "%s was never ready", name)
		}
		if l.Terminated > 0 && l.Killed == 0 && l.ExitCode != 0 || l.Terminated == 0 && l.Killed == 0 {
			c.add(InvariantProcess, l.Ended, "%s ended with code %d", name, l.ExitCode)
		}
		for _, line := range l.Violations {
			c.add(InvariantInternal, l.Ended, "%s: %s", name, line)
		}
	}
}
