package permit

import "sync/atomic"

// Audit counts acts that were not permitted. It is safe for concurrent use.
type Audit struct {
	withheld [reasons]atomic.Int64
	violated [reasons]atomic.Int64
}

// Withhold counts an act that was not permitted and did not happen, and hands its reason on.
func (a *Audit) Withhold(r Reason) Reason {
	if r != Permitted {
		a.withheld[r].Add(1)
	}
	return r
}

// Violate counts an act that happened against a rule; true where it did.
func (a *Audit) Violate(r Reason) bool {
	if r == Permitted {
		return false
	}
	a.violated[r].Add(1)
	return true
}

// All lists the reasons, without Permitted.
func All() (out []Reason) {
	for r := Permitted + 1; r < reasons; r++ {
		out = append(out, r)
	}
	return out
}

// Withheld is how often acts were withheld for a reason.
func (a *Audit) Withheld(r Reason) int64 { return a.withheld[r].Load() }

// Violated is how often a rule was violated.
func (a *Audit) Violated(r Reason) int64 { return a.violated[r].Load() }

// Count is how often acts were withheld, and rules violated, for one reason.
type Count struct {
	Reason             Reason
	Withheld, Violated int64
}

// Counts lists the reasons that have occurred.
func (a *Audit) Counts() (out []Count) {
	for _, r := range All() {
		c := Count{r, a.withheld[r].Load(), a.violated[r].Load()}
		if c.Withheld+c.Violated > 0 {
			out = append(out, c)
		}
	}
	return out
}
