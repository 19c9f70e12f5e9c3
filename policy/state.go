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
	settings          Settings
	rng               *rand.Rand
	now               Micros
	started           bool
	actions           []Action
	classes           []class
	tenants           []tenant
	endpoints         []*endpoint
	byID              map[string]*endpoint
	requests          map[string]*request     // looked up only, never ranged over
	active            []*request              // in the order taken
	queue             []*request              // at the gate, waiting for room
	keyOrders         map[int64]*keyOrder     // looked up only
	receivedAt        []Micros                // requests taken within the budget's span
	retriedAt         []Micros                // further attempts within it
	threads           [priorityLevels]float64 // own threads in flight at each level
	pricedAt          Micros
	timerAt           Micros
	pollAt            Micros // next call for the engine list
	loggedAt          Micros
	logInterval       float64 // least seconds between two log lines
	queueAt           Micros
	gossipAt          Micros
	gossipTo          int                  // peer told last
	peerReports       map[int]*peerReport  // those heard of late; looked up only
	byWireID          map[uint32]*endpoint // by short name; looked up only
	arrivals          []gossipArrival      // messages of peers in the order heard
	rate, received    float64              // requests taken a second; since the last interval
	healthCheckCredit float64              // probes that own traffic has paid for
	fleet             fleetSummary
	ownShare          float64                    // our part of all traffic, as far as known
	warmthInflation   [2]float64                 // mean log stretch of answers where the group was not warm, was warm
	meanThreads       float64                    // of a query in flight
	meanRate          float64                    // mean requests taken a second by a gateway
	meanGrantMB       float64                    // mean grant for each thread in flight
	sentThreads       runningMean                // mean threads of a query sent
	responseTime      runningMean                // mean seconds from taking a query to its answer
	earnedPerRequest  runningMean                // mean worth of those answers
	queuePrice        float64                    // worth of a second at the door, see admissionQueuePrice
	attemptLatency    runningMean                // mean seconds of an answer
	meanWork          runningMean                // mean cost of all queries, seconds of work
	inflation         runningMedian              // median log stretch of answers, ours or told
	meanInFlight      float64                    // own queries in flight, over some seconds
	slack             float64                    // log stretch that the aims of all classes leave
	restored          map[string]LearnedEndpoint // of an earlier gateway, until their engines are met; looked up only
	capacity          float64                    // threads a core that any engine may hold, everybody's
	capacityAt        Micros
}

// class is what was learned of one class.
type class struct {
	Class
	threads         float64
	meanWork        runningMean   // mean fitted estimate, seconds
	usualWork       runningMean   // mean work, rather too high than too low, seconds
	received        float64       // requests taken
	estimateMedian  runningMedian // median of log(estimate), of all that came
	workFit         powerFit      // uncrowded work as a power of the estimate
	latencyRatio    runningMedian // median of log(latency × threads ÷ fitted estimate)
	memoryMedian    runningMedian // median of log(memory estimate)
	dispersion      float64       // mean distance of log(latency × threads ÷ fitted estimate) from that
	dispersionCount float64
	grantMargin     float64 // log of grant over fitted memory estimate
	price           [priorityLevels]float64
	admittedRate    [priorityLevels]float64 // admitted a second
	queueWait       [priorityLevels]float64 // seconds
	admitted        [priorityLevels]float64 // since the last interval
	waitRefreshed   [priorityLevels]bool    // an outcome came since the last interval
}

// fleetSummary is what the engines are together, as far as heard.
type fleetSummary struct {
	responseAge          float64             // mean age of the last answer, seconds
	threadsPerCore       float64             // mean threads a core of engines heard of late
	threadsPerCoreByKind map[int]runningMean // mean threads a core of those of a kind; looked up only
	reported             bool                // some were
	everReported         bool                // a report told of threads, ever
	occupancyExcess      float64             // own queries in flight over those expected
	trustedEndpoints     int
	medianFaultShare     float64 // middle of the healthy engines' shares of faults
	peerCoverage         float64 // share of peers whose own attempts we know
	cores, threads       float64 // of healthy engines: cores; all threads there, unheard ones as average
}

// tenant is one tenant's traffic: here, and the mean over gateways.
type tenant struct {
	quota, rate, received, meanRate float64
}

