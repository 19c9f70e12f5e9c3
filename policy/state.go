package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds the module's state and its plain bookkeeping; what to do is
// decided in choice.go.

// Gateway decides for one dispatcher. It is not safe for concurrent use.
type Gateway struct {
	set         Settings
	rng         *rand.Rand
	now         Micros
	begun       bool
	out         []Action
	classes     []class
	tenants     []tenant
	engines     []*engine
	byID        map[string]*engine
	open        map[string]*request // looked up only, never ranged over
	live        []*request          // in the order taken
	held        []*request          // at the gate, waiting for room
	turns       map[int64]*turn     // looked up only
	taken       []Micros            // requests taken within the budget's span
	further     []Micros            // further attempts within it
	threads     [levels]float64     // own threads in flight at each level
	priced      Micros
	wakeAt      Micros
	askAt       Micros // next call for the engine list
	noted       Micros
	noteEvery   float64 // least seconds between two log lines
	pumpAt      Micros
	tellAt      Micros
	tellTo      int                // peer told last
	peers       map[int]*peer      // those heard of late; looked up only
	byKey       map[uint32]*engine // by short name; looked up only
	heardFrom   []said             // messages of peers in the order heard
	rate, count float64            // requests taken a second; since the last interval
	askCredit   float64            // probes that own traffic has paid for
	all         fleet
	part        float64                    // our part of all traffic, as far as known
	stretch     [2]float64                 // mean log stretch of answers where the group was not warm, was warm
	meanThreads float64                    // of a query in flight
	meanRate    float64                    // mean requests taken a second by a gateway
	meanMB      float64                    // mean grant for each thread in flight
	meanSent    average                    // mean threads of a query sent
	meanStay    average                    // mean seconds from taking a query to its answer
	meanEarned  average                    // mean worth of those answers
	door        float64                    // worth of a second at the door, see doorPrice
	meanTook    average                    // mean seconds of an answer
	meanCost    average                    // mean cost of all queries, seconds of work
	crowd       quantile                   // median log stretch of answers, ours or told
	meanOpen    float64                    // own queries in flight, over some seconds
	slack       float64                    // log stretch that the aims of all classes leave
	recalled    map[string]LearnedEndpoint // of an earlier gateway, until their engines are met; looked up only
	room        float64                    // threads a core that any engine may hold, everybody's
	roomAt      Micros
}

// class is what was learned of one class.
type class struct {
	Class
	threads   float64
	mean      average  // mean fitted estimate, seconds
	heft      average  // mean work, rather too high than too low, seconds
	taken     float64  // requests taken
	asked     quantile // median of log(estimate), of all that came
	fit       fit      // uncrowded work as a power of the estimate
	ratio     quantile // median of log(latency × threads ÷ fitted estimate)
	memory    quantile // median of log(memory estimate)
	stray     float64  // mean distance of log(latency × threads ÷ fitted estimate) from that
	strayN    float64
	margin    float64 // log of grant over fitted memory estimate
	price     [levels]float64
	rate      [levels]float64 // admitted a second
	wait      [levels]float64 // seconds
	admitted  [levels]float64 // since the last interval
	refreshed [levels]bool    // an outcome came since the last interval
}

// fleet is what the engines are together, as far as heard.
type fleet struct {
	age            float64         // mean age of the last answer, seconds
	busy           float64         // mean threads a core of engines heard of late
	kinds          map[int]average // mean threads a core of those of a kind; looked up only
	heard          bool            // some were
	tells          bool            // a report told of threads, ever
	excess         float64         // own queries in flight over those expected
	trusted        int
	faults         float64 // middle of the healthy engines' shares of faults
	covered        float64 // share of peers whose own attempts we know
	cores, threads float64 // of healthy engines: cores; all threads there, unheard ones as average
}

// tenant is one tenant's traffic: here, and the mean over gateways.
type tenant struct {
	allowance, rate, count, mean float64
}

// said is one message heard from a peer.
type said struct {
	from int
	at   Micros
}

// peer is what another gateway said last of its own attempts.
type peer struct {
	at   Micros
	rows []row
}

// hash is a short name for an engine.
func hash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() >> 16 // two bytes
}

