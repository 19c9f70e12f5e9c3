// Package session decides the life of clients' sessions whose state one query node holds: transactions, temporary tables,
// options that only that node knows. It is free of I/O, clock and goroutine: what happened goes in, what to do comes out.
// Who carries it out, and where tokens come from, is the caller's (docs/design-session.md).
package session

import (
	"errors"
	"fmt"
	"time"

	"embershunt/policy"
)

// Micros is a point in time or a span, in microseconds of the caller's clock.
type Micros = policy.Micros

// Limits bound sessions. Zero values of counts mean no limit, those of spans that the rule does not apply.
type Limits struct {
	All, PerTenant, PerNode int    // sessions with state, those that begin among them
	Tables                  int    // temporary tables of one session
	Idle                    Micros // without a statement
	Age                     Micros // since its state began
	DrainGrace              Micros // pinned work may reach a node for so long after its drain was told
	RetrySpread             Micros // clients of a lost node come back over this time
	Retention               Micros // how long an ended session is known, to tell its client why
}

// Kind is what a statement does to its session.
type Kind int

// The kinds of statement.
const (
	Plain       Kind = iota
	Begin            // begins a transaction
	Commit           // ends it for good; running it twice would be wrong
	Rollback         // ends it without effect
	CreateState      // makes a temporary table, or sets what only the node knows
	DropState        // takes it back
)

func (k Kind) String() string {
	return [...]string{"plain", "begin", "commit", "rollback", "make", "drop"}[k]
}

// Outcome is how a statement ended.
type Outcome int

// The outcomes.
const (
	OK           Outcome = iota
	NotRun               // known not to have run
	NodeError            // the node's own word that it failed
	Unknown              // it may have run
	StateMissing         // it did not run: the node has nothing of the session any more
)

// ErrStateMissing is how a caller tells of Missing: as the cause of an answer.
var ErrStateMissing = errors.New("the node has nothing of this session any more")

// State is where a session stands.
type State int

// The states.
const (
	Free    State = iota // no node holds anything of it
	Sticky               // a node does
	Ending               // its end is under way at the node
	Lost                 // its state is gone, or nobody knows of it
	Expired              // ended by a time-out, or by its client
)

func (s State) String() string {
	return [...]string{"free", "pinned", "ending", "lost", "expired"}[s]
}

// Reason is the reason of a refusal or an end, as clients are told it.
type Reason string

// The reasons. Those of the first group refuse one statement and leave the session as it is.
const (
	ReasonBusy            Reason = "SESSION_BUSY"      // another statement of it runs
	ReasonTooManySessions Reason = "TOO_MANY_SESSIONS" // in all, of its tenant or on its node
	ReasonTooManyTables   Reason = "TOO_MANY_TABLES"
	ReasonNoTransaction   Reason = "NO_TRANSACTION" // to commit, to roll back or to drop
	ReasonTransactionOpen Reason = "TRANSACTION_OPEN"
	ReasonNodesUnknown    Reason = "NODES_NOT_KNOWN" // this dispatcher has no node list yet

	ReasonNodeDrained     Reason = "NODE_DRAINED"     // its node takes nothing new any more
	ReasonNodeRemoved     Reason = "NODE_GONE"        // its node left the list
	ReasonNodeRestarted   Reason = "NODE_RESTARTED"   // a node of that name is there, without its state
	ReasonStateUnknown    Reason = "STATE_UNKNOWN"    // what a statement did to its state is not known
	ReasonStateMissing    Reason = "STATE_GONE"       // its node has nothing of it any more
	ReasonCommitUnknown   Reason = "COMMIT_UNKNOWN"   // the commit may have happened or not
	ReasonIdle            Reason = "SESSION_IDLE"     //
	ReasonTooOld          Reason = "SESSION_TOO_OLD"  //
	ReasonClosed          Reason = "SESSION_CLOSED"   // by its client
	ReasonTransactionDone Reason = "TRANSACTION_DONE" // committed or rolled back
)

// Event is something that happened.
type Event interface{ isEvent() }