// gossipArrival is one message heard from a peer.
type gossipArrival struct {
	from int
	at   Micros
}

// peerReport is what another gateway said last of its own attempts.
type peerReport struct {
	at   Micros
	rows []gossipRow
}

// wireID is a short name for an engine.
func wireID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() >> 16 // two bytes
}

// endpoint is what is known of one engine.
type endpoint struct {
	Endpoint
	wireID                      uint32 // short name in messages to peers
	cores, memoryMB             float64
	attempts                    []*attempt
	threads                     float64 // own, in flight
	grantedMB                   float64 // own grants, in MB
	load                        Load
	loadAt                      Micros  // when the report last changed, here or at a peer; 0: never heard
	unreportedThreads           float64 // own threads sent since then
	unreportedMB                float64 // own grants sent since then, in MB
	gossipedThreads, gossipedMB float64 // threads and grants that peers have there, by their word
	reportArrivedAt             Micros  // when news of it last came
	claimedThreads              float64 // threads sent since then
	claimDraw                   float64 // chance drawn with each report, see hasCapacity
	inflation                   float64 // mean log stretch
	faultShare                  float64 // recent share of faults
	lastInflation               float64 // log stretch of the last answer, here or at a peer
	lastWasFault                bool    // that one was a fault
	lastResponse                Micros  // last answer, here or at a peer
	resetAt                     Micros  // last broken connection here
	cancelledUnanswered         float64 // attempts called off since
	ejected                     bool
	nextTrialAt                 Micros
	slowStartSince              Micros
	restartGuessedAt            Micros          // when it seemed to have ended, without word of the list; 0: it did not
	slowStartBefore             Micros          // slowStartSince before that
	drainUntil                  Micros          // what has its state there may be sent until then, while it drains
	slowStart                   []workBudget    // for each class, while cold
	warmGroups                  []int64         // groups read last, newest first
	healthCheckAt               Micros          // last probe
	healthCheckPending          bool            // that one has not answered yet
	tableLocks                  map[byte]Micros // groups that loads hold there, by when last seen; looked up only
}

// affinityHash ranks the engines for a group of tables, the same at every gateway.
func affinityHash(tables int64, e *endpoint) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(tables)), e.wireID))
	return h.Sum64()
}

// countUnanswered is how many requests are owed an answer.
func (g *Gateway) countUnanswered() (n int) {
	for _, q := range g.active {
		if !q.done {
			n++
		}
	}
	return n
}

// slowStartBudget is work of one class that may still be sent to a cold engine, seconds; under 0: none now.
type workBudget struct {
	updatedAt Micros // when it was last reckoned
	seconds   float64
}

// slowStartBudget is the one of a class.
func (e *endpoint) slowStartBudget(class, classes int) *workBudget {
	if e.slowStart == nil {
		e.slowStart = make([]workBudget, classes)
	}
	return &e.slowStart[class]
}

// demandShare is a class's share of the work asked for.
func (g *Gateway) demandShare(c *class) float64 {
	all := 0.0
	for i := range g.classes {
		all += g.classes[i].received * g.classes[i].usualWork.v
	}
	return c.received * c.usualWork.v / max(all, 1e-9)
}

// request is one request that is open here, or has attempts that are.
type request struct {
	Request
	class        *class
	receivedAt   Micros
	objectiveAt  Micros
	work         float64 // estimated work, seconds
	weight       float64
	level        int
	attempts     []*attempt
	openAttempts int
	firstRan     *attempt // first attempt that may have run
	done         bool
	queued       bool
	streamed     bool
	admitted     bool
	candidates   []*endpoint // engines asked for their state before the choice
	restarting   bool        // an attempt was called off to be made again
	observedTime float64     // seconds that an attempt called off showed it to take
}

// attempt is one send.
type attempt struct {
	request          *request
	number           int
	endpoint         *endpoint
	sentAt           Micros
	expectedTime     float64 // seconds
	level            int
	grantMB          float64
	uncontended      bool // sent to an engine with free cores
	closed           bool
	cancelled        bool    // cancelled
	projectedTime    float64 // projected seconds from progress notes; 0: none
	warm             bool    // its group was warm there
	reportedProgress bool    // progress notes came
	spilled          bool    // it spilled
	progressAt       Micros
	waiting          bool // waits for memory or a load
}

