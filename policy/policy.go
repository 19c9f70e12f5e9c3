// Package policy decides for a gateway that keeps short and long queries apart
// on shared engines: admission, priority level, engine, memory grant, further
// attempts. Its types, events and actions are in policy/api.go; every decision,
// table and tuned value is in this file. The ordinary path is priority pricing
// after Konana et al.: see docs/design.md for what was kept and what was added.
//
// A request meets the functions below in their order: take, cheapest, passes,
// pick, send, outcome; the watch over open attempts and the prices come last.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// The tuned values: ratios, shares of settings, or figures of the design page.
const (
	priorityLevels         = 4    // priority levels (engine priorities 3 to 0)
	priceSmoothing         = 0.1  // weight of a newly computed toll (design page)
	priceInterval          = 1.0  // seconds between tolls (design page)
	maxTollUtilization     = 0.9  // most that u counts in 1/(1-u) (design page)
	freeCoreUtilization    = 0.7  // an engine below this utilisation has a free core (design page)
	queueWaitSmoothing     = 0.2  // weight of one outcome in a class's wait: about five outcomes
	rateSmoothing          = 0.3  // weight of one interval in an admitted rate: about three seconds
	timerInterval          = 0.02 // seconds between looks at open attempts: a few ticks of a dispatcher
	initialCapacity        = 1.5  // starting room, threads a core: engines lose total work beyond one or two
	maxCapacity            = 2.0  // most room, threads a core: the upper end of the same
	claimExponent          = 3.0  // claims grow by this power of how far the fleet is under a thread a core
	maxMemoryShare         = 0.95 // share of memory granted above which nothing more is sent
	shrinkSlackShare       = 0.67 // part of the log stretch that aims leave above which a room narrows: work is lost
	growSlackShare         = 0.48 // part of it below which a room in full use widens
	capacityBackoff        = 0.9  // factor of narrowing, gentle since reports are late
	minCapacity            = 0.25 // threads a core that a crowded fleet is left at least
	capacityInterval       = 0.2  // seconds between two changes of one room: a report must have come
	lightCapacityFactor    = 1.3  // light queries may fill the room this much further: they leave soon
	longCapacityFactor     = 0.6  // part of the room that a query far over its class's mean may fill: it stays long
	staleReportReserve     = 0.3  // part of the room kept free for what an old report does not show
	reportLifetime         = 3.0  // seconds for which a load report is believed, ever less, and passed on
	medianStep             = 0.03 // least step of a learned quantile, in log units
	meanSmoothing          = 0.02 // weight of one query in a mean
	fitSmoothing           = 0.01 // least weight of one answer in the fit of work to estimate: the last hundred or so
	initialSlope           = 0.5  // slope of the fit at first: half of what a rough estimate says is believed
	minFitAnswers          = 20   // answers of a class from which its fit is learned whatever the crowd
	rampCredit             = 0.5  // part of the ramp credited to a cold engine: its shape is not told
	slowMachineSpeed       = 0.8  // speed of a machine slower than most, against what its cores tell
	chernoffTilt           = 10.0 // tilt of Chernoff's bound on what all send a cold engine in a window
	chernoffExponent       = 5.0  // log of how unlikely more than it bears is to be: once in 150 full windows
	saturatedUtilization   = 0.85 // utilisation at which an engine counts as at capacity
	faultSmoothing         = 0.25 // weight of one outcome in an engine's fault share: two in a row are a pattern
	ejectionMargin         = 0.4  // fault share that makes an engine suspect
	readmissionMargin      = 0.1  // fault share at which it is trusted again
	trialInterval          = 0.5  // seconds between trial sends to a suspect engine
	overdueFactor          = 3.0  // an attempt this far past its expectation is overdue: a bad plan, or lost
	overdueDispersions     = 2.0  // the same in mean deviations of the class's log times from its estimates
	observedTimeShare      = 0.5  // part of that time by which the next attempt is judged: pace is rough
	minRestartGain         = 1.5  // expected times that a restart must save
	maxMissedProgress      = 3.0  // notes in a row that may be missing
	unresponsiveAges       = 2.0  // usual ages of the fleet's news that are no silence yet
	minUnresponsive        = 0.6  // seconds of silence below which overdue attempts prove nothing (pauses)
	veryLongFactor         = 4.0  // a query this far over its class's mean is no use for a free core: it stays
	minOverdueAge          = 0.3  // seconds below which no attempt is judged
	inflationSmoothing     = 0.15 // weight of one answer in an engine's stretch
	fleetInflationStep     = 0.2  // least step of the fleet's stretch, log units: a few seconds of a small gateway
	rareInflationSmoothing = 0.5  // the same where none came for as long as reports are believed
	inflationTolerance     = 0.4  // log stretch over the fleet's that is scatter
	maxLogInflation        = 2.5  // most that one answer counts, in log units: bad plans are not the engine's
	minSpeed               = 0.1  // least speed credited to a slow engine, so that it is seen to recover
	utilizationExponent    = 2.0  // sharpness of the draw against utilisation
	minDrawShare           = 0.03 // least share of room in the draw
	localZoneWeight        = 4.0  // weight of engines in the gateway's own zone
	lockedTablesWeight     = 0.1  // weight of an engine where a load holds the group, for classes that wait
	affinityShare          = 0.5  // part of the engines that take the loads of one group
	freeQueueShare         = 0.7  // part of what may be held that has no price
	residualAgeShare       = 0.5  // part of its age that a query past its expected end may be thought to stay on
	reportedGrantMargin    = 1.75 // first memory grant over the fitted estimate: it may lie low, and a spill costs more
	unreportedGrantMargin  = 2.5  // the same where no notes tell of spills: nothing would correct it
	defaultGrantFactor     = 1.25 // memory that an engine grants by itself, over the estimate (wire page)
	swapGrantFactor        = 4.0  // further margin where engines swap: only the lesser of grant and need counts
	grantQuantile          = 0.85 // share of attempts whose grant is to cover their need
	maxWarmGroups          = 4    // groups of tables taken to be warm on an engine
	warmthTolerance        = 0.1  // log saving below which warmth is taken for scatter
	warmthExponent         = 2.0  // power of the time saved by warmth in the draw
	gossipInterval         = 0.25 // least seconds between two messages to one peer
	gossipPerRequest       = 0.7  // messages for each request taken: news is paid for by traffic
	idleRetention          = 0.8  // what is left each second of what was last heard, while nothing more is heard
	gossipLifetime         = 1.0  // seconds for which a peer's word on its own attempts counts
	gossipRateSmoothing    = 0.5  // weight of a peer's fresher word on an engine against ours
	healthChecksPerRequest = 0.6  // probes for each request taken when engines are full; goes with the crowd's square
	minHealthCheckShare    = 0.1  // least part of that: full engines must be found out
	maxHealthCheckCredit   = 6.0  // probes saved up at most
	lightHealthCheckCredit = 3.0  // probes saved up that let a light query ask: heavy ones gain more
	healthCheckInterval    = 0.5  // seconds after which a report is worth asking for again
	healthCheckTimeout     = 0.05 // seconds to wait for what was asked, and between tries to send what is held
	threadsPerBusyCore     = 1.5  // threads out for each core that is busy: the others read or write
	saturatedThreadSlope   = 5.0  // threads a core for each unit of utilisation over saturatedUtilization: it hides the rest
	recentOccupancyPrior   = 0.6  // own queries in flight, over seconds, up to which they may be so many by chance
	localAttemptsPrior     = 4.0  // own attempts on an engine that weigh as much as the fleet's average
	minPollInterval        = 1.0  // least seconds between two calls for the engine list
	logInterval            = 1.0  // seconds between two log lines
)