// The events.
type (
	// StatementReceived is a statement that wants to run. Exactly one of Run and Refuse answers it.
	StatementReceived struct {
		ID            string // of the session; one that is not known begins
		Serial        uint64 // of the statement, never used twice
		Tenant        string // by name: numbers change with the settings
		Kind          Kind
		Name          string // of the table or option, for Make and Drop
		ReadOnly      bool   // it changes nothing, not even within a transaction
		HasToken      bool   // its client holds a token: it must not run where the state is not
		OutlivesState bool   // the session outlives its state, as a connection does
	}
	// Resumed tells of a session that another dispatcher, or this one before it restarted, has pinned. The caller has
	// checked the token that says so.
	Resumed struct {
		ID      string
		Tenant  string
		Node    string
		Started time.Time // of the node, when the state was made
		Since   Micros    // when its state began; may lie before the clock's begin
		Tx      bool
		Tables  []string
	}
	// StatementEnded is the end of a statement that was run.
	StatementEnded struct {
		ID      string
		Serial  uint64
		Node    string    // where its last attempt was; "" where nothing was sent
		Started time.Time // of that node when it was sent
		Outcome Outcome
	}
	// Listed is the node list in force.
	Listed struct{ Nodes []Node }
	// Closed tells that the client has ended its session, or is gone.
	Closed struct{ ID string }
	// Released is the end of a Release.
	Released struct {
		ID string
		OK bool
	}
	// TimerFired lets time pass.
	TimerFired struct{}
)

// Node is what the list says of one.
type Node struct {
	ID       string
	Draining bool
	Started  time.Time // zero: long ago
	DrainsIn Micros    // a drain that is announced: after so long; 0: none
}

func (StatementReceived) isEvent() {}
func (Resumed) isEvent()           {}
func (StatementEnded) isEvent()    {}
func (Listed) isEvent()            {}
func (Closed) isEvent()            {}
func (Released) isEvent()          {}
func (TimerFired) isEvent()        {}

// Action is something to do about it.
type Action interface{ isAction() }

// The actions, to be carried out in order.
type (
	// Run lets a statement go: to Only, or where the decision module likes.
	Run struct {
		ID       string
		Serial   uint64
		StickyTo string
		// DrainsIn is how long the session's node still takes its work, where that has an end: it drains, or will.
		DrainsIn Micros
	}
	// Reject turns a statement away; nothing was sent for it. State tells what became of the session, RetryAfter when
	// to begin anew.
	Reject struct {
		ID         string
		Serial     uint64
		Reason     Reason
		State      State
		RetryAfter Micros
	}
	// Stop calls a statement off whose session has ended; its client is told Why.
	Stop struct {
		ID         string
		Serial     uint64
		Reason     Reason
		RetryAfter Micros
	}
	// Stick and Unpin tell what is to be written into the session's token.
	Stick struct {
		ID      string
		Node    string
		Started time.Time
		Since   Micros
	}
	// Unstick tells that no node holds anything of a session any more.
	Unstick struct{ ID string }
	// Release asks a node to end what it holds of a session, as far as it does.
	Release struct {
		ID, Node string
	}
)

func (Run) isAction()     {}
func (Reject) isAction()  {}
func (Stop) isAction()    {}
func (Stick) isAction()   {}
func (Unstick) isAction() {}
func (Release) isAction() {}

// entry is one session.
type entry struct {
	id      string
	tenant  string
	state   State
	final   State  // what Ending leads to
	why     Reason // of Ending, Lost and Expired
	back    Micros
	node    string
	started time.Time
	since   Micros // its state began
	used    Micros // last statement begun or ended; of an ended session: when it ended
	tx      bool
	tables  map[string]bool
	lasts   bool
	running *StatementReceived // nil: none
	tries   int                // of its release
	at      int                // place among those of its node; -1: none
	counted bool               // in the limits
	queued  Micros             // when it is looked at next; 0: never
}

// pinned tells that a node holds something of it.
func (e *entry) pinned() bool { return e.tx || len(e.tables) > 0 }

// over tells that it has ended, or is about to.
func (e *entry) over() bool { return e.state == Ending || e.state == Lost || e.state == Expired }

// node is what is known of one.
type node struct {
	listed  bool
	started time.Time
	told    Micros // when its drain or end was told; 0: it is healthy
	drainAt Micros // when an announced drain begins; 0: none
	pins    []*entry
}

