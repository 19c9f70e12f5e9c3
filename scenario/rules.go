package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"embershunt/policy"
	"embershunt/simulated"
)

// observationDelay is how long after it was sent a call or a list may be recorded at its receiver, on a busy machine. Rules that compare
// the times of two processes tolerate this much.
const observationDelay = 100 * time.Millisecond

// serialOf returns the serial number of a query from its statement.
func serialOf(statement string) (int, bool) {
	_, rest, ok := strings.Cut(statement, "serial=")
	if !ok {
		return 0, false
	}
	number, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(number)
	return n, err == nil
}

// duringOutage reports whether the dispatcher of a query was down while the query was in flight, or had restarted less than 1 s before
// the query was sent. Such a query may be lost without an answer.
func (e *environment) duringOutage(q *ClientQuery) bool {
	for _, d := range e.outages {
		if d.dispatcher == q.Dispatcher && q.Sent.Before(d.to.Add(time.Second)) && q.Ended.After(d.from.Add(-observationDelay)) {
			return true
		}
	}
	return false
}

// checkAnswers checks that each query gets a final answer before its deadline and the rows of a served query are complete, and that no
// attempt reaches a node after the answer. Cancelled queries and those in an outage are exempt.
func (e *environment) checkAnswers(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "1 one final answer, in time, nothing after it"}
	for _, q := range e.queries {
		if q.Cancelled || e.duringOutage(q) {
			continue
		}
		r.check(q.Outcome == "", "query %d got no answer from its dispatcher: %s", q.Serial, q.Error)
		r.check(q.Ended.After(q.Deadline), "query %d was answered %v after its deadline", q.Serial, q.Ended.Sub(q.Deadline))
		r.check(q.Outcome == "served" && q.Rows != q.WantRows, "query %d was served %d rows of %d", q.Serial, q.Rows, q.WantRows)
		for _, s := range seen[q.Serial] {
			late := s.At.Sub(q.Ended)
			r.check(late > observationDelay, "query %d: attempt %d reached %s %v after the final answer", q.Serial, s.Attempt, s.Node, late)
		}
	}
	return r
}

// checkEffects checks that no query with an effect runs twice, and that a rejected query did not run where the client could not safely
// repeat it.
func (e *environment) checkEffects(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "2 no effect happens twice"}
	for _, q := range e.queries {
		class := e.classOf(q.Group)
		// A client's own retry carries the token of the rejected query, by which nodes deduplicate.
		if class.Effect == policy.Idempotent || class.Effect == policy.IdempotentByKey && q.HonoredRetryAfter {
			continue
		}
		ran := 0
		for _, s := range seen[q.Serial] {
			if s.Ran {
				ran++
			}
		}
		r.check(ran > 1, "query %d ran %d times", q.Serial, ran)
		r.check(q.Outcome == "refused" && ran > 0 && (class.Effect == policy.NonIdempotent || class.DedupScope != policy.DedupFleet),
			"query %d was rejected although it had run", q.Serial)
	}
	return r
}

// checkDrains checks that no attempt reaches a node later than the drain grace after the dispatcher was sent the first endpoint list
// in which the node is draining or missing. A later list in which the node is healthy ends the drain.
func (e *environment) checkDrains(all []simulated.AttemptRecord, rep *Report) RuleResult {
	r := RuleResult{Name: "3 drains are kept"}
	grace := e.dispatchers[0].config.File.Limits.DrainGrace.D()
	pushed := e.control.Pushed()
	for _, s := range all {
		i, ok := serialOf(s.Statement)
		if !ok || i >= len(e.queries) {
			continue
		}
		dispatcher := e.dispatchers[e.queries[i].Dispatcher].config.File.Name
		noticeAt := time.Time{}
		for _, p := range pushed { // in the order of sending
			if p.Dispatcher != dispatcher || p.At.After(s.At) {
				continue
			}
			switch draining := slices.Contains(p.Draining, s.Node); {
			case p.Rejected && !draining: // a rejected list removes and restores no node, but a drain in it counts
			case slices.Contains(p.Healthy, s.Node):
				noticeAt = time.Time{}
			case noticeAt.IsZero():
				noticeAt = p.At
			}
		}
		if noticeAt.IsZero() {
			r.check(false, "")
			continue
		}
		late := s.At.Sub(noticeAt)
		rep.LatestAfterDrain = max(rep.LatestAfterDrain, late)
		r.check(late > grace+observationDelay, "query %d: attempt %d reached %s %v after the notice of its drain or removal",
			i, s.Attempt, s.Node, late)
	}
	return r
}

// checkOrder checks that the queries of an order key run one at a time at the nodes. Overlaps of up to 5 ms are tolerated.
func (e *environment) checkOrder(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "5 order is kept"}
	type execution struct {
		serial   int
		from, to time.Time
	}
	keys := map[string][]execution{}
	for _, q := range e.queries {
		if q.Key < 0 || !e.classOf(q.Group).Ordered {
			continue
		}
		for _, s := range seen[q.Serial] {
			end := s.End
			if end.IsZero() {
				end = s.At
			}
			k := fmt.Sprintf("%d/%d", q.Dispatcher, q.Key)
			keys[k] = append(keys[k], execution{q.Serial, s.At, end})
		}
	}
	for k, runs := range keys {
		slices.SortFunc(runs, func(a, b execution) int { return a.from.Compare(b.from) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			over := a.to.Sub(b.from)
			r.check(a.serial != b.serial && over > 5*time.Millisecond,
				"key %s: query %d began %v before query %d ended", k, b.serial, over, a.serial)
		}
	}
	return r
}