// New returns a gateway, or an error that names the unusable setting.
func New(seed uint64, s Settings) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g := &Gateway{settings: s, logInterval: logInterval, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		ownShare: 1 / float64(s.Peers), capacity: initialCapacity}
	g.gossipTo = g.rng.IntN(s.Peers)
	margin := math.Log(reportedGrantMargin)
	if s.ProgressInterval == 0 {
		margin = math.Log(unreportedGrantMargin)
	}
	g.initialize(margin)
	g.slack = g.objectiveSlack()
	return g, nil
}

// Step takes what happened at one moment and returns what to do, in order.
func (g *Gateway) Step(now Micros, events []Event) []Action {
	g.beginStep(now)
	for _, ev := range events {
		g.handle(ev)
	}
	if now >= g.timerAt || len(g.active) > 0 && g.timerAt-now > Micros(timerInterval*microsPerSecond) {
		g.runMaintenance()
		after := Micros(timerInterval * microsPerSecond)
		if len(g.active) == 0 {
			after = Micros(priceInterval * microsPerSecond)
		}
		g.timerAt = now + after
		g.emit(SetTimer{After: after})
	}
	if now >= g.queueAt {
		g.drainQueue()
	}
	return g.actions
}

// handleRequest owns a request and admits, holds or refuses it.
func (g *Gateway) handleRequest(r Request) {
	if g.requests[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := g.register(r, c)
	if r.Cost > 0 {
		c.estimateMedian.add(math.Log(float64(r.Cost)/microsPerSecond), 0.5, medianStep)
	}
	q.work = c.workFit.predict(float64(r.Cost)/microsPerSecond, c.estimateMedian.v, initialSlope, 0)
	if r.Cost <= 0 { // a missing estimate is never zero work
		q.work = c.typicalWork()
	}
	if r.MemoryMB > 0 {
		c.memoryMedian.add(math.Log(r.MemoryMB), 0.5, medianStep)
	}
	c.meanWork.add(q.work, meanSmoothing)
	// The usual work, for the cold rule: the fit's shrunk estimates lie nearer its middle.
	c.usualWork.add(max(q.work, c.workFit.predict(float64(r.Cost)/microsPerSecond, c.estimateMedian.v, 1, 1)), meanSmoothing)
	g.meanWork.add(q.work, meanSmoothing)
	q.weight = g.weightOf(q)
	q.objectiveAt = g.now + c.LatencyObjective + Micros(c.ObjectiveStretch*q.work/c.threads*microsPerSecond)
	g.healthCheckCredit = min(maxHealthCheckCredit, g.healthCheckCredit+healthChecksPerRequest*min(1, max(minHealthCheckShare, g.fleet.threadsPerCore*g.fleet.threadsPerCore)))
	g.joinKeyOrder(q)
	if q.StickyTo != "" && g.cannotEarn(q) {
		g.shedOrFail(q)
		return
	}
	g.admit(q)
}

// admit sends, holds or refuses a request.
func (g *Gateway) admit(q *request) {
	level, net := g.leastCostLevel(q)
	q.level = level
	e := g.pickEndpoint(q)
	asking := e == nil && g.awaitsHealthCheck(q, healthCheckTimeout)
	if net < 0 && !asking && !g.passesFreeCore(q, e) {
		g.shedOrFail(q)
		return
	}
	if !asking {
		q.admitted = true
		q.class.admitted[level]++
	}
	if e != nil {
		g.sendAttempt(q, e)
	} else {
		g.enqueue(q)
	}
}

// typicalWork is the class's mean estimate, or a guess from its aim.
func (c *class) typicalWork() float64 {
	if c.meanWork.v > 0 {
		return c.meanWork.v
	}
	return max(float64(c.LatencyObjective), 1) / microsPerSecond / 4 * c.threads
}

// serviceTime is the learned time of a query, alone and at the usual crowd.
func (c *class) serviceTime(est float64) float64 { return est * math.Exp(c.latencyRatio.v) / c.threads }

// weightOf is what serving the request in time earns. A tenant beyond its share
// earns less; which of its requests are beyond is not known, so all share it.
func (g *Gateway) weightOf(q *request) float64 {
	w := q.class.PriorityWeight
	if g.settings.WeightByWork {
		w *= q.work / q.class.typicalWork()
	}
	if q.Tenant < 0 || q.Tenant >= len(g.tenants) {
		return w
	}
	t := g.tenants[q.Tenant]
	rate := t.rate / g.trafficShare()
	if len(g.peerReports) > 0 {
		rate = max(t.rate, t.meanRate*float64(g.settings.Peers))
	}
	if t.quota <= 0 || rate <= t.quota {
		return w
	}
	inside := t.quota / rate
	return w * (inside + (1-inside)*g.settings.OverQuotaWeight)
}

// leastCostLevel finds the level of least delay cost plus toll, and the net worth there.
func (g *Gateway) leastCostLevel(q *request) (level int, net float64) {
	c, best := q.class, math.Inf(1)
	scale, plain := q.work/c.typicalWork(), 1 // taken while prices and waits tell no difference
	if q.work > g.meanWork.v {
		plain = 2
	}
	for k := range priorityLevels {
		tau := c.queueWait[k] + c.serviceTime(q.work)
		cost := (c.delayCost()+g.queuePrice)*tau + c.price[k]*scale
		if tau > float64(q.Deadline-g.now)/microsPerSecond { // clients that come late or leave early: it would earn nothing
			cost += q.weight
		}
		if cost < best || cost == best && k == plain {
			level, best = k, cost
		}
	}
	return level, q.weight - best
}

// passesFreeCore is the free-core pass.
func (g *Gateway) passesFreeCore(q *request, e *endpoint) bool {
	tau := q.class.queueWait[q.level] + q.class.serviceTime(q.work)
	if tau > float64(q.Deadline-g.now)/microsPerSecond || q.work > veryLongFactor*q.class.typicalWork() || q.weight < g.queuePrice*tau {
		return false
	}
	return g.threadsInFlight()+q.class.threads <= g.coreShare() || e != nil && g.utilization(e) < freeCoreUtilization
}

// trafficShare is our part of the traffic, at least an equal one: gateways that carry little
// seldom use theirs. When gateways are lost the rest take over their share.
func (g *Gateway) trafficShare() float64 { return max(g.ownShare, 1/float64(g.settings.Peers)) }

// coreShare is this gateway's share of the told cores.
func (g *Gateway) coreShare() float64 {
	return max(g.fleet.cores*g.trafficShare(), 1)
}

// reportConfidence is how far an engine's report is believed, if it tells of threads: less with its age.
func (g *Gateway) reportConfidence(e *endpoint) float64 {
	if e.loadAt == 0 || e.load.Util < 0 && e.load.InFlight < 0 {
		return 0
	}
	return max(0, 1-g.secondsSince(e.loadAt)/reportLifetime)
}

// utilization is an engine's utilisation: reported plus own sends since, else what it holds
// by its count of queries or by own threads there. What is not heard counts as average,
// an old report in part.
func (g *Gateway) utilization(e *endpoint) float64 {
	k := g.reportConfidence(e)
	switch {
	case k == 0 && g.fleet.threadsPerCore == 0:
		return e.threads / g.trafficShare() / e.cores
	case e.loadAt == 0 || e.load.Util < 0:
		threads, _ := g.peerLoad(e)
		return (threads + e.threads) / threadsPerBusyCore / e.cores
	}
	return k*e.load.Util + (1-k)*g.fleet.threadsPerCore + e.unreportedThreads/e.cores
}

// occupancyExcess is how far our own queries in flight, now or over seconds, pass what so many
// threads a core lead us to expect; others not heard are taken to fare like us. It guards
// against a jam that looks idle: utilisation says little of queries that wait for disks.
func (g *Gateway) occupancyExcess(busy float64) float64 {
	expected := busy * g.coreShare() / g.meanThreads
	now := (localAttemptsPrior + g.attemptsInFlight()) / (localAttemptsPrior + expected)
	lately := (recentOccupancyPrior + g.meanInFlight) / (recentOccupancyPrior + expected)
	return math.Pow(max(1, now, lately), 1-g.fleet.peerCoverage)
}

// peerLoad is what others have on an engine, threads and MB: the most of what peers say and
// of what its report leaves after ours; so far as it is not heard, average, moved to what
// own attempts there tell by our share. A count of queries holds timed-out ones that run on.
func (g *Gateway) peerLoad(e *endpoint) (threads, granted float64) {
	k, own, share := g.reportConfidence(e), e.threads-e.unreportedThreads, g.trafficShare()
	usual := g.fleet.threadsPerCoreOf(e.Kind) * e.cores * (1 - share)
	weight := usual * share / (usual*share + localAttemptsPrior)
	unheard := (1-weight)*usual + weight*e.threads*(1/share-1)
	switch full := g.fleet.occupancyExcess * (threadsPerBusyCore*e.load.Util + saturatedThreadSlope*max(0, e.load.Util-saturatedUtilization)); {
	case k > 0 && e.load.InFlight >= 0:
		unheard = e.load.InFlight*g.meanThreads - own
	case k > 0 && e.load.Util >= 0:
		unheard = (k*(full*e.cores-own) + (1-k)*unheard) * (1 - g.fleet.peerCoverage)
	}
	theirs := unheard * g.meanGrantMB * (1 - g.fleet.peerCoverage) // grants as big as ours
	return max(e.gossipedThreads, unheard), max(e.gossipedMB, theirs)
}

// relativeSpeed is an engine's against the fleet's, as seen in answers. It guards against
// engines that slow down, whatever the cause: a neighbour, a failing disk, a crowd.
func (g *Gateway) relativeSpeed(e *endpoint) float64 {
	return min(1, max(minSpeed, math.Exp(g.inflation.v+inflationTolerance-e.inflation)))
}

// pickEndpoint draws an engine among those allowed that have room; nil if there is none.
// Where engines may be asked for their state, it draws twice, asks both while own
// traffic pays for it, and takes the better: else a sparse gateway knows none.
func (g *Gateway) pickEndpoint(q *request) *endpoint {
	if g.awaitsHealthCheck(q, healthCheckTimeout) || !g.mayStartAttempt(q) {
		return nil
	}
	weights, total := make([]float64, len(g.endpoints)), 0.0
	for i, e := range g.endpoints {
		if g.isEligible(q, e) && g.outlierAllows(q, e) && g.hasCapacity(q, e) && g.hasSlowStartCapacity(q, e) {
			weights[i] = g.drawWeight(q, e)
			total += weights[i]
		}
	}
	if total <= 0 { // what is taken to be full may not be so any more
		if e := g.anyEndpoint(); e != nil && g.isEligible(q, e) && g.mayCheckHealth(q, e) {
			g.startHealthChecks(q, e)
		}
		return nil
	}
	if best := g.bestEndpoint(weights, q.candidates); best != nil { // the answers are in, or late
		return best
	}
	e := g.drawEndpoint(weights, total)
	if !g.mayCheckHealth(q, e) {
		return e
	}
	g.startHealthChecks(q, e, g.drawEndpoint(weights, total))
	return nil
}

// startHealthChecks probes the engines drawn for a query.
func (g *Gateway) startHealthChecks(q *request, drawn ...*endpoint) {
	q.candidates = drawn
	for _, e := range drawn {
		if g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval {
			e.healthCheckAt, e.healthCheckPending = g.now, true
			g.healthCheckCredit--
			g.emit(HealthCheck{Endpoint: e.ID})
		}
	}
}

// mayCheckHealth tells whether a query's engines are asked before the choice.
func (g *Gateway) mayCheckHealth(q *request, e *endpoint) bool {
	need := 1.0
	if q.work < g.meanWork.v {
		need = lightHealthCheckCredit
	}
	stale := g.secondsSince(max(e.loadAt, e.healthCheckAt)) > healthCheckInterval
	return g.settings.CanHealthCheck && len(q.attempts) == 0 && g.healthCheckCredit >= need && stale
}

// trustedEndpoints keeps suspect engines to a trickle of light repeatable queries, unless most look bad.
func (g *Gateway) outlierAllows(q *request, e *endpoint) bool {
	return !e.ejected || g.fleet.trustedEndpoints*2 < len(g.endpoints) ||
		g.now >= e.nextTrialAt && len(q.attempts) == 0 && q.class.Effect != NonIdempotent && q.work <= g.meanWork.v
}

// drawWeight is an engine's weight in the draw.
func (g *Gateway) drawWeight(q *request, e *endpoint) float64 {
	w := math.Pow(max(minDrawShare, 1-g.utilization(e)/maxCapacity), utilizationExponent) * e.cores * math.Pow(g.relativeSpeed(e), 2)
	if e.Zone == g.settings.Zone {
		w *= localZoneWeight
	}
	if slices.Contains(e.warmGroups, q.TableGroup) {
		w *= math.Exp(warmthExponent * max(0, g.warmthInflation[0]-g.warmthInflation[1]-warmthTolerance))
	}
	if (q.class.WaitsForTables || q.class.LocksTables) && g.tablesLocked(e, q.TableGroup) {
		w *= lockedTablesWeight * lockedTablesWeight
	}
	if q.class.WaitsForTables && g.inAffinitySubset(q.TableGroup, e) {
		w *= lockedTablesWeight
	}
	for _, a := range q.attempts { // another try goes elsewhere if it can
		if a.endpoint == e {
			w *= minDrawShare
		}
	}
	return w
}

// inAffinitySubset tells whether an engine takes loads of a group, the same at every gateway: those of a group on all
// engines would leave none for the queries that wait for them, and on one engine they hold up one another.
func (g *Gateway) inAffinitySubset(tables int64, e *endpoint) bool {
	healthy, before := 0, 0
	for _, o := range g.endpoints {
		if o.State == Healthy && !o.ejected {
			healthy++
			if o != e && affinityHash(tables, o) > affinityHash(tables, e) {
				before++
			}
		}
	}
	return before < max(1, int(affinityShare*float64(healthy)))
}

// holdsOwnTableLock tells that a load of ours holds a group on an engine, or stands there for it.
func (e *endpoint) holdsOwnTableLock(tables int64) bool {
	return slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.request.class.LocksTables && a.request.TableGroup == tables
	})
}

