package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"embershunt/simulated"
)

// RuleResult is the result of one rule: the number of checks, of violations, and a description of the first violation.
type RuleResult struct {
	Name       string `json:"rule"`
	Checked    int    `json:"checked"`
	Violations int    `json:"broken"`
	First      string `json:"first_case,omitempty"`
}

// check counts a check, and a violation if violated is true; the text describes the violation.
func (r *RuleResult) check(violated bool, format string, args ...any) {
	r.Checked++
	if violated {
		if r.Violations++; r.Violations == 1 {
			r.First = fmt.Sprintf(format, args...)
		}
	}
}

// ClientReport counts the outcomes of one client group's queries.
type ClientReport struct {
	Name                                            string
	Sent, Served, Rejected, Failed, WithinObjective int
	Unanswered, Cancelled                           int
	P50, P99, Max                                   time.Duration // from sending to the answer, of served queries
}

// Report holds the results of a day.
type Report struct {
	Name                    string
	Rules                   []RuleResult
	Clients                 []ClientReport
	Reasons                 map[string]int
	Samples                 map[string]string // an error text for each reason
	Transactions            TransactionReport
	Attempts                int
	Retries                 int
	Nacks                   int
	SettingsInEffect        []string      // settings in effect at the end, by dispatcher; empty if the script has no versions
	NativeQueries           int           // queries sent over the native protocol
	RetriesAfterDelay       int           // retries after the retry-after of a rejected query ...
	RetriesAfterDelayServed int           // ... that were served
	Pauses                  [][2]float64  // event loop pauses at settings changes: upper bound in seconds, count up to it
	LatestAfterDrain        time.Duration // longest time from sending a drain notice for a node to an attempt there
}

// Violated reports whether any rule was violated.
func (r *Report) Violated() bool {
	return slices.ContainsFunc(r.Rules, func(r RuleResult) bool { return r.Violations > 0 })
}

// check checks the rules by the records of the clients and the nodes, and fills in the report.
func (e *environment) check() *Report {
	r := &Report{Name: e.script.Name, Reasons: map[string]int{}, Samples: map[string]string{}, Nacks: len(e.control.Nacks())}
	seen := make([][]simulated.AttemptRecord, len(e.queries)) // by serial number, in the order of arrival
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
	for _, q := range e.queries {
		if q.Native {
			r.NativeQueries++
		}
		if q.HonoredRetryAfter && !e.duringOutage(q) {
			if r.RetriesAfterDelay++; q.Outcome == "served" {
				r.RetriesAfterDelayServed++
			}
		}
	}
	for _, p := range e.dispatchers {
		for i, b := range addPauses(p.pauses, p.dispatcher) {
			if i >= len(r.Pauses) {
				r.Pauses = append(r.Pauses, [2]float64{b[0]})
			}
			r.Pauses[i][1] += b[1]
		}
		if s, ok := p.dispatcher.ControlStatus(); ok && len(e.script.Versions) > 0 {
			r.SettingsInEffect = append(r.SettingsInEffect, fmt.Sprintf("%s: set %d", p.config.File.Name, s.Number))
		}
	}
	for g := range e.script.Clients {
		r.Clients = append(r.Clients, e.clientReport(g, r))
	}
	return r
}

// clientReport counts the outcomes of client group g, and their reasons in rep.
func (e *environment) clientReport(g int, rep *Report) ClientReport {
	c := ClientReport{Name: e.script.Clients[g].Name}
	class := e.classOf(g)
	h := hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for _, q := range e.queries {
		if q.Group != g {
			continue
		}
		c.Sent++
		if q.Reason != "" {
			rep.Reasons[q.Reason]++
			rep.Samples[q.Reason] = q.Error
		}
		took := q.Ended.Sub(q.Sent)
		switch {
		case q.Cancelled:
			c.Cancelled++
		case q.Outcome == "":
			c.Unanswered++
		case q.Outcome == "refused":
			c.Rejected++
		case q.Outcome == "failed":
			c.Failed++
		default:
			c.Served++
			_ = h.RecordValue(took.Microseconds()) // a latency out of range is not counted
			objective := time.Duration(class.LatencyObjective)*time.Microsecond +
				time.Duration(class.ObjectiveStretch*float64(q.Work)/float64(max(class.Threads, 1)))
			if took <= objective {
				c.WithinObjective++
			}
		}
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	c.P50, c.P99, c.Max = us(h.ValueAtQuantile(50)), us(h.ValueAtQuantile(99)), us(h.Max())
	return c
}