// engine is what is known of one engine.
type engine struct {
	Endpoint
	key           uint32 // short name in messages to peers
	cores, memory float64
	open          []*attempt
	threads       float64 // own, in flight
	granted       float64 // own grants, in MB
	load          Load
	loadAt        Micros  // when the report last changed, here or at a peer; 0: never heard
	newThreads    float64 // own threads sent since then
	newGrants     float64 // own grants sent since then, in MB
	told, toldMB  float64 // threads and grants that peers have there, by their word
	newsAt        Micros  // when news of it last came
	claimed       float64 // threads sent since then
	ticket        float64 // chance drawn with each report, see hasRoom
	slow          float64 // mean log stretch
	faults        float64 // recent share of faults
	last          float64 // log stretch of the last answer, here or at a peer
	lastFault     bool    // that one was a fault
	heard         Micros  // last answer, here or at a peer
	resetAt       Micros  // last broken connection here
	unanswered    float64 // attempts called off since
	suspect       bool
	trickleAt     Micros
	coldSince     Micros
	guessed       Micros          // when it seemed to have ended, without word of the list; 0: it did not
	coldWas       Micros          // coldSince before that
	drainBy       Micros          // what has its state there may be sent until then, while it drains
	cold          []store         // for each class, while cold
	warm          []int64         // groups read last, newest first
	probeAt       Micros          // last probe
	asked         bool            // that one has not answered yet
	loads         map[byte]Micros // groups that loads hold there, by when last seen; looked up only
}

// drawOf ranks the engines for a group of tables, the same at every gateway.
func drawOf(tables int64, e *engine) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(tables)), e.key))
	return h.Sum64()
}

// heldNow is how many requests are owed an answer.
func (g *Gateway) heldNow() (n int) {
	for _, q := range g.live {
		if !q.done {
			n++
		}
	}
	return n
}

// store is work of one class that may still be sent to a cold engine, seconds; under 0: none now.
type store struct {
	at   Micros // when it was last reckoned
	left float64
}

// store is the one of a class.
func (e *engine) store(class, classes int) *store {
	if e.cold == nil {
		e.cold = make([]store, classes)
	}
	return &e.cold[class]
}

// demandShare is a class's share of the work asked for.
func (g *Gateway) demandShare(c *class) float64 {
	all := 0.0
	for i := range g.classes {
		all += g.classes[i].taken * g.classes[i].heft.v
	}
	return c.taken * c.heft.v / max(all, 1e-9)
}

// request is one request that is open here, or has attempts that are.
type request struct {
	Request
	class    *class
	taken    Micros
	aim      Micros
	est      float64 // estimated work, seconds
	worth    float64
	level    int
	attempts []*attempt
	open     int
	ran      *attempt // first attempt that may have run
	done     bool
	held     bool
	streamed bool
	admitted bool
	drawn    []*engine // engines asked for their state before the choice
	redo     bool      // an attempt was called off to be made again
	seen     float64   // seconds that an attempt called off showed it to take
}

// attempt is one send.
type attempt struct {
	q        *request
	n        int
	e        *engine
	sent     Micros
	expect   float64 // seconds
	level    int
	grant    float64
	quiet    bool // sent to an engine with free cores
	closed   bool
	called   bool    // cancelled
	total    float64 // projected seconds from progress notes; 0: none
	warm     bool    // its group was warm there
	noted    bool    // progress notes came
	spilt    bool    // it spilled
	notedAt  Micros
	standing bool // waits for memory or a load
}

// fit is a running line through log(work) over log(estimate). Estimates that
// scatter widely say less than they seem to: the slope shrinks them towards the
// class's middle. It starts at a given slope, as if from five answers.
type fit struct{ n, x, y, xx, xy float64 }

func (f *fit) add(est, work, least float64) {
	x, y := math.Log(est), math.Log(work)
	f.n++
	w := max(least, 1/f.n)
	dx, dy := x-f.x, y-f.y
	f.x += w * dx
	f.y += w * dy
	f.xx = (1 - w) * (f.xx + w*dx*dx)
	f.xy = (1 - w) * (f.xy + w*dx*dy)
}

func (f *fit) slope(first float64) float64 {
	n := min(f.n, 100)
	return max(0, min(1, (f.xy*n+5*first)/(f.xx*n+5)))
}