// admissionQueuePrice is what a second at the door is worth to others: nothing while few are held, and what those who
// are served earn a second when as many are held as may be. It guards against queries that stand still and
// keep others out.
func (g *Gateway) admissionQueuePrice(held int) float64 {
	full := float64(held)/max(float64(g.settings.MaxInFlight), 1) - freeQueueShare
	if g.settings.MaxInFlight == 0 || full <= 0 || g.responseTime.v <= 0 {
		return 0
	}
	return min(1, full/(1-freeQueueShare)) * g.earnedPerRequest.v / g.responseTime.v
}

// belowQueuePrice tells that a query earns less than its place at the door is worth.
func (g *Gateway) belowQueuePrice(q *request) bool {
	stay := g.secondsSince(q.receivedAt)
	left := max(q.class.queueWait[q.level]+q.class.serviceTime(q.work)-stay, stay*residualAgeShare)
	return q.openAttempts == 0 && g.queuePrice > 0 && g.earnedWeight(q, g.now+Micros(left*microsPerSecond)) < g.queuePrice*left
}

// earnedWeight is what an answer at a time is worth.
func (g *Gateway) earnedWeight(q *request, at Micros) float64 {
	if at > q.objectiveAt {
		return q.weight * q.class.LateWeight
	}
	return q.weight
}

