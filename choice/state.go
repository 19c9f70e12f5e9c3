package choice

import (
	"encoding/binary"
	"hash/fnv"
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
	told        Micros
	peers       []peer     // by number; nil until one was heard
	stretch     [2]float64 // mean log stretch of answers where the group was not warm, was warm
	meanThreads float64    // of a query sent
	meanCost    float64    // mean cost of all queries, seconds of work
}

// class is what was learned of one class.
type class struct {
	Class
	threads   float64
	mean      float64  // mean fitted estimate, seconds
	asked     quantile // median of log(estimate), of all that came
	fit       fit      // uncrowded work as a power of the estimate
	ratio     quantile // median of log(latency × threads ÷ fitted estimate)
	memory    quantile // median of log(memory estimate)
	margin    float64  // log of grant over fitted memory estimate
	price     [levels]float64
	rate      [levels]float64 // admitted a second
	wait      [levels]float64 // seconds
	admitted  [levels]float64 // since the last interval
	refreshed [levels]bool    // an outcome came since the last interval
}

// tenant is one tenant's traffic here.
type tenant struct {
	allowance, rate, count float64
}

// peer is what another gateway said last.
type peer struct {
	at    Micros
	rates []float64             // by tenant, a second
	load  map[uint32][2]float64 // by engine: threads, share of memory; looked up only
	loads []([2]uint32)         // engine and group of each load that is out
}

// The frame of messages to peers.
const (
	tellMost  = 256 // bytes
	tellRow   = 7   // bytes for an engine
	tellLoad  = 8   // bytes for a load
	tellScale = 10  // steps of a rate of one a second
)

// hash is a short name for an engine.
func hash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// engine is what is known of one engine.
type engine struct {
	Engine
	key           uint32 // short name in messages to peers
	cores, memory float64
	open          []*attempt
	threads       float64 // own, in flight
	granted       float64 // own grants, in MB
	load          Load
	loadAt        Micros  // when the report last changed; 0: never heard
	newThreads    float64 // own threads sent since then
	newGrants     float64 // own grants sent since then, in MB
	room          float64 // own threads that it may hold
	roomAt        Micros
	slow          float64 // mean log stretch
	slowN         float64
	faults        float64 // recent share of faults
	heard         Micros  // last answer
	unanswered    float64 // attempts called off since
	suspect       bool
	trickleAt     Micros
	coldSince     Micros
	coldSends     []coldSend
	warm          []int64 // groups read last, newest first
	probeAt       Micros
	blocked       int64 // group that a note said is held by a load
	blockedAt     Micros
}

