package policy

import "fmt"

// LearnedVersion is the version of the stored form of Learned; another one is rejected.
const LearnedVersion = 1

// Learned is what a gateway has learned, apart from what is open: of its classes, of the fleet and of
// single endpoints. The json tags are the stored form, in recordings and in files of what was learned: a
// renamed field keeps its key.
type Learned struct {
	Version   int               `json:"Version"`
	Classes   []LearnedClass    `json:"Classes"`
	Fleet     LearnedFleet      `json:"Fleet"`
	Endpoints []LearnedEndpoint `json:"Engines"` // in the order of the list
}

// Running is a running mean or median with the number of its values.
type Running struct {
	Value float64 `json:"V"`
	Count float64 `json:"N"`
}

// LearnedClass is what was learned of one class.
type LearnedClass struct {
	Name            string                  `json:"Name"`
	Mean            Running                 `json:"Mean"`
	UsualWork       Running                 `json:"Heft"`
	EstimateMedian  Running                 `json:"Asked"`
	Ratio           Running                 `json:"Ratio"`
	Memory          Running                 `json:"Memory"`
	Received        float64                 `json:"Taken"`
	Dispersion      float64                 `json:"Stray"`
	DispersionCount float64                 `json:"StrayN"`
	Margin          float64                 `json:"Margin"`
	Fit             [5]float64              `json:"Fit"`
	Price           [priorityLevels]float64 `json:"Price"`
	QueueWait       [priorityLevels]float64 `json:"Wait"`
}

// LearnedFleet is what was learned of all endpoints together and of own traffic.
type LearnedFleet struct {
	WarmthInflation [2]float64 `json:"Stretch"`
	Threads         float64    `json:"Threads"`
	Rate            float64    `json:"Rate"`
	MeanRate        float64    `json:"MeanRate"`
	GrantMB         float64    `json:"MB"`
	SentThreads     Running    `json:"Sent"`
	Latency         Running    `json:"Took"`
	Cost            Running    `json:"Cost"`
	Inflation       Running    `json:"Crowd"`
	Capacity        float64    `json:"Room"`
	InFlight        float64    `json:"Open"`
}

// LearnedEndpoint is what was learned of one endpoint since its last start.
type LearnedEndpoint struct {
	ID      string  `json:"ID"`
	Started Micros  `json:"Started"`
	Slow    float64 `json:"Slow"`
	Faults  float64 `json:"Faults"`
}

// Learned returns what the gateway has learned so far.
func (g *Gateway) Learned() Learned {
	run := func(a runningMean) Running { return Running{a.value, a.count} }
	rank := func(q runningMedian) Running { return Running{q.value, q.count} }
	l := Learned{Version: LearnedVersion, Fleet: LearnedFleet{WarmthInflation: g.warmth.inflation, Threads: g.queries.threads, Rate: g.traffic.rate, MeanRate: g.traffic.meanRate,
		GrantMB: g.queries.grantMB, SentThreads: run(g.queries.sentThreads), Latency: run(g.queries.latency), Cost: run(g.queries.work), Inflation: rank(g.congestion.inflation), Capacity: g.congestion.capacity, InFlight: g.queries.inFlight}}
	for i := range g.classes {
		c := &g.classes[i]
		l.Classes = append(l.Classes, LearnedClass{Name: c.Name, Mean: run(c.meanWork), UsualWork: run(c.usualWork), EstimateMedian: rank(c.estimateMedian), Ratio: rank(c.latencyRatio),
			Memory: rank(c.memoryMedian), Received: c.received, Dispersion: c.dispersion, DispersionCount: c.dispersionCount, Margin: c.grantMargin,
			Fit: [5]float64{c.workFit.count, c.workFit.meanX, c.workFit.meanY, c.workFit.varX, c.workFit.covXY}, Price: c.price, QueueWait: c.queueWait})
	}
	for _, e := range g.endpoints.list {
		l.Endpoints = append(l.Endpoints, LearnedEndpoint{e.ID, e.Started, e.inflation, e.faultShare})
	}
	return l
}

// Restore takes what another gateway has learned. Classes of the same name are always restored; prices and
// waits, the state of the fleet and of single endpoints only where fresh says that they still hold. It must
// precede the first Step.
func (g *Gateway) Restore(l Learned, fresh bool) error {
	if g.started || g.now != 0 {
		return fmt.Errorf("policy: what was learned must be recalled before the first step")
	}
	if l.Version != LearnedVersion {
		return fmt.Errorf("policy: what was learned has version %d, allowed is %d", l.Version, LearnedVersion)
	}
	run := func(r Running) runningMean { return runningMean{value: r.Value, count: r.Count} }
	rank := func(r Running) runningMedian { return runningMedian{r.Value, r.Count} }
	for _, k := range l.Classes {
		for i := range g.classes {
			c := &g.classes[i]
			if c.Name != k.Name {
				continue
			}
			c.meanWork, c.usualWork, c.estimateMedian, c.latencyRatio, c.memoryMedian = run(k.Mean), run(k.UsualWork), rank(k.EstimateMedian), rank(k.Ratio), rank(k.Memory)
			c.received, c.dispersion, c.dispersionCount, c.grantMargin = k.Received, k.Dispersion, k.DispersionCount, k.Margin
			c.workFit = powerFit{k.Fit[0], k.Fit[1], k.Fit[2], k.Fit[3], k.Fit[4]}
			if fresh {
				c.price, c.queueWait = k.Price, k.QueueWait
			}
		}
	}
	f := l.Fleet
	g.warmth.inflation, g.queries.threads, g.queries.sentThreads, g.queries.latency, g.queries.work, g.queries.grantMB = f.WarmthInflation, f.Threads, run(f.SentThreads), run(f.Latency), run(f.Cost), f.GrantMB
	if !fresh {
		return nil
	}
	g.traffic.rate, g.traffic.meanRate, g.congestion.inflation, g.congestion.capacity, g.queries.inFlight = f.Rate, f.MeanRate, rank(f.Inflation), f.Capacity, f.InFlight
	g.restored = map[string]LearnedEndpoint{}
	for _, e := range l.Endpoints {
		g.restored[e.ID] = e
	}
	return nil
}

// sameStartTolerance is how far two clocks may differ on the same start of an endpoint.
const sameStartTolerance = Micros(microsPerSecond)

// restoreEndpoint gives a new endpoint what was learned of it before, if it has not restarted since.
func (g *Gateway) restoreEndpoint(e *endpoint) {
	if k, ok := g.restored[e.ID]; ok {
		delete(g.restored, e.ID)
		if d := k.Started - e.Started; d < sameStartTolerance && d > -sameStartTolerance {
			e.inflation, e.faultShare = k.Slow, k.Faults
		}
	}
}