// isEligible keeps placement, drains, the protocol and the groups of keyed requests.
func (g *Gateway) isEligible(q *request, e *endpoint) bool {
	c := q.class
	if q.StickyTo != "" && q.StickyTo != e.ID || q.Protocol&^e.Protocols != 0 ||
		e.State != Healthy && (q.StickyTo == "" || e.State != Draining || g.now >= e.drainUntil) ||
		c.Zones != nil && !slices.Contains(c.Zones, e.Zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		return false
	}
	if c.Effect != IdempotentByKey || q.firstRan == nil || c.DedupScope == DedupFleet {
		return true
	}
	return c.DedupScope == DedupZone && e.Zone == q.firstRan.endpoint.Zone || c.DedupScope == DedupPlacementGroup && e.PlacementGroup == q.firstRan.endpoint.PlacementGroup
}

// hasCapacity keeps an engine below the crowd at which all work there slows. A gateway claims
// only its part of what news of an engine leaves free and of what ended since, by chance
// where that is less than one query: all that talk hear of the same room, and would fill it.
func (g *Gateway) hasCapacity(q *request, e *endpoint) bool {
	room := g.capacity * e.cores * g.relativeSpeed(e)
	if q.class.LocksTables && (!g.inAffinitySubset(q.TableGroup, e) || e.holdsOwnTableLock(q.TableGroup)) { // the next would stand behind it
		return false
	}
	switch {
	case q.work > veryLongFactor*q.class.typicalWork(): // it would hold the room for many others
		room *= longCapacityFactor
	case q.work < g.meanWork.v:
		room *= lightCapacityFactor
	}
	k, grant := g.reportConfidence(e), g.memoryGrant(q, e)
	if k > 0 { // what others sent since is not seen yet
		room *= 1 - staleReportReserve*(1-k)*(1-g.fleet.peerCoverage)
	}
	if e.load.Memory > 0 && e.memoryMB > 0 && k > 0 && e.load.Memory+(e.unreportedMB+grant)/e.memoryMB > maxMemoryShare {
		return false
	}
	threads, granted := g.peerLoad(e)
	free := max(0, room-threads-e.threads+e.claimedThreads)
	if g.attemptLatency.v > 0 {
		ends := (threads + e.threads) / g.meanThreads / g.attemptLatency.v * g.sentThreads.v // threads a second
		free += ends * min(g.secondsSince(e.reportArrivedAt), reportLifetime)
	}
	if len(g.peerReports) > 0 {
		claim := g.trafficShare() / (g.trafficShare() + (1-g.trafficShare())*(1-g.fleet.peerCoverage)) // ours against those not heard
		if e.claimedThreads+e.claimDraw*q.class.threads > free*claim/min(1, math.Pow(g.fleet.threadsPerCore, claimExponent)) {
			return false
		}
	}
	granted += e.grantedMB
	short := g.settings.Shortage != ShortageSwaps && e.memoryMB > 0 && granted > 0 && granted+grant > maxMemoryShare*e.memoryMB
	return !short && (e.threads == 0 && threads < room || e.threads+threads+q.class.threads <= room)
}

