package policy

// Smoothing of traffic rates and of means over own queries.
const (
	rateSmoothing = 0.3  // weight of one interval in a rate: about three seconds
	meanSmoothing = 0.02 // weight of one query in a mean
	idleRetention = 0.8  // share that is left each second of a load or inflation while nothing is reported
)

// tenant is one tenant's traffic: here, and the mean over gateways.
type tenant struct {
	quota, rate, received, meanRate float64
}

// trafficShare is our share of the traffic, at least an equal one: gateways with little traffic seldom use
// theirs. When gateways are lost the rest take over their share.
func (g *Gateway) trafficShare() float64 { return max(g.ownShare, 1/float64(g.settings.Peers)) }

// coreShare is this gateway's share of the healthy endpoints' cores.
func (g *Gateway) coreShare() float64 {
	return max(g.fleet.cores*g.trafficShare(), 1)
}

// updateRates turns what was counted in an interval of so many seconds into rates.
func (g *Gateway) updateRates(span, step float64) {
	g.rate += (g.received/span - g.rate) * step
	g.meanRate += (g.received/span - g.meanRate) * step // as fast as ours: at a start the share is right at once
	g.received = 0
	for i := range g.tenants {
		t := &g.tenants[i]
		t.rate += (t.received/span - t.rate) * step
		t.meanRate += (t.received/span - t.meanRate) * step
		t.received = 0
	}
}

// gossipRates are the rates to gossip: the mean gateway's by tenant, and in total.
func (g *Gateway) gossipRates() (rates []float64) {
	for _, t := range g.tenants {
		rates = append(rates, t.meanRate)
	}
	return append(rates, g.meanRate)
}

// mergeRates moves the rates of the mean gateway towards a peer's.
func (g *Gateway) mergeRates(rates []float64, step float64) {
	for i := range g.tenants {
		g.tenants[i].meanRate += (rates[i] - g.tenants[i].meanRate) * step
	}
	g.meanRate += (rates[len(g.tenants)] - g.meanRate) * step
}
