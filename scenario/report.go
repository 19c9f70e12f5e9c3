package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"embershunt/simulated"
)

// RuleResult is the verdict on one of the seven rules.
type RuleResult struct {
	Name    string `json:"rule"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
	First   string `json:"first_case,omitempty"`
}

func (r *RuleResult) check(broken bool, format string, args ...any) {
	r.Checked++
	if broken {
		if r.Broken++; r.Broken == 1 {
			r.First = fmt.Sprintf(format, args...)
		}
	}
}

// ClientReport is what one client group got.
type ClientReport struct {
	Name                                  string
	Sent, Served, Refused, Failed, InTime int
	Unanswered, Cancelled                 int
	P50, P99, Max                         time.Duration // of served ones
}

// Report is what came out of a day.
type Report struct {
	Name                  string
	Rules                 []RuleResult
	Clients               []ClientReport
	Reasons               map[string]int
	Samples               map[string]string // an error for each reason
	Sessions              Sessions
	Attempts              int
	Retries               int
	Nacks                 int
	Sets                  []string      // of the settings in force at the end, by dispatcher; empty: nothing was streamed
	NativeQueries         int           // queries asked over the native protocol
	RetriedWhenTold       int           // refused queries that came back when they were told to ...
	RetriedWhenToldServed int           // ... and were served
	Pauses                [][2]float64  // of the loop at changes of the settings: upper bound in seconds and how many up to it
	LatestAfterDrain      time.Duration // longest time from a drain notice sent to an attempt seen at that node
}

// Broken tells whether any rule was.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Rules, func(r RuleResult) bool { return r.Broken > 0 })
}

// check compares the clients' tallies with the nodes'.
func (e *environment) check() *Report {
	r := &Report{Name: e.script.Name, Reasons: map[string]int{}, Samples: map[string]string{}, Nacks: len(e.control.Nacks())}
	seen := make([][]simulated.AttemptRecord, len(e.queries)) // by serial, in the order of arrival
	var all []simulated.AttemptRecord
	for _, n := range e.nodes {
		all = append(all, n.Attempts()...)
	}
	slices.SortFunc(all, func(a, b simulated.AttemptRecord) int { return a.At.Compare(b.At) })
	for _, s := range all {
		if i, ok := serialOf(s.Statement); ok && i < len(seen) {
			seen[i] = append(seen[i], s)
			if r.Attempts++; len(seen[i]) > 1 {
				r.Retries++
			}
		}
	}
	r.Rules = []RuleResult{e.checkAnswers(seen), e.checkEffects(seen), e.checkDrains(all, r), e.checkSlowStart(seen), e.checkOrder(seen),
		e.checkPlacement(seen), e.checkRetryBudget(seen)}
	if len(e.transactions) > 0 {
		r.Rules = append(r.Rules, e.checkTransactions(r))
	}
	for _, a := range e.queries {
		if a.Native {
			r.NativeQueries++
		}
		if a.HonoredRetryAfter && !e.duringOutage(a) {
			if r.RetriedWhenTold++; a.Outcome == "served" {
				r.RetriedWhenToldServed++
			}
		}
	}
	for _, h := range e.dispatchers {
		for i, b := range addPauses(h.pauses, h.dispatcher) {
			if i >= len(r.Pauses) {
				r.Pauses = append(r.Pauses, [2]float64{b[0]})
			}
			r.Pauses[i][1] += b[1]
		}
		if s, ok := h.dispatcher.ControlStatus(); ok && len(e.script.Versions) > 0 {
			r.Sets = append(r.Sets, fmt.Sprintf("%s: set %d", h.config.File.Name, s.Number))
		}
	}
	for g := range e.script.Clients {
		r.Clients = append(r.Clients, e.clientReport(g, r))
	}
	return r
}

// clientReport sums up one client group.
func (e *environment) clientReport(g int, rep *Report) ClientReport {
	c := ClientReport{Name: e.script.Clients[g].Name}
	class := e.classOf(g)
	h := hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for _, a := range e.queries {
		if a.Group != g {
			continue
		}
		c.Sent++
		if a.Reason != "" {
			rep.Reasons[a.Reason]++
			rep.Samples[a.Reason] = a.Error
		}
		took := a.Ended.Sub(a.Sent)
		switch {
		case a.Cancelled:
			c.Cancelled++
		case a.Outcome == "":
			c.Unanswered++
		case a.Outcome == "refused":
			c.Refused++
		case a.Outcome == "failed":
			c.Failed++
		default:
			c.Served++
			_ = h.RecordValue(took.Microseconds()) // one that is out of range is left out
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
