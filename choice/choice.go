// Package choice decides for a gateway that keeps short and long queries apart
// on shared engines: admission, priority level, engine, memory grant, further
// attempts. Its types, events and actions are in choice/api.go; every decision,
// table and tuned value is in this file. The ordinary path is priority pricing
// after Konana et al.: see docs/design.md for what was kept and what was added.
//
// A request meets the functions below in their order: take, cheapest, passes,
// pick, send, outcome; the watch over open attempts and the prices come last.
package choice

import (
	"fmt"
	"maps"
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
	utilHigh     = 0.97 // utilisation above which no room is widened: cores are all taken
	memoryHigh   = 0.95 // share of memory granted above which nothing more is sent
	crowded      = 1.1  // log stretch over uncrowded answers above which a room narrows: work is lost
	uncrowded    = 0.8  // log stretch below which a room in full use widens
	roomDown     = 0.9  // factor of narrowing, gentle since reports are late
	roomUp       = 1.0  // threads of widening
	roomEvery    = 0.2  // seconds between two changes of one room: a report must have come
	lightRoom    = 1.3  // light queries may fill the room this much further: they leave soon
	reportFresh  = 2.0  // seconds for which a load report is believed
	quantStep    = 0.03 // least step of a learned quantile, in log units
	meanStep     = 0.02 // weight of one query in a mean cost
	fitStep      = 0.01 // least weight of one answer in the fit of work to estimate: the last hundred or so
	firstSlope   = 0.5  // slope of the fit at first: half of what a rough estimate says is believed
	baseFirst    = 20   // answers of a class from which its fit is learned whatever the crowd
	coldStretch  = 0.5  // part of the ramp credited to a cold engine: its shape is not told
	coldSafety   = 0.6  // part of the cold budget used: chance, and peers with more traffic
	fullUtil     = 0.85 // utilisation at which an engine counts as at capacity
	faultStep    = 0.25 // weight of one outcome in an engine's fault share: two in a row are a pattern
	faultHigh    = 0.4  // fault share that makes an engine suspect
	faultLow     = 0.1  // fault share at which it is trusted again
	trickleEvery = 0.5  // seconds between trial sends to a suspect engine
	silentTimes  = 3.0  // an attempt this far past its expectation is overdue
	silentFloor  = 0.6  // seconds of silence below which overdue attempts prove nothing (pauses)
	planTimes    = 3.0  // an attempt this far past its expectation is taken for a bad plan
	passTimes    = 4.0  // a query this far over its class's mean is no use for a free core: it stays
	planFloor    = 0.3  // seconds below which no attempt is judged
	slowStep     = 0.15 // weight of one answer in an engine's stretch
	slowSlack    = 0.4  // log stretch over the fleet's that is scatter
	slowClip     = 2.5  // most that one answer counts, in log units: bad plans are not the engine's
	speedFloor   = 0.1  // least speed credited to a slow engine, so that it is seen to recover
	drawPower    = 2.0  // sharpness of the draw against utilisation
	drawFloor    = 0.03 // least share of room in the draw
	homeZone     = 4.0  // weight of engines in the gateway's own zone
	heldTables   = 0.1  // weight of an engine where a load holds the group, for classes that wait
	grantMargin  = 1.75 // first memory grant over the fitted estimate: it may lie low, and a spill costs more
	blindMargin  = 2.5  // the same where no notes tell of spills: nothing would correct it
	swapMargin   = 4.0  // further margin where engines swap: only the lesser of grant and need counts
	grantRank    = 0.85 // share of attempts whose grant is to cover their need
	warmKeep     = 4    // groups of tables taken to be warm on an engine
	warmStep     = 0.02 // weight of one answer in what warmth is seen to save
	warmSlack    = 0.1  // log saving below which warmth is taken for scatter
	warmSharp    = 2.0  // power of the time saved by warmth in the draw
	tellEvery    = 0.25 // seconds between messages to peers; more than tellPeers of them, more rarely
	tellPeers    = 4
	tellFresh    = 4   // messages that may be lost before a peer's word is forgotten
	askEvery     = 1.0 // least seconds between two calls for the engine list
	noteEvery    = 1.0 // seconds between two log lines
	micros       = 1e6 // microseconds in a second
)