// hasSlowStartCapacity keeps this gateway's part of what a cold engine can bear: a store for each
// class that fills at our part of that rate, never above nothing, and starts by chance
// below. So the sum over all gateways keeps to the rate, however small each one's part.
func (g *Gateway) hasSlowStartCapacity(q *request, e *endpoint) bool {
	if e.slowStartSince == 0 || g.settings.SlowStartDuration == 0 || g.settings.OverloadMultiple == 0 {
		return true
	}
	if g.now-e.slowStartSince >= g.settings.SlowStartDuration {
		e.slowStartSince, e.slowStart = 0, nil
		return true
	}
	s := e.slowStartBudget(q.Class, len(g.classes))
	rate := g.slowStartRate(e)
	if s.updatedAt < e.slowStartSince {
		s.updatedAt, s.seconds = g.now, -g.rng.Float64()*g.slowStartCharge(q.class, rate)
	}
	part := g.ownShare
	if len(g.peerReports) == 0 { // what cannot be compared with others' is no more than an equal part
		part = 1 / float64(g.settings.Peers)
	}
	fills := rate * (1 - chernoffExponent/chernoffTilt) * part * g.demandShare(q.class)
	s.updatedAt, s.seconds = g.now, min(0, s.seconds+fills*g.secondsSince(s.updatedAt))
	return s.seconds >= 0
}

// slowStartRate is the work a second that a cold engine bears from all gateways.
func (g *Gateway) slowStartRate(e *endpoint) float64 {
	age := float64(g.now-e.slowStartSince) / float64(g.settings.SlowStartDuration)
	share := g.settings.SlowStartFloor + (1-g.settings.SlowStartFloor)*max(age, 0)*rampCredit
	return slowMachineSpeed * g.settings.OverloadMultiple * share * saturatedUtilization * e.cores
}

// slowStartCharge is what a query counts there: chance brings heavy ones together now and then,
// so the part of a window that one fills weighs as in Chernoff's bound.
func (g *Gateway) slowStartCharge(c *class, rate float64) float64 {
	window := rate * max(float64(g.settings.OverloadDuration), 1) / microsPerSecond
	return window / chernoffTilt * math.Expm1(chernoffTilt*max(c.usualWork.v, c.typicalWork())/window)
}