// checkPlacement checks that queries of a class reach only nodes of the zones and kinds that the class allows.
func (e *environment) checkPlacement(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "6 placement is kept"}
	names := e.dispatchers[0].config.Names()
	for _, q := range e.queries {
		c := e.classOf(q.Group)
		if c.Zones == nil && c.Kinds == nil {
			continue
		}
		for _, s := range seen[q.Serial] {
			i, _ := strconv.Atoi(strings.TrimPrefix(s.Node, "node-"))
			zoneName, kindName := e.placementOf(i)
			zone, _ := names.Zone(zoneName)
			kind, _ := names.Kind(kindName)
			r.check(c.Zones != nil && !slices.Contains(c.Zones, zone) || c.Kinds != nil && !slices.Contains(c.Kinds, kind),
				"query %d of class %s reached %s", q.Serial, c.Name, s.Node)
		}
	}
	return r
}

// checkRetryBudget checks that the attempts after the first that each dispatcher makes, as nodes recorded them, stay within the retry
// budget in every window of the budget.
func (e *environment) checkRetryBudget(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "7 further attempts stay within the budget"}
	limits := &e.dispatchers[0].config.File.Limits
	if limits.RetryBudgetWindow == 0 {
		return r
	}
	for d := range e.dispatchers {
		var sent, further []time.Time
		for _, q := range e.queries {
			if q.Dispatcher != d {
				continue
			}
			sent = append(sent, q.Sent)
			for _, s := range seen[q.Serial] {
				if s.Attempt > 0 {
					further = append(further, s.At)
				}
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		slices.SortFunc(further, time.Time.Compare)
		for i, at := range further {
			from := at.Add(-limits.RetryBudgetWindow.D())
			attempts := 0
			for _, o := range further[:i+1] {
				if o.After(from.Add(observationDelay)) {
					attempts++
				}
			}
			queries := 0
			for _, o := range sent {
				if o.After(from.Add(-observationDelay)) && !o.After(at) {
					queries++
				}
			}
			allowed := limits.RetryBudgetFloor + limits.RetryBudgetRatio*float64(queries)
			r.check(float64(attempts) > allowed, "dispatcher %d made %d further attempts in %v, more than the %.1f allowed",
				d, attempts, limits.RetryBudgetWindow.D(), allowed)
		}
	}
	return r
}

// nodeLoad is the work of one attempt at a node.
type nodeLoad struct {
	at   time.Time
	work time.Duration
}

// checkSlowStart checks that a node in slow start receives no more work in any overload window than the overload multiple of its capacity
// at the time, which grows linearly from the slow start floor.
func (e *environment) checkSlowStart(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "4 cold nodes are not pushed over"}
	limits := &e.dispatchers[0].config.File.Limits
	window, warmup := limits.OverloadDuration.D(), limits.SlowStartDuration.D()
	for _, started := range e.restarts {
		loads, cores := e.loadsSince(started, seen), e.coresOf(started.node)
		r.check(false, "")
		for i, first := range loads {
			sum, age := time.Duration(0), first.at.Sub(started.at)
			for _, load := range loads[i:] {
				if load.at.Sub(first.at) <= window {
					sum += load.work
				}
			}
			capacity := limits.SlowStartFloor + (1-limits.SlowStartFloor)*float64(age)/float64(warmup)
			limit := time.Duration(limits.OverloadMultiple * capacity * float64(cores) * float64(window))
			r.check(sum > limit, "%s, %v after its start, received %v of work in %v, more than its limit of %v",
				started.node, age, sum, window, limit)
		}
	}
	return r
}

// loadsSince returns the work that a node received in its slow start, in the order of arrival.
func (e *environment) loadsSince(started restart, seen [][]simulated.AttemptRecord) (loads []nodeLoad) {
	warmup := e.dispatchers[0].config.File.Limits.SlowStartDuration.D()
	for serial, attempts := range seen {
		for _, s := range attempts {
			if age := s.At.Sub(started.at); s.Node == started.node && age >= 0 && age < warmup {
				loads = append(loads, nodeLoad{s.At, e.queries[serial].Work})
			}
		}
	}
	slices.SortFunc(loads, func(a, b nodeLoad) int { return a.at.Compare(b.at) })
	return loads
}

// coresOf returns the number of cores of a node's kind; 0 for an unknown node.
func (e *environment) coresOf(node string) int {
	for i, n := range e.nodes {
		if n.Name != node {
			continue
		}
		_, kind := e.placementOf(i)
		for _, k := range e.script.Config.Kinds {
			if k.Name == kind || kind == "" {
				return k.Cores
			}
		}
	}
	return 0
}