// New returns a gateway, or an error that names the unusable setting.
func New(seed uint64, s Settings) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byID: map[string]*engine{}, open: map[string]*request{}, turns: map[int64]*turn{}}
	for _, c := range s.Classes {
		margin := math.Log(grantMargin)
		if s.ProgressEvery == 0 {
			margin = math.Log(blindMargin)
		}
		g.classes = append(g.classes, class{Class: c, threads: float64(max(c.Threads, 1)), margin: margin})
	}
	for _, t := range s.Tenants {
		g.tenants = append(g.tenants, tenant{allowance: t.Allowance})
	}
	return g, nil
}

// Step takes what happened at one moment and returns what to do, in order.
func (g *Gateway) Step(now Micros, events []Event) []Action {
	g.now, g.out = now, nil
	if !g.begun {
		g.begun, g.priced = true, now
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Engines:
			g.list(ev)
		case Request:
			g.take(ev)
		case Outcome:
			g.outcome(ev)
		case Progress:
			g.progress(ev)
		case Probed:
			g.probed(ev)
		case Heard:
			g.heard(ev)
		case First:
			if q := g.open[ev.ID]; q != nil {
				q.streamed = true
			}
		case Left:
			if q := g.open[ev.ID]; q != nil && !q.done {
				g.end(q)
			}
		}
	}
	if now >= g.wakeAt {
		g.watch()
		g.wakeAt = now + Micros(wakeEvery*micros)
		g.do(Wake{After: Micros(wakeEvery * micros)})
	}
	g.pump()
	return g.out
}

// note writes a log line, rarely.
func (g *Gateway) note(format string, args ...any) {
	if g.noted == 0 || g.since(g.noted) >= noteEvery {
		g.noted = g.now
		g.do(Note{fmt.Sprintf(format, args...)})
	}
}

// take owns a request and admits, holds or refuses it.
func (g *Gateway) take(r Request) {
	if g.open[r.ID] != nil || r.Class < 0 || r.Class >= len(g.classes) {
		return
	}
	c := &g.classes[r.Class]
	q := &request{Request: r, class: c, taken: g.now}
	g.open[r.ID] = q
	g.live = append(g.live, q)
	g.taken = append(g.taken, g.now)
	if r.Tenant >= 0 && r.Tenant < len(g.tenants) {
		g.tenants[r.Tenant].count++
	}
	if r.Cost > 0 {
		c.asked.add(math.Log(float64(r.Cost)/micros), 0.5, quantStep)
	}
	q.est = c.fit.at(float64(r.Cost)/micros, c.asked.v, firstSlope)
	if r.Cost <= 0 { // a missing estimate is never zero work
		q.est = c.typical()
	}
	if r.MemoryMB > 0 {
		c.memory.add(math.Log(r.MemoryMB), 0.5, quantStep)
	}
	mean(&c.mean, q.est, meanStep)
	mean(&g.meanCost, q.est, meanStep)
	q.worth = g.worthOf(q)
	q.aim = g.now + c.Aim + Micros(c.AimStretch*q.est/c.threads*micros)
	g.join(q)
	level, net := g.cheapest(q)
	q.level = level
	e := g.pick(q)
	if net < 0 && !g.passes(q, e) {
		g.giveUp(q)
		return
	}
	c.admitted[level]++
	if e != nil {
		g.send(q, e)
		return
	}
	g.hold(q)
}

// typical is the class's mean estimate, or a guess from its aim.
func (c *class) typical() float64 {
	if c.mean > 0 {
		return c.mean
	}
	return max(float64(c.Aim), 1) / micros / 4 * c.threads
}

