// Package session decides the life of client sessions whose state one query node holds: transactions, temporary tables,
// options that only that node knows. It is free of I/O, clock and goroutine: events go in, actions come out. The caller carries
// the actions out and makes the tokens (docs/design-session.md).
package session

import (
	"fmt"

	"embershunt/policy"
)

// Micros is a point in time or a duration, in microseconds of the caller's clock.
type Micros = policy.Micros

// State is the state of a session.
//
//	state    followed by  when
//	Free     Sticky       a statement has created state, or a token of another dispatcher is resumed
//	Free     Ending       it may have created state that cannot be used, or the client closes while it runs
//	Sticky   Ending       a timeout, the client or the loss of its node or of its state ends it
//	Sticky   Expired      its transaction is done and no table is left
//	Ending   Lost         the node has released the state, or cannot be asked to: see clientSession.endState
//	Ending   Expired      likewise
//
// A session is forgotten, that is Free again, when it has nothing to keep: a Free one whose statement created no state, a Sticky
// one that outlives its state when the state is dropped, a Lost or Expired one after Limits.Retention.
type State int

// The states.
const (
	Free    State = iota // no node holds state of it
	Sticky               // a node holds state of it
	Ending               // the node is being asked to release the state
	Lost                 // its state is lost or unknown
	Expired              // ended by a timeout, by its client or with its transaction
)

// String names the state in logs.
func (s State) String() string {
	return [...]string{"free", "pinned", "ending", "lost", "expired"}[s]
}

// Machine holds the sessions of one dispatcher. It is not safe for concurrent use.
type Machine struct {
	limits      Limits
	now         Micros   // of the step under way
	actions     []Action // of the step under way
	sessions    map[string]*clientSession
	nodes       map[string]*node
	hasNodeList bool           // a node list has come
	reserved    int            // sessions with state, and those whose first statement may create it
	tenants     map[string]int // those of reserved, by tenant
	timers      timerQueue
}

// New returns a machine without sessions.
func New(l Limits) *Machine {
	return &Machine{limits: l, sessions: map[string]*clientSession{}, nodes: map[string]*node{}, tenants: map[string]int{}}
}

