package policy

import "fmt"

// LearnedVersion is the version of the stored form of Learned; Restore rejects any other.
const LearnedVersion = 1

// Learned is the learned state of a gateway: of its classes, of the fleet and of single endpoints. Open
// requests and attempts are not part of it. The json tags are the stored form, in recordings and in files of
// learned state: a renamed field keeps its key.
type Learned struct {
	Version   int               `json:"Version"`
	Classes   []LearnedClass    `json:"Classes"`
	Fleet     LearnedFleet      `json:"Fleet"`
	Endpoints []LearnedEndpoint `json:"Engines"` // in the order of the endpoint list
}

// StoredEstimate is the stored form of a running mean or median: its value and the number of values recorded.
type StoredEstimate struct {
	Value float64 `json:"V"`
	Count float64 `json:"N"`
}

// LearnedClass is the learned state of one class. Work is in seconds, a price in units of
// Class.PriorityWeight. Fit is the regression of log(work) on log(estimated cost).
type LearnedClass struct {
	Name            string                  `json:"Name"`
	MeanWork        StoredEstimate          `json:"Mean"`   // mean estimated work
	UnshrunkWork    StoredEstimate          `json:"Heft"`   // mean of max(work, work not shrunk by the fit)
	EstimateMedian  StoredEstimate          `json:"Asked"`  // median log(estimated cost, seconds)
	LatencyRatio    StoredEstimate          `json:"Ratio"`  // median log(latency · threads ÷ estimated work)
	MemoryMedian    StoredEstimate          `json:"Memory"` // median log(estimated memory, MB)
	Received        float64                 `json:"Taken"`  // number of requests received
	Dispersion      float64                 `json:"Stray"`  // mean distance of log ratios from LatencyRatio
	DispersionCount float64                 `json:"StrayN"` // number of values in Dispersion
	GrantMargin     float64                 `json:"Margin"` // log(memory grant ÷ fitted memory estimate)
	Fit             [5]float64              `json:"Fit"`    // count, meanX, meanY, varX, covXY of powerFit
	Price           [priorityLevels]float64 `json:"Price"`  // toll of typical work at each priority level
	QueueWait       [priorityLevels]float64 `json:"Wait"`   // mean seconds beyond service time, per level
}

// LearnedFleet is the learned state of all endpoints together and of this gateway's queries and traffic.
type LearnedFleet struct {
	CacheInflation [2]float64     `json:"Stretch"`  // mean log inflation, table group not cached and cached
	QueryThreads   float64        `json:"Threads"`  // mean threads of a query in flight, long ones weigh more
	Rate           float64        `json:"Rate"`     // requests per second of this gateway
	MeanRate       float64        `json:"MeanRate"` // requests per second of the mean gateway
	GrantMB        float64        `json:"MB"`       // MB granted per thread in flight
	SentThreads    StoredEstimate `json:"Sent"`     // mean threads of a query when sent
	Latency        StoredEstimate `json:"Took"`     // mean seconds from send to answer
	Work           StoredEstimate `json:"Cost"`     // mean estimated work, seconds
	Inflation      StoredEstimate `json:"Crowd"`    // median log latency inflation, with peers' answers
	Capacity       float64        `json:"Room"`     // limit of threads per core, over all gateways
	InFlight       float64        `json:"Open"`     // attempts in flight, averaged over about 5 seconds
}

// LearnedEndpoint is the learned state of one endpoint since its last start.
type LearnedEndpoint struct {
	ID         string  `json:"ID"`
	Started    Micros  `json:"Started"`
	Inflation  float64 `json:"Slow"`
	FaultShare float64 `json:"Faults"`
}

// Conversions of running estimates to their stored form and back.
func (m runningMean) stored() StoredEstimate   { return StoredEstimate{m.value, m.count} }
func (m runningMedian) stored() StoredEstimate { return StoredEstimate{m.value, m.count} }
func (e StoredEstimate) mean() runningMean     { return runningMean{e.Value, e.Count} }
func (e StoredEstimate) median() runningMedian { return runningMedian{e.Value, e.Count} }

// Conversions of a fit to its stored form and back.
func (f *powerFit) stored() [5]float64  { return [5]float64{f.count, f.meanX, f.meanY, f.varX, f.covXY} }
func restoredFit(v [5]float64) powerFit { return powerFit{v[0], v[1], v[2], v[3], v[4]} }

