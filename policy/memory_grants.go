package policy

import "math"

// Memory grants: factors over the estimated memory.
const (
	reportedGrantMargin   = 1.75 // initial factor: the fit may be too low, and a spill costs more than memory
	unreportedGrantMargin = 2.5  // initial factor without progress reports: no spill is seen that corrects it
	defaultGrantFactor    = 1.25 // factor that endpoints apply themselves where they do not honor grants
	swapGrantFactor       = 4.0  // further factor where endpoints swap: memory granted in excess is not lost
	grantQuantile         = 0.85 // share of attempts whose grant is to cover their need
)

// learnGrantMargin raises the class's grant margin after an answer whose progress reported a spill, and
// lowers it after one whose progress reported none. The margin settles where grantQuantile of the attempts
// do not spill.
func (c *class) learnGrantMargin(a *attempt) {
	if a.spilled {
		c.grantMargin += medianStep * grantQuantile
	} else if a.reportedProgress {
		c.grantMargin -= medianStep * (1 - grantQuantile)
	}
}

// memoryGrant returns the memory grant of an attempt in MB: the fitted estimate times the learned margin, at
// most MaxGrantShare of the endpoint's memory. Where endpoints do not honor grants, it returns what they are
// assumed to grant by themselves.
func (g *Gateway) memoryGrant(q *request, e *endpoint) float64 {
	if !g.settings.HonorsGrants {
		return defaultGrantFactor * q.MemoryMB
	}
	if q.MemoryMB <= 0 {
		return 0
	}
	c := q.class
	median := c.memoryMedian.value
	need := math.Exp(median + c.workFit.slope(initialSlope)*(math.Log(q.MemoryMB)-median) + c.grantMargin)
	if g.settings.Shortage == ShortageSwaps {
		need *= swapGrantFactor
	}
	if limit := g.settings.MaxGrantShare * e.memoryMB; limit > 0 {
		need = min(need, limit)
	}
	return math.Ceil(need)
}
