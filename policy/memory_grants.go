package policy

import "math"

// MemoryMedian grants: factors over the estimated memory.
const (
	reportedGrantMargin   = 1.75 // first factor: the fit may lie low, and a spill costs more than memory
	unreportedGrantMargin = 2.5  // the same where no progress reports spills: nothing would correct it
	defaultGrantFactor    = 1.25 // factor of endpoints that do not honor grants
	swapGrantFactor       = 4.0  // further factor where endpoints swap: what exceeds the need is not lost
	grantQuantile         = 0.85 // share of attempts whose grant is to cover their need
)

// learnGrantMargin moves the margin by an answer that spilled or did not, as its progress reported; it
// settles where grantQuantile of the attempts do not.
func (c *class) learnGrantMargin(a *attempt) {
	if a.spilled {
		c.grantMargin += medianStep * grantQuantile
	} else if a.reportedProgress {
		c.grantMargin -= medianStep * (1 - grantQuantile)
	}
}

// memoryGrant is the memory of one attempt in MB: the fitted estimate times the learned margin. Where grants
// are not honored it is what endpoints grant by themselves.
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