type coldSend struct {
	at   Micros
	work float64
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
	redo     bool // an attempt was called off to be made again
	restarts float64
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
	fresh    bool // sent since the engine's last report
	quiet    bool // sent to an engine with free cores
	closed   bool
	called   bool    // cancelled
	total    float64 // projected seconds from progress notes; 0: none
	late     bool    // found far past expectation
	warm     bool    // its group was warm there
	noted    bool    // progress notes came
	spilt    bool    // it spilled
	standing bool    // waits for memory or a load
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
// answers come.
func (f *fit) at(est, asked, first float64) float64 {
	if est <= 0 {
		return est
	}
	x, y := f.x, f.y
	if f.n == 0 {
		x, y = asked, asked
	}
	return math.Exp(y + f.slope(first)*(math.Log(est)-x))
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

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) since(t Micros) float64 { return float64(g.now-t) / 1e6 }

// join puts a request that goes in turn into its key's line; leave takes it out.
func (g *Gateway) join(q *request) {
	if q.class.InTurn && q.HasKey {
		if g.turns[q.Key] == nil {
			g.turns[q.Key] = &turn{}
		}
		t := g.turns[q.Key]
		t.queue = append(t.queue, q)
	}
}

func (g *Gateway) leave(q *request) {
	if q.class.InTurn && q.HasKey {
		t := g.turns[q.Key]
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
	if q.class.InTurn && q.HasKey {
		g.turns[q.Key].open++
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
	if a.fresh {
		e.newThreads -= q.class.threads
		e.newGrants -= a.grant
	}
	e.granted -= a.grant
	g.threads[a.level] -= q.class.threads
	if code != Full && code != Refused && code != Moot && q.ran == nil {
		q.ran = a
	}
	if q.class.InTurn && q.HasKey {
		t := g.turns[q.Key]
		t.open--
		if code == TimedOut || code == Reset || code == Cancelled {
			t.rest = max(t.rest, g.now+g.set.TurnGap)
		}
	}
}

// tell sends peers what this gateway has out on each engine and what its tenants
// ask: with it each knows the whole load, and nobody depends on it.
func (g *Gateway) tell() {
	data := []byte{byte(len(g.tenants))}
	for _, t := range g.tenants {
		data = binary.BigEndian.AppendUint16(data, uint16(min(t.rate*tellScale, math.MaxUint16)))
	}
	for _, e := range g.engines {
		if len(data)+tellRow < tellMost && e.threads > 0 {
			data = binary.BigEndian.AppendUint32(append(data, 1), e.key)
			data = append(data, byte(min(e.threads, math.MaxUint8)), byte(min(e.granted/max(e.memory, 1), 1)*math.MaxUint8))
		}
	}
	data = append(data, 0)
	for _, e := range g.engines {
		for _, a := range e.open {
			if a.q.class.Loads && len(data)+tellLoad <= tellMost {
				data = binary.BigEndian.AppendUint32(data, e.key)
				data = binary.BigEndian.AppendUint32(data, uint32(a.q.Tables))
			}
		}
	}
	g.do(Tell{Data: data})
}

// heard takes a peer's word. What does not parse is skipped.
func (g *Gateway) heard(h Heard) {
	if h.From < 0 || h.From >= g.set.Peers || h.From == g.set.Me || len(h.Data) == 0 || int(h.Data[0]) != len(g.tenants) {
		return
	}
	p := peer{at: g.now, load: map[uint32][2]float64{}}
	data := h.Data[1:]
	for range g.tenants {
		if len(data) < 2 {
			return
		}
		p.rates = append(p.rates, float64(binary.BigEndian.Uint16(data))/tellScale)
		data = data[2:]
	}
	for ; len(data) >= tellRow && data[0] == 1; data = data[tellRow:] {
		p.load[binary.BigEndian.Uint32(data[1:])] = [2]float64{float64(data[5]), float64(data[6]) / math.MaxUint8}
	}
	for data = data[min(1, len(data)):]; len(data) >= tellLoad; data = data[tellLoad:] {
		p.loads = append(p.loads, [2]uint32{binary.BigEndian.Uint32(data), binary.BigEndian.Uint32(data[4:])})
	}
	if g.peers == nil {
		g.peers = make([]peer, g.set.Peers)
	}
	g.peers[h.From] = p
}

// others is what others have on an engine, threads and MB: what peers say, or
// what the engine's count of queries leaves after ours. The count also holds
// attempts that timed out and run on, where nothing stops them.
func (g *Gateway) others(e *engine) (threads, granted float64) {
	for _, p := range g.peers {
		if l, ok := p.load[e.key]; ok && g.freshPeer(p) {
			threads, granted = threads+l[0], granted+l[1]*e.memory
		}
	}
	if e.loadAt > 0 && e.load.InFlight > 0 {
		threads = max(threads, e.load.InFlight*g.meanThreads-(e.threads-e.newThreads))
	}
	return threads, granted
}

// loading tells that a load holds a group on an engine: ours, a peer's by its
// word, or anybody's by a note of late. It guards against queries that stand still.
func (g *Gateway) loading(e *engine, tables int64) bool {
	if e.blocked == tables && e.blockedAt > 0 && g.now-e.blockedAt <= 2*g.set.ProgressEvery {
		return true
	}
	for _, a := range e.open {
		if a.q.class.Loads && a.q.Tables == tables {
			return true
		}
	}
	for _, p := range g.peers {
		if g.freshPeer(p) && slices.Contains(p.loads, [2]uint32{e.key, uint32(tables)}) {
			return true
		}
	}
	return false
}

// freshPeer tells that a peer's word still counts.
func (g *Gateway) freshPeer(p peer) bool {
	return p.at > 0 && g.since(p.at) < tellFresh*g.tellSpan()
}

// talking counts the peers whose word counts, and us.
func (g *Gateway) talking() int {
	n := 1
	for _, p := range g.peers {
		if g.freshPeer(p) {
			n++
		}
	}
	return n
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

// probed takes a probe's report.
func (g *Gateway) probed(p Probed) {
	if e := g.byID[p.Engine]; e != nil && p.Code == OK {
		g.hear(e, p.Load)
	}
}

// mean moves a running mean, which starts at its first value.
func mean(m *float64, x, step float64) {
	if *m == 0 {
		*m = x
	}
	*m += (x - *m) * step
}