// workFit is a running line through log(work) over log(estimate). Estimates that
// scatter widely say less than they seem to: the slope shrinks them towards the
// class's middle. It starts at a given slope, as if from five answers.
type powerFit struct{ n, x, y, xx, xy float64 }

func (f *powerFit) add(est, work, least float64) {
	x, y := math.Log(est), math.Log(work)
	f.n++
	w := max(least, 1/f.n)
	dx, dy := x-f.x, y-f.y
	f.x += w * dx
	f.y += w * dy
	f.xx = (1 - w) * (f.xx + w*dx*dx)
	f.xy = (1 - w) * (f.xy + w*dx*dy)
}

func (f *powerFit) slope(first float64) float64 {
	n := min(f.n, 100)
	return max(0, min(1, (f.xy*n+5*first)/(f.xx*n+5)))
}

// predict is the work for an estimate; asked is the middle of log(estimate) until
// answers come, least the least slope.
func (f *powerFit) predict(est, asked, first, least float64) float64 {
	if est <= 0 {
		return est
	}
	x, y := f.x, f.y
	if f.n == 0 {
		x, y = asked, asked
	}
	return math.Exp(y + max(least, f.slope(first))*(math.Log(est)-x))
}

// keyOrder keeps the order of one key.
type keyOrder struct {
	queue        []*request
	openAttempts int
	restUntil    Micros
}

// runningMedian follows one rank of a stream, moved by ranks alone: outliers weigh
// no more than their count.
type runningMedian struct{ v, n float64 }

func (q *runningMedian) add(x, rank, least float64) {
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

const microsPerSecond = 1e6 // microseconds in a second

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) secondsSince(t Micros) float64 { return float64(g.now-t) / 1e6 }

// joinKeyOrder puts a request that goes in turn into its key's line; leave takes it out.
func (g *Gateway) joinKeyOrder(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		if g.keyOrders[q.OrderKey] == nil {
			g.keyOrders[q.OrderKey] = &keyOrder{}
		}
		t := g.keyOrders[q.OrderKey]
		t.queue = append(t.queue, q)
	}
}

func (g *Gateway) leaveKeyOrder(q *request) {
	if q.class.Ordered && q.HasOrderKey {
		t := g.keyOrders[q.OrderKey]
		t.queue = slices.DeleteFunc(t.queue, func(o *request) bool { return o == q })
	}
}

func (g *Gateway) enqueue(q *request) {
	if !q.queued {
		q.queued = true
		g.queue = append(g.queue, q)
	}
}

func (g *Gateway) dequeue(q *request) {
	if q.queued {
		q.queued = false
		g.queue = slices.DeleteFunc(g.queue, func(o *request) bool { return o == q })
	}
}

// openAttempt puts a new attempt on the books.
func (g *Gateway) openAttempt(a *attempt) {
	q, e := a.request, a.endpoint
	if len(q.attempts) > 0 {
		g.retriedAt = append(g.retriedAt, g.now)
	}
	q.attempts = append(q.attempts, a)
	q.openAttempts++
	if q.class.Ordered && q.HasOrderKey {
		g.keyOrders[q.OrderKey].openAttempts++
	}
	e.attempts = append(e.attempts, a)
	e.threads += q.class.threads
	e.unreportedThreads += q.class.threads
	e.unreportedMB += a.grantMB
	e.grantedMB += a.grantMB
	g.threads[a.level] += q.class.threads
}

// closeAttempt takes an attempt off the books.
func (g *Gateway) closeAttempt(a *attempt, code Code) {
	q, e := a.request, a.endpoint
	a.closed = true
	q.openAttempts--
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == a })
	e.threads -= q.class.threads
	if a.sentAt > e.loadAt {
		e.unreportedThreads -= q.class.threads
		e.unreportedMB -= a.grantMB
	}
	e.grantedMB -= a.grantMB
	g.threads[a.level] -= q.class.threads
	if code != Rejected && code != ConnectionRefused && code != NeverSent && q.firstRan == nil {
		q.firstRan = a
	}
	if q.class.Ordered && q.HasOrderKey {
		t := g.keyOrders[q.OrderKey]
		t.openAttempts--
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			t.restUntil = max(t.restUntil, g.now+g.settings.OrderingGap)
		}
	}
}

