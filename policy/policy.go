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
	levels       = 4    // priority levels (engine priorities 3 to 0)
	priceStep    = 0.1  // weight of a newly computed toll (design page)
	priceEvery   = 1.0  // seconds between tolls (design page)
	crowdCap     = 0.9  // most that u counts in 1/(1-u) (design page)
	passUtil     = 0.7  // an engine below this utilisation has a free core (design page)
	waitStep     = 0.2  // weight of one outcome in a class's wait: about five outcomes
	rateStep     = 0.3  // weight of one interval in an admitted rate: about three seconds
	wakeEvery    = 0.02 // seconds between looks at open attempts: a few ticks of a dispatcher
	threadsACore = 1.5  // starting room, threads a core: engines lose total work beyond one or two
	threadsMost  = 2.0  // most room, threads a core: the upper end of the same
	claimPower   = 3.0  // claims grow by this power of how far the fleet is under a thread a core
	memoryHigh   = 0.95 // share of memory granted above which nothing more is sent
	crowdedPart  = 0.67 // part of the log stretch that aims leave above which a room narrows: work is lost
	widenPart    = 0.48 // part of it below which a room in full use widens
	roomDown     = 0.9  // factor of narrowing, gentle since reports are late
	roomLeast    = 0.25 // threads a core that a crowded fleet is left at least
	roomEvery    = 0.2  // seconds between two changes of one room: a report must have come
	lightRoom    = 1.3  // light queries may fill the room this much further: they leave soon
	longRoom     = 0.6  // part of the room that a query far over its class's mean may fill: it stays long
	staleRoom    = 0.3  // part of the room kept free for what an old report does not show
	reportFresh  = 3.0  // seconds for which a load report is believed, ever less, and passed on
	quantStep    = 0.03 // least step of a learned quantile, in log units
	meanStep     = 0.02 // weight of one query in a mean
	fitStep      = 0.01 // least weight of one answer in the fit of work to estimate: the last hundred or so
	firstSlope   = 0.5  // slope of the fit at first: half of what a rough estimate says is believed
	baseFirst    = 20   // answers of a class from which its fit is learned whatever the crowd
	coldStretch  = 0.5  // part of the ramp credited to a cold engine: its shape is not told
	coldSpeed    = 0.8  // speed of a machine slower than most, against what its cores tell
	coldTilt     = 10.0 // tilt of Chernoff's bound on what all send a cold engine in a window
	coldRisk     = 5.0  // log of how unlikely more than it bears is to be: once in 150 full windows
	fullUtil     = 0.85 // utilisation at which an engine counts as at capacity
	faultStep    = 0.25 // weight of one outcome in an engine's fault share: two in a row are a pattern
	faultHigh    = 0.4  // fault share that makes an engine suspect
	faultLow     = 0.1  // fault share at which it is trusted again
	trickleEvery = 0.5  // seconds between trial sends to a suspect engine
	silentTimes  = 3.0  // an attempt this far past its expectation is overdue: a bad plan, or lost
	strayTimes   = 2.0  // the same in mean deviations of the class's log times from its estimates
	seenPart     = 0.5  // part of that time by which the next attempt is judged: pace is rough
	planGain     = 1.5  // expected times that a restart must save
	notesMissed  = 3.0  // notes in a row that may be missing
	silentAges   = 2.0  // usual ages of the fleet's news that are no silence yet
	silentFloor  = 0.6  // seconds of silence below which overdue attempts prove nothing (pauses)
	passTimes    = 4.0  // a query this far over its class's mean is no use for a free core: it stays
	planFloor    = 0.3  // seconds below which no attempt is judged
	slowStep     = 0.15 // weight of one answer in an engine's stretch
	crowdStep    = 0.2  // least step of the fleet's stretch, log units: a few seconds of a small gateway
	slowFirst    = 0.5  // the same where none came for as long as reports are believed
	slowSlack    = 0.4  // log stretch over the fleet's that is scatter
	slowClip     = 2.5  // most that one answer counts, in log units: bad plans are not the engine's
	speedFloor   = 0.1  // least speed credited to a slow engine, so that it is seen to recover
	drawPower    = 2.0  // sharpness of the draw against utilisation
	drawFloor    = 0.03 // least share of room in the draw
	homeZone     = 4.0  // weight of engines in the gateway's own zone
	heldTables   = 0.1  // weight of an engine where a load holds the group, for classes that wait
	lanePart     = 0.5  // part of the engines that take the loads of one group
	doorFree     = 0.7  // part of what may be held that has no price
	doorAge      = 0.5  // part of its age that a query past its expected end may be thought to stay on
	grantMargin  = 1.75 // first memory grant over the fitted estimate: it may lie low, and a spill costs more
	blindMargin  = 2.5  // the same where no notes tell of spills: nothing would correct it
	engineGrant  = 1.25 // memory that an engine grants by itself, over the estimate (wire page)
	swapMargin   = 4.0  // further margin where engines swap: only the lesser of grant and need counts
	grantRank    = 0.85 // share of attempts whose grant is to cover their need
	warmKeep     = 4    // groups of tables taken to be warm on an engine
	warmSlack    = 0.1  // log saving below which warmth is taken for scatter
	warmSharp    = 2.0  // power of the time saved by warmth in the draw
	tellEvery    = 0.25 // least seconds between two messages to one peer
	tellShare    = 0.7  // messages for each request taken: news is paid for by traffic
	forget       = 0.8  // what is left each second of what was last heard, while nothing more is heard
	wordFresh    = 1.0  // seconds for which a peer's word on its own attempts counts
	wordMerge    = 0.5  // weight of a peer's fresher word on an engine against ours
	askShare     = 0.6  // probes for each request taken when engines are full; goes with the crowd's square
	askFloor     = 0.1  // least part of that: full engines must be found out
	askMost      = 6.0  // probes saved up at most
	askLight     = 3.0  // probes saved up that let a light query ask: heavy ones gain more
	askStale     = 0.5  // seconds after which a report is worth asking for again
	askWait      = 0.05 // seconds to wait for what was asked, and between tries to send what is held
	threadsBusy  = 1.5  // threads out for each core that is busy: the others read or write
	fullSlope    = 5.0  // threads a core for each unit of utilisation over fullUtil: it hides the rest
	latelyWeight = 0.6  // own queries in flight, over seconds, up to which they may be so many by chance
	ownWeight    = 4.0  // own attempts on an engine that weigh as much as the fleet's average
	askEvery     = 1.0  // least seconds between two calls for the engine list
	noteEvery    = 1.0  // seconds between two log lines
)