// at is the work for an estimate; asked is the middle of log(estimate) until
// answers come, least the least slope.
func (f *fit) at(est, asked, first, least float64) float64 {
	if est <= 0 {
		return est
	}
	x, y := f.x, f.y
	if f.n == 0 {
		x, y = asked, asked
	}
	return math.Exp(y + max(least, f.slope(first))*(math.Log(est)-x))
}

// turn keeps the order of one key.
type turn struct {
	queue []*request
	open  int
	rest  Micros
}

// quantile follows one rank of a stream, moved by ranks alone: outliers weigh
// no more than their count.
type quantile struct{ v, n float64 }

func (q *quantile) add(x, rank, least float64) {
	if q.n++; q.n == 1 {
		q.v = x
		return
	}
	step := max(least, 1/q.n)
	if x > q.v {
		q.v += step * rank
	} else {
		q.v -= step * (1 - rank)
	}
}

const micros = 1e6 // microseconds in a second

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) since(t Micros) float64 { return float64(g.now-t) / 1e6 }

// join puts a request that goes in turn into its key's line; leave takes it out.
func (g *Gateway) join(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		if g.turns[q.OrderKey] == nil {
			g.turns[q.OrderKey] = &turn{}
		}
		t := g.turns[q.OrderKey]
		t.queue = append(t.queue, q)
	}
}

func (g *Gateway) leave(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		t := g.turns[q.OrderKey]
		t.queue = slices.DeleteFunc(t.queue, func(o *request) bool { return o == q })
	}
}

func (g *Gateway) hold(q *request) {
	if !q.held {
		q.held = true
		g.held = append(g.held, q)
	}
}

func (g *Gateway) unhold(q *request) {
	if q.held {
		q.held = false
		g.held = slices.DeleteFunc(g.held, func(o *request) bool { return o == q })
	}
}

// enter puts a new attempt on the books.
func (g *Gateway) enter(a *attempt) {
	q, e := a.q, a.e
	if len(q.attempts) > 0 {
		g.further = append(g.further, g.now)
	}
	q.attempts = append(q.attempts, a)
	q.open++
	if q.class.Ordered && q.HasOrderKey {
		g.turns[q.OrderKey].open++
	}
	e.open = append(e.open, a)
	e.threads += q.class.threads
	e.newThreads += q.class.threads
	e.newGrants += a.grant
	e.granted += a.grant
	g.threads[a.level] += q.class.threads
}

// close takes an attempt off the books.
func (g *Gateway) close(a *attempt, code Code) {
	q, e := a.q, a.e
	a.closed = true
	q.open--
	e.open = slices.DeleteFunc(e.open, func(o *attempt) bool { return o == a })
	e.threads -= q.class.threads
	if a.sent > e.loadAt {
		e.newThreads -= q.class.threads
		e.newGrants -= a.grant
	}
	e.granted -= a.grant
	g.threads[a.level] -= q.class.threads
	if code != Rejected && code != ConnectionRefused && code != NeverSent && q.ran == nil {
		q.ran = a
	}
	if q.class.Ordered && q.HasOrderKey {
		t := g.turns[q.OrderKey]
		t.open--
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			t.rest = max(t.rest, g.now+g.set.OrderingGap)
		}
	}
}

// tellMost is the wire's limit of a message to a peer, in bytes. A message is
// the number of tenants, their mean rates, then rows, freshest first.
const (
	tellMost = 256
	tellAge  = 32  // steps of an age of one second
	tellUnit = 100 // steps of a share of one
	tellLog  = 40  // steps of a log stretch of one
	tellRate = 256 // steps of a rate of one a second
)

// What a row holds: these of its parts follow its key, flags and age.
const (
	hasUtil = 1 << iota
	hasHeld
	hasMemory
	hasStretch
	hasOwn
	hasGroup
	isFault
)

// row is one engine's line in a message: the freshest that the sender knows, its
// own attempts there, and one group that a load holds.
type row struct {
	key                uint32
	age                Micros
	util, held, memory float64 // report; negative: none
	stretch            float64 // log stretch of the last answer
	fault              bool    // that one was a fault
	threads, granted   float64 // the sender's own; grants as a share of memory
	group              byte    // low bits of a group that a load holds; 0: none
}

// groupOf is a short name for a group of tables, never 0.
func groupOf(tables int64) byte { return byte(uint64(tables)%255) + 1 }

func octet(x, scale float64) byte { return byte(max(0, min(255, math.Round(x*scale)))) }

