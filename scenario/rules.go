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

// What passes the sockets is seen a little after it was sent, later on a busy machine. Nothing earlier than this after
// the moment in question counts as a break.
const slack = 100 * time.Millisecond

// serialOf finds the number of a query in its statement.
func serialOf(statement string) (int, bool) {
	_, rest, ok := strings.Cut(statement, "serial=")
	if !ok {
		return 0, false
	}
	word, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(word)
	return n, err == nil
}

// duringOutage tells that a dispatcher was down while a query was with it: its loss is the client's to bear.
func (e *environment) duringOutage(a *ClientQuery) bool {
	for _, d := range e.outages {
		if d.dispatcher == a.Dispatcher && a.Sent.Before(d.to.Add(time.Second)) && a.Ended.After(d.from.Add(-slack)) {
			return true
		}
	}
	return false
}

func (e *environment) checkAnswers(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "1 one final answer, in time, nothing after it"}
	for _, a := range e.queries {
		if a.Cancelled || e.duringOutage(a) {
			continue
		}
		r.check(a.Outcome == "", "query %d got no word of its dispatcher: %s", a.Serial, a.Error)
		r.check(a.Ended.After(a.Deadline), "query %d was answered %v after its deadline", a.Serial, a.Ended.Sub(a.Deadline))
		r.check(a.Outcome == "served" && a.Rows != a.WantRows, "query %d was served %d rows of %d", a.Serial, a.Rows, a.WantRows)
		for _, s := range seen[a.Serial] {
			late := s.At.Sub(a.Ended)
			r.check(late > slack, "query %d: attempt %d reached %s %v after the final answer", a.Serial, s.Attempt, s.Node, late)
		}
	}
	return r
}

func (e *environment) checkEffects(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "2 no effect happens twice"}
	for _, a := range e.queries {
		class := e.classOf(a.Group)
		if class.Effect == policy.Idempotent || class.Effect == policy.IdempotentByKey && a.HonoredRetryAfter { // a repeat of the client's own has its token
			continue
		}
		ran := 0
		for _, s := range seen[a.Serial] {
			if s.Ran {
				ran++
			}
		}
		r.check(ran > 1, "query %d ran %d times", a.Serial, ran)
		r.check(a.Outcome == "refused" && ran > 0 && (class.Effect == policy.NonIdempotent || class.DedupScope != policy.DedupFleet), "query %d was refused and had run", a.Serial)
	}
	return r
}

// checkDrains: nothing new later than the grace after the list that tells of the drain was sent to the dispatcher. One that
// is listed as healthy again starts anew.
func (e *environment) checkDrains(all []simulated.AttemptRecord, rep *Report) RuleResult {
	r := RuleResult{Name: "3 drains are kept"}
	grace := e.dispatchers[0].config.File.Limits.DrainGrace.D()
	pushed := e.control.Pushed()
	for _, s := range all {
		i, ok := serialOf(s.Statement)
		if !ok || i >= len(e.queries) {
			continue
		}
		who := e.dispatchers[e.queries[i].Dispatcher].config.File.Name
		told := time.Time{}
		for _, p := range pushed { // in order
			if p.Dispatcher != who || p.At.After(s.At) {
				continue
			}
			switch stated := slices.Contains(p.Draining, s.Node); {
			case p.Refused && !stated: // a list turned down tells of no end and no return, but a drain it states counts
			case slices.Contains(p.Healthy, s.Node):
				told = time.Time{}
			case told.IsZero():
				told = p.At
			}
		}
		if told.IsZero() {
			r.check(false, "")
			continue
		}
		late := s.At.Sub(told)
		rep.LatestAfterDrain = max(rep.LatestAfterDrain, late)
		r.check(late > grace+slack, "query %d: attempt %d reached %s %v after its drain or end was told", i, s.Attempt, s.Node, late)
	}
	return r
}

// checkOrder: queries of one key run one at a time, and rest after an attempt that may still run.
func (e *environment) checkOrder(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "5 order is kept"}
	type run struct {
		serial   int
		from, to time.Time
	}
	keys := map[string][]run{}
	for _, a := range e.queries {
		if a.Key < 0 || !e.classOf(a.Group).Ordered {
			continue
		}
		for _, s := range seen[a.Serial] {
			end := s.End
			if end.IsZero() {
				end = s.At
			}
			k := fmt.Sprintf("%d/%d", a.Dispatcher, a.Key)
			keys[k] = append(keys[k], run{a.Serial, s.At, end})
		}
	}
	for k, runs := range keys {
		slices.SortFunc(runs, func(a, b run) int { return a.from.Compare(b.from) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			over := a.to.Sub(b.from)
			r.check(a.serial != b.serial && over > 5*time.Millisecond, "key %s: query %d began %v before query %d ended", k, b.serial, over, a.serial)
		}
	}
	return r
}

func (e *environment) checkPlacement(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "6 placement is kept"}
	kinds := e.dispatchers[0].config.Names()
	for _, a := range e.queries {
		c := e.classOf(a.Group)
		if c.Zones == nil && c.Kinds == nil {
			continue
		}
		for _, s := range seen[a.Serial] {
			i, _ := strconv.Atoi(strings.TrimPrefix(s.Node, "node-"))
			hallName, kindName := e.placementOf(i)
			hall, _ := kinds.Zone(hallName)
			kind, _ := kinds.Kind(kindName)
			r.check(c.Zones != nil && !slices.Contains(c.Zones, hall) || c.Kinds != nil && !slices.Contains(c.Kinds, kind),
				"query %d of class %s reached %s", a.Serial, c.Name, s.Node)
		}
	}
	return r
}

// checkRetryBudget: further attempts of one dispatcher, as nodes saw them, within any span.
func (e *environment) checkRetryBudget(seen [][]simulated.AttemptRecord) RuleResult {
	r := RuleResult{Name: "7 further attempts stay within the budget"}
	l := &e.dispatchers[0].config.File.Limits
	if l.RetryBudgetWindow == 0 {
		return r
	}
	for d := range e.dispatchers {
		var taken, further []time.Time
		for _, a := range e.queries {
			if a.Dispatcher != d {
				continue
			}
			taken = append(taken, a.Sent)
			for _, s := range seen[a.Serial] {
				if s.Attempt > 0 {
					further = append(further, s.At)
				}
			}
		}
		slices.SortFunc(taken, time.Time.Compare)
		slices.SortFunc(further, time.Time.Compare)
		for i, at := range further {
			from := at.Add(-l.RetryBudgetWindow.D())
			n := 0
			for _, o := range further[:i+1] {
				if o.After(from.Add(slack)) {
					n++
				}
			}
			k := 0
			for _, o := range taken {
				if o.After(from.Add(-slack)) && !o.After(at) {
					k++
				}
			}
			most := l.RetryBudgetFloor + l.RetryBudgetRatio*float64(k)
			r.check(float64(n) > most, "dispatcher %d made %d further attempts in %v, allowed are %.1f", d, n, l.RetryBudgetWindow.D(), most)
		}
	}
	return r
}

// nodeLoad is work that was sent to a node.
type nodeLoad struct {
	at   time.Time
	work time.Duration
}

// checkSlowStart: in no window is a node that has just started sent more than the stated multiple of what it can do then.
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
			r.check(sum > limit, "%s, %v after its start, was sent %v of work in %v, it bears %v", started.node, age, sum, window, limit)
		}
	}
	return r
}

// loadsSince is what a node was sent while it was warming up, in the order of arrival.
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

// coresOf is the number of a node's cores, by its kind.
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