// maxGossipBytes is the wire's limit of a message to a peer, in bytes. A message is
// the number of tenants, their mean rates, then rows, freshest first.
const (
	maxGossipBytes = 256
	ageScale       = 32  // steps of an age of one second
	shareScale     = 100 // steps of a share of one
	inflationScale = 40  // steps of a log stretch of one
	rateScale      = 256 // steps of a rate of one a second
)

// What a row holds: these of its parts follow its key, flags and age.
const (
	hasUtilization = 1 << iota
	hasInFlight
	hasMemory
	hasInflation
	hasOwnAttempts
	hasLockedGroup
	isFault
)

// gossipRow is one engine's line in a message: the freshest that the sender knows, its
// own attempts there, and one group that a load holds.
type gossipRow struct {
	key                           uint32
	age                           Micros
	utilization, inFlight, memory float64 // report; negative: none
	inflation                     float64 // log stretch of the last answer
	fault                         bool    // that one was a fault
	threads, grantedShare         float64 // the sender's own; grants as a share of memory
	lockedGroup                   byte    // low bits of a group that a load holds; 0: none
}

// groupCode is a short name for a group of tables, never 0.
func groupCode(tables int64) byte { return byte(uint64(tables)%255) + 1 }

func toByte(x, scale float64) byte { return byte(max(0, min(255, math.Round(x*scale)))) }

// encodeGossip writes a message of the rows that fit.
func encodeGossip(rates []float64, rows []gossipRow) []byte {
	data := []byte{byte(len(rates))}
	for _, r := range rates {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(r, 0)*rateScale, math.MaxUint16)))
	}
	for _, r := range rows {
		var flags byte
		var rest []byte
		put := func(flag byte, has bool, bytes ...byte) {
			if has {
				flags, rest = flags|flag, append(rest, bytes...)
			}
		}
		put(hasUtilization, r.utilization >= 0, toByte(r.utilization, shareScale))
		put(hasInFlight, r.inFlight >= 0, toByte(r.inFlight, 1))
		put(hasMemory, r.memory >= 0, toByte(r.memory, shareScale))
		put(hasInflation, r.inflation != 0 && !r.fault, toByte(r.inflation+3, inflationScale))
		put(hasOwnAttempts, r.threads > 0, toByte(r.threads, 4), toByte(r.grantedShare, 255))
		put(hasLockedGroup, r.lockedGroup > 0, r.lockedGroup)
		put(isFault, r.fault)
		if len(data)+4+len(rest) > maxGossipBytes {
			break
		}
		data = append(append(data, byte(r.key>>8), byte(r.key), flags, toByte(float64(r.age)/1e6, ageScale)), rest...)
	}
	return data
}

// decodeGossip reads a message of n rates; ok is false where it does not parse.
func decodeGossip(data []byte, n int) (rates []float64, rows []gossipRow, ok bool) {
	if len(data) < 1+2*n || int(data[0]) != n {
		return nil, nil, false
	}
	for data = data[1:]; len(rates) < n; data = data[2:] {
		rates = append(rates, float64(binary.BigEndian.Uint16(data))/rateScale)
	}
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, nil, false
		}
		r := gossipRow{key: uint32(data[0])<<8 | uint32(data[1]), utilization: -1, inFlight: -1, memory: -1,
			age: Micros(data[3]) * 1e6 / ageScale, fault: data[2]&isFault != 0}
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
		get(hasUtilization, shareScale, 0, &r.utilization)
		get(hasInFlight, 1, 0, &r.inFlight)
		get(hasMemory, shareScale, 0, &r.memory)
		get(hasInflation, inflationScale, -3, &r.inflation)
		get(hasOwnAttempts, 4, 0, &r.threads)
		get(hasOwnAttempts, 255, 0, &r.grantedShare)
		get(hasLockedGroup, 1, 0, &group)
		if cut {
			return nil, nil, false
		}
		r.lockedGroup = byte(group)
		rows = append(rows, r)
	}
	return rates, rows, true
}