// encode writes a message of the rows that fit.
func encode(rates []float64, rows []row) []byte {
	data := []byte{byte(len(rates))}
	for _, r := range rates {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(r, 0)*tellRate, math.MaxUint16)))
	}
	for _, r := range rows {
		var flags byte
		var rest []byte
		put := func(flag byte, has bool, bytes ...byte) {
			if has {
				flags, rest = flags|flag, append(rest, bytes...)
			}
		}
		put(hasUtil, r.util >= 0, octet(r.util, tellUnit))
		put(hasHeld, r.held >= 0, octet(r.held, 1))
		put(hasMemory, r.memory >= 0, octet(r.memory, tellUnit))
		put(hasStretch, r.stretch != 0 && !r.fault, octet(r.stretch+3, tellLog))
		put(hasOwn, r.threads > 0, octet(r.threads, 4), octet(r.granted, 255))
		put(hasGroup, r.group > 0, r.group)
		put(isFault, r.fault)
		if len(data)+4+len(rest) > tellMost {
			break
		}
		data = append(append(data, byte(r.key>>8), byte(r.key), flags, octet(float64(r.age)/1e6, tellAge)), rest...)
	}
	return data
}

// decode reads a message of n rates; ok is false where it does not parse.
func decode(data []byte, n int) (rates []float64, rows []row, ok bool) {
	if len(data) < 1+2*n || int(data[0]) != n {
		return nil, nil, false
	}
	for data = data[1:]; len(rates) < n; data = data[2:] {
		rates = append(rates, float64(binary.BigEndian.Uint16(data))/tellRate)
	}
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, nil, false
		}
		r := row{key: uint32(data[0])<<8 | uint32(data[1]), util: -1, held: -1, memory: -1,
			age: Micros(data[3]) * 1e6 / tellAge, fault: data[2]&isFault != 0}
		flags := data[2]
		data = data[4:]
		cut := false
		get := func(flag byte, scale, zero float64, to *float64) {
			if flags&flag == 0 {
				return
			}
			if cut = cut || len(data) == 0; !cut {
				*to, data = float64(data[0])/scale+zero, data[1:]
			}
		}
		var group float64
		get(hasUtil, tellUnit, 0, &r.util)
		get(hasHeld, 1, 0, &r.held)
		get(hasMemory, tellUnit, 0, &r.memory)
		get(hasStretch, tellLog, -3, &r.stretch)
		get(hasOwn, 4, 0, &r.threads)
		get(hasOwn, 255, 0, &r.granted)
		get(hasGroup, 1, 0, &group)
		if cut {
			return nil, nil, false
		}
		r.group = byte(group)
		rows = append(rows, r)
	}
	return rates, rows, true
}

// draw picks by weight.
func (g *Gateway) draw(weights []float64, total float64) *engine {
	x, last := g.rng.Float64()*total, 0
	for i, w := range weights {
		if w > 0 {
			last = i
		}
		if x -= w; x < 0 && w > 0 {
			break
		}
	}
	return g.engines[last]
}

// report takes a report of a moment, ours or a peer's.
func (g *Gateway) report(e *engine, l Load, at Micros) {
	e.load, e.loadAt, e.newThreads, e.newGrants = l, at, 0, 0
	e.newsAt, e.claimed, e.ticket = g.now, 0, g.rng.Float64()
	for _, a := range e.open {
		if a.sent > at {
			e.newThreads += a.q.class.threads
			e.newGrants += a.grant
		}
	}
}

// unsay forgets a peer's word on its own attempts.
func (g *Gateway) unsay(n int) {
	if p := g.peers[n]; p != nil {
		for _, r := range p.rows {
			if e := g.byKey[r.key]; e != nil {
				e.told, e.toldMB = max(0, e.told-r.threads), max(0, e.toldMB-r.granted*e.memory)
			}
		}
		p.rows = nil
	}
}

func (c *class) delayCost() float64 { return c.PriorityWeight / (float64(c.Deadline) / micros) }

// note writes a log line, rarely.
func (g *Gateway) note(format string, args ...any) {
	if g.noted == 0 || g.since(g.noted) >= g.noteEvery {
		g.noted = g.now
		g.do(LogLine{fmt.Sprintf(format, args...)})
	}
}

