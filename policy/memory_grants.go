package policy

import "math"

// Memory grants: factors over the estimated memory.
const (
	reportedGrantMargin   = 1.75 // first factor: the fit may lie low, and a spill costs more than a large grant
	unreportedGrantMargin = 2.5  // the same where no progress reports spills: nothing would correct it
	defaultGrantFactor    = 1.25 // factor that endpoints use which do not honor grants
	swapGrantFactor       = 4.0  // further factor where endpoints swap: only the lesser of grant and need counts
	grantQuantile         = 0.85 // share of attempts whose grant is to cover their need
)

// memoryGrant is the memory of one attempt in MB: the fitted estimate times the learned margin.
func (g *Gateway) memoryGrant(q *request, e *endpoint) float64 {
	if !g.settings.HonorsGrants { // the engine's own choice; it takes memory all the same
		return defaultGrantFactor * q.MemoryMB
	}
	if q.MemoryMB <= 0 {
		return 0
	}
	c := q.class
	need := math.Exp(c.memoryMedian.value + c.workFit.slope(initialSlope)*(math.Log(q.MemoryMB)-c.memoryMedian.value) + c.grantMargin)
	if g.settings.Shortage == ShortageSwaps { // what passes the need is not lost to others
		need *= swapGrantFactor
	}
	if most := g.settings.MaxGrantShare * e.memoryMB; most > 0 {
		need = min(need, most)
	}
	return math.Ceil(need)
}