// mayStartAttempt tells whether another attempt of the request is within the rules now.
func (g *Gateway) mayStartAttempt(q *request) bool {
	c := q.class
	if q.done || q.streamed || len(q.attempts) >= g.settings.MaxAttempts {
		return false
	}
	if c.Ordered && q.HasOrderKey && !g.keyOrders[q.OrderKey].isNext(q, g.now) {
		return false
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.openAttempts > 0 && !g.settings.AllowHedging || c.Effect == NonIdempotent && (q.openAttempts > 0 || q.firstRan != nil) ||
		c.Effect == IdempotentByKey && q.firstRan != nil && g.now >= q.firstRan.sentAt+c.DedupWindow {
		return false
	}
	return g.withinRetryBudget()
}

// withinRetryBudget tells whether one more further attempt is within the retry budget.
func (g *Gateway) withinRetryBudget() bool {
	s := &g.settings
	if s.RetryBudgetWindow == 0 {
		return true
	}
	slack := Micros(timerInterval * microsPerSecond) // both ends of the span are read strictly
	since := g.now - s.RetryBudgetWindow
	g.receivedAt, g.retriedAt = dropUntil(g.receivedAt, since+slack), dropUntil(g.retriedAt, since-slack-1)
	return float64(len(g.retriedAt)+1) <= s.RetryBudgetFloor+s.RetryBudgetRatio*float64(len(g.receivedAt))
}

// sendAttempt starts an attempt at the cheapest level.
func (g *Gateway) sendAttempt(q *request, e *endpoint) {
	c := q.class
	g.dequeue(q)
	q.level, _ = g.leastCostLevel(q)
	a := &attempt{request: q, number: len(q.attempts), endpoint: e, sentAt: g.now, level: q.level,
		uncontended: g.utilization(e) < freeCoreUtilization, warm: slices.Contains(e.warmGroups, q.TableGroup)}
	a.expectedTime = c.serviceTime(q.work) / g.relativeSpeed(e)
	a.grantMB = g.memoryGrant(q, e)
	g.openAttempt(a)
	e.claimedThreads += c.threads
	g.sentThreads.add(c.threads, meanSmoothing)
	e.nextTrialAt = g.now + Micros(trialInterval*microsPerSecond)
	if e.slowStartSince > 0 {
		e.slowStartBudget(q.Class, len(g.classes)).seconds -= g.slowStartCharge(c, g.slowStartRate(e))
	}
	e.recordRead(q.TableGroup, maxWarmGroups)
	if g.settings.HonorsGrants || g.settings.HonorsPriority {
		g.emit(Resources{ID: q.ID, MemoryMB: a.grantMB, Priority: priorityLevels - 1 - q.level})
	}
	s := Send{ID: q.ID, Endpoint: e.ID, Timeout: max(q.Deadline-g.deadlineGuard()-g.now, 1)}
	if c.Effect == IdempotentByKey && q.firstRan != nil {
		s.StartBefore = q.firstRan.sentAt + c.DedupWindow
	}
	g.emit(s)
}

// deadlineGuard is the time before a deadline at which the final answer is given.
func (g *Gateway) deadlineGuard() Micros { return Micros(2 * timerInterval * microsPerSecond) }

// grantMB is the memory for one attempt: estimate times learned need.
func (g *Gateway) memoryGrant(q *request, e *endpoint) float64 {
	if !g.settings.HonorsGrants { // the engine's own choice; it takes memory all the same
		return defaultGrantFactor * q.MemoryMB
	}
	if q.MemoryMB <= 0 {
		return 0
	}
	c := q.class
	need := math.Exp(c.memoryMedian.v + c.workFit.slope(initialSlope)*(math.Log(q.MemoryMB)-c.memoryMedian.v) + c.grantMargin)
	if g.settings.Shortage == ShortageSwaps { // what passes the need is not lost to others
		need *= swapGrantFactor
	}
	if most := g.settings.MaxGrantShare * e.memoryMB; most > 0 {
		need = min(need, most)
	}
	return math.Ceil(need)
}

// drainQueue sends what is held where there is room, most worth for its work first, or gives it up.
func (g *Gateway) drainQueue() {
	g.queueAt = g.now + Micros(healthCheckTimeout*microsPerSecond)
	if len(g.queue) == 0 {
		return
	}
	full := make([]bool, len(g.classes)) // no room for one is none for the heavier ones behind it
	for _, q := range g.queueByWeight() {
		if g.cannotEarn(q) {
			g.shedOrFail(q)
		} else if full[q.Class] && q.StickyTo == "" {
			continue
		} else if !q.admitted {
			g.admit(q)
		} else if e := g.pickEndpoint(q); e != nil {
			g.sendAttempt(q, e)
		}
		if q.StickyTo == "" && !q.class.LocksTables { // a queue behind one engine, or for one group, holds nobody else
			full[q.Class] = q.queued && g.mayStartAttempt(q) && !g.awaitsHealthCheck(q, healthCheckTimeout)
		}
	}
}

// cannotEarn tells that a held request can earn nothing more.
func (g *Gateway) cannotEarn(q *request) bool {
	if q.openAttempts > 0 {
		return false
	}
	if e := g.byID[q.StickyTo]; q.StickyTo != "" && (e == nil || !g.isEligible(q, e)) { // nobody else has its state
		return true
	}
	if len(q.attempts) >= g.settings.MaxAttempts || q.class.Effect == NonIdempotent && q.firstRan != nil {
		return true
	}
	end := q.Deadline - g.deadlineGuard()
	if q.class.LateWeight == 0 {
		end = min(end, q.objectiveAt)
	}
	return float64(end-g.now)/microsPerSecond < q.class.serviceTime(q.work)
}

// shedOrFail answers at once: refused where a client's retry is harmless, else failed.
func (g *Gateway) shedOrFail(q *request) {
	c := q.class
	if c.Effect == Idempotent || q.firstRan == nil && q.openAttempts == 0 || c.Effect == IdempotentByKey && c.DedupScope == DedupFleet {
		wait := max(c.queueWait[q.level], c.serviceTime(q.work)) // room may be free when one like it has ended
		g.emit(Shed{ID: q.ID, RetryAfter: min(Micros(wait*microsPerSecond), g.settings.MaxRetryAfter)})
	} else {
		g.emit(Fail{ID: q.ID})
	}
	g.endRequest(q)
}

// handleAttemptResult closes an attempt, learns from it and decides what follows.
func (g *Gateway) handleAttemptResult(o AttemptResult) {
	q := g.requests[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].closed {
		return
	}
	a := q.attempts[o.Attempt]
	g.closeAttempt(a, o.Code)
	if o.Load != nil && (a.endpoint.loadAt == 0 || *o.Load != a.endpoint.load) { // only a changed report is news
		g.recordLoad(a.endpoint, *o.Load, g.now)
	}
	g.learnFromResult(a, o)
	if o.Final && !q.done {
		g.endRequest(q)
	}
	if q.done && q.openAttempts == 0 {
		delete(g.requests, q.ID)
	}
	if q.done || q.openAttempts > 0 {
		return
	}
	q.restarting = false
	g.enqueue(q) // pump sends it again, or gives up
	g.queueAt = g.now
}

// learnFromResult learns from an outcome: class ratios, waits, the engine's health.
func (g *Gateway) learnFromResult(a *attempt, o AttemptResult) {
	c, e, fault := a.request.class, a.endpoint, 0.0
	switch o.Code {
	case OK:
		e.nextTrialAt = g.now // the next trial may follow
		took := max(float64(o.Latency)/microsPerSecond, 1e-4)
		x := math.Log(took * c.threads / max(a.request.work, 1e-4))
		c.recordDispersion(x, maxLogInflation, medianStep)
		clipped, work := max(-maxLogInflation, min(maxLogInflation, x)), 0.0
		if o.WorkMicros > 0 { // it is told: the crowd is known apart from the estimate
			work = float64(o.WorkMicros) / microsPerSecond
			clipped = max(-maxLogInflation, min(maxLogInflation, math.Log(took*c.threads/work)))
		} else if a.uncontended || c.workFit.n < minFitAnswers {
			work = a.request.work * math.Exp(min(clipped, shrinkSlackShare*g.slack))
		}
		g.recordInflation(e, clipped, inflationSmoothing, rareInflationSmoothing, reportLifetime, fleetInflationStep)
		g.recordWarmth(a.warm, clipped, meanSmoothing)
		g.attemptLatency.add(took, meanSmoothing)
		g.responseTime.add(g.secondsSince(a.request.receivedAt), meanSmoothing)
		g.earnedPerRequest.add(g.earnedWeight(a.request, g.now), meanSmoothing)
		if a.request.Cost > 0 && work > 0 {
			c.workFit.add(float64(a.request.Cost)/microsPerSecond, work, fitSmoothing)
		}
		g.adjustCapacity()
		wait := max(0, float64(g.now-a.request.receivedAt)/microsPerSecond-c.serviceTime(a.request.work))
		if a.spilled { // the margin settles where the wanted rank of grants suffices
			c.grantMargin += medianStep * grantQuantile
		} else if a.reportedProgress {
			c.grantMargin -= medianStep * (1 - grantQuantile)
		}
		c.queueWait[a.level] += (wait - c.queueWait[a.level]) * queueWaitSmoothing
		c.waitRefreshed[a.level] = true
	case Rejected, Failed, ConnectionRefused, ConnectionReset: // turned away is as quick as a fault
		fault = 1
	default:
		return
	}
	e.lastResponse, e.cancelledUnanswered, e.lastWasFault = g.now, 0, fault > 0
	if o.Code != ConnectionRefused && o.Code != ConnectionReset {
		e.confirmAlive(a)
	}
	// It may come back cold, before the list tells. One broken connection alone may be an answer lost.
	if o.Code == ConnectionRefused || o.Code == ConnectionReset && g.secondsSince(e.resetAt) < timerInterval {
		if e.restartGuessedAt == 0 {
			e.slowStartBefore = e.slowStartSince
		}
		e.slowStartSince, e.restartGuessedAt = g.now, g.now
	}
	if o.Code == ConnectionReset {
		e.resetAt = g.now
	}
	e.faultShare += (fault - e.faultShare) * faultSmoothing
	g.updateOutlier(e)
}

// confirmAlive takes word on an attempt: where it was sent before its engine seemed to end, the process never did.
// It guards against networks that break single connections: each pair of them would make an engine cold for
// long.
func (e *endpoint) confirmAlive(a *attempt) {
	if e.restartGuessedAt > a.sentAt {
		e.slowStartSince, e.restartGuessedAt = e.slowStartBefore, 0
	}
}

// updateOutlier turns distrust on and off by the share of faults, ours and peers' word, over what is usual in the
// fleet: faults that all engines have are none of theirs (a bad network), and nothing better is left to
// send to.
func (g *Gateway) updateOutlier(e *endpoint) {
	if !e.ejected && e.faultShare > ejectionMargin+g.fleet.medianFaultShare {
		g.eject(e, "faults")
	} else if e.ejected && e.faultShare < readmissionMargin+g.fleet.medianFaultShare {
		e.ejected = false
		g.logLine("trust %s again", e.ID)
	}
}

// eject keeps all but a trickle from an engine that fails fast (and looks idle), hangs or vanishes.
func (g *Gateway) eject(e *endpoint, why string) {
	e.ejected, e.nextTrialAt = true, g.now+Micros(trialInterval*microsPerSecond)
	g.logLine("distrust %s: %s", e.ID, why)
}

// handleHealthCheckResult takes a probe's report; what waited for it is chosen at once.
func (g *Gateway) handleHealthCheckResult(p HealthCheckResult) {
	e := g.byID[p.Endpoint]
	if e == nil {
		return
	}
	if e.healthCheckPending, g.queueAt = false, g.now; p.Code == OK && p.Load != nil {
		g.recordLoad(e, *p.Load, g.now)
	}
}

// sendGossip tells one peer, in turn, the freshest of what is known of the engines, ours
// or passed on, and what we have there. Its rate is tied to own traffic.
func (g *Gateway) sendGossip() {
	others := g.settings.Peers - 1
	gap := max(gossipInterval/float64(others), 1/max(gossipPerRequest*g.rate, 1/priceInterval))
	g.gossipAt = g.now + Micros(gap*microsPerSecond)
	// Each peer in turn, from a place by chance: else all gateways tell the same one.
	g.gossipTo = (g.gossipTo + 1 + others) % others
	g.emit(SendGossip{To: (g.settings.PeerIndex + 1 + g.gossipTo) % g.settings.Peers, Data: encodeGossip(g.gossipRates(), g.gossipRows(reportLifetime))})
}

// lastResponse takes a peer's word. What does not parse is skipped; only what is fresher
// than our own knowledge counts, and slowness and faults only in part.
func (g *Gateway) handleGossip(h GossipReceived) {
	if h.From < 0 || h.From >= g.settings.Peers || h.From == g.settings.PeerIndex {
		return
	}
	rates, rows, ok := decodeGossip(h.Data, len(g.tenants)+1)
	if !ok {
		return
	}
	g.mergeRates(rates, gossipRateSmoothing)
	g.recordPeerAttempts(h.From, rows)
	for _, r := range rows {
		e := g.byWireID[r.key]
		if e == nil {
			continue
		}
		at := g.now - r.age
		if r.lockedGroup > 0 {
			e.tableLocks[r.lockedGroup] = max(at, e.tableLocks[r.lockedGroup])
		}
		if r.utilization >= 0 && at > e.loadAt {
			g.recordLoad(e, Load{Util: r.utilization, InFlight: r.inFlight, Queue: -1, Memory: r.memory, Disk: -1}, at)
		}
		if at > e.lastResponse && at > e.slowStartSince {
			e.lastResponse, e.cancelledUnanswered, e.lastWasFault = at, 0, r.fault
			e.faultShare -= e.faultShare * faultSmoothing
			if r.fault {
				e.faultShare += faultSmoothing
			} else {
				x, step := max(-maxLogInflation, min(maxLogInflation, r.inflation)), fleetInflationStep/float64(len(rows))
				g.recordInflation(e, x, inflationSmoothing, rareInflationSmoothing, reportLifetime, step)
				g.adjustCapacity()
			}
			g.updateOutlier(e)
		}
	}
}

// adjustCapacity narrows the room of all engines in a crowd, on cores, disks or memory, and widens
// it in full use. One gateway of many seldom hears of one engine; see speed for that.
func (g *Gateway) adjustCapacity() {
	if g.secondsSince(g.capacityAt) < capacityInterval {
		return
	}
	if g.capacityAt = g.now; g.inflation.v > shrinkSlackShare*g.slack {
		g.capacity = max(g.capacity*capacityBackoff, minCapacity)
	} else if g.inflation.v < growSlackShare*g.slack && g.fleet.threadsPerCore > g.capacity/2 {
		most := initialCapacity + (maxCapacity-initialCapacity)*g.fleet.peerCoverage // less where others are guessed
		g.capacity = min(g.capacity/capacityBackoff, most)
	}
}

// cancelAttempt cancels an attempt, where that is allowed.
func (g *Gateway) cancelAttempt(a *attempt) bool {
	if a.closed || a.cancelled || !g.settings.CanCancel || a.request.streamed {
		return false
	}
	a.cancelled = true
	g.emit(Cancel{ID: a.request.ID, Attempt: a.number})
	return true
}

// tablesLocked tells that a load holds a group on an engine: ours, or by a note or a
// peer's word of late. It guards against queries that stand still.
func (g *Gateway) tablesLocked(e *endpoint, tables int64) bool {
	if e.holdsOwnTableLock(tables) {
		return true
	}
	at := e.tableLocks[groupCode(tables)]
	return at > 0 && g.secondsSince(at) < gossipLifetime
}

// handleEndpointUpdate keeps up with the engine list.
func (g *Gateway) handleEndpointUpdate(l EndpointUpdate) {
	if l.Failed {
		g.pollAt = min(g.pollAt, g.now+Micros(minPollInterval*microsPerSecond))
	}
	g.markRemoved(l)
	for _, r := range l.Endpoints {
		e := g.byID[r.ID]
		if e == nil {
			e = g.addEndpoint(r)
			e.slowStartSince, e.inflation = r.Started, g.inflation.v
			g.restoreEndpoint(e)
		} else if r.Started != e.Started { // restarted: nothing learned holds any more
			e.slowStartSince, e.ejected, e.warmGroups = max(r.Started, e.slowStartSince), false, nil
			e.faultShare, e.inflation, e.restartGuessedAt = 0, g.inflation.v, 0
		}
		if r.State == Draining && e.State != Draining {
			e.drainUntil = g.now + g.settings.DrainGrace - g.deadlineGuard()
		}
		e.Endpoint = r
	}
	g.sortEndpoints()
	g.summarizeFleet(gossipLifetime, reportLifetime, 1)
}

// runMaintenance looks at all that is open: deadlines, overdue attempts, silent engines.
func (g *Gateway) runMaintenance() {
	keep := math.Pow(idleRetention, timerInterval)
	g.meanInFlight += (g.attemptsInFlight() - g.meanInFlight) * (1 - keep)
	g.summarizeFleet(gossipLifetime, reportLifetime, keep)
	g.fleet.occupancyExcess = g.occupancyExcess(g.fleet.threadsPerCore / max(g.fleet.occupancyExcess, 1))
	if g.secondsSince(g.pricedAt) >= priceInterval {
		g.updatePrices()
		g.pricedAt = g.now
	}
	if g.settings.PollEndpoints && g.now >= g.pollAt { // a failed call may have ended the subscription
		g.pollAt = g.now + max(g.settings.MaxPollInterval/4, Micros(minPollInterval*microsPerSecond))
		g.emit(WatchEndpoints{})
	}
	if g.settings.CanGossip && g.settings.Peers > 1 && g.now >= g.gossipAt {
		g.sendGossip()
	}
	for _, e := range g.endpoints {
		g.detectUnresponsive(e)
	}
	g.queuePrice = g.admissionQueuePrice(g.countUnanswered())
	for _, q := range g.active {
		if q.done || q.streamed {
			continue
		}
		if g.now >= q.Deadline-g.deadlineGuard() || g.belowQueuePrice(q) {
			g.shedOrFail(q)
			continue
		}
		for _, a := range q.attempts {
			if !a.closed && !a.cancelled && !q.done {
				g.checkOverdue(a)
			}
		}
	}
	g.active = slices.DeleteFunc(g.active, func(q *request) bool { return q.done && q.openAttempts == 0 })
}

// detectUnresponsive distrusts an engine whose open attempts are all far past expectation, or
// that owes notes on one. Where peers talk, silence is longer than their usual word.
func (g *Gateway) detectUnresponsive(e *endpoint) {
	if e.ejected || g.secondsSince(e.lastResponse) < minUnresponsive+unresponsiveAges*g.fleet.responseAge*float64(min(1, len(g.peerReports))) {
		return
	}
	overdue := e.cancelledUnanswered
	for _, a := range e.attempts {
		if age := g.secondsSince(a.sentAt); !a.waiting && age > minUnresponsive && a.sentAt >= e.lastResponse {
			overdue += math.Floor(min(age/(overdueFactor*a.expectedTime), 2))
		}
	}
	if overdue >= 2 || g.missesProgress(e) { // two attempts, or one very old: one alone may be a bad plan
		e.faultShare = ejectionMargin
		g.eject(e, "silent")
	}
}

// missesProgress tells that notes on an attempt have stopped: a hung engine sends none.
func (g *Gateway) missesProgress(e *endpoint) bool {
	return g.settings.ProgressInterval > 0 && slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return g.now-max(a.sentAt, a.progressAt) > Micros(maxMissedProgress*float64(g.settings.ProgressInterval))
	})
}