// Module decides for one dispatcher. It is not safe for concurrent use.
type Module struct {
	limits  Limits
	now     Micros
	out     []Action
	all     map[string]*entry
	nodes   map[string]*node
	tenants map[string]int // sessions with state, by tenant
	held    int            // sessions with state, or on the way to it
	heard   bool           // of a node list
	due     queue          // what is looked at next, by time
}

// New returns a module without sessions.
func New(l Limits) *Module {
	return &Module{limits: l, all: map[string]*entry{}, nodes: map[string]*node{}, tenants: map[string]int{}}
}

// Step plays one event and returns what to do.
func (m *Module) Step(now Micros, ev Event) []Action {
	m.now, m.out = now, nil
	m.tick() // what is over is over before anything else happens
	switch ev := ev.(type) {
	case StatementReceived:
		m.asked(ev)
	case Resumed:
		m.resumed(ev)
	case StatementEnded:
		m.done(ev)
	case Listed:
		m.listed(ev)
	case Closed:
		m.closed(ev)
	case Released:
		m.released(ev)
	case TimerFired:
	default:
		panic(fmt.Sprintf("session: unknown event %T", ev))
	}
	m.tick()
	return m.out
}

// Next is when a Tick is due; ok is false where none is.
func (m *Module) Next() (at Micros, ok bool) { return m.due.first() }

// WithState counts sessions with state.
func (m *Module) WithState() int { return m.held }

// Status counts sessions with state: in all, and by node.
func (m *Module) Status() (known, held int, byNode map[string]int) {
	byNode = map[string]int{}
	for id, n := range m.nodes {
		if len(n.pins) > 0 {
			byNode[id] = len(n.pins)
		}
	}
	return len(m.all), m.held, byNode
}

