package policy

// Smoothing of traffic rates and of means over own queries.
const (
	rateSmoothing = 0.3  // weight of one interval in a rate: about three seconds
	meanSmoothing = 0.02 // weight of one query in a mean
	idleRetention = 0.8  // share that is left each second of a load or inflation while nothing is reported
)

// traffic holds request rates, in requests a second: this gateway's and those of the mean gateway,
// which start as ours and move towards what peers gossip.
type traffic struct {
	received float64 // requests since the last interval
	rate     float64 // here
	meanRate float64 // of the mean gateway
	share    float64 // this gateway's share of all traffic, as far as known
	tenants  []tenant
}

// queryMeans are means over own queries.
type queryMeans struct {
	threads      float64     // threads of a query in flight: heavy ones count for longer
	grantMB      float64     // MB granted for each thread in flight
	inFlight     float64     // own attempts in flight, over about five seconds
	sentThreads  runningMean // threads of a query sent
	work         runningMean // estimated work, seconds
	latency      runningMean // seconds of an answered attempt
	responseTime runningMean // seconds from receipt to answer
	earned       runningMean // weight earned by an answer
}

// tenant is one tenant's traffic: here, and the mean over gateways.
type tenant struct {
	quota, rate, received, meanRate float64
}

// trafficShare is our share of the traffic, at least an equal one: gateways with little traffic seldom use
// theirs. When gateways are lost the rest take over their share.
func (g *Gateway) trafficShare() float64 { return max(g.traffic.share, 1/float64(g.settings.Peers)) }

// coreShare is this gateway's share of the healthy endpoints' cores.
func (g *Gateway) coreShare() float64 {
	return max(g.fleet.cores*g.trafficShare(), 1)
}

// updateRates turns what was counted in an interval of so many seconds into rates.
func (g *Gateway) updateRates(span, step float64) {
	g.traffic.rate += (g.traffic.received/span - g.traffic.rate) * step
	g.traffic.meanRate += (g.traffic.received/span - g.traffic.meanRate) * step // as fast as ours: at a start the share is right at once
	g.traffic.received = 0
	for i := range g.traffic.tenants {
		t := &g.traffic.tenants[i]
		t.rate += (t.received/span - t.rate) * step
		t.meanRate += (t.received/span - t.meanRate) * step
		t.received = 0
	}
}

// gossipRates are the rates to gossip: the mean gateway's by tenant, and in total.
func (g *Gateway) gossipRates() (rates []float64) {
	for _, t := range g.traffic.tenants {
		rates = append(rates, t.meanRate)
	}
	return append(rates, g.traffic.meanRate)
}

// mergeRates moves the rates of the mean gateway towards a peer's.
func (g *Gateway) mergeRates(rates []float64, step float64) {
	for i := range g.traffic.tenants {
		g.traffic.tenants[i].meanRate += (rates[i] - g.traffic.tenants[i].meanRate) * step
	}
	g.traffic.meanRate += (rates[len(g.traffic.tenants)] - g.traffic.meanRate) * step
}
