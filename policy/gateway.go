package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
)

const (
	microsPerSecond = 1e6 // microseconds in a second

	timerInterval = 0.02 // seconds between checks of open requests: a few steps of the dispatcher
	timerMicros   = Micros(timerInterval * microsPerSecond)
	minSeconds    = 1e-4 // lower bound in seconds for a time or work whose logarithm is taken

	logInterval = 1.0 // minimum seconds between two log lines
)

// Gateway makes the decisions of one dispatcher. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	rng      *rand.Rand
	now      Micros
	started  bool
	actions  []Action // emitted in the current step
	schedule schedule
	log      logLimiter

	classes   []class
	endpoints endpointTable
	ledger    ledger
	queue     admissionQueue
	keyOrders keyOrders
	threads   [priorityLevels]float64 // threads of this gateway's attempts in flight at each level

	retryBudget  retryBudget
	healthChecks healthCheckCredit
	traffic      traffic
	queries      queryMeans
	congestion   congestion
	cacheEffect  cacheEffect
	fleet        fleetSummary
	gossip       gossipState
	restored     map[string]LearnedEndpoint // from Restore, by ID, until listed; never iterated
}

// schedule holds the times at which periodic work is due or was last done.
type schedule struct {
	timerAt      Micros // next maintenance
	sendQueuedAt Micros // next attempt to send queued requests
	pollAt       Micros // next poll of the endpoint list
	pricedAt     Micros // last computation of prices
}

// logLimiter allows one log line per interval, since a repeated fault would flood the log.
type logLimiter struct {
	interval float64 // seconds
	lastAt   Micros  // time of the last line; 0: none yet
}

// New returns a gateway, or an error that names the invalid setting. The seed determines all random draws.
func New(seed uint64, s Settings) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	g := &Gateway{settings: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		log: logLimiter{interval: logInterval}, traffic: traffic{share: 1 / float64(s.Peers)},
		congestion: congestion{capacity: initialCapacity}}
	g.gossip.lastPeer = g.rng.IntN(s.Peers)
	margin := math.Log(reportedGrantMargin)
	if s.ProgressInterval == 0 {
		margin = math.Log(unreportedGrantMargin)
	}
	g.initialize(margin)
	g.congestion.slack = g.objectiveSlack()
	return g, nil
}

// initialize sets up the state of endpoints, requests, classes and tenants. The margin is the initial log
// ratio of memory grant to memory estimate.
func (g *Gateway) initialize(margin float64) {
	g.endpoints = endpointTable{byID: map[string]*endpoint{}, byWireID: map[uint32]*endpoint{}}
	g.gossip.reports = map[int]*peerReport{}
	g.ledger.requests, g.keyOrders = map[string]*request{}, keyOrders{}
	for _, c := range g.settings.Classes {
		threads := float64(max(c.Threads, 1))
		g.queries.threads += threads / float64(len(g.settings.Classes))
		g.classes = append(g.classes, class{Class: c, threads: threads, grantMargin: margin})
	}
	for _, t := range g.settings.Tenants {
		g.traffic.tenants = append(g.traffic.tenants, tenant{quota: t.Quota})
	}
}

// Step handles the events of the time now and returns the resulting actions in order. It also runs
// maintenance and sends queued requests when these are due.
func (g *Gateway) Step(now Micros, events []Event) []Action {
	g.beginStep(now)
	for _, ev := range events {
		g.handle(ev)
	}
	if now >= g.schedule.timerAt || len(g.ledger.active) > 0 && g.schedule.timerAt-now > timerMicros {
		g.runMaintenance()
		after := timerMicros
		if len(g.ledger.active) == 0 {
			after = Micros(priceInterval * microsPerSecond)
		}
		g.schedule.timerAt = now + after
		g.emit(SetTimer{After: after})
	}
	if now >= g.schedule.sendQueuedAt {
		g.sendQueued()
	}
	return g.actions
}

// beginStep sets the time of a step and clears the actions of the previous step.
func (g *Gateway) beginStep(now Micros) {
	g.now, g.actions = now, nil
	if !g.started {
		g.started, g.schedule.pricedAt = true, now
	}
}

// handle dispatches an event to its handler. A TimerFired event has none: Step looks at the time after
// every event.
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
		if q := g.ledger.requests[ev.ID]; q != nil {
			q.streamed = true
		}
	case ClientDisconnected:
		if q := g.ledger.requests[ev.ID]; q != nil && !q.closed {
			g.endRequest(q)
		}
	}
}

// emit appends an action to the list that Step returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// secondsSince returns the time from t until now, in seconds.
func (g *Gateway) secondsSince(t Micros) float64 { return seconds(g.now - t) }

// seconds converts a duration to seconds.
func seconds(d Micros) float64 { return float64(d) / microsPerSecond }

// toMicros converts a duration in seconds to Micros.
func toMicros(s float64) Micros { return Micros(s * microsPerSecond) }

// logLine emits a line for the operators' log, or drops it if the limiter does not allow it.
func (g *Gateway) logLine(format string, args ...any) {
	if g.log.lastAt == 0 || g.secondsSince(g.log.lastAt) >= g.log.interval {
		g.log.lastAt = g.now
		g.emit(LogLine{fmt.Sprintf(format, args...)})
	}
}