// service is the learned time of a query, alone and at the usual crowd.
func (c *class) service(est float64) float64 { return est * math.Exp(c.ratio.v) / c.threads }

func (c *class) delayCost() float64 { return c.Worth / (float64(c.Deadline) / micros) }

// worthOf is what serving the request in time earns. A tenant beyond its share
// earns less; which of its requests are beyond is not known, so all share it.
func (g *Gateway) worthOf(q *request) float64 {
	w := q.class.Worth
	if g.set.CountByWork {
		w *= q.est / q.class.typical()
	}
	if q.Tenant < 0 || q.Tenant >= len(g.tenants) {
		return w
	}
	var total, allowed float64
	for _, t := range g.tenants {
		total += t.rate
		allowed += t.allowance
	}
	t := &g.tenants[q.Tenant]
	mine, rate := t.allowance, t.rate
	for _, p := range g.peers {
		if g.freshPeer(p) {
			rate += p.rates[q.Tenant]
		}
	}
	if g.peers == nil { // peers' traffic is unseen: our part is at least an equal one
		mine *= max(1/float64(g.set.Peers), min(1, total/max(allowed, 1e-9)))
	}
	if t.allowance <= 0 || rate <= mine {
		return w
	}
	inside := mine / rate
	return w * (inside + (1-inside)*g.set.OverShareWorth)
}

// cheapest finds the level of least delay cost plus toll, and the net worth there.
func (g *Gateway) cheapest(q *request) (level int, net float64) {
	c, best := q.class, math.Inf(1)
	scale := q.est / c.typical()
	for k := range levels {
		cost := c.delayCost()*(c.wait[k]+c.service(q.est)) + c.price[k]*scale
		if cost < best || cost == best && k == g.plain(q) {
			level, best = k, cost
		}
	}
	return level, q.worth - best
}

// plain is the level taken while prices and waits tell no difference.
func (g *Gateway) plain(q *request) int {
	if q.est > g.meanCost {
		return 2
	}
	return 1
}

// passes is the free-core pass.
func (g *Gateway) passes(q *request, e *engine) bool {
	tau := q.class.wait[q.level] + q.class.service(q.est)
	if tau > float64(q.Due-g.now)/micros || q.est > passTimes*q.class.typical() {
		return false
	}
	var own float64
	for _, t := range g.threads {
		own += t
	}
	return own+q.class.threads <= g.shareCores() || e != nil && g.util(e) < passUtil
}

// shareCores is this gateway's share of the told cores: our part of all that is
// out where peers talk, an equal one among those that do, else among all. A peer
// that falls silent has no share: after a loss of gateways the rest take it over.
func (g *Gateway) shareCores() float64 {
	var cores, own, all float64
	for _, e := range g.engines {
		if e.State == Healthy {
			threads, _ := g.others(e)
			cores, own, all = cores+e.cores, own+e.threads, all+e.threads+threads
		}
	}
	part := 1 / float64(g.set.Peers)
	if g.peers != nil {
		part = max(1/float64(g.talking()), own/max(all, 1))
	}
	return max(cores*part, 1)
}

// util is an engine's utilisation: reported plus own sends since, else own
// threads over our share of it. Unheard engines count as average in the draw.
func (g *Gateway) util(e *engine) float64 {
	if e.loadAt > 0 && e.load.Util >= 0 && g.since(e.loadAt) < reportFresh {
		return e.load.Util + e.newThreads/e.cores
	}
	return e.threads * float64(g.set.Peers) / e.cores
}