// Learned returns the gateway's learned state.
func (g *Gateway) Learned() Learned {
	l := Learned{Version: LearnedVersion, Fleet: LearnedFleet{
		CacheInflation: g.cacheEffect.inflation,
		QueryThreads:   g.queries.threads,
		Rate:           g.traffic.rate,
		MeanRate:       g.traffic.meanRate,
		GrantMB:        g.queries.grantMB,
		SentThreads:    g.queries.sentThreads.stored(),
		Latency:        g.queries.latency.stored(),
		Work:           g.queries.work.stored(),
		Inflation:      g.congestion.inflation.stored(),
		Capacity:       g.congestion.capacity,
		InFlight:       g.queries.inFlight,
	}}
	for i := range g.classes {
		l.Classes = append(l.Classes, g.classes[i].learned())
	}
	for _, e := range g.endpoints.list {
		l.Endpoints = append(l.Endpoints, LearnedEndpoint{e.ID, e.Started, e.inflation, e.faultShare})
	}
	return l
}

// learned returns the stored form of a class's learned state.
func (c *class) learned() LearnedClass {
	return LearnedClass{
		Name:            c.Name,
		MeanWork:        c.meanWork.stored(),
		UnshrunkWork:    c.unshrunkWork.stored(),
		EstimateMedian:  c.estimateMedian.stored(),
		LatencyRatio:    c.latencyRatio.stored(),
		MemoryMedian:    c.memoryMedian.stored(),
		Received:        c.received,
		Dispersion:      c.dispersion,
		DispersionCount: c.dispersionCount,
		GrantMargin:     c.grantMargin,
		Fit:             c.workFit.stored(),
		Price:           c.price,
		QueueWait:       c.queueWait,
	}
}

// restore sets a class's learned state; prices and queue waits only where fresh says that they still hold.
func (c *class) restore(l LearnedClass, fresh bool) {
	c.meanWork = l.MeanWork.mean()
	c.unshrunkWork = l.UnshrunkWork.mean()
	c.estimateMedian = l.EstimateMedian.median()
	c.latencyRatio = l.LatencyRatio.median()
	c.memoryMedian = l.MemoryMedian.median()
	c.received = l.Received
	c.dispersion, c.dispersionCount = l.Dispersion, l.DispersionCount
	c.grantMargin = l.GrantMargin
	c.workFit = restoredFit(l.Fit)
	if fresh {
		c.price, c.queueWait = l.Price, l.QueueWait
	}
}

// Restore sets the learned state of an earlier gateway; it must precede the first Step. Estimates of classes,
// matched by name, means over queries and the effect of cached tables are always restored. Prices, queue
// waits, traffic rates, attempts in flight, congestion and the state of single endpoints are restored only
// where fresh says that they still hold.
func (g *Gateway) Restore(l Learned, fresh bool) error {
	if g.started || g.now != 0 {
		return fmt.Errorf("policy: learned state must be restored before the first step")
	}
	if l.Version != LearnedVersion {
		return fmt.Errorf("policy: learned state has version %d, want version %d", l.Version, LearnedVersion)
	}
	for _, learned := range l.Classes {
		for i := range g.classes {
			if c := &g.classes[i]; c.Name == learned.Name {
				c.restore(learned, fresh)
			}
		}
	}
	f := l.Fleet
	g.cacheEffect.inflation = f.CacheInflation
	g.queries.threads, g.queries.grantMB = f.QueryThreads, f.GrantMB
	g.queries.sentThreads, g.queries.latency = f.SentThreads.mean(), f.Latency.mean()
	g.queries.work = f.Work.mean()
	if !fresh {
		return nil
	}
	g.traffic.rate, g.traffic.meanRate = f.Rate, f.MeanRate
	g.congestion.inflation, g.congestion.capacity = f.Inflation.median(), f.Capacity
	g.queries.inFlight = f.InFlight
	g.restored = map[string]LearnedEndpoint{}
	for _, e := range l.Endpoints {
		g.restored[e.ID] = e
	}
	return nil
}

// sameStartTolerance is the largest difference that two clocks may show for the same start of an endpoint.
const sameStartTolerance = Micros(microsPerSecond)

// restoreEndpoint restores the learned state of a newly listed endpoint, unless the endpoint has restarted
// since the state was stored.
func (g *Gateway) restoreEndpoint(e *endpoint) {
	if l, ok := g.restored[e.ID]; ok {
		delete(g.restored, e.ID)
		if d := l.Started - e.Started; d < sameStartTolerance && d > -sameStartTolerance {
			e.inflation, e.faultShare = l.Inflation, l.FaultShare
		}
	}
}
