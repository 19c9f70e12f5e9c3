// Package session manages client sessions whose state is on a single query node: transactions, temporary tables and options that
// only that node stores. It does no I/O, reads no clock and starts no goroutine: events go in, actions come out. The caller
// carries out the actions and issues the tokens (docs/design-session.md).
package session

import (
	"fmt"

	"embershunt/policy"
)

// Micros is a point in time or a duration, in microseconds of the caller's clock.
type Micros = policy.Micros

// State is the phase that a session is in.
//
//	state    followed by  when
//	Free     Sticky       a statement has created state, or a token of another dispatcher is resumed
//	Free     Ending       its first statement may have created state that cannot be used, or the client closes while that runs
//	Sticky   Ending       a timeout, the client or the loss of its node or of its state ends it
//	Sticky   Expired      its transaction is done and it has no table or option left
//	Ending   Lost         the node has released the state or cannot do so, or all attempts failed; clientSession.endState is Lost
//	Ending   Expired      likewise, where clientSession.endState is Expired
//
// The machine forgets a session, which counts as Free again, in three cases: the statement of a Free session created no state; a
// Sticky session that outlives its state has no state left; a Lost or Expired session has been retained for Limits.Retention.
type State int

// The states.
const (
	Free    State = iota // no node holds state of the session, as far as the machine knows
	Sticky               // a node holds state of the session
	Ending               // the node is being asked to release the state
	Lost                 // ended: the state is lost or unknown
	Expired              // ended by a timeout, by the client or with the transaction
)

// String returns the name of the state. Clients of Flight SQL get it in the metadata of an error.
func (s State) String() string {
	return [...]string{"free", "pinned", "ending", "lost", "expired"}[s]
}

// Machine holds the sessions of one dispatcher. It is not safe for concurrent use.
type Machine struct {
	limits      Limits
	now         Micros   // time of the current step
	actions     []Action // emitted so far in the current step
	sessions    map[string]*clientSession
	nodes       map[string]*node
	hasNodeList bool           // a node list has been applied
	reserved    int            // sessions counted in the limits: with state, or with a running first statement that may create it
	tenants     map[string]int // reserved, by tenant
	timers      timerQueue
}

// New returns a machine without sessions and without a node list.
func New(l Limits) *Machine {
	return &Machine{limits: l, sessions: map[string]*clientSession{}, nodes: map[string]*node{}, tenants: map[string]int{}}
}

// Step applies one event and returns the actions to carry out, in order.
func (m *Machine) Step(now Micros, ev Event) []Action {
	m.now, m.actions = now, nil
	m.expireTimers() // a session that has timed out ends before the event is applied
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

// Next returns when TimerFired is due; ok is false if no timer is set.
func (m *Machine) Next() (at Micros, ok bool) { return m.timers.next() }

// Reserved returns the number of sessions counted in the limits: those with state, and those whose running first statement may
// create it.
func (m *Machine) Reserved() int { return m.reserved }

// Status returns the number of known sessions, the number that Reserved returns, and the number of sessions with state on each
// node.
func (m *Machine) Status() (known, withState int, byNode map[string]int) {
	byNode = map[string]int{}
	for id, n := range m.nodes {
		if len(n.sessions) > 0 {
			byNode[id] = len(n.sessions)
		}
	}
	return len(m.sessions), m.reserved, byNode
}

// State returns the state of a session and the reason of its end. A session that is not known is Free.
func (m *Machine) State(id string) (State, Reason) {
	if s := m.sessions[id]; s != nil {
		return s.state, s.reason
	}
	return Free, ""
}

// statementEnded applies the end of a statement to its session. It ignores a statement that is not the running one.
func (m *Machine) statementEnded(ev StatementEnded) {
	s := m.sessions[ev.ID]
	if s == nil || s.running == nil || s.running.Serial != ev.Serial {
		return
	}
	statement := *s.running
	s.running, s.lastActivity = nil, m.now
	switch {
	case s.state == Ending:
		m.statementEndedWhileEnding(s, statement, ev)
	case ev.Outcome == StateMissing:
		m.end(s, Lost, ReasonStateMissing)
	case statement.Kind.createsState():
		m.stateCreated(s, statement, ev)
	default:
		m.stateUsed(s, statement, ev)
	}
}

// statementEndedWhileEnding releases the state of a session whose end began while the statement was running, including the state
// that the statement has created.
func (m *Machine) statementEndedWhileEnding(s *clientSession, statement StatementReceived, ev StatementEnded) {
	mayHaveRun := ev.Outcome == OK || ev.Outcome == Unknown
	if statement.Kind.createsState() && s.node == "" && ev.Node != "" && mayHaveRun {
		m.placeOn(s, ev)
		s.inTransaction = true // makes releaseState ask the node, whichever kind of state this is
	}
	if statement.Kind == Commit && ev.Outcome == Unknown {
		s.reason = ReasonCommitUnknown
	}
	m.releaseState(s)
}

// stateCreated applies the end of a Begin or CreateState. The first that succeeds makes the session sticky to its node.
func (m *Machine) stateCreated(s *clientSession, statement StatementReceived, ev StatementEnded) {
	if ev.Outcome == Unknown && ev.Node != "" { // the node may hold new state, which has to be released
		if s.node == "" {
			m.placeOn(s, ev)
		}
		s.inTransaction = true
		m.end(s, Lost, ReasonStateUnknown)
		return
	}
	if ev.Outcome != OK {
		m.endIfStateless(s)
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
	if reason := m.lossReason(s); reason != "" {
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

// stateUsed applies the end of a statement of a kind that creates no state.
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
	m.endIfStateless(s)
}

// endIfStateless ends a session that has no state left. It forgets a session that never had state or that outlives its state; any
// other expires, so that its client can be told. A session that still has state stays sticky.
func (m *Machine) endIfStateless(s *clientSession) {
	if s.hasState() {
		s.state = Sticky
		m.scheduleTimeout(s)
		return
	}
	if s.node == "" { // no statement has created state
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

// forget removes a session that has no state on a node.
func (m *Machine) forget(s *clientSession) {
	m.freeReservation(s)
	delete(m.sessions, s.id)
}

// resume adds a session whose state was created through another dispatcher, or before a restart of this one. It ignores a
// session that is known already and, before the first node list, every session.
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
	if reason := m.lossReason(s); reason != "" {
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

// end begins to end a session, which enters endState once its node has released the state. It cancels a running statement; the
// state is released when that statement has ended.
func (m *Machine) end(s *clientSession, endState State, reason Reason) {
	if s.endingOrEnded() {
		return
	}
	s.state, s.endState, s.reason = Ending, endState, reason
	if s.running != nil {
		m.emit(Cancel{ID: s.id, Serial: s.running.Serial, Reason: reason, RetryAfter: s.retryAfter})
		return
	}
	m.releaseState(s)
}

// retainEnded completes the end of a session. The machine retains it without state for Limits.Retention, so that its client can
// be told the reason.
func (m *Machine) retainEnded(s *clientSession) {
	m.freeReservation(s)
	s.state, s.lastActivity = s.endState, m.now
	m.reschedule(s, m.now+m.limits.Retention)
}