// start begins a step.
func (g *Gateway) start(now Micros) {
	if g.now, g.out = now, nil; !g.begun {
		g.begun, g.priced = true, now
	}
}

// dispatch hands an event to what decides on it.
func (g *Gateway) dispatch(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		g.list(ev)
	case Request:
		g.take(ev)
	case AttemptResult:
		g.outcome(ev)
	case Progress:
		g.progress(ev)
	case HealthCheckResult:
		g.probed(ev)
	case GossipReceived:
		g.heard(ev)
	case StreamStarted:
		if q := g.open[ev.ID]; q != nil {
			q.streamed = true
		}
	case ClientDisconnected:
		if q := g.open[ev.ID]; q != nil && !q.done {
			g.end(q)
		}
	}
}

// survey sums up the fleet: peers' words older than word are forgotten, ages count to
// fresh at most, and the crowd shrinks to keep of itself while nothing is heard.
func (g *Gateway) survey(word, fresh, keep float64) {
	for ; len(g.heardFrom) > 0 && g.since(g.heardFrom[0].at) > word; g.heardFrom = g.heardFrom[1:] {
		if h := g.heardFrom[0]; g.peers[h.from].at == h.at {
			g.unsay(h.from)
		}
	}
	f := fleet{excess: g.all.excess, tells: g.all.tells, kinds: map[int]average{}}
	for _, h := range g.heardFrom {
		if g.peers[h.from].at == h.at {
			f.covered += 1 / float64(g.set.Peers-1)
		}
	}
	f.covered = min(f.covered, 1)
	var busy, age float64
	var faults []float64
	for _, e := range g.engines {
		if e.State != Healthy {
			continue
		}
		f.cores += e.cores
		age += min(g.since(e.heard), fresh)
		if !e.suspect {
			f.trusted++
		}
		faults = append(faults, e.faults)
		if k := g.known(e); k > 0 {
			threads, _ := g.others(e)
			busy += e.cores
			f.threads += threads + e.threads
			of := f.kinds[e.Kind]
			of.add((threads+e.threads)/e.cores, 0)
			f.kinds[e.Kind] = of
		}
	}
	if f.busy = g.all.busy; busy > 0 {
		f.busy, f.heard, f.tells = f.threads/busy, true, true
	} else { // hearing nothing for long must not keep a gateway from trying
		f.busy *= keep
		if !f.tells { // no report ever does: what we have out, over our share, over some time
			f.busy += (1 - keep) * g.ownThreads() / g.shareCores()
		}
	}
	if slices.Sort(faults); len(faults) > 0 {
		f.faults = faults[(len(faults)-1)/2]
	}
	f.age = age / max(1, float64(len(g.engines)))
	f.threads = f.busy * f.cores
	g.all = f
}

// rows is what to tell of the engines: what was heard within so many seconds, freshest first.
func (g *Gateway) rows(known float64) []row {
	var rows []row
	for _, e := range g.engines {
		at := max(e.loadAt, e.heard)
		if g.since(at) > known && e.threads == 0 {
			continue
		}
		r := row{key: e.key, age: g.now - at, util: -1, held: -1, memory: -1, stretch: e.last, fault: e.lastFault,
			threads: e.threads, granted: e.granted / max(e.memory, 1), group: g.loadHere(e)}
		if e.loadAt > 0 {
			r.util, r.held, r.memory = e.load.Util, e.load.InFlight, e.load.Memory
		}
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b row) int { return int(a.age - b.age) })
	return rows
}

// loadHere is one group that a load of ours holds on an engine, another each time.
func (g *Gateway) loadHere(e *engine) byte {
	var groups []byte
	for _, a := range e.open {
		if a.q.class.LocksTables {
			groups = append(groups, groupOf(a.q.TableGroup))
		}
	}
	if len(groups) == 0 {
		return 0
	}
	return groups[g.rng.IntN(len(groups))]
}

// byWorth is what is held, most worth for its work first.
func (g *Gateway) byWorth() []*request {
	queue := slices.Clone(g.held)
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(b.worth/b.est, a.worth/a.est) })
	return queue
}

// missing marks what a whole list leaves out as gone.
func (g *Gateway) missing(l EndpointUpdate) {
	for _, e := range g.engines {
		if l.Complete && !slices.ContainsFunc(l.Endpoints, func(r Endpoint) bool { return r.ID == e.ID }) {
			e.State = Removed
		}
	}
}