// checkOverdue answers a bad plan or a dead engine: a restart elsewhere while it can
// still earn the worth and the budget lasts. Estimates stray, and a restart does not
// make a query shorter: what an attempt called off had shown is what the next may take.
func (g *Gateway) checkOverdue(a *attempt) {
	age, q, c := g.secondsSince(a.sentAt), a.request, a.request.class
	lost := a.endpoint.ejected && age > minUnresponsive && age > overdueFactor*a.expectedTime
	expect := max(q.work/c.threads*math.Exp(max(a.endpoint.inflation, g.inflation.v, c.latencyRatio.v, 0)), q.observedTime)
	left := float64(q.Deadline-g.deadlineGuard()-g.now) / microsPerSecond
	took, bad := age, age > max(overdueFactor, math.Exp(overdueDispersions*c.dispersion))*expect
	if a.projectedTime > 0 && age <= overdueFactor*a.projectedTime { // a note that time has proven wrong holds no longer
		took, bad = a.projectedTime, a.projectedTime > overdueFactor*expect && a.projectedTime-age > minRestartGain*expect
		if !bad && a.projectedTime-age > minRestartGain*left && g.settings.CanCancel { // at its pace it earns nothing any more
			g.shedOrFail(q)
			return
		}
	}
	if !lost && (!bad || age < minOverdueAge) || a.waiting {
		return
	}
	enough := len(q.attempts) >= g.settings.MaxAttempts || c.Effect == NonIdempotent || !g.withinRetryBudget()
	if !enough && !q.restarting && left >= c.serviceTime(q.work) && g.cancelAttempt(a) {
		q.restarting = true
		// It would have taken longer still: else a crowd is learned from its quick answers alone.
		x := math.Log(age * c.threads / max(q.work, 1e-4))
		c.recordDispersion(x, maxLogInflation, medianStep)
		g.recordInflation(a.endpoint, max(0, min(maxLogInflation, x)), inflationSmoothing, rareInflationSmoothing, reportLifetime, fleetInflationStep)
		if bad && !lost {
			q.observedTime = took * observedTimeShare
		}
		if a.sentAt >= a.endpoint.lastResponse { // a restart must not hide that nothing comes from there
			a.endpoint.cancelledUnanswered++
		}
	}
}