// speed is an engine's speed against the fleet's, as seen in answers. It
// guards against engines that slow down, whatever the cause: a neighbour
// program, a failing disk, a crowd sent by others.
func (g *Gateway) speed(e *engine) float64 {
	var sum, n float64
	for _, o := range g.engines {
		if o.slowN > 0 {
			sum += o.slow
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(1, max(speedFloor, math.Exp(sum/n+slowSlack-e.slow)))
}

// pick draws an engine among those allowed that have room; nil if there is none.
func (g *Gateway) pick(q *request) *engine {
	if !g.mayStart(q) {
		return nil
	}
	trusted := 0
	for _, e := range g.engines {
		if e.State == Healthy && !e.suspect {
			trusted++
		}
	}
	ignore := trusted*2 < len(g.engines) // when most look bad, the fault is elsewhere
	var weights []float64
	var total float64
	for _, e := range g.engines {
		w := 0.0
		if g.allowed(q, e) && g.hasRoom(q, e) && g.coldRoom(q, e) {
			w = g.weight(q, e)
			if e.suspect && !ignore && !g.trickle(q, e) {
				w = 0
			}
		}
		weights = append(weights, w)
		total += w
	}
	if total <= 0 {
		return nil
	}
	x := g.rng.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 && w > 0 {
			return g.engines[i]
		}
	}
	return nil
}

// weight is an engine's weight in the draw.
func (g *Gateway) weight(q *request, e *engine) float64 {
	w := math.Pow(max(drawFloor, 1-g.util(e)/threadsMost), drawPower) * e.cores * math.Pow(g.speed(e), 2)
	if e.Zone == g.set.Zone {
		w *= homeZone
	}
	if slices.Contains(e.warm, q.Tables) {
		w *= math.Exp(warmSharp * max(0, g.stretch[0]-g.stretch[1]-warmSlack))
	}
	if q.class.Waits || q.class.Loads {
		if g.loading(e, q.Tables) {
			w *= heldTables
		}
	}
	for _, a := range q.attempts { // another try goes elsewhere if it can
		if a.e == e {
			w *= drawFloor
		}
	}
	return w
}

// allowed keeps placement, drains and the groups of keyed requests.
func (g *Gateway) allowed(q *request, e *engine) bool {
	c := q.class
	if e.State != Healthy || c.Zones != nil && !slices.Contains(c.Zones, e.Zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		return false
	}
	if c.Effect == Keyed && q.ran != nil {
		switch c.Group {
		case GroupZone:
			return e.Zone == q.ran.e.Zone
		case GroupCell:
			return e.Cell == q.ran.e.Cell
		}
	}
	return true
}

// hasRoom keeps an engine below the crowd at which all work there slows.
func (g *Gateway) hasRoom(q *request, e *engine) bool {
	room := e.room * g.speed(e)
	if q.est < g.meanCost {
		room *= lightRoom
	}
	if e.load.Memory > 0 && e.memory > 0 && e.load.Memory+(e.newGrants+g.grant(q, e))/e.memory > memoryHigh {
		return false
	}
	threads, granted := g.others(e)
	if e.threads == 0 && threads < room {
		return true
	}
	granted += e.granted + g.grant(q, e)
	if g.set.Shortage != ShortSwap && e.memory > 0 && e.granted > 0 && granted > memoryHigh*e.memory {
		return false
	}
	return e.threads+threads+q.class.threads <= room
}

// coldRoom keeps this gateway's part of what a cold engine can bear.
func (g *Gateway) coldRoom(q *request, e *engine) bool {
	if e.coldSince == 0 || g.set.ColdFor == 0 || g.set.FallMultiple == 0 {
		return true
	}
	age := float64(g.now-e.coldSince) / float64(g.set.ColdFor)
	if age >= 1 {
		e.coldSince, e.coldSends = 0, nil
		return true
	}
	share := g.set.ColdFrom + (1-g.set.ColdFrom)*max(age, 0)*coldStretch
	span := float64(g.set.FallFor) / micros
	budget := coldSafety * g.set.FallMultiple * share * fullUtil * e.cores * span / float64(g.set.Peers)
	work := q.class.typical()
	for _, s := range e.coldSends {
		if g.since(s.at) <= span {
			work += s.work
		}
	}
	return work <= budget
}

// trickle lets a light query that may be repeated try a suspect engine.
func (g *Gateway) trickle(q *request, e *engine) bool {
	return g.now >= e.trickleAt && len(q.attempts) == 0 && q.class.Effect != Unsafe &&
		q.est <= g.meanCost
}

// mayStart tells whether another attempt of the request is within the rules now.
func (g *Gateway) mayStart(q *request) bool {
	c := q.class
	if q.done || q.streamed || len(q.attempts) >= g.set.MaxAttempts {
		return false
	}
	if c.InTurn && q.HasKey {
		t := g.turns[q.Key]
		if t.queue[0] != q || t.open > q.open || g.now < t.rest && len(q.attempts) == 0 {
			return false
		}
	}
	if len(q.attempts) == 0 {
		return true
	}
	if q.open > 0 && !g.set.SecondCopies || c.Effect == Unsafe && (q.open > 0 || q.ran != nil) {
		return false
	}
	if c.Effect == Keyed && q.ran != nil && g.now >= q.ran.sent+c.Window {
		return false
	}
	return g.inBudget()
}

// inBudget tells whether one more further attempt is within the retry budget.
func (g *Gateway) inBudget() bool {
	s := &g.set
	if s.BudgetSpan == 0 {
		return true
	}
	slack := Micros(wakeEvery * micros) // both ends of the span are read strictly
	for len(g.taken) > 0 && g.now-g.taken[0] >= s.BudgetSpan-slack {
		g.taken = g.taken[1:]
	}
	for len(g.further) > 0 && g.now-g.further[0] > s.BudgetSpan+slack {
		g.further = g.further[1:]
	}
	return float64(len(g.further)+1) <= s.BudgetFree+s.BudgetShare*float64(len(g.taken))
}

// send starts an attempt at the cheapest level.
func (g *Gateway) send(q *request, e *engine) {
	c := q.class
	g.unhold(q)
	q.level, _ = g.cheapest(q)
	a := &attempt{q: q, n: len(q.attempts), e: e, sent: g.now, level: q.level, fresh: true,
		quiet: g.util(e) < passUtil, warm: slices.Contains(e.warm, q.Tables)}
	a.expect = c.service(q.est) / g.speed(e) * (1 + q.restarts)
	a.grant = g.grant(q, e)
	g.enter(a)
	mean(&g.meanThreads, c.threads, meanStep)
	if e.suspect {
		e.trickleAt = g.now + Micros(trickleEvery*micros)
	}
	if e.coldSince != 0 {
		e.coldSends = append(e.coldSends, coldSend{g.now, c.typical()})
	}
	e.warm = slices.DeleteFunc(e.warm, func(t int64) bool { return t == q.Tables })
	e.warm = slices.Insert(e.warm, 0, q.Tables)
	e.warm = e.warm[:min(len(e.warm), warmKeep)]
	if g.set.GrantsCount || g.set.PriorityCount {
		g.do(Terms{ID: q.ID, MemoryMB: a.grant, Priority: levels - 1 - q.level})
	}
	g.do(Send{ID: q.ID, Engine: e.ID, Timeout: max(q.Due-g.guard()-g.now, 1)})
}

// guard is the time before a deadline at which the final answer is given.
func (g *Gateway) guard() Micros { return Micros(2 * wakeEvery * micros) }

// grant is the memory for one attempt: estimate times learned need.
func (g *Gateway) grant(q *request, e *engine) float64 {
	if !g.set.GrantsCount || q.MemoryMB <= 0 {
		return 0
	}
	c := q.class
	need := math.Exp(c.memory.v + c.fit.slope(firstSlope)*(math.Log(q.MemoryMB)-c.memory.v) + c.margin)
	if g.set.Shortage == ShortSwap { // what passes the need is not lost to others
		need *= swapMargin
	}
	if g.set.MaxGrantShare > 0 && e.memory > 0 {
		need = min(need, g.set.MaxGrantShare*e.memory)
	}
	return math.Ceil(need)
}

// pump sends what is held where there is room, most worth for its work first,
// and gives up on what can no longer earn its worth.
func (g *Gateway) pump() {
	if len(g.held) == 0 {
		return
	}
	queue := slices.Clone(g.held)
	slices.SortStableFunc(queue, func(a, b *request) int {
		x, y := a.worth/a.est, b.worth/b.est
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, q := range queue {
		if g.hopeless(q) {
			g.giveUp(q)
		} else if e := g.pick(q); e != nil {
			g.send(q, e)
		}
	}
}

// hopeless tells that a held request can earn nothing more.
func (g *Gateway) hopeless(q *request) bool {
	if q.open > 0 {
		return false
	}
	if len(q.attempts) >= g.set.MaxAttempts || q.class.Effect == Unsafe && q.ran != nil {
		return true
	}
	end := q.Due - g.guard()
	if q.class.LateWorth == 0 {
		end = min(end, q.aim)
	}
	return float64(end-g.now)/micros < q.class.service(q.est)
}

// giveUp answers at once: refused where a client's retry is harmless, else failed.
func (g *Gateway) giveUp(q *request) {
	c := q.class
	harmless := c.Effect == Safe || q.ran == nil && q.open == 0 || c.Effect == Keyed && c.Group == GroupAll
	if !harmless {
		g.do(Fail{ID: q.ID})
	} else {
		back := Micros(c.wait[q.level] * micros)
		g.do(Refuse{ID: q.ID, ComeBack: min(max(back, 0), g.set.MaxComeBack)})
	}
	g.end(q)
}

// end forgets a request; what is still out is called off.
func (g *Gateway) end(q *request) {
	q.done = true
	g.unhold(q)
	for _, a := range q.attempts {
		g.callOff(a)
	}
	g.leave(q)
	if q.open == 0 {
		delete(g.open, q.ID)
	}
}

// outcome closes an attempt, learns from it and decides what follows.
func (g *Gateway) outcome(o Outcome) {
	q := g.open[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].closed {
		return
	}
	a := q.attempts[o.Attempt]
	g.close(a, o.Code)
	g.hear(a.e, o.Load)
	g.judge(a, o)
	if q.done || o.Over {
		if o.Over && !q.done {
			g.end(q)
		}
		if q.open == 0 {
			delete(g.open, q.ID)
		}
		return
	}
	if q.open > 0 {
		return
	}
	q.redo = false
	g.hold(q) // pump sends it again, or gives up
}

// judge learns from an outcome: class ratios, waits, the engine's health.
func (g *Gateway) judge(a *attempt, o Outcome) {
	c, e, fault := a.q.class, a.e, 0.0
	switch o.Code {
	case OK:
		e.trickleAt = g.now // the next trial may follow
		took := max(float64(o.Took)/micros, 1e-4)
		x := math.Log(took * c.threads / max(a.q.est, 1e-4))
		e.slow += (max(-slowClip, min(slowClip, x)) - e.slow) * slowStep
		e.slowN++
		warm := &g.stretch[0]
		if a.warm {
			warm = &g.stretch[1]
		}
		*warm += (max(-slowClip, min(slowClip, x)) - *warm) * warmStep
		c.ratio.add(x, 0.5, quantStep)
		if a.q.Cost > 0 && (a.quiet || c.fit.n < baseFirst) {
			c.fit.add(float64(a.q.Cost)/micros, a.q.est*math.Exp(max(-slowClip, min(slowClip, x))), fitStep)
		}
		g.adjust(e)
		wait := max(0, float64(g.now-a.q.taken)/micros-c.service(a.q.est))
		if a.spilt { // the margin settles where the wanted rank of grants suffices
			c.margin += quantStep * grantRank
		} else if a.noted {
			c.margin -= quantStep * (1 - grantRank)
		}
		c.wait[a.level] += (wait - c.wait[a.level]) * waitStep
		c.refreshed[a.level] = true
	case Full: // turned away: a sign of a crowd, and as quick as a fault
		e.room, e.roomAt, fault = max(e.room*roomDown, g.leastRoom()), g.now, 1
	case Failed, Refused, Reset:
		fault = 1
	default:
		return
	}
	e.heard, e.unanswered = g.now, 0
	if o.Code == Refused || o.Code == Reset { // it may come back cold, before the list tells
		e.coldSince = g.now
	}
	e.faults += (fault - e.faults) * faultStep
	if !e.suspect && e.faults > faultHigh {
		g.distrust(e, "faults")
	} else if e.suspect && e.faults < faultLow {
		e.suspect = false
		g.note("trust %s again", e.ID)
	}
}

// distrust keeps all but a trickle from an engine. It guards against engines
// that fail fast (which look idle), hang, vanish or drop connections.
func (g *Gateway) distrust(e *engine, why string) {
	e.suspect, e.trickleAt = true, g.now+Micros(trickleEvery*micros)
	g.note("distrust %s: %s", e.ID, why)
}

// hear takes a load report. Only a changed report is news.
func (g *Gateway) hear(e *engine, l *Load) {
	if l == nil || e.loadAt > 0 && *l == e.load {
		return
	}
	e.load, e.loadAt, e.newThreads, e.newGrants = *l, g.now, 0, 0
	for _, a := range e.open {
		a.fresh = false
	}
}

// adjust narrows the room of a crowded engine and widens a room in full use.
// Answers tell of any crowd: on cores, disks or memory, sent by us or others.
func (g *Gateway) adjust(e *engine) {
	if g.since(e.roomAt) < roomEvery {
		return
	}
	others, _ := g.others(e)
	if e.slow > crowded {
		e.room, e.roomAt = max(e.room*roomDown, g.leastRoom()), g.now
	} else if e.slow < uncrowded && e.load.Util < utilHigh && e.threads+others > e.room/2 {
		e.room, e.roomAt = min(e.room+roomUp, threadsMost*e.cores), g.now
	}
}

// leastRoom lets any one query in.
func (g *Gateway) leastRoom() float64 {
	least := 1.0
	for i := range g.classes {
		least = max(least, g.classes[i].threads)
	}
	return least
}

// progress learns from notes: projected time, memory missing, waits.
func (g *Gateway) progress(p Progress) {
	q := g.open[p.ID]
	if q == nil || p.Attempt < 0 || p.Attempt >= len(q.attempts) || q.attempts[p.Attempt].closed {
		return
	}
	a := q.attempts[p.Attempt]
	switch p.Kind {
	case ShareDone:
		a.standing, a.noted = false, true
		if p.Value > 0 {
			a.total = g.since(a.sent) / min(p.Value, 1)
		}
	case Spills:
		a.spilt = true
	default:
		a.standing = true
		if p.Kind == WaitsLoad { // somebody's load holds the group there
			a.e.blocked, a.e.blockedAt = q.Tables, g.now
		}
	}
}

// tellSpan is the time between messages to peers, in seconds.
func (g *Gateway) tellSpan() float64 { return tellEvery * max(1, float64(g.set.Peers)/tellPeers) }

// list keeps up with the engine list.
func (g *Gateway) list(l Engines) {
	if l.Failed {
		g.askAt = min(g.askAt, g.now+Micros(askEvery*micros))
	}
	if l.Whole {
		for _, e := range g.engines {
			if !slices.ContainsFunc(l.Rows, func(r Engine) bool { return r.ID == e.ID }) {
				e.State = Gone
			}
		}
	}
	for _, r := range l.Rows {
		e := g.byID[r.ID]
		if e == nil {
			e = &engine{Engine: r, cores: 1, heard: g.now}
			if r.Kind >= 0 && r.Kind < len(g.set.Kinds) {
				e.cores = float64(max(g.set.Kinds[r.Kind].Cores, 1))
				e.memory = g.set.Kinds[r.Kind].MemoryMB
			}
			e.room = threadsACore * e.cores
			if !g.set.CanTell { // others' threads stay unseen
				e.room = max(e.room/float64(g.set.Peers), g.leastRoom())
			}
			e.coldSince = r.Started
			e.key = hash(r.ID)
			g.byID[r.ID] = e
		} else if r.Started != e.Started { // restarted: nothing learned holds any more
			e.coldSince, e.suspect, e.faults, e.slow, e.warm = max(r.Started, e.coldSince), false, 0, 0, nil
		}
		e.Engine = r
	}
	g.engines = g.engines[:0]
	for _, r := range slices.Sorted(maps.Keys(g.byID)) {
		if e := g.byID[r]; e.State != Gone {
			g.engines = append(g.engines, e)
		}
	}
}

// watch looks at all that is open: deadlines, overdue attempts, silent engines.
func (g *Gateway) watch() {
	if g.since(g.priced) >= priceEvery {
		g.reprice()
		g.priced = g.now
	}
	if g.set.AskForList && g.now >= g.askAt { // a failed call may have ended the subscription
		g.askAt = g.now + max(g.set.AskWithin/4, Micros(askEvery*micros))
		g.do(Watch{})
	}
	if g.set.CanTell && g.set.Peers > 1 && g.since(g.told) >= g.tellSpan() {
		g.told = g.now
		g.tell()
	}
	for i, e := range g.engines {
		if g.set.ReportsByProbe && g.set.CanProbe && g.now >= e.probeAt {
			e.probeAt = g.now + Micros(micros) + Micros(i)*1000
			g.do(Probe{Engine: e.ID})
		}
		g.silent(e)
	}
	for _, q := range g.live {
		if q.done || q.streamed {
			continue
		}
		if g.now >= q.Due-g.guard() {
			g.giveUp(q)
			continue
		}
		for _, a := range q.attempts {
			if !a.closed && !a.called {
				g.overdue(a)
			}
		}
	}
	g.live = slices.DeleteFunc(g.live, func(q *request) bool { return q.done && q.open == 0 })
}

// silent distrusts an engine whose open attempts are all far past expectation.
func (g *Gateway) silent(e *engine) {
	if e.suspect || g.since(e.heard) < silentFloor {
		return
	}
	overdue := e.unanswered
	for _, a := range e.open {
		if age := g.since(a.sent); !a.standing && age > silentFloor && a.sent >= e.heard {
			overdue += math.Floor(min(age/(silentTimes*a.expect), 2))
		}
	}
	if overdue >= 2 { // two attempts, or one very old: one alone may be a bad plan
		e.faults = faultHigh
		g.distrust(e, "silent")
	}
}

// overdue answers a bad plan or a dead engine: a restart elsewhere while it can
// still earn the worth and the budget lasts.
func (g *Gateway) overdue(a *attempt) {
	age, q := g.since(a.sent), a.q
	lost := a.e.suspect && age > silentFloor && age > silentTimes*a.expect
	expect := q.est / q.class.threads * math.Exp(max(a.e.slow, 0)) * (1 + q.restarts)
	bad := age > planFloor && age > planTimes*expect
	if a.total > 0 {
		bad = age > planFloor && a.total > planTimes*expect && a.total-age > 1.5*expect
	}
	if !lost && !bad || a.standing {
		return
	}
	late := float64(q.Due-g.guard()-g.now)/micros < q.class.service(q.est)
	if late || q.redo || len(q.attempts) >= g.set.MaxAttempts || q.class.Effect == Unsafe || !g.inBudget() {
		return
	}
	if g.callOff(a) {
		q.redo = true
		if bad && !lost {
			q.restarts++
		}
		if a.sent >= a.e.heard { // a restart must not hide that nothing comes from there
			a.e.unanswered++
		}
	}
}

// reprice recomputes the tolls from what was admitted and how long it waited.
func (g *Gateway) reprice() {
	span := max(g.since(g.priced), 1e-3)
	share := g.shareCores()
	for i := range g.tenants {
		t := &g.tenants[i]
		t.rate += (t.count/span - t.rate) * rateStep
		t.count = 0
	}
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
	for _, e := range g.engines {
		e.slow *= 0.95
	}
}