// sortEngines lists the engines that are not gone, by id. Of those that are, nothing is kept once no attempt is out there.
func (g *Gateway) sortEngines() {
	clear(g.engines)
	g.engines = g.engines[:0]
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		switch e := g.byID[id]; {
		case e.State != Removed:
			g.engines = append(g.engines, e)
		case len(e.open) == 0:
			delete(g.byID, id)
			if g.byKey[e.key] == e {
				delete(g.byKey, e.key)
			}
		}
	}
}

// meet puts a new engine on the books.
func (g *Gateway) meet(r Endpoint) *engine {
	e := &engine{Endpoint: r, cores: 1, heard: g.now, key: hash(r.ID), loads: map[byte]Micros{}}
	if r.Kind >= 0 && r.Kind < len(g.set.Kinds) {
		e.cores, e.memory = float64(max(g.set.Kinds[r.Kind].Cores, 1)), g.set.Kinds[r.Kind].MemoryMB
	}
	g.byID[r.ID], g.byKey[e.key] = e, e
	return e
}

// reads notes that an engine reads a group; it keeps so many warm.
func (e *engine) reads(tables int64, keep int) {
	e.warm = slices.DeleteFunc(e.warm, func(t int64) bool { return t == tables })
	e.warm = slices.Insert(e.warm, 0, tables)
	e.warm = e.warm[:min(len(e.warm), keep)]
}

// own puts a peer's word on its own attempts on the books, in place of its last.
func (g *Gateway) own(from int, rows []row) {
	g.unsay(from)
	p := &peer{at: g.now}
	g.peers[from], g.heardFrom = p, append(g.heardFrom, said{from, g.now})
	for _, r := range rows {
		if e := g.byKey[r.key]; e != nil && r.threads > 0 {
			e.told, e.toldMB = e.told+r.threads, e.toldMB+r.granted*e.memory
			p.rows = append(p.rows, r)
		}
	}
}

// after drops the times up to a moment.
func after(times []Micros, at Micros) []Micros {
	for len(times) > 0 && times[0] <= at {
		times = times[1:]
	}
	return times
}

// ownThreads, ownMB and ownOpen count what this gateway has out.
func (g *Gateway) ownThreads() (n float64) {
	for _, t := range g.threads {
		n += t
	}
	return n
}

func (g *Gateway) ownMB() (n float64) {
	for _, e := range g.engines {
		n += e.granted
	}
	return n
}

func (g *Gateway) ownOpen() (n float64) {
	for _, e := range g.engines {
		n += float64(len(e.open))
	}
	return n
}