// State tells where a session stands; Free where it is not known.
func (m *Module) State(id string) (State, Reason) {
	if e := m.all[id]; e != nil {
		return e.state, e.why
	}
	return Free, ""
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

func (m *Module) refuse(ev StatementReceived, why Reason, e *entry) {
	r := Reject{ID: ev.ID, Serial: ev.Serial, Reason: why}
	if e != nil {
		if r.State = e.state; e.over() {
			r.RetryAfter = e.back
		}
	}
	m.do(r)
}

// asked answers a statement that wants to run.
func (m *Module) asked(ev StatementReceived) {
	e := m.all[ev.ID]
	switch {
	case e != nil && e.over():
		m.refuse(ev, e.why, e)
		return
	case e == nil && ev.HasToken && !m.heard:
		m.do(Reject{ID: ev.ID, Serial: ev.Serial, Reason: ReasonNodesUnknown, RetryAfter: earlyBack})
		return
	case e != nil && e.running != nil:
		m.refuse(ev, ReasonBusy, e)
		return
	case e == nil && (ev.HasToken || ev.Kind == Commit || ev.Kind == Rollback || ev.Kind == DropState),
		e != nil && (ev.Kind == Commit || ev.Kind == Rollback) && !e.tx,
		e != nil && ev.Kind == DropState && !e.tables[ev.Name]:
		m.refuse(ev, ReasonNoTransaction, e)
		return
	case e != nil && ev.Kind == Begin && e.tx:
		m.refuse(ev, ReasonTransactionOpen, e)
		return
	case e != nil && ev.Kind == CreateState && m.limits.Tables > 0 && !e.tables[ev.Name] && len(e.tables) >= m.limits.Tables:
		m.refuse(ev, ReasonTooManyTables, e)
		return
	}
	if e == nil && ev.Kind != Begin && ev.Kind != CreateState { // no state, and none is made: nothing to keep
		m.do(Run{ID: ev.ID, Serial: ev.Serial})
		return
	}
	if e == nil {
		if l := m.limits; l.All > 0 && m.held >= l.All || l.PerTenant > 0 && m.tenants[ev.Tenant] >= l.PerTenant {
			m.do(Reject{ID: ev.ID, Serial: ev.Serial, Reason: ReasonTooManySessions, RetryAfter: m.comeBack()})
			return
		}
		e = m.add(ev.ID, ev.Tenant)
		e.lasts = ev.OutlivesState
	}
	e.running, e.used = &ev, m.now
	m.do(Run{ID: ev.ID, Serial: ev.Serial, StickyTo: e.node, DrainsIn: m.notice(e)})
}

// notice is how long a session's node still takes its work; 0 where no end is known.
func (m *Module) notice(e *entry) Micros {
	n := m.nodes[e.node]
	switch {
	case n == nil || n.told == 0 && n.drainAt == 0:
		return 0
	case n.told > 0:
		return max(n.told+m.limits.DrainGrace-m.now, 1)
	}
	return max(n.drainAt+m.limits.DrainGrace-m.now, 1)
}

// earlyBack is when a node list may be there.
const earlyBack = Micros(500e3)

// add makes a session that is counted from now on.
func (m *Module) add(id, tenant string) *entry {
	e := &entry{id: id, tenant: tenant, since: m.now, used: m.now, at: -1, counted: true}
	m.all[id] = e
	m.held++
	m.tenants[tenant]++
	return e
}

// comeBack is when a session may have ended: they end evenly over their age, so one of n does each nth part of it.
func (m *Module) comeBack() Micros {
	return max(m.limits.Idle, m.limits.Age) / Micros(max(m.held, 1))
}

// uncount ends a session's part in all limits.
func (m *Module) uncount(e *entry) {
	if e.counted {
		e.counted = false
		m.held--
		if m.tenants[e.tenant]--; m.tenants[e.tenant] == 0 {
			delete(m.tenants, e.tenant)
		}
	}
	m.detach(e)
	e.node, e.tx, e.tables = "", false, nil
}

// detach takes a session off its node.
func (m *Module) detach(e *entry) {
	if n := m.nodes[e.node]; n != nil && e.at >= 0 {
		last := len(n.pins) - 1
		n.pins[e.at] = n.pins[last]
		n.pins[e.at].at = e.at
		n.pins = n.pins[:last]
		if last == 0 && !n.listed {
			delete(m.nodes, e.node)
		}
	}
	e.at = -1
}

// attach puts a session on its node.
func (m *Module) attach(e *entry) {
	n := m.nodes[e.node]
	if n == nil {
		n = &node{}
		m.nodes[e.node] = n
	}
	e.at = len(n.pins)
	n.pins = append(n.pins, e)
}

// end brings a session to its last state. Its client is told at once; what its node may hold is released when no statement
// is out any more.
func (m *Module) end(e *entry, final State, why Reason) {
	if e.over() {
		return
	}
	e.state, e.final, e.why = Ending, final, why
	if e.running != nil {
		m.do(Stop{ID: e.id, Serial: e.running.Serial, Reason: why, RetryAfter: e.back})
		return
	}
	m.wind(e)
}

// wind ends what no statement keeps any more: by its node's word, or at once where there is nothing to be ended.
func (m *Module) wind(e *entry) {
	if e.pinned() && m.holds(e) {
		e.tries++
		m.do(Release{ID: e.id, Node: e.node})
		m.look(e, m.now+releaseWithin) // were the answer never to come
		return
	}
	m.bury(e)
}

// bury keeps a session's end in mind for its client, and nothing else.
func (m *Module) bury(e *entry) {
	m.uncount(e)
	e.state, e.used = e.final, m.now
	m.look(e, m.now+m.limits.Retention)
}

// holds tells that its node is the one that had its state, and can be spoken to.
func (m *Module) holds(e *entry) bool {
	n := m.nodes[e.node]
	return e.node != "" && n != nil && n.listed && n.started.Equal(e.started)
}

// releaseMost bounds the tries to have a node end what it holds; releaseEvery is the time between them, releaseWithin the
// time after which one counts as failed.
const (
	releaseMost   = 5
	releaseEvery  = Micros(1e6)
	releaseWithin = Micros(5e6)
)

// released ends the end of a session. What a node would not hear of it ends by its own time-out.
func (m *Module) released(ev Released) {
	e := m.all[ev.ID]
	if e == nil || e.state != Ending || e.running != nil || e.tries == 0 {
		return
	}
	if !ev.OK && e.tries < releaseMost && m.holds(e) {
		e.queued = 0
		m.look(e, m.now+releaseEvery)
		return
	}
	m.bury(e)
}

// look sees to it that a session is looked at by then.
func (m *Module) look(e *entry, at Micros) {
	if at = max(at, 1); e.queued != 0 && e.queued <= at {
		return
	}
	e.queued = at
	m.due.put(at, e.id)
}