// drawEndpoint picks by weight.
func (g *Gateway) drawEndpoint(weights []float64, total float64) *endpoint {
	x, last := g.rng.Float64()*total, 0
	for i, w := range weights {
		if w > 0 {
			last = i
		}
		if x -= w; x < 0 && w > 0 {
			break
		}
	}
	return g.endpoints[last]
}

// recordLoad takes a report of a moment, ours or a peer's.
func (g *Gateway) recordLoad(e *endpoint, l Load, at Micros) {
	e.load, e.loadAt, e.unreportedThreads, e.unreportedMB = l, at, 0, 0
	e.reportArrivedAt, e.claimedThreads, e.claimDraw = g.now, 0, g.rng.Float64()
	for _, a := range e.attempts {
		if a.sentAt > at {
			e.unreportedThreads += a.request.class.threads
			e.unreportedMB += a.grantMB
		}
	}
}

// forgetGossip forgets a peer's word on its own attempts.
func (g *Gateway) forgetGossip(n int) {
	if p := g.peerReports[n]; p != nil {
		for _, r := range p.rows {
			if e := g.byWireID[r.key]; e != nil {
				e.gossipedThreads, e.gossipedMB = max(0, e.gossipedThreads-r.threads), max(0, e.gossipedMB-r.grantedShare*e.memoryMB)
			}
		}
		p.rows = nil
	}
}

func (c *class) delayCost() float64 {
	return c.PriorityWeight / (float64(c.Deadline) / microsPerSecond)
}

// logLine writes a log line, rarely.
func (g *Gateway) logLine(format string, args ...any) {
	if g.loggedAt == 0 || g.secondsSince(g.loggedAt) >= g.logInterval {
		g.loggedAt = g.now
		g.emit(LogLine{fmt.Sprintf(format, args...)})
	}
}

// beginStep begins a step.
func (g *Gateway) beginStep(now Micros) {
	if g.now, g.actions = now, nil; !g.started {
		g.started, g.pricedAt = true, now
	}
}

// handle hands an event to what decides on it.
func (g *Gateway) handle(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		g.handleEndpointUpdate(ev)
	case Request:
		g.handleRequest(ev)
	case AttemptResult:
		g.handleAttemptResult(ev)
	case Progress:
		g.handleProgress(ev)
	case HealthCheckResult:
		g.handleHealthCheckResult(ev)
	case GossipReceived:
		g.handleGossip(ev)
	case StreamStarted:
		if q := g.requests[ev.ID]; q != nil {
			q.streamed = true
		}
	case ClientDisconnected:
		if q := g.requests[ev.ID]; q != nil && !q.done {
			g.endRequest(q)
		}
	}
}

// summarizeFleet sums up the fleet: peers' words older than word are forgotten, ages count to
// fresh at most, and the crowd shrinks to keep of itself while nothing is heard.
func (g *Gateway) summarizeFleet(word, fresh, keep float64) {
	for ; len(g.arrivals) > 0 && g.secondsSince(g.arrivals[0].at) > word; g.arrivals = g.arrivals[1:] {
		if h := g.arrivals[0]; g.peerReports[h.from].at == h.at {
			g.forgetGossip(h.from)
		}
	}
	f := fleetSummary{occupancyExcess: g.fleet.occupancyExcess, everReported: g.fleet.everReported, threadsPerCoreByKind: map[int]runningMean{}}
	for _, h := range g.arrivals {
		if g.peerReports[h.from].at == h.at {
			f.peerCoverage += 1 / float64(g.settings.Peers-1)
		}
	}
	f.peerCoverage = min(f.peerCoverage, 1)
	var busy, age float64
	var faults []float64
	for _, e := range g.endpoints {
		if e.State != Healthy {
			continue
		}
		f.cores += e.cores
		age += min(g.secondsSince(e.lastResponse), fresh)
		if !e.ejected {
			f.trustedEndpoints++
		}
		faults = append(faults, e.faultShare)
		if k := g.reportConfidence(e); k > 0 {
			threads, _ := g.peerLoad(e)
			busy += e.cores
			f.threads += threads + e.threads
			of := f.threadsPerCoreByKind[e.Kind]
			of.add((threads+e.threads)/e.cores, 0)
			f.threadsPerCoreByKind[e.Kind] = of
		}
	}
	if f.threadsPerCore = g.fleet.threadsPerCore; busy > 0 {
		f.threadsPerCore, f.reported, f.everReported = f.threads/busy, true, true
	} else { // hearing nothing for long must not keep a gateway from trying
		f.threadsPerCore *= keep
		if !f.everReported { // no report ever does: what we have out, over our share, over some time
			f.threadsPerCore += (1 - keep) * g.threadsInFlight() / g.coreShare()
		}
	}
	if slices.Sort(faults); len(faults) > 0 {
		f.medianFaultShare = faults[(len(faults)-1)/2]
	}
	f.responseAge = age / max(1, float64(len(g.endpoints)))
	f.threads = f.threadsPerCore * f.cores
	g.fleet = f
}

