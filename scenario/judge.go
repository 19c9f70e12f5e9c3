package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"embershunt/policy"
	"embershunt/simulated"
)

// What passes the sockets is seen a little after it was sent, later on a busy machine. Nothing earlier than this after
// the moment in question counts as a break.
const slack = 100 * time.Millisecond

// Rule is the verdict on one of the seven rules.
type Rule struct {
	Name    string `json:"rule"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
	First   string `json:"first_case,omitempty"`
}

func (r *Rule) check(broken bool, format string, args ...any) {
	r.Checked++
	if broken {
		if r.Broken++; r.Broken == 1 {
			r.First = fmt.Sprintf(format, args...)
		}
	}
}

// Class is what one client group got.
type Class struct {
	Name                                   string
	Asked, Served, Refused, Failed, InTime int
	Lost, Left                             int
	P50, P99, Max                          time.Duration // of served ones
}

// Report is what came out of a day.
type Report struct {
	Name     string
	Rules    []Rule
	Classes  []Class
	Reasons  map[string]int
	Samples  map[string]string // an error for each reason
	Sessions Sessions
	Attempts int
	Further  int
	Nacks    int
	Sets     []string      // of the settings in force at the end, by dispatcher; empty: nothing was streamed
	Natively int           // queries asked over the native protocol
	Came     int           // refused queries that came back when they were told to ...
	CameOK   int           // ... and were served
	Pauses   [][2]float64  // of the loop at changes of the settings: upper bound in seconds and how many up to it
	Latest   time.Duration // longest time from a drain notice sent to an attempt seen at that node
}

// Broken tells whether any rule was.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Rules, func(r Rule) bool { return r.Broken > 0 })
}

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

// judge compares the clients' tallies with the nodes'.
func (w *world) judge() *Report {
	r := &Report{Name: w.script.Name, Reasons: map[string]int{}, Samples: map[string]string{}, Nacks: len(w.control.Nacks())}
	seen := make([][]simulated.Seen, len(w.asked)) // by serial, in the order of arrival
	var all []simulated.Seen
	for _, n := range w.nodes {
		all = append(all, n.Seen()...)
	}
	slices.SortFunc(all, func(a, b simulated.Seen) int { return a.At.Compare(b.At) })
	for _, s := range all {
		if i, ok := serialOf(s.Statement); ok && i < len(seen) {
			seen[i] = append(seen[i], s)
			if r.Attempts++; len(seen[i]) > 1 {
				r.Further++
			}
		}
	}
	r.Rules = []Rule{w.oneAnswer(seen), w.noEffectTwice(seen), w.drains(all, r), w.coldNodes(seen), w.order(seen),
		w.placement(seen), w.budget(seen)}
	if len(w.txs) > 0 {
		r.Rules = append(r.Rules, w.transactions(r))
	}
	for _, a := range w.asked {
		if a.Native {
			r.Natively++
		}
		if a.Came && !w.excused(a) {
			if r.Came++; a.Final == "served" {
				r.CameOK++
			}
		}
	}
	for _, h := range w.hosts {
		for i, b := range addPauses(h.pauses, h.d) {
			if i >= len(r.Pauses) {
				r.Pauses = append(r.Pauses, [2]float64{b[0]})
			}
			r.Pauses[i][1] += b[1]
		}
		if s, ok := h.d.ControlStatus(); ok && len(w.script.Versions) > 0 {
			r.Sets = append(r.Sets, fmt.Sprintf("%s: set %d", h.cfg.File.Name, s.Number))
		}
	}
	for g := range w.script.Clients {
		r.Classes = append(r.Classes, w.service(g, r))
	}
	return r
}

// excused tells that a dispatcher was down while a query was with it: its loss is the client's to bear.
func (w *world) excused(a *Asked) bool {
	for _, d := range w.downs {
		if d.dispatcher == a.Dispatcher && a.Sent.Before(d.to.Add(time.Second)) && a.Ended.After(d.from.Add(-slack)) {
			return true
		}
	}
	return false
}

func (w *world) oneAnswer(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "1 one final answer, in time, nothing after it"}
	for _, a := range w.asked {
		if a.Left || w.excused(a) {
			continue
		}
		r.check(a.Final == "", "query %d got no word of its dispatcher: %s", a.Serial, a.Error)
		r.check(a.Ended.After(a.Deadline), "query %d was answered %v after its deadline", a.Serial, a.Ended.Sub(a.Deadline))
		r.check(a.Final == "served" && a.Rows != a.Want, "query %d was served %d rows of %d", a.Serial, a.Rows, a.Want)
		for _, s := range seen[a.Serial] {
			late := s.At.Sub(a.Ended)
			r.check(late > slack, "query %d: attempt %d reached %s %v after the final answer", a.Serial, s.Attempt, s.Node, late)
		}
	}
	return r
}

func (w *world) noEffectTwice(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "2 no effect happens twice"}
	for _, a := range w.asked {
		class := w.classOf(a.Group)
		if class.Effect == policy.Idempotent || class.Effect == policy.IdempotentByKey && a.Came { // a repeat of the client's own has its token
			continue
		}
		ran := 0
		for _, s := range seen[a.Serial] {
			if s.Ran {
				ran++
			}
		}
		r.check(ran > 1, "query %d ran %d times", a.Serial, ran)
		r.check(a.Final == "refused" && ran > 0 && (class.Effect == policy.NonIdempotent || class.DedupScope != policy.DedupFleet), "query %d was refused and had run", a.Serial)
	}
	return r
}

// drains: nothing new later than the grace after the list that tells of the drain was sent to the dispatcher. One that
// is listed as healthy again starts anew.
func (w *world) drains(all []simulated.Seen, rep *Report) Rule {
	r := Rule{Name: "3 drains are kept"}
	grace := w.hosts[0].cfg.File.Limits.DrainGrace.D()
	pushed := w.control.Pushed()
	for _, s := range all {
		i, ok := serialOf(s.Statement)
		if !ok || i >= len(w.asked) {
			continue
		}
		who := w.hosts[w.asked[i].Dispatcher].cfg.File.Name
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
		rep.Latest = max(rep.Latest, late)
		r.check(late > grace+slack, "query %d: attempt %d reached %s %v after its drain or end was told", i, s.Attempt, s.Node, late)
	}
	return r
}

// coldNodes: in no window is a node that has just started sent more than the stated multiple of what it can do.
func (w *world) coldNodes(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "4 cold nodes are not pushed over"}
	l := &w.hosts[0].cfg.File.Limits
	for _, born := range w.lists {
		type load struct {
			at   time.Time
			work time.Duration
		}
		var loads []load
		for i, list := range seen {
			for _, s := range list {
				if age := s.At.Sub(born.at); s.Node == born.node && age >= 0 && age < l.SlowStartDuration.D() {
					loads = append(loads, load{s.At, w.asked[i].Work})
				}
			}
		}
		slices.SortFunc(loads, func(a, b load) int { return a.at.Compare(b.at) })
		cores := 0
		for i, n := range w.nodes {
			if n.Name == born.node {
				_, kind := w.where(i)
				for _, k := range w.script.Config.Kinds {
					if k.Name == kind || kind == "" {
						cores = k.Cores
						break
					}
				}
			}
		}
		r.check(false, "")
		for i := range loads {
			sum, age := time.Duration(0), loads[i].at.Sub(born.at)
			for _, o := range loads[i:] {
				if o.at.Sub(loads[i].at) <= l.OverloadDuration.D() {
					sum += o.work
				}
			}
			share := l.SlowStartFloor + (1-l.SlowStartFloor)*float64(age)/float64(l.SlowStartDuration.D())
			most := time.Duration(l.OverloadMultiple * share * float64(cores) * float64(l.OverloadDuration.D()))
			r.check(sum > most, "%s, %v after its start, was sent %v of work in %v, it bears %v", born.node, age, sum, l.OverloadDuration.D(), most)
		}
	}
	return r
}

// order: queries of one key run one at a time, and rest after an attempt that may still run.
func (w *world) order(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "5 order is kept"}
	type run struct {
		serial   int
		from, to time.Time
	}
	keys := map[string][]run{}
	for _, a := range w.asked {
		if a.Key < 0 || !w.classOf(a.Group).Ordered {
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

func (w *world) placement(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "6 placement is kept"}
	kinds := w.hosts[0].cfg.Names()
	for _, a := range w.asked {
		c := w.classOf(a.Group)
		if c.Zones == nil && c.Kinds == nil {
			continue
		}
		for _, s := range seen[a.Serial] {
			i, _ := strconv.Atoi(strings.TrimPrefix(s.Node, "node-"))
			hallName, kindName := w.where(i)
			hall, _ := kinds.Zone(hallName)
			kind, _ := kinds.Kind(kindName)
			r.check(c.Zones != nil && !slices.Contains(c.Zones, hall) || c.Kinds != nil && !slices.Contains(c.Kinds, kind),
				"query %d of class %s reached %s", a.Serial, c.Name, s.Node)
		}
	}
	return r
}

// budget: further attempts of one dispatcher, as nodes saw them, within any span.
func (w *world) budget(seen [][]simulated.Seen) Rule {
	r := Rule{Name: "7 further attempts stay within the budget"}
	l := &w.hosts[0].cfg.File.Limits
	if l.RetryBudgetWindow == 0 {
		return r
	}
	for d := range w.hosts {
		var taken, further []time.Time
		for _, a := range w.asked {
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

// service sums up one client group.
func (w *world) service(g int, rep *Report) Class {
	c := Class{Name: w.script.Clients[g].Name}
	class := w.classOf(g)
	h := hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for _, a := range w.asked {
		if a.Group != g {
			continue
		}
		c.Asked++
		if a.Reason != "" {
			rep.Reasons[a.Reason]++
			rep.Samples[a.Reason] = a.Error
		}
		took := a.Ended.Sub(a.Sent)
		switch {
		case a.Left:
			c.Left++
		case a.Final == "":
			c.Lost++
		case a.Final == "refused":
			c.Refused++
		case a.Final == "failed":
			c.Failed++
		default:
			c.Served++
			h.RecordValue(took.Microseconds())
			aim := time.Duration(class.LatencyObjective)*time.Microsecond +
				time.Duration(class.ObjectiveStretch*float64(a.Work)/float64(max(class.Threads, 1)))
			if took <= aim {
				c.InTime++
			}
		}
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	c.P50, c.P99, c.Max = us(h.ValueAtQuantile(50)), us(h.ValueAtQuantile(99)), us(h.Max())
	return c
}