// New returns a gateway, or an error that names the unusable setting.
func New(seed uint64, s Settings) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g := &Gateway{set: s, noteEvery: noteEvery, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		part: 1 / float64(s.Peers), room: threadsACore}
	g.tellTo = g.rng.IntN(s.Peers)
	margin := math.Log(grantMargin)
	if s.ProgressInterval == 0 {
		margin = math.Log(blindMargin)
	}
	g.begin(margin)
	g.slack = g.patience()
	return g, nil
}

// Step takes what happened at one moment and returns what to do, in order.
func (g *Gateway) Step(now Micros, events []Event) []Action {
	g.start(now)
	for _, ev := range events {
		g.dispatch(ev)
	}
	if now >= g.wakeAt || len(g.live) > 0 && g.wakeAt-now > Micros(wakeEvery*micros) {
		g.watch()
		after := Micros(wakeEvery * micros)
		if len(g.live) == 0 {
			after = Micros(priceEvery * micros)
		}
		g.wakeAt = now + after
		g.do(SetTimer{After: after})
	}
	if now >= g.pumpAt {
		g.pump()
	}
	return g.out
}

// take owns a request and admits, holds or refuses it.
func (g *Gateway) take(r Request) {
	if g.open[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := g.enrol(r, c)
	if r.Cost > 0 {
		c.asked.add(math.Log(float64(r.Cost)/micros), 0.5, quantStep)
	}
	q.est = c.fit.at(float64(r.Cost)/micros, c.asked.v, firstSlope, 0)
	if r.Cost <= 0 { // a missing estimate is never zero work
		q.est = c.typical()
	}
	if r.MemoryMB > 0 {
		c.memory.add(math.Log(r.MemoryMB), 0.5, quantStep)
	}
	c.mean.add(q.est, meanStep)
	// The usual work, for the cold rule: the fit's shrunk estimates lie nearer its middle.
	c.heft.add(max(q.est, c.fit.at(float64(r.Cost)/micros, c.asked.v, 1, 1)), meanStep)
	g.meanCost.add(q.est, meanStep)
	q.worth = g.worthOf(q)
	q.aim = g.now + c.LatencyObjective + Micros(c.ObjectiveStretch*q.est/c.threads*micros)
	g.askCredit = min(askMost, g.askCredit+askShare*min(1, max(askFloor, g.all.busy*g.all.busy)))
	g.join(q)
	if q.StickyTo != "" && g.hopeless(q) {
		g.giveUp(q)
		return
	}
	g.admit(q)
}

// admit sends, holds or refuses a request.
func (g *Gateway) admit(q *request) {
	level, net := g.cheapest(q)
	q.level = level
	e := g.pick(q)
	asking := e == nil && g.asking(q, askWait)
	if net < 0 && !asking && !g.passes(q, e) {
		g.giveUp(q)
		return
	}
	if !asking {
		q.admitted = true
		q.class.admitted[level]++
	}
	if e != nil {
		g.send(q, e)
	} else {
		g.hold(q)
	}
}

// typical is the class's mean estimate, or a guess from its aim.
func (c *class) typical() float64 {
	if c.mean.v > 0 {
		return c.mean.v
	}
	return max(float64(c.LatencyObjective), 1) / micros / 4 * c.threads
}

// service is the learned time of a query, alone and at the usual crowd.
func (c *class) service(est float64) float64 { return est * math.Exp(c.ratio.v) / c.threads }

// worthOf is what serving the request in time earns. A tenant beyond its share
// earns less; which of its requests are beyond is not known, so all share it.
func (g *Gateway) worthOf(q *request) float64 {
	w := q.class.PriorityWeight
	if g.set.WeightByWork {
		w *= q.est / q.class.typical()
	}
	if q.Tenant < 0 || q.Tenant >= len(g.tenants) {
		return w
	}
	t := g.tenants[q.Tenant]
	rate := t.rate / g.share()
	if len(g.peers) > 0 {
		rate = max(t.rate, t.mean*float64(g.set.Peers))
	}
	if t.allowance <= 0 || rate <= t.allowance {
		return w
	}
	inside := t.allowance / rate
	return w * (inside + (1-inside)*g.set.OverQuotaWeight)
}

// cheapest finds the level of least delay cost plus toll, and the net worth there.
func (g *Gateway) cheapest(q *request) (level int, net float64) {
	c, best := q.class, math.Inf(1)
	scale, plain := q.est/c.typical(), 1 // taken while prices and waits tell no difference
	if q.est > g.meanCost.v {
		plain = 2
	}
	for k := range levels {
		tau := c.wait[k] + c.service(q.est)
		cost := (c.delayCost()+g.door)*tau + c.price[k]*scale
		if tau > float64(q.Deadline-g.now)/micros { // clients that come late or leave early: it would earn nothing
			cost += q.worth
		}
		if cost < best || cost == best && k == plain {
			level, best = k, cost
		}
	}
	return level, q.worth - best
}

// passes is the free-core pass.
func (g *Gateway) passes(q *request, e *engine) bool {
	tau := q.class.wait[q.level] + q.class.service(q.est)
	if tau > float64(q.Deadline-g.now)/micros || q.est > passTimes*q.class.typical() || q.worth < g.door*tau {
		return false
	}
	return g.ownThreads()+q.class.threads <= g.shareCores() || e != nil && g.util(e) < passUtil
}

// share is our part of the traffic, at least an equal one: gateways that carry little
// seldom use theirs. When gateways are lost the rest take over their share.
func (g *Gateway) share() float64 { return max(g.part, 1/float64(g.set.Peers)) }

// shareCores is this gateway's share of the told cores.
func (g *Gateway) shareCores() float64 {
	return max(g.all.cores*g.share(), 1)
}

// known is how far an engine's report is believed, if it tells of threads: less with its age.
func (g *Gateway) known(e *engine) float64 {
	if e.loadAt == 0 || e.load.Util < 0 && e.load.InFlight < 0 {
		return 0
	}
	return max(0, 1-g.since(e.loadAt)/reportFresh)
}

// util is an engine's utilisation: reported plus own sends since, else what it holds
// by its count of queries or by own threads there. What is not heard counts as average,
// an old report in part.
func (g *Gateway) util(e *engine) float64 {
	k := g.known(e)
	switch {
	case k == 0 && g.all.busy == 0:
		return e.threads / g.share() / e.cores
	case e.loadAt == 0 || e.load.Util < 0:
		threads, _ := g.others(e)
		return (threads + e.threads) / threadsBusy / e.cores
	}
	return k*e.load.Util + (1-k)*g.all.busy + e.newThreads/e.cores
}

// excess is how far our own queries in flight, now or over seconds, pass what so many
// threads a core lead us to expect; others not heard are taken to fare like us. It guards
// against a jam that looks idle: utilisation says little of queries that wait for disks.
func (g *Gateway) excess(busy float64) float64 {
	expected := busy * g.shareCores() / g.meanThreads
	now := (ownWeight + g.ownOpen()) / (ownWeight + expected)
	lately := (latelyWeight + g.meanOpen) / (latelyWeight + expected)
	return math.Pow(max(1, now, lately), 1-g.all.covered)
}

// others is what others have on an engine, threads and MB: the most of what peers say and
// of what its report leaves after ours; so far as it is not heard, average, moved to what
// own attempts there tell by our share. A count of queries holds timed-out ones that run on.
func (g *Gateway) others(e *engine) (threads, granted float64) {
	k, own, share := g.known(e), e.threads-e.newThreads, g.share()
	usual := g.all.busyOf(e.Kind) * e.cores * (1 - share)
	weight := usual * share / (usual*share + ownWeight)
	unheard := (1-weight)*usual + weight*e.threads*(1/share-1)
	switch full := g.all.excess * (threadsBusy*e.load.Util + fullSlope*max(0, e.load.Util-fullUtil)); {
	case k > 0 && e.load.InFlight >= 0:
		unheard = e.load.InFlight*g.meanThreads - own
	case k > 0 && e.load.Util >= 0:
		unheard = (k*(full*e.cores-own) + (1-k)*unheard) * (1 - g.all.covered)
	}
	theirs := unheard * g.meanMB * (1 - g.all.covered) // grants as big as ours
	return max(e.told, unheard), max(e.toldMB, theirs)
}

// speed is an engine's against the fleet's, as seen in answers. It guards against
// engines that slow down, whatever the cause: a neighbour, a failing disk, a crowd.
func (g *Gateway) speed(e *engine) float64 {
	return min(1, max(speedFloor, math.Exp(g.crowd.v+slowSlack-e.slow)))
}

// pick draws an engine among those allowed that have room; nil if there is none.
// Where engines may be asked for their state, it draws twice, asks both while own
// traffic pays for it, and takes the better: else a sparse gateway knows none.
func (g *Gateway) pick(q *request) *engine {
	if g.asking(q, askWait) || !g.mayStart(q) {
		return nil
	}
	weights, total := make([]float64, len(g.engines)), 0.0
	for i, e := range g.engines {
		if g.allowed(q, e) && g.trusted(q, e) && g.hasRoom(q, e) && g.coldRoom(q, e) {
			weights[i] = g.weight(q, e)
			total += weights[i]
		}
	}
	if total <= 0 { // what is taken to be full may not be so any more
		if e := g.anyEngine(); e != nil && g.allowed(q, e) && g.mayAsk(q, e) {
			g.ask(q, e)
		}
		return nil
	}
	if best := g.best(weights, q.drawn); best != nil { // the answers are in, or late
		return best
	}
	e := g.draw(weights, total)
	if !g.mayAsk(q, e) {
		return e
	}
	g.ask(q, e, g.draw(weights, total))
	return nil
}

// ask probes the engines drawn for a query.
func (g *Gateway) ask(q *request, drawn ...*engine) {
	q.drawn = drawn
	for _, e := range drawn {
		if g.since(max(e.loadAt, e.probeAt)) > askStale {
			e.probeAt, e.asked = g.now, true
			g.askCredit--
			g.do(HealthCheck{Endpoint: e.ID})
		}
	}
}

// mayAsk tells whether a query's engines are asked before the choice.
func (g *Gateway) mayAsk(q *request, e *engine) bool {
	need := 1.0
	if q.est < g.meanCost.v {
		need = askLight
	}
	stale := g.since(max(e.loadAt, e.probeAt)) > askStale
	return g.set.CanHealthCheck && len(q.attempts) == 0 && g.askCredit >= need && stale
}

// trusted keeps suspect engines to a trickle of light repeatable queries, unless most look bad.
func (g *Gateway) trusted(q *request, e *engine) bool {
	return !e.suspect || g.all.trusted*2 < len(g.engines) ||
		g.now >= e.trickleAt && len(q.attempts) == 0 && q.class.Effect != NonIdempotent && q.est <= g.meanCost.v
}

// weight is an engine's weight in the draw.
func (g *Gateway) weight(q *request, e *engine) float64 {
	w := math.Pow(max(drawFloor, 1-g.util(e)/threadsMost), drawPower) * e.cores * math.Pow(g.speed(e), 2)
	if e.Zone == g.set.Zone {
		w *= homeZone
	}
	if slices.Contains(e.warm, q.TableGroup) {
		w *= math.Exp(warmSharp * max(0, g.stretch[0]-g.stretch[1]-warmSlack))
	}
	if (q.class.WaitsForTables || q.class.LocksTables) && g.loading(e, q.TableGroup) {
		w *= heldTables * heldTables
	}
	if q.class.WaitsForTables && g.lane(q.TableGroup, e) {
		w *= heldTables
	}
	for _, a := range q.attempts { // another try goes elsewhere if it can
		if a.e == e {
			w *= drawFloor
		}
	}
	return w
}

// lane tells whether an engine takes loads of a group, the same at every gateway: those of a group on all
// engines would leave none for the queries that wait for them, and on one engine they hold up one another.
func (g *Gateway) lane(tables int64, e *engine) bool {
	healthy, before := 0, 0
	for _, o := range g.engines {
		if o.State == Healthy && !o.suspect {
			healthy++
			if o != e && drawOf(tables, o) > drawOf(tables, e) {
				before++
			}
		}
	}
	return before < max(1, int(lanePart*float64(healthy)))
}

// ownLoad tells that a load of ours holds a group on an engine, or stands there for it.
func (e *engine) ownLoad(tables int64) bool {
	return slices.ContainsFunc(e.open, func(a *attempt) bool {
		return a.q.class.LocksTables && a.q.TableGroup == tables
	})
}

// doorPrice is what a second at the door is worth to others: nothing while few are held, and what those who
// are served earn a second when as many are held as may be. It guards against queries that stand still and
// keep others out.
func (g *Gateway) doorPrice(held int) float64 {
	full := float64(held)/max(float64(g.set.MaxInFlight), 1) - doorFree
	if g.set.MaxInFlight == 0 || full <= 0 || g.meanStay.v <= 0 {
		return 0
	}
	return min(1, full/(1-doorFree)) * g.meanEarned.v / g.meanStay.v
}

// overstays tells that a query earns less than its place at the door is worth.
func (g *Gateway) overstays(q *request) bool {
	stay := g.since(q.taken)
	left := max(q.class.wait[q.level]+q.class.service(q.est)-stay, stay*doorAge)
	return q.open == 0 && g.door > 0 && g.earns(q, g.now+Micros(left*micros)) < g.door*left
}

// earns is what an answer at a time is worth.
func (g *Gateway) earns(q *request, at Micros) float64 {
	if at > q.aim {
		return q.worth * q.class.LateWeight
	}
	return q.worth
}

// allowed keeps placement, drains, the protocol and the groups of keyed requests.
func (g *Gateway) allowed(q *request, e *engine) bool {
	c := q.class
	if q.StickyTo != "" && q.StickyTo != e.ID || q.Protocol&^e.Protocols != 0 ||
		e.State != Healthy && (q.StickyTo == "" || e.State != Draining || g.now >= e.drainBy) ||
		c.Zones != nil && !slices.Contains(c.Zones, e.Zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		return false
	}
	if c.Effect != IdempotentByKey || q.ran == nil || c.DedupScope == DedupFleet {
		return true
	}
	return c.DedupScope == DedupZone && e.Zone == q.ran.e.Zone || c.DedupScope == DedupPlacementGroup && e.PlacementGroup == q.ran.e.PlacementGroup
}

// hasRoom keeps an engine below the crowd at which all work there slows. A gateway claims
// only its part of what news of an engine leaves free and of what ended since, by chance
// where that is less than one query: all that talk hear of the same room, and would fill it.
func (g *Gateway) hasRoom(q *request, e *engine) bool {
	room := g.room * e.cores * g.speed(e)
	if q.class.LocksTables && (!g.lane(q.TableGroup, e) || e.ownLoad(q.TableGroup)) { // the next would stand behind it
		return false
	}
	switch {
	case q.est > passTimes*q.class.typical(): // it would hold the room for many others
		room *= longRoom
	case q.est < g.meanCost.v:
		room *= lightRoom
	}
	k, grant := g.known(e), g.grant(q, e)
	if k > 0 { // what others sent since is not seen yet
		room *= 1 - staleRoom*(1-k)*(1-g.all.covered)
	}
	if e.load.Memory > 0 && e.memory > 0 && k > 0 && e.load.Memory+(e.newGrants+grant)/e.memory > memoryHigh {
		return false
	}
	threads, granted := g.others(e)
	free := max(0, room-threads-e.threads+e.claimed)
	if g.meanTook.v > 0 {
		ends := (threads + e.threads) / g.meanThreads / g.meanTook.v * g.meanSent.v // threads a second
		free += ends * min(g.since(e.newsAt), reportFresh)
	}
	if len(g.peers) > 0 {
		claim := g.share() / (g.share() + (1-g.share())*(1-g.all.covered)) // ours against those not heard
		if e.claimed+e.ticket*q.class.threads > free*claim/min(1, math.Pow(g.all.busy, claimPower)) {
			return false
		}
	}
	granted += e.granted
	short := g.set.Shortage != ShortageSwaps && e.memory > 0 && granted > 0 && granted+grant > memoryHigh*e.memory
	return !short && (e.threads == 0 && threads < room || e.threads+threads+q.class.threads <= room)
}

// coldRoom keeps this gateway's part of what a cold engine can bear: a store for each
// class that fills at our part of that rate, never above nothing, and starts by chance
// below. So the sum over all gateways keeps to the rate, however small each one's part.
func (g *Gateway) coldRoom(q *request, e *engine) bool {
	if e.coldSince == 0 || g.set.SlowStartDuration == 0 || g.set.OverloadMultiple == 0 {
		return true
	}
	if g.now-e.coldSince >= g.set.SlowStartDuration {
		e.coldSince, e.cold = 0, nil
		return true
	}
	s := e.store(q.Class, len(g.classes))
	rate := g.coldRate(e)
	if s.at < e.coldSince {
		s.at, s.left = g.now, -g.rng.Float64()*g.coldCharge(q.class, rate)
	}
	part := g.part
	if len(g.peers) == 0 { // what cannot be compared with others' is no more than an equal part
		part = 1 / float64(g.set.Peers)
	}
	fills := rate * (1 - coldRisk/coldTilt) * part * g.demandShare(q.class)
	s.at, s.left = g.now, min(0, s.left+fills*g.since(s.at))
	return s.left >= 0
}

// coldRate is the work a second that a cold engine bears from all gateways.
func (g *Gateway) coldRate(e *engine) float64 {
	age := float64(g.now-e.coldSince) / float64(g.set.SlowStartDuration)
	share := g.set.SlowStartFloor + (1-g.set.SlowStartFloor)*max(age, 0)*coldStretch
	return coldSpeed * g.set.OverloadMultiple * share * fullUtil * e.cores
}

// coldCharge is what a query counts there: chance brings heavy ones together now and then,
// so the part of a window that one fills weighs as in Chernoff's bound.
func (g *Gateway) coldCharge(c *class, rate float64) float64 {
	window := rate * max(float64(g.set.OverloadDuration), 1) / micros
	return window / coldTilt * math.Expm1(coldTilt*max(c.heft.v, c.typical())/window)
}

// mayStart tells whether another attempt of the request is within the rules now.
func (g *Gateway) mayStart(q *request) bool {
	c := q.class
	if q.done || q.streamed || len(q.attempts) >= g.set.MaxAttempts {
		return false
	}
	if c.Ordered && q.HasOrderKey && !g.turns[q.OrderKey].free(q, g.now) {
		return false
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.open > 0 && !g.set.AllowHedging || c.Effect == NonIdempotent && (q.open > 0 || q.ran != nil) ||
		c.Effect == IdempotentByKey && q.ran != nil && g.now >= q.ran.sent+c.DedupWindow {
		return false
	}
	return g.inBudget()
}

// inBudget tells whether one more further attempt is within the retry budget.
func (g *Gateway) inBudget() bool {
	s := &g.set
	if s.RetryBudgetWindow == 0 {
		return true
	}
	slack := Micros(wakeEvery * micros) // both ends of the span are read strictly
	since := g.now - s.RetryBudgetWindow
	g.taken, g.further = after(g.taken, since+slack), after(g.further, since-slack-1)
	return float64(len(g.further)+1) <= s.RetryBudgetFloor+s.RetryBudgetRatio*float64(len(g.taken))
}

// send starts an attempt at the cheapest level.
func (g *Gateway) send(q *request, e *engine) {
	c := q.class
	g.unhold(q)
	q.level, _ = g.cheapest(q)
	a := &attempt{q: q, n: len(q.attempts), e: e, sent: g.now, level: q.level,
		quiet: g.util(e) < passUtil, warm: slices.Contains(e.warm, q.TableGroup)}
	a.expect = c.service(q.est) / g.speed(e)
	a.grant = g.grant(q, e)
	g.enter(a)
	e.claimed += c.threads
	g.meanSent.add(c.threads, meanStep)
	e.trickleAt = g.now + Micros(trickleEvery*micros)
	if e.coldSince > 0 {
		e.store(q.Class, len(g.classes)).left -= g.coldCharge(c, g.coldRate(e))
	}
	e.reads(q.TableGroup, warmKeep)
	if g.set.HonorsGrants || g.set.HonorsPriority {
		g.do(Resources{ID: q.ID, MemoryMB: a.grant, Priority: levels - 1 - q.level})
	}
	s := Send{ID: q.ID, Endpoint: e.ID, Timeout: max(q.Deadline-g.guard()-g.now, 1)}
	if c.Effect == IdempotentByKey && q.ran != nil {
		s.StartBefore = q.ran.sent + c.DedupWindow
	}
	g.do(s)
}

// guard is the time before a deadline at which the final answer is given.
func (g *Gateway) guard() Micros { return Micros(2 * wakeEvery * micros) }

// grant is the memory for one attempt: estimate times learned need.
func (g *Gateway) grant(q *request, e *engine) float64 {
	if !g.set.HonorsGrants { // the engine's own choice; it takes memory all the same
		return engineGrant * q.MemoryMB
	}
	if q.MemoryMB <= 0 {
		return 0
	}
	c := q.class
	need := math.Exp(c.memory.v + c.fit.slope(firstSlope)*(math.Log(q.MemoryMB)-c.memory.v) + c.margin)
	if g.set.Shortage == ShortageSwaps { // what passes the need is not lost to others
		need *= swapMargin
	}
	if most := g.set.MaxGrantShare * e.memory; most > 0 {
		need = min(need, most)
	}
	return math.Ceil(need)
}

// pump sends what is held where there is room, most worth for its work first, or gives it up.
func (g *Gateway) pump() {
	g.pumpAt = g.now + Micros(askWait*micros)
	if len(g.held) == 0 {
		return
	}
	full := make([]bool, len(g.classes)) // no room for one is none for the heavier ones behind it
	for _, q := range g.byWorth() {
		if g.hopeless(q) {
			g.giveUp(q)
		} else if full[q.Class] && q.StickyTo == "" {
			continue
		} else if !q.admitted {
			g.admit(q)
		} else if e := g.pick(q); e != nil {
			g.send(q, e)
		}
		if q.StickyTo == "" && !q.class.LocksTables { // a queue behind one engine, or for one group, holds nobody else
			full[q.Class] = q.held && g.mayStart(q) && !g.asking(q, askWait)
		}
	}
}

// hopeless tells that a held request can earn nothing more.
func (g *Gateway) hopeless(q *request) bool {
	if q.open > 0 {
		return false
	}
	if e := g.byID[q.StickyTo]; q.StickyTo != "" && (e == nil || !g.allowed(q, e)) { // nobody else has its state
		return true
	}
	if len(q.attempts) >= g.set.MaxAttempts || q.class.Effect == NonIdempotent && q.ran != nil {
		return true
	}
	end := q.Deadline - g.guard()
	if q.class.LateWeight == 0 {
		end = min(end, q.aim)
	}
	return float64(end-g.now)/micros < q.class.service(q.est)
}

// giveUp answers at once: refused where a client's retry is harmless, else failed.
func (g *Gateway) giveUp(q *request) {
	c := q.class
	if c.Effect == Idempotent || q.ran == nil && q.open == 0 || c.Effect == IdempotentByKey && c.DedupScope == DedupFleet {
		wait := max(c.wait[q.level], c.service(q.est)) // room may be free when one like it has ended
		g.do(Shed{ID: q.ID, RetryAfter: min(Micros(wait*micros), g.set.MaxRetryAfter)})
	} else {
		g.do(Fail{ID: q.ID})
	}
	g.end(q)
}

// outcome closes an attempt, learns from it and decides what follows.
func (g *Gateway) outcome(o AttemptResult) {
	q := g.open[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].closed {
		return
	}
	a := q.attempts[o.Attempt]
	g.close(a, o.Code)
	if o.Load != nil && (a.e.loadAt == 0 || *o.Load != a.e.load) { // only a changed report is news
		g.report(a.e, *o.Load, g.now)
	}
	g.judge(a, o)
	if o.Final && !q.done {
		g.end(q)
	}
	if q.done && q.open == 0 {
		delete(g.open, q.ID)
	}
	if q.done || q.open > 0 {
		return
	}
	q.redo = false
	g.hold(q) // pump sends it again, or gives up
	g.pumpAt = g.now
}

// judge learns from an outcome: class ratios, waits, the engine's health.
func (g *Gateway) judge(a *attempt, o AttemptResult) {
	c, e, fault := a.q.class, a.e, 0.0
	switch o.Code {
	case OK:
		e.trickleAt = g.now // the next trial may follow
		took := max(float64(o.Latency)/micros, 1e-4)
		x := math.Log(took * c.threads / max(a.q.est, 1e-4))
		c.strayed(x, slowClip, quantStep)
		clipped, work := max(-slowClip, min(slowClip, x)), 0.0
		if o.WorkMicros > 0 { // it is told: the crowd is known apart from the estimate
			work = float64(o.WorkMicros) / micros
			clipped = max(-slowClip, min(slowClip, math.Log(took*c.threads/work)))
		} else if a.quiet || c.fit.n < baseFirst {
			work = a.q.est * math.Exp(min(clipped, crowdedPart*g.slack))
		}
		g.stretched(e, clipped, slowStep, slowFirst, reportFresh, crowdStep)
		g.warmed(a.warm, clipped, meanStep)
		g.meanTook.add(took, meanStep)
		g.meanStay.add(g.since(a.q.taken), meanStep)
		g.meanEarned.add(g.earns(a.q, g.now), meanStep)
		if a.q.Cost > 0 && work > 0 {
			c.fit.add(float64(a.q.Cost)/micros, work, fitStep)
		}
		g.adjust()
		wait := max(0, float64(g.now-a.q.taken)/micros-c.service(a.q.est))
		if a.spilt { // the margin settles where the wanted rank of grants suffices
			c.margin += quantStep * grantRank
		} else if a.noted {
			c.margin -= quantStep * (1 - grantRank)
		}
		c.wait[a.level] += (wait - c.wait[a.level]) * waitStep
		c.refreshed[a.level] = true
	case Rejected, Failed, ConnectionRefused, ConnectionReset: // turned away is as quick as a fault
		fault = 1
	default:
		return
	}
	e.heard, e.unanswered, e.lastFault = g.now, 0, fault > 0
	if o.Code != ConnectionRefused && o.Code != ConnectionReset {
		e.lives(a)
	}
	// It may come back cold, before the list tells. One broken connection alone may be an answer lost.
	if o.Code == ConnectionRefused || o.Code == ConnectionReset && g.since(e.resetAt) < wakeEvery {
		if e.guessed == 0 {
			e.coldWas = e.coldSince
		}
		e.coldSince, e.guessed = g.now, g.now
	}
	if o.Code == ConnectionReset {
		e.resetAt = g.now
	}
	e.faults += (fault - e.faults) * faultStep
	g.doubt(e)
}

// lives takes word on an attempt: where it was sent before its engine seemed to end, the process never did.
// It guards against networks that break single connections: each pair of them would make an engine cold for
// long.
func (e *engine) lives(a *attempt) {
	if e.guessed > a.sent {
		e.coldSince, e.guessed = e.coldWas, 0
	}
}

// doubt turns distrust on and off by the share of faults, ours and peers' word, over what is usual in the
// fleet: faults that all engines have are none of theirs (a bad network), and nothing better is left to
// send to.
func (g *Gateway) doubt(e *engine) {
	if !e.suspect && e.faults > faultHigh+g.all.faults {
		g.distrust(e, "faults")
	} else if e.suspect && e.faults < faultLow+g.all.faults {
		e.suspect = false
		g.note("trust %s again", e.ID)
	}
}

// distrust keeps all but a trickle from an engine that fails fast (and looks idle), hangs or vanishes.
func (g *Gateway) distrust(e *engine, why string) {
	e.suspect, e.trickleAt = true, g.now+Micros(trickleEvery*micros)
	g.note("distrust %s: %s", e.ID, why)
}

// probed takes a probe's report; what waited for it is chosen at once.
func (g *Gateway) probed(p HealthCheckResult) {
	e := g.byID[p.Endpoint]
	if e == nil {
		return
	}
	if e.asked, g.pumpAt = false, g.now; p.Code == OK && p.Load != nil {
		g.report(e, *p.Load, g.now)
	}
}

// tell tells one peer, in turn, the freshest of what is known of the engines, ours
// or passed on, and what we have there. Its rate is tied to own traffic.
func (g *Gateway) tell() {
	others := g.set.Peers - 1
	gap := max(tellEvery/float64(others), 1/max(tellShare*g.rate, 1/priceEvery))
	g.tellAt = g.now + Micros(gap*micros)
	// Each peer in turn, from a place by chance: else all gateways tell the same one.
	g.tellTo = (g.tellTo + 1 + others) % others
	g.do(SendGossip{To: (g.set.PeerIndex + 1 + g.tellTo) % g.set.Peers, Data: encode(g.rates(), g.rows(reportFresh))})
}

// heard takes a peer's word. What does not parse is skipped; only what is fresher
// than our own knowledge counts, and slowness and faults only in part.
func (g *Gateway) heard(h GossipReceived) {
	if h.From < 0 || h.From >= g.set.Peers || h.From == g.set.PeerIndex {
		return
	}
	rates, rows, ok := decode(h.Data, len(g.tenants)+1)
	if !ok {
		return
	}
	g.mix(rates, wordMerge)
	g.own(h.From, rows)
	for _, r := range rows {
		e := g.byKey[r.key]
		if e == nil {
			continue
		}
		at := g.now - r.age
		if r.group > 0 {
			e.loads[r.group] = max(at, e.loads[r.group])
		}
		if r.util >= 0 && at > e.loadAt {
			g.report(e, Load{Util: r.util, InFlight: r.held, Queue: -1, Memory: r.memory, Disk: -1}, at)
		}
		if at > e.heard && at > e.coldSince {
			e.heard, e.unanswered, e.lastFault = at, 0, r.fault
			e.faults -= e.faults * faultStep
			if r.fault {
				e.faults += faultStep
			} else {
				x, step := max(-slowClip, min(slowClip, r.stretch)), crowdStep/float64(len(rows))
				g.stretched(e, x, slowStep, slowFirst, reportFresh, step)
				g.adjust()
			}
			g.doubt(e)
		}
	}
}

// adjust narrows the room of all engines in a crowd, on cores, disks or memory, and widens
// it in full use. One gateway of many seldom hears of one engine; see speed for that.
func (g *Gateway) adjust() {
	if g.since(g.roomAt) < roomEvery {
		return
	}
	if g.roomAt = g.now; g.crowd.v > crowdedPart*g.slack {
		g.room = max(g.room*roomDown, roomLeast)
	} else if g.crowd.v < widenPart*g.slack && g.all.busy > g.room/2 {
		most := threadsACore + (threadsMost-threadsACore)*g.all.covered // less where others are guessed
		g.room = min(g.room/roomDown, most)
	}
}

// callOff cancels an attempt, where that is allowed.
func (g *Gateway) callOff(a *attempt) bool {
	if a.closed || a.called || !g.set.CanCancel || a.q.streamed {
		return false
	}
	a.called = true
	g.do(Cancel{ID: a.q.ID, Attempt: a.n})
	return true
}

// loading tells that a load holds a group on an engine: ours, or by a note or a
// peer's word of late. It guards against queries that stand still.
func (g *Gateway) loading(e *engine, tables int64) bool {
	if e.ownLoad(tables) {
		return true
	}
	at := e.loads[groupOf(tables)]
	return at > 0 && g.since(at) < wordFresh
}

// list keeps up with the engine list.
func (g *Gateway) list(l EndpointUpdate) {
	if l.Failed {
		g.askAt = min(g.askAt, g.now+Micros(askEvery*micros))
	}
	g.missing(l)
	for _, r := range l.Endpoints {
		e := g.byID[r.ID]
		if e == nil {
			e = g.meet(r)
			e.coldSince, e.slow = r.Started, g.crowd.v
			g.recall(e)
		} else if r.Started != e.Started { // restarted: nothing learned holds any more
			e.coldSince, e.suspect, e.warm = max(r.Started, e.coldSince), false, nil
			e.faults, e.slow, e.guessed = 0, g.crowd.v, 0
		}
		if r.State == Draining && e.State != Draining {
			e.drainBy = g.now + g.set.DrainGrace - g.guard()
		}
		e.Endpoint = r
	}
	g.sortEngines()
	g.survey(wordFresh, reportFresh, 1)
}

// watch looks at all that is open: deadlines, overdue attempts, silent engines.
func (g *Gateway) watch() {
	keep := math.Pow(forget, wakeEvery)
	g.meanOpen += (g.ownOpen() - g.meanOpen) * (1 - keep)
	g.survey(wordFresh, reportFresh, keep)
	g.all.excess = g.excess(g.all.busy / max(g.all.excess, 1))
	if g.since(g.priced) >= priceEvery {
		g.reprice()
		g.priced = g.now
	}
	if g.set.PollEndpoints && g.now >= g.askAt { // a failed call may have ended the subscription
		g.askAt = g.now + max(g.set.MaxPollInterval/4, Micros(askEvery*micros))
		g.do(WatchEndpoints{})
	}
	if g.set.CanGossip && g.set.Peers > 1 && g.now >= g.tellAt {
		g.tell()
	}
	for _, e := range g.engines {
		g.silent(e)
	}
	g.door = g.doorPrice(g.heldNow())
	for _, q := range g.live {
		if q.done || q.streamed {
			continue
		}
		if g.now >= q.Deadline-g.guard() || g.overstays(q) {
			g.giveUp(q)
			continue
		}
		for _, a := range q.attempts {
			if !a.closed && !a.called && !q.done {
				g.overdue(a)
			}
		}
	}
	g.live = slices.DeleteFunc(g.live, func(q *request) bool { return q.done && q.open == 0 })
}

// silent distrusts an engine whose open attempts are all far past expectation, or
// that owes notes on one. Where peers talk, silence is longer than their usual word.
func (g *Gateway) silent(e *engine) {
	if e.suspect || g.since(e.heard) < silentFloor+silentAges*g.all.age*float64(min(1, len(g.peers))) {
		return
	}
	overdue := e.unanswered
	for _, a := range e.open {
		if age := g.since(a.sent); !a.standing && age > silentFloor && a.sent >= e.heard {
			overdue += math.Floor(min(age/(silentTimes*a.expect), 2))
		}
	}
	if overdue >= 2 || g.owesNotes(e) { // two attempts, or one very old: one alone may be a bad plan
		e.faults = faultHigh
		g.distrust(e, "silent")
	}
}

// owesNotes tells that notes on an attempt have stopped: a hung engine sends none.
func (g *Gateway) owesNotes(e *engine) bool {
	return g.set.ProgressInterval > 0 && slices.ContainsFunc(e.open, func(a *attempt) bool {
		return g.now-max(a.sent, a.notedAt) > Micros(notesMissed*float64(g.set.ProgressInterval))
	})
}

// overdue answers a bad plan or a dead engine: a restart elsewhere while it can
// still earn the worth and the budget lasts. Estimates stray, and a restart does not
// make a query shorter: what an attempt called off had shown is what the next may take.
func (g *Gateway) overdue(a *attempt) {
	age, q, c := g.since(a.sent), a.q, a.q.class
	lost := a.e.suspect && age > silentFloor && age > silentTimes*a.expect
	expect := max(q.est/c.threads*math.Exp(max(a.e.slow, g.crowd.v, c.ratio.v, 0)), q.seen)
	left := float64(q.Deadline-g.guard()-g.now) / micros
	took, bad := age, age > max(silentTimes, math.Exp(strayTimes*c.stray))*expect
	if a.total > 0 && age <= silentTimes*a.total { // a note that time has proven wrong holds no longer
		took, bad = a.total, a.total > silentTimes*expect && a.total-age > planGain*expect
		if !bad && a.total-age > planGain*left && g.set.CanCancel { // at its pace it earns nothing any more
			g.giveUp(q)
			return
		}
	}
	if !lost && (!bad || age < planFloor) || a.standing {
		return
	}
	enough := len(q.attempts) >= g.set.MaxAttempts || c.Effect == NonIdempotent || !g.inBudget()
	if !enough && !q.redo && left >= c.service(q.est) && g.callOff(a) {
		q.redo = true
		// It would have taken longer still: else a crowd is learned from its quick answers alone.
		x := math.Log(age * c.threads / max(q.est, 1e-4))
		c.strayed(x, slowClip, quantStep)
		g.stretched(a.e, max(0, min(slowClip, x)), slowStep, slowFirst, reportFresh, crowdStep)
		if bad && !lost {
			q.seen = took * seenPart
		}
		if a.sent >= a.e.heard { // a restart must not hide that nothing comes from there
			a.e.unanswered++
		}
	}
}

// reprice recomputes the tolls from what was admitted and how long it waited.
func (g *Gateway) reprice() {
	span := max(g.since(g.priced), 1e-3)
	g.inBudget() // what is older than the budget's span is forgotten, also while nothing is tried again
	g.tally(span, rateStep)
	if len(g.peers) > 0 {
		g.part = g.rate / max(g.meanRate*float64(g.set.Peers), g.rate, 1e-9)
	} else if demand := g.rate * g.meanTook.v * g.meanSent.v; demand > 0 && g.all.heard {
		g.part = demand / max(g.all.threads/max(g.all.excess, 1), demand)
	}
	if n := g.ownOpen(); n > 0 { // of those in flight: heavy ones stay longer
		g.meanThreads += (g.ownThreads()/n - g.meanThreads) * min(1, n*meanStep)
		g.meanMB += (g.ownMB()/g.ownThreads() - g.meanMB) * min(1, n*meanStep)
	}
	g.slack = g.patience()
	share := g.shareCores()
	var lost [levels]float64 // delay cost that a second more of wait at a level adds, times that wait
	for i := range g.classes {
		c := &g.classes[i]
		for k := range levels {
			c.rate[k] += (c.admitted[k]/span - c.rate[k]) * rateStep
			if c.admitted[k] = 0; !c.refreshed[k] {
				c.wait[k] /= 2
			}
			c.refreshed[k] = false
			lost[k] += c.delayCost() * c.rate[k] * c.wait[k]
		}
	}
	for i := range g.classes {
		c := &g.classes[i]
		for k := range levels {
			var r, above float64
			for h := range levels {
				above += g.threads[h]
				if h >= k {
					r += c.typical() / share * lost[h] / (1 - min(above/share, crowdCap))
				}
			}
			c.price[k] = priceStep*r + (1-priceStep)*c.price[k]
		}
	}
	if g.since(g.roomAt) > priceEvery && g.ownOpen() == 0 { // else a narrow room lets no answer come again
		g.crowd.v, g.room = g.crowd.v*forget, threadsACore+(g.room-threadsACore)*forget
	}
	for _, e := range g.engines {
		if g.since(e.heard) > reportFresh { // what is not heard of becomes average
			e.slow = g.crowd.v + (e.slow-g.crowd.v)*forget
		}
		if g.since(e.newsAt) > priceEvery {
			e.newsAt, e.claimed, e.ticket = g.now, 0, g.rng.Float64()
		}
	}
}
