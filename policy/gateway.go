package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
)

const (
	microsPerSecond = 1e6  // microseconds in a second
	timerInterval   = 0.02 // seconds between checks of attempts in flight: a few ticks of a dispatcher
	logInterval     = 1.0  // minimum seconds between two log lines
)

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

// New returns a gateway, or an error that names the unusable setting. The seed determines all random draws.
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

// initialize sets up the state of classes and tenants; margin is the first log of grant over memory
// estimate.
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

// Step takes the events of one moment and returns the actions they lead to, in order.
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

// beginStep sets the time of a step and clears the actions of the last one.
func (g *Gateway) beginStep(now Micros) {
	if g.now, g.actions = now, nil; !g.started {
		g.started, g.pricedAt = true, now
	}
}

// handle dispatches an event to the function that decides on it.
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

// emit appends an action to those that Step returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// secondsSince is the seconds from t until now.
func (g *Gateway) secondsSince(t Micros) float64 { return float64(g.now-t) / 1e6 }

// logLine emits a line for the operators' log, at most one in logInterval: a fault that repeats would flood
// it.
func (g *Gateway) logLine(format string, args ...any) {
	if g.loggedAt == 0 || g.secondsSince(g.loggedAt) >= g.logInterval {
		g.loggedAt = g.now
		g.emit(LogLine{fmt.Sprintf(format, args...)})
	}
}