// gossipRows is what to tell of the engines: what was heard within so many seconds, freshest first.
func (g *Gateway) gossipRows(known float64) []gossipRow {
	var rows []gossipRow
	for _, e := range g.endpoints {
		at := max(e.loadAt, e.lastResponse)
		if g.secondsSince(at) > known && e.threads == 0 {
			continue
		}
		r := gossipRow{key: e.wireID, age: g.now - at, utilization: -1, inFlight: -1, memory: -1, inflation: e.lastInflation, fault: e.lastWasFault,
			threads: e.threads, grantedShare: e.grantedMB / max(e.memoryMB, 1), lockedGroup: g.sampleLockedGroup(e)}
		if e.loadAt > 0 {
			r.utilization, r.inFlight, r.memory = e.load.Util, e.load.InFlight, e.load.Memory
		}
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b gossipRow) int { return int(a.age - b.age) })
	return rows
}

// sampleLockedGroup is one group that a load of ours holds on an engine, another each time.
func (g *Gateway) sampleLockedGroup(e *endpoint) byte {
	var groups []byte
	for _, a := range e.attempts {
		if a.request.class.LocksTables {
			groups = append(groups, groupCode(a.request.TableGroup))
		}
	}
	if len(groups) == 0 {
		return 0
	}
	return groups[g.rng.IntN(len(groups))]
}

// queueByWeight is what is held, most worth for its work first.
func (g *Gateway) queueByWeight() []*request {
	queue := slices.Clone(g.queue)
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(b.weight/b.work, a.weight/a.work) })
	return queue
}

// markRemoved marks what a whole list leaves out as gone.
func (g *Gateway) markRemoved(l EndpointUpdate) {
	for _, e := range g.endpoints {
		if l.Complete && !slices.ContainsFunc(l.Endpoints, func(r Endpoint) bool { return r.ID == e.ID }) {
			e.State = Removed
		}
	}
}

// sortEndpoints lists the engines that are not gone, by id. Of those that are, nothing is kept once no attempt is out there.
func (g *Gateway) sortEndpoints() {
	clear(g.endpoints)
	g.endpoints = g.endpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		switch e := g.byID[id]; {
		case e.State != Removed:
			g.endpoints = append(g.endpoints, e)
		case len(e.attempts) == 0:
			delete(g.byID, id)
			if g.byWireID[e.wireID] == e {
				delete(g.byWireID, e.wireID)
			}
		}
	}
}

// addEndpoint puts a new engine on the books.
func (g *Gateway) addEndpoint(r Endpoint) *endpoint {
	e := &endpoint{Endpoint: r, cores: 1, lastResponse: g.now, wireID: wireID(r.ID), tableLocks: map[byte]Micros{}}
	if r.Kind >= 0 && r.Kind < len(g.settings.Kinds) {
		e.cores, e.memoryMB = float64(max(g.settings.Kinds[r.Kind].Cores, 1)), g.settings.Kinds[r.Kind].MemoryMB
	}
	g.byID[r.ID], g.byWireID[e.wireID] = e, e
	return e
}

// recordRead notes that an engine reads a group; it keeps so many warm.
func (e *endpoint) recordRead(tables int64, keep int) {
	e.warmGroups = slices.DeleteFunc(e.warmGroups, func(t int64) bool { return t == tables })
	e.warmGroups = slices.Insert(e.warmGroups, 0, tables)
	e.warmGroups = e.warmGroups[:min(len(e.warmGroups), keep)]
}