// progress learns from notes: projected time, memory missing, waits.
func (g *Gateway) progress(p Progress) {
	q := g.open[p.ID]
	if q == nil || p.Attempt < 0 || p.Attempt >= len(q.attempts) || q.attempts[p.Attempt].closed {
		return
	}
	a := q.attempts[p.Attempt]
	a.notedAt, a.e.heard = g.now, max(a.e.heard, g.now)
	a.e.lives(a)
	switch p.Kind {
	case FractionDone:
		a.standing, a.noted = false, true
		if p.Value > 0 {
			a.total = g.since(a.sent) / min(p.Value, 1)
		}
	case MemorySpilled:
		a.spilt = true
	default:
		a.standing = true
		if p.Kind == WaitingForTables { // somebody's load holds the group there
			a.e.loads[groupOf(q.TableGroup)] = g.now
		}
	}
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

// begin opens the books; margin is the log of grant over memory estimate at first.
func (g *Gateway) begin(margin float64) {
	g.byID, g.byKey, g.peers = map[string]*engine{}, map[uint32]*engine{}, map[int]*peer{}
	g.open, g.turns = map[string]*request{}, map[int64]*turn{}
	for _, c := range g.set.Classes {
		threads := float64(max(c.Threads, 1))
		g.meanThreads += threads / float64(len(g.set.Classes))
		g.classes = append(g.classes, class{Class: c, threads: threads, margin: margin})
	}
	for _, t := range g.set.Tenants {
		g.tenants = append(g.tenants, tenant{allowance: t.Quota})
	}
}

// asking tells that engines drawn for a query were asked within wait and have not answered.
func (g *Gateway) asking(q *request, wait float64) bool {
	return slices.ContainsFunc(q.drawn, func(e *engine) bool { return e.asked && g.since(e.probeAt) < wait })
}

// best is the one of the engines that weighs most; nil if none weighs.
func (g *Gateway) best(weights []float64, of []*engine) (best *engine) {
	most := 0.0
	for i, e := range g.engines {
		if weights[i] > most && slices.Contains(of, e) {
			best, most = e, weights[i]
		}
	}
	return best
}

// rates is what to tell of traffic: the mean gateway's by tenant, and in all.
func (g *Gateway) rates() (rates []float64) {
	for _, t := range g.tenants {
		rates = append(rates, t.mean)
	}
	return append(rates, g.meanRate)
}

// tally turns what was counted in a span into rates.
func (g *Gateway) tally(span, step float64) {
	g.rate += (g.count/span - g.rate) * step
	g.meanRate += (g.count/span - g.meanRate) * step // as fast as ours: at a start the share is right at once
	g.count = 0
	for i := range g.tenants {
		t := &g.tenants[i]
		t.rate += (t.count/span - t.rate) * step
		t.mean += (t.count/span - t.mean) * step
		t.count = 0
	}
}

// mix moves what is known of the mean gateway towards a peer's word.
func (g *Gateway) mix(rates []float64, step float64) {
	for i := range g.tenants {
		g.tenants[i].mean += (rates[i] - g.tenants[i].mean) * step
	}
	g.meanRate += (rates[len(g.tenants)] - g.meanRate) * step
}

// stretched notes the log stretch of an answer from an engine, there and for the fleet,
// whose middle is followed: lost answers and bad plans are fewer than half.
func (g *Gateway) stretched(e *engine, x, step, first, fresh, fleetStep float64) {
	step += (first - step) * min(1, g.since(e.heard)/fresh) // more where little was heard of late
	g.crowd.add(x, 0.5, fleetStep)
	e.last = x
	e.slow += (x - e.slow) * step
}

// strayed notes the log of an answer's time over its estimate: their middle, and how
// far they lie from it, each up to most.
func (c *class) strayed(x, most, step float64) {
	c.ratio.add(x, 0.5, step)
	c.strayN++
	c.stray += (min(math.Abs(x-c.ratio.v), most) - c.stray) * max(step, 1/c.strayN)
}

// warmed notes it for what warmth saves.
func (g *Gateway) warmed(warm bool, x, step float64) {
	i := 0
	if warm {
		i = 1
	}
	g.stretch[i] += (x - g.stretch[i]) * step
}

// enrol puts a request on the books.
func (g *Gateway) enrol(r Request, c *class) *request {
	q := &request{Request: r, class: c, taken: g.now}
	g.open[r.ID] = q
	if g.live = append(g.live, q); g.set.RetryBudgetWindow > 0 {
		g.taken = append(g.taken, g.now)
	}
	g.count++
	c.taken++
	if r.Tenant >= 0 && r.Tenant < len(g.tenants) {
		g.tenants[r.Tenant].count++
	}
	return q
}

// patience is the log stretch of answers that the aims leave, of the class with the least.
func (g *Gateway) patience() float64 {
	least := math.Inf(1)
	for i := range g.classes {
		c := &g.classes[i]
		least = min(least, math.Log1p(float64(c.LatencyObjective)/micros*c.threads/c.typical()+c.ObjectiveStretch))
	}
	return least
}

// busyOf is the mean of a kind's engines, as far as any was heard of late; else the fleet's.
func (f *fleet) busyOf(kind int) float64 {
	if of, ok := f.kinds[kind]; ok {
		return of.v
	}
	return f.busy
}

// free tells that a request is first in its key's line and nothing else of the key is out.
func (t *turn) free(q *request, now Micros) bool {
	return t.queue[0] == q && t.open <= q.open && (now >= t.rest || len(q.attempts) > 0)
}

// anyEngine picks blindly; nil if there is none.
func (g *Gateway) anyEngine() *engine {
	if len(g.engines) == 0 {
		return nil
	}
	return g.engines[g.rng.IntN(len(g.engines))]
}

// average is a running mean: of all at first, later one that forgets.
type average struct{ v, n float64 }

func (a *average) add(x, step float64) {
	a.n++
	a.v += (x - a.v) * max(step, 1/a.n)
}
