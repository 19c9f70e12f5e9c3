package permit

import "sync/atomic"

// Audit counts acts that were not permitted, by reason: those withheld, and those that happened all the same.
// The zero value is ready for use. It is safe for concurrent use.
type Audit struct {
	withheld [reasonCount]atomic.Int64
	violated [reasonCount]atomic.Int64
}

// CountWithheld counts an act that is withheld because it is not permitted, and returns the reason unchanged.
// Permitted is not counted.
func (a *Audit) CountWithheld(r Reason) Reason {
	if r != Permitted {
		a.withheld[r].Add(1)
	}
	return r
}

// CountViolation counts an act that has violated a rule, and reports whether there was a violation: false for
// Permitted.
func (a *Audit) CountViolation(r Reason) bool {
	if r == Permitted {
		return false
	}
	a.violated[r].Add(1)
	return true
}

// Reasons returns all reasons except Permitted.
func Reasons() (out []Reason) {
	for r := Permitted + 1; r < reasonCount; r++ {
		out = append(out, r)
	}
	return out
}

// Withheld returns the number of acts withheld for a reason.
func (a *Audit) Withheld(r Reason) int64 { return a.withheld[r].Load() }

// Violated returns the number of violations of a rule.
func (a *Audit) Violated(r Reason) int64 { return a.violated[r].Load() }

// Count holds the number of withheld acts and of violations for one reason.
type Count struct {
	Reason             Reason
	Withheld, Violated int64
}

// Counts returns the counts of the reasons that have occurred, in the order of Reasons.
func (a *Audit) Counts() (out []Count) {
	for _, r := range Reasons() {
		c := Count{r, a.withheld[r].Load(), a.violated[r].Load()}
		if c.Withheld+c.Violated > 0 {
			out = append(out, c)
		}
	}
	return out
}