// recordPeerAttempts puts a peer's word on its own attempts on the books, in place of its last.
func (g *Gateway) recordPeerAttempts(from int, rows []gossipRow) {
	g.forgetGossip(from)
	p := &peerReport{at: g.now}
	g.peerReports[from], g.arrivals = p, append(g.arrivals, gossipArrival{from, g.now})
	for _, r := range rows {
		if e := g.byWireID[r.key]; e != nil && r.threads > 0 {
			e.gossipedThreads, e.gossipedMB = e.gossipedThreads+r.threads, e.gossipedMB+r.grantedShare*e.memoryMB
			p.rows = append(p.rows, r)
		}
	}
}

// dropUntil drops the times up to a moment.
func dropUntil(times []Micros, at Micros) []Micros {
	for len(times) > 0 && times[0] <= at {
		times = times[1:]
	}
	return times
}

// threadsInFlight, grantsInFlightMB and attemptsInFlight count what this gateway has out.
func (g *Gateway) threadsInFlight() (n float64) {
	for _, t := range g.threads {
		n += t
	}
	return n
}

func (g *Gateway) grantsInFlightMB() (n float64) {
	for _, e := range g.endpoints {
		n += e.grantedMB
	}
	return n
}

func (g *Gateway) attemptsInFlight() (n float64) {
	for _, e := range g.endpoints {
		n += float64(len(e.attempts))
	}
	return n
}

// handleProgress learns from notes: projected time, memory missing, waits.
func (g *Gateway) handleProgress(p Progress) {
	q := g.requests[p.ID]
	if q == nil || p.Attempt < 0 || p.Attempt >= len(q.attempts) || q.attempts[p.Attempt].closed {
		return
	}
	a := q.attempts[p.Attempt]
	a.progressAt, a.endpoint.lastResponse = g.now, max(a.endpoint.lastResponse, g.now)
	a.endpoint.confirmAlive(a)
	switch p.Kind {
	case FractionDone:
		a.waiting, a.reportedProgress = false, true
		if p.Value > 0 {
			a.projectedTime = g.secondsSince(a.sentAt) / min(p.Value, 1)
		}
	case MemorySpilled:
		a.spilled = true
	default:
		a.waiting = true
		if p.Kind == WaitingForTables { // somebody's load holds the group there
			a.endpoint.tableLocks[groupCode(q.TableGroup)] = g.now
		}
	}
}

// endRequest forgets a request; what is still out is called off.
func (g *Gateway) endRequest(q *request) {
	q.done = true
	g.dequeue(q)
	for _, a := range q.attempts {
		g.cancelAttempt(a)
	}
	g.leaveKeyOrder(q)
	if q.openAttempts == 0 {
		delete(g.requests, q.ID)
	}
}

// initialize opens the books; margin is the log of grant over memory estimate at first.
func (g *Gateway) initialize(margin float64) {
	g.byID, g.byWireID, g.peerReports = map[string]*endpoint{}, map[uint32]*endpoint{}, map[int]*peerReport{}
	g.requests, g.keyOrders = map[string]*request{}, map[int64]*keyOrder{}
	for _, c := range g.settings.Classes {
		threads := float64(max(c.Threads, 1))
		g.meanThreads += threads / float64(len(g.settings.Classes))
		g.classes = append(g.classes, class{Class: c, threads: threads, grantMargin: margin})
	}
	for _, t := range g.settings.Tenants {
		g.tenants = append(g.tenants, tenant{quota: t.Quota})
	}
}

// awaitsHealthCheck tells that engines drawn for a query were asked within wait and have not answered.
func (g *Gateway) awaitsHealthCheck(q *request, wait float64) bool {
	return slices.ContainsFunc(q.candidates, func(e *endpoint) bool { return e.healthCheckPending && g.secondsSince(e.healthCheckAt) < wait })
}

// bestEndpoint is the one of the engines that weighs most; nil if none weighs.
func (g *Gateway) bestEndpoint(weights []float64, of []*endpoint) (best *endpoint) {
	most := 0.0
	for i, e := range g.endpoints {
		if weights[i] > most && slices.Contains(of, e) {
			best, most = e, weights[i]
		}
	}
	return best
}

