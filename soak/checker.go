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
	InvariantOverlap   Invariant = "overlap"   // no two attempts of one request are in flight at once
	InvariantDrain     Invariant = "drain"     // no attempt reaches a node later than the drain grace after notice of its drain or removal
	InvariantClient    Invariant = "client"    // no attempt starts after the client cancelled or disconnected, or after the timeout
	InvariantTTL       Invariant = "ttl"       // the TTL forwarded to a node is no more than the client's remaining time
	InvariantBudget    Invariant = "budget"    // retries stay within the retry budget
	InvariantProcess   Invariant = "process"   // no crash, start in time, exit code 0 after SIGTERM
	InvariantInternal  Invariant = "own"       // the dispatcher logs no fault, no panic and no violated rule
)

// Tolerances of the invariants.
const (
	ruleSlack    = 50 * time.Millisecond  // for an attempt after the timeout, the dedup window or the drain grace
	answerSlack  = 500 * time.Millisecond // an answer may come this long after the timeout
	abandonSlack = 100 * time.Millisecond // an attempt may start this long after its client cancelled or disconnected
	ttlSlack     = 150 * time.Millisecond // a forwarded TTL may exceed the remaining time by this much
	readSlack    = 60 * time.Millisecond  // added to every limit: delay between the wire and a peer's timestamp, on a busy machine
)

// Violation records one breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String formats the violation as one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// incarnationKey identifies one process of one dispatcher.
type incarnationKey struct{ dispatcher, number int }

// checker indexes the record of a run that has ended, and collects the violations in it.
type checker struct {
	*Record
	incarnations map[incarnationKey]*Incarnation
	requests     map[string]*Request
	arrivals     map[string][]*Arrival // by request, in the order of arrival
	violations   []Violation
}

// Check returns the violations in the record of a run that has ended, earliest first.
func (r *Record) Check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &checker{Record: r, incarnations: map[incarnationKey]*Incarnation{}, requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
	for _, inc := range r.incarnations {
		c.incarnations[incarnationKey{inc.Dispatcher, inc.Number}] = inc
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

// incarnation returns the process that a request was sent to, or nil where the record does not have it.
func (c *checker) incarnation(q *Request) *Incarnation {
	return c.incarnations[incarnationKey{q.Dispatcher, q.Incarnation}]
}

// excusedByKill reports whether the process was killed, without a SIGTERM before, while the request was open. Such a kill excuses a
// missing or incomplete answer.
func (c *checker) excusedByKill(q *Request) bool {
	inc := c.incarnation(q)
	return inc != nil && inc.Killed > 0 && inc.Terminated == 0 && q.Sent <= inc.Killed+readSlack &&
		(q.Ended == 0 || q.Ended >= inc.Killed-readSlack)
}

// String identifies the request in a report: dispatcher and incarnation, class, trace ID, and its times in seconds.
func (q *Request) String() string {
	return fmt.Sprintf("n%d.%d %s %s sent %.3f patience %.3f", q.Dispatcher, q.Incarnation, q.Class.Name, q.ID, q.Sent.Seconds(), q.Timeout.Seconds())
}

// checkAnswer checks the final answer to one request, and that a rejected non-idempotent request never ran.
func (c *checker) checkAnswer(q *Request) {
	switch q.Outcome {
	case InvalidAnswer:
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

// endOfRun returns the time at which the last process ended.
func (c *checker) endOfRun() (end time.Duration) {
	for _, inc := range c.Record.incarnations {
		end = max(end, inc.Ended)
	}
	return end
}

// checkAttempts checks the attempts of one request that reached a node.
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

// checkRetry checks that no earlier attempt forbids a retry. An attempt that the node answered with "full" never ran, so it does not
// count. After any other attempt a non-idempotent request is not retried, and a keyed request only within its dedup window.
func (c *checker) checkRetry(q *Request, earlier []*Arrival, a *Arrival) {
	for _, b := range earlier {
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

// checkOverlap checks that every earlier attempt had ended when an attempt arrived. readSlack is allowed, because a node reads a cancel
// or the end of a connection with a delay.
func (c *checker) checkOverlap(q *Request, earlier []*Arrival, a *Arrival) {
	for _, b := range earlier {
		if b.Ended == 0 || b.Ended > a.At+readSlack {
			c.add(InvariantOverlap, a.At, "%s: sent to %s (connection %d) while the attempt of %.3f at %s (connection %d) was out, to %.3f", q, a.Node, a.Conn,
				b.At.Seconds(), b.Node, b.Conn, b.Ended.Seconds())
			return
		}
	}
}

// checkDrains checks that no attempt reached a node later than drainGrace after the dispatcher was notified of the node's drain or
// removal.
func (c *checker) checkDrains() {
	type target struct { // a node as one incarnation of a dispatcher sees it
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

// Tolerances of the retry budget: retries may exceed the configured budget by 15 percent and one attempt.
const (
	budgetSlackFactor   = 1.15
	budgetSlackAttempts = 1
)

// checkBudgets checks the retries of each incarnation of each dispatcher against its retry budget. In every budgetWindow that ends at a
// retry, the budget is budgetBase plus budgetRatio of the requests sent. Each incarnation is reported once at most.
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

// countWithin counts the times in the window that ends at end. The window includes end and excludes its begin.
func countWithin(times []time.Duration, end, window time.Duration) (n float64) {
	for _, t := range times {
		if t <= end && t > end-window {
			n++
		}
	}
	return n
}

// checkProcesses checks how processes started and ended, and reports the log lines recorded as violations.
func (c *checker) checkProcesses() {
	for _, inc := range c.Record.incarnations {
		name := fmt.Sprintf("n%d.%d", inc.Dispatcher, inc.Number)
		if inc.Ready == 0 && (inc.Killed == 0 || inc.Killed-inc.Started > maxStartup) {
			c.add(InvariantProcess, inc.Started, "%s was never ready", name)
		}
		if inc.Terminated > 0 && inc.Killed == 0 && inc.ExitCode != 0 || inc.Terminated == 0 && inc.Killed == 0 {
			c.add(InvariantProcess, inc.Ended, "%s ended with code %d", name, inc.ExitCode)
		}
		for _, line := range inc.Violations {
			c.add(InvariantInternal, inc.Ended, "%s: %s", name, line)
		}
	}
}