// Step applies one event and returns the actions to carry out, in order.
func (m *Machine) Step(now Micros, ev Event) []Action {
	m.now, m.actions = now, nil
	m.expireTimers() // a session whose time is over has ended before the event
	switch ev := ev.(type) {
	case StatementReceived:
		m.statementReceived(ev)
	case StatementEnded:
		m.statementEnded(ev)
	case Resumed:
		m.resume(ev)
	case ClientClosed:
		m.clientClosed(ev)
	case NodeListUpdated:
		m.nodeListUpdated(ev)
	case Released:
		m.releaseEnded(ev)
	case TimerFired:
	default:
		panic(fmt.Sprintf("session: unknown event %T", ev))
	}
	m.expireTimers()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Next is when TimerFired is due; ok is false where no timer is set.
func (m *Machine) Next() (at Micros, ok bool) { return m.timers.next() }

// WithState counts the sessions with state.
func (m *Machine) WithState() int { return m.reserved }

// Status counts the sessions known, those with state, and the latter by node.
func (m *Machine) Status() (known, withState int, byNode map[string]int) {
	byNode = map[string]int{}
	for id, n := range m.nodes {
		if len(n.sessions) > 0 {
			byNode[id] = len(n.sessions)
		}
	}
	return len(m.sessions), m.reserved, byNode
}

// State is the state of a session, with the reason of its end; Free where it is not known.
func (m *Machine) State(id string) (State, Reason) {
	if s := m.sessions[id]; s != nil {
		return s.state, s.reason
	}
	return Free, ""
}

// statementEnded applies the end of a statement to its session.
func (m *Machine) statementEnded(ev StatementEnded) {
	s := m.sessions[ev.ID]
	if s == nil || s.running == nil || s.running.Serial != ev.Serial {
		return
	}
	statement := *s.running
	s.running, s.lastActivity = nil, m.now
	switch {
	case s.state == Ending:
		m.endedWhileEnding(s, statement, ev)
	case ev.Outcome == StateMissing:
		m.end(s, Lost, ReasonStateMissing)
	case statement.Kind.createsState():
		m.stateCreated(s, statement, ev)
	default:
		m.stateUsed(s, statement, ev)
	}
}

// endedWhileEnding releases the state of a session that ended while a statement ran, with what that statement has created.
func (m *Machine) endedWhileEnding(s *clientSession, statement StatementReceived, ev StatementEnded) {
	mayHaveRun := ev.Outcome == OK || ev.Outcome == Unknown
	if statement.Kind.createsState() && s.node == "" && ev.Node != "" && mayHaveRun {
		m.placeOn(s, ev)
		s.inTransaction = true
	}
	if statement.Kind == Commit && ev.Outcome == Unknown {
		s.reason = ReasonCommitUnknown
	}
	m.releaseState(s)
}

// stateCreated applies the end of a Begin or CreateState: from the first one on the session is sticky to its node.
func (m *Machine) stateCreated(s *clientSession, statement StatementReceived, ev StatementEnded) {
	if ev.Outcome == Unknown && ev.Node != "" { // the node may hold state of an unknown kind
		if s.node == "" {
			m.placeOn(s, ev)
		}
		s.inTransaction = true
		m.end(s, Lost, ReasonStateUnknown)
		return
	}
	if ev.Outcome != OK {
		m.forgetWithoutState(s)
		return
	}
	first := s.node == ""
	if first {
		m.placeOn(s, ev)
	}
	if statement.Kind == Begin {
		s.inTransaction = true
	} else {
		s.addTable(statement.Name)
	}
	if reason := m.lossOf(s); reason != "" {
		m.end(s, Lost, reason)
		return
	}
	if n := m.nodes[s.node]; first && m.limits.MaxPerNode > 0 && len(n.sessions) > m.limits.MaxPerNode {
		s.retryAfter = m.capacityRetryAfter()
		m.end(s, Lost, ReasonTooManySessions)
		return
	}
	s.state = Sticky
	if first {
		s.stateSince = m.now
		m.emit(Stick{ID: s.id, Node: s.node, Started: s.nodeStarted, Since: s.stateSince})
	}
	m.scheduleTimeout(s)
}

// stateUsed applies the end of a statement that creates no state.
func (m *Machine) stateUsed(s *clientSession, statement StatementReceived, ev StatementEnded) {
	answered := ev.Outcome == OK || ev.Outcome == NodeError
	switch {
	case statement.Kind == Commit && ev.Outcome == Unknown:
		m.end(s, Lost, ReasonCommitUnknown)
		return
	case ev.Outcome == Unknown && !statement.ReadOnly && (s.inTransaction || statement.Kind == DropState):
		m.end(s, Lost, ReasonStateUnknown)
		return
	case answered && (statement.Kind == Commit || statement.Kind == Rollback): // a node that fails a commit has rolled back
		s.inTransaction = false
	case statement.Kind == DropState && ev.Outcome == OK:
		delete(s.tables, statement.Name)
	}
	m.forgetWithoutState(s)
}

// forgetWithoutState forgets a session that has no state any more, or lets it expire where its client must be told; any other
// stays sticky.
func (m *Machine) forgetWithoutState(s *clientSession) {
	if s.hasState() {
		s.state = Sticky
		m.scheduleTimeout(s)
		return
	}
	if s.node == "" { // it never had state
		m.forget(s)
		return
	}
	m.emit(Unstick{ID: s.id})
	if s.outlivesState {
		m.forget(s)
		return
	}
	s.endState, s.reason = Expired, ReasonTransactionDone
	m.retainEnded(s)
}

// forget removes a session without state.
func (m *Machine) forget(s *clientSession) {
	m.freeReservation(s)
	delete(m.sessions, s.id)
}

// resume adopts a session whose state was created through another dispatcher, or before a restart of this one.
func (m *Machine) resume(ev Resumed) {
	if m.sessions[ev.ID] != nil || !m.hasNodeList {
		return
	}
	s := m.reserve(ev.ID, ev.Tenant)
	s.node, s.nodeStarted, s.stateSince, s.inTransaction = ev.Node, ev.Started, ev.Since, ev.InTransaction
	for _, table := range ev.Tables {
		s.addTable(table)
	}
	s.state = Sticky
	m.attach(s)
	if reason := m.lossOf(s); reason != "" {
		m.end(s, Lost, reason)
		return
	}
	m.scheduleTimeout(s)
}

// clientClosed ends a session on behalf of its client.
func (m *Machine) clientClosed(ev ClientClosed) {
	if s := m.sessions[ev.ID]; s != nil {
		m.end(s, Expired, ReasonClosed)
	}
}

// end begins the end of a session; endState follows once its node has released the state. A running statement is cancelled, and
// the release waits for its end.
func (m *Machine) end(s *clientSession, endState State, reason Reason) {
	if s.ended() {
		return
	}
	s.state, s.endState, s.reason = Ending, endState, reason
	if s.running != nil {
		m.emit(Cancel{ID: s.id, Serial: s.running.Serial, Reason: reason, RetryAfter: s.retryAfter})
		return
	}
	m.releaseState(s)
}

// retainEnded completes the end of a session: it is retained, without its state, so that its client can be told the reason.
func (m *Machine) retainEnded(s *clientSession) {
	m.freeReservation(s)
	s.state, s.lastActivity = s.endState, m.now
	m.reschedule(s, m.now+m.limits.Retention)
}