// gossipRates is what to tell of traffic: the mean gateway's by tenant, and in all.
func (g *Gateway) gossipRates() (rates []float64) {
	for _, t := range g.tenants {
		rates = append(rates, t.meanRate)
	}
	return append(rates, g.meanRate)
}

// updateRates turns what was counted in a span into rates.
func (g *Gateway) updateRates(span, step float64) {
	g.rate += (g.received/span - g.rate) * step
	g.meanRate += (g.received/span - g.meanRate) * step // as fast as ours: at a start the share is right at once
	g.received = 0
	for i := range g.tenants {
		t := &g.tenants[i]
		t.rate += (t.received/span - t.rate) * step
		t.meanRate += (t.received/span - t.meanRate) * step
		t.received = 0
	}
}

// mergeRates moves what is known of the mean gateway towards a peer's word.
func (g *Gateway) mergeRates(rates []float64, step float64) {
	for i := range g.tenants {
		g.tenants[i].meanRate += (rates[i] - g.tenants[i].meanRate) * step
	}
	g.meanRate += (rates[len(g.tenants)] - g.meanRate) * step
}

// recordInflation notes the log stretch of an answer from an engine, there and for the fleet,
// whose middle is followed: lost answers and bad plans are fewer than half.
func (g *Gateway) recordInflation(e *endpoint, x, step, first, fresh, fleetStep float64) {
	step += (first - step) * min(1, g.secondsSince(e.lastResponse)/fresh) // more where little was heard of late
	g.inflation.add(x, 0.5, fleetStep)
	e.lastInflation = x
	e.inflation += (x - e.inflation) * step
}

// recordDispersion notes the log of an answer's time over its estimate: their middle, and how
// far they lie from it, each up to most.
func (c *class) recordDispersion(x, most, step float64) {
	c.latencyRatio.add(x, 0.5, step)
	c.dispersionCount++
	c.dispersion += (min(math.Abs(x-c.latencyRatio.v), most) - c.dispersion) * max(step, 1/c.dispersionCount)
}

// recordWarmth notes it for what warmth saves.
func (g *Gateway) recordWarmth(warm bool, x, step float64) {
	i := 0
	if warm {
		i = 1
	}
	g.warmthInflation[i] += (x - g.warmthInflation[i]) * step
}

// register puts a request on the books.
func (g *Gateway) register(r Request, c *class) *request {
	q := &request{Request: r, class: c, receivedAt: g.now}
	g.requests[r.ID] = q
	if g.active = append(g.active, q); g.settings.RetryBudgetWindow > 0 {
		g.receivedAt = append(g.receivedAt, g.now)
	}
	g.received++
	c.received++
	if r.Tenant >= 0 && r.Tenant < len(g.tenants) {
		g.tenants[r.Tenant].received++
	}
	return q
}

// objectiveSlack is the log stretch of answers that the aims leave, of the class with the least.
func (g *Gateway) objectiveSlack() float64 {
	least := math.Inf(1)
	for i := range g.classes {
		c := &g.classes[i]
		least = min(least, math.Log1p(float64(c.LatencyObjective)/microsPerSecond*c.threads/c.typicalWork()+c.ObjectiveStretch))
	}
	return least
}

// threadsPerCoreOf is the mean of a kind's engines, as far as any was heard of late; else the fleet's.
func (f *fleetSummary) threadsPerCoreOf(kind int) float64 {
	if of, ok := f.threadsPerCoreByKind[kind]; ok {
		return of.v
	}
	return f.threadsPerCore
}

// isNext tells that a request is first in its key's line and nothing else of the key is out.
func (t *keyOrder) isNext(q *request, now Micros) bool {
	return t.queue[0] == q && t.openAttempts <= q.openAttempts && (now >= t.restUntil || len(q.attempts) > 0)
}

// anyEndpoint picks blindly; nil if there is none.
func (g *Gateway) anyEndpoint() *endpoint {
	if len(g.endpoints) == 0 {
		return nil
	}
	return g.endpoints[g.rng.IntN(len(g.endpoints))]
}

// runningMean is a running mean: of all at first, later one that forgets.
type runningMean struct{ v, n float64 }

func (a *runningMean) add(x, step float64) {
	a.n++
	a.v += (x - a.v) * max(step, 1/a.n)
}
