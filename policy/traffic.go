package policy

// Smoothing of traffic rates and of means over this gateway's queries.
const (
	rateSmoothing = 0.3  // weight of one interval in a rate: the last three seconds or so count
	meanSmoothing = 0.02 // weight of one query in a mean
	idleRetention = 0.8  // share of a load or inflation that is left after a second without reports
)

// traffic holds request rates in requests per second: this gateway's and those of the mean gateway, which
// start as this gateway's and move towards the rates that peers gossip.
type traffic struct {
	received float64 // requests in the current interval
	rate     float64 // of this gateway
	meanRate float64 // of the mean gateway
	share    float64 // this gateway's share of all traffic, as far as known
	tenants  []tenant
}

// tenant holds one tenant's quota and rates, in requests per second.
type tenant struct {
	quota    float64 // over all gateways; 0: none
	received float64 // requests in the current interval
	rate     float64 // at this gateway
	meanRate float64 // at the mean gateway
}

// queryMeans holds means over this gateway's queries.
type queryMeans struct {
	threads      float64     // threads of a query in flight; long queries weigh more
	grantMB      float64     // MB granted per thread in flight
	inFlight     float64     // attempts in flight, averaged over about five seconds
	sentThreads  runningMean // threads of a query when sent
	work         runningMean // estimated work, seconds
	latency      runningMean // seconds from send to answer
	responseTime runningMean // seconds from receipt to answer
	earned       runningMean // weight earned by an answer
}

// countRequest counts a request of a tenant; an index out of range stands for an unknown tenant.
func (t *traffic) countRequest(tenant int) {
	t.received++
	if tenant >= 0 && tenant < len(t.tenants) {
		t.tenants[tenant].received++
	}
}

// updateRates updates the rates from the requests counted in an interval, whose length is in seconds. The
// rates of the mean gateway move as fast as this gateway's, so that the share is right at once when traffic
// starts.
func (t *traffic) updateRates(interval float64) {
	t.rate += (t.received/interval - t.rate) * rateSmoothing
	t.meanRate += (t.received/interval - t.meanRate) * rateSmoothing
	t.received = 0
	for i := range t.tenants {
		tenant := &t.tenants[i]
		tenant.rate += (tenant.received/interval - tenant.rate) * rateSmoothing
		tenant.meanRate += (tenant.received/interval - tenant.meanRate) * rateSmoothing
		tenant.received = 0
	}
}

// gossipRates returns the rates to gossip, those of the mean gateway: for each tenant, then in total.
func (t *traffic) gossipRates() (rates []float64) {
	for _, tenant := range t.tenants {
		rates = append(rates, tenant.meanRate)
	}
	return append(rates, t.meanRate)
}

// mergeRates moves the rates of the mean gateway towards those that a peer gossips.
func (t *traffic) mergeRates(rates []float64) {
	for i := range t.tenants {
		t.tenants[i].meanRate += (rates[i] - t.tenants[i].meanRate) * gossipRateSmoothing
	}
	t.meanRate += (rates[len(t.tenants)] - t.meanRate) * gossipRateSmoothing
}

// updateShare estimates this gateway's share of all traffic. With gossip, it is this gateway's rate over the
// rate of all gateways. Without, it is this gateway's demand in threads (rate · latency · threads) over the
// threads on all endpoints, where load is reported.
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

// updateQueryMeans updates the means of threads and grants from the attempts in flight. Long queries are in
// flight at more updates, so they weigh more.
func (g *Gateway) updateQueryMeans() {
	n := g.attemptsInFlight()
	if n == 0 {
		return
	}
	weight := min(1, n*meanSmoothing)
	g.queries.threads += (g.threadsInFlight()/n - g.queries.threads) * weight
	g.queries.grantMB += (g.grantsInFlightMB()/g.threadsInFlight() - g.queries.grantMB) * weight
}

// trafficShare returns this gateway's share of the traffic, at least 1/Peers: gateways with little traffic
// seldom use their share. When gateways are lost, the others take over the share of the lost ones.
func (g *Gateway) trafficShare() float64 { return max(g.traffic.share, 1/float64(g.settings.Peers)) }

// coreShare returns this gateway's share of the healthy endpoints' cores, at least one core.
func (g *Gateway) coreShare() float64 {
	return max(g.fleet.cores*g.trafficShare(), 1)
}