// updatePrices recomputes the tolls from what was admitted and how long it waited.
func (g *Gateway) updatePrices() {
	span := max(g.secondsSince(g.pricedAt), 1e-3)
	g.withinRetryBudget() // what is older than the budget's span is forgotten, also while nothing is tried again
	g.updateRates(span, rateSmoothing)
	if len(g.peerReports) > 0 {
		g.ownShare = g.rate / max(g.meanRate*float64(g.settings.Peers), g.rate, 1e-9)
	} else if demand := g.rate * g.attemptLatency.v * g.sentThreads.v; demand > 0 && g.fleet.reported {
		g.ownShare = demand / max(g.fleet.threads/max(g.fleet.occupancyExcess, 1), demand)
	}
	if n := g.attemptsInFlight(); n > 0 { // of those in flight: heavy ones stay longer
		g.meanThreads += (g.threadsInFlight()/n - g.meanThreads) * min(1, n*meanSmoothing)
		g.meanGrantMB += (g.grantsInFlightMB()/g.threadsInFlight() - g.meanGrantMB) * min(1, n*meanSmoothing)
	}
	g.slack = g.objectiveSlack()
	share := g.coreShare()
	var lost [priorityLevels]float64 // delay cost that a second more of wait at a level adds, times that wait
	for i := range g.classes {
		c := &g.classes[i]
		for k := range priorityLevels {
			c.admittedRate[k] += (c.admitted[k]/span - c.admittedRate[k]) * rateSmoothing
			if c.admitted[k] = 0; !c.waitRefreshed[k] {
				c.queueWait[k] /= 2
			}
			c.waitRefreshed[k] = false
			lost[k] += c.delayCost() * c.admittedRate[k] * c.queueWait[k]
		}
	}
	for i := range g.classes {
		c := &g.classes[i]
		for k := range priorityLevels {
			var r, above float64
			for h := range priorityLevels {
				above += g.threads[h]
				if h >= k {
					r += c.typicalWork() / share * lost[h] / (1 - min(above/share, maxTollUtilization))
				}
			}
			c.price[k] = priceSmoothing*r + (1-priceSmoothing)*c.price[k]
		}
	}
	if g.secondsSince(g.capacityAt) > priceInterval && g.attemptsInFlight() == 0 { // else a narrow room lets no answer come again
		g.inflation.v, g.capacity = g.inflation.v*idleRetention, initialCapacity+(g.capacity-initialCapacity)*idleRetention
	}
	for _, e := range g.endpoints {
		if g.secondsSince(e.lastResponse) > reportLifetime { // what is not heard of becomes average
			e.inflation = g.inflation.v + (e.inflation-g.inflation.v)*idleRetention
		}
		if g.secondsSince(e.reportArrivedAt) > priceInterval {
			e.reportArrivedAt, e.claimedThreads, e.claimDraw = g.now, 0, g.rng.Float64()
		}
	}
}
