package policy

// Smoothing of traffic rates and of means over own queries.
const (
	rateSmoothing = 0.3  // weight of one interval in a rate: about three seconds
	meanSmoothing = 0.02 // weight of one query in a mean
	idleRetention = 0.8  // share left each second of a load or inflation that nothing reports any more
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

// tenant is one tenant's traffic, in requests a second.
type tenant struct {
	quota    float64 // over all gateways; 0: none
	received float64 // requests since the last interval
	rate     float64 // here
	meanRate float64 // of the mean gateway
}

// queryMeans are means over own queries.
type queryMeans struct {
	threads      float64     // threads of a query in flight: long ones count for longer
	grantMB      float64     // MB granted for each thread in flight
	inFlight     float64     // own attempts in flight, over about five seconds
	sentThreads  runningMean // threads of a query sent
	work         runningMean // estimated work, seconds
	latency      runningMean // seconds of an answered attempt
	responseTime runningMean // seconds from receipt to answer
	earned       runningMean // weight earned by an answer
}

// count counts a request of a tenant, which may be unknown.
func (t *traffic) count(tenant int) {
	t.received++
	if tenant >= 0 && tenant < len(t.tenants) {
		t.tenants[tenant].received++
	}
}

// updateRates turns what was counted in an interval of so many seconds into rates. The rate of the mean
// gateway moves as fast as ours, so that the share is right at once when traffic starts.
func (t *traffic) updateRates(interval float64) {
	t.rate += (t.received/interval - t.rate) * rateSmoothing
	t.meanRate += (t.received/interval - t.meanRate) * rateSmoothing
	t.received = 0
	for i := range t.tenants {
		n := &t.tenants[i]
		n.rate += (n.received/interval - n.rate) * rateSmoothing
		n.meanRate += (n.received/interval - n.meanRate) * rateSmoothing
		n.received = 0
	}
}

// gossipRates are the rates to gossip: the mean gateway's by tenant, and in total.
func (t *traffic) gossipRates() (rates []float64) {
	for _, n := range t.tenants {
		rates = append(rates, n.meanRate)
	}
	return append(rates, t.meanRate)
}

// mergeRates moves the rates of the mean gateway towards a peer's.
func (t *traffic) mergeRates(rates []float64) {
	for i := range t.tenants {
		t.tenants[i].meanRate += (rates[i] - t.tenants[i].meanRate) * gossipRateSmoothing
	}
	t.meanRate += (rates[len(t.tenants)] - t.meanRate) * gossipRateSmoothing
}

// updateShare estimates this gateway's share of all traffic: own rate over the total by gossip; where
// there is none, own demand in threads (rate · latency · threads) over all threads reported.
func (g *Gateway) updateShare() {
	t := &g.traffic
	if len(g.gossip.reports) > 0 {
		t.share = t.rate / max(t.meanRate*float64(g.settings.Peers), t.rate, 1e-9)
		return
	}
	demand := t.rate * g.queries.latency.value * g.queries.sentThreads.value
	if demand > 0 && g.fleet.reported {
		t.share = demand / max(g.fleet.threads/max(g.fleet.occupancyExcess, 1), demand)
	}
}

// updateQueryMeans takes the attempts in flight into the means: long ones count for longer.
func (g *Gateway) updateQueryMeans() {
	n := g.attemptsInFlight()
	if n == 0 {
		return
	}
	weight := min(1, n*meanSmoothing)
	g.queries.threads += (g.threadsInFlight()/n - g.queries.threads) * weight
	g.queries.grantMB += (g.grantsInFlightMB()/g.threadsInFlight() - g.queries.grantMB) * weight
}

// trafficShare is our share of the traffic, at least an equal one: gateways with little traffic seldom
// use theirs. When gateways are lost the rest take over their share.
func (g *Gateway) trafficShare() float64 { return max(g.traffic.share, 1/float64(g.settings.Peers)) }

// coreShare is this gateway's share of the healthy endpoints' cores.
func (g *Gateway) coreShare() float64 {
	return max(g.fleet.cores*g.trafficShare(), 1)
}
