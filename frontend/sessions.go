package frontend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/session"
)

// Sessions carries out what the session module decides: one lock owns the module; statements wait for their answers
// outside of it. All fronts of a dispatcher share one.
type Sessions struct {
	desk    *Intake
	clock   dispatch.Clock
	release Releaser

	mu      sync.Mutex
	module  *session.Machine
	serial  uint64
	running map[uint64]chan session.Cancel // statements that run
	handles map[string][]byte            // what nodes call the transactions, by session
	nodes   map[string]time.Time         // starts of those listed
	wake    chan struct{}                // holds a token when the next Tick may have moved
}

// Releaser asks a node to end what it holds of a session; handle is what the node calls it, nil where that is not known.
// It does not block; done is called once.
type Releaser interface {
	Release(node, session string, handle []byte, done func(ok bool))
}

// NewSessions returns sessions with their limits.
func NewSessions(d *Intake, clock dispatch.Clock, l session.Limits, r Releaser) *Sessions {
	return &Sessions{desk: d, clock: clock, release: r, module: session.New(l), running: map[uint64]chan session.Cancel{},
		handles: map[string][]byte{}, nodes: map[string]time.Time{}, wake: make(chan struct{}, 1)}
}

// NewSessionID is a name that no other session has, whatever dispatcher makes it.
func NewSessionID() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// StickySession is where a session's state is: all that another dispatcher needs to go on with it.
type StickySession struct {
	ID      string
	Tenant  string
	Node    string
	Started time.Time
	Since   time.Time
	Handle  []byte // what the node calls the transaction
}

// SessionError tells why a statement was turned away, or called off, for its session's sake.
type SessionError struct {
	Reason     session.Reason
	State      session.State
	RetryAfter time.Duration
	Stopped    bool // it was under way
}

func (e *SessionError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, whyTexts[e.Reason]) }

// whyTexts are the reasons in words.
var whyTexts = map[session.Reason]string{
	session.ReasonBusy:            "another statement of this session runs",
	session.ReasonTooManySessions: "no room for another session: not begun",
	session.ReasonTooManyTables:   "this session has as many temporary tables as allowed",
	session.ReasonNoTransaction:   "no such transaction is open here",
	session.ReasonTransactionOpen: "a transaction is open already",
	session.ReasonNodesUnknown:    "this dispatcher has no node list yet",
	session.ReasonNodeDrained:     "its node drains and takes nothing new: the state is lost, begin again",
	session.ReasonNodeRemoved:     "its node is gone: the state is lost, begin again",
	session.ReasonNodeRestarted:   "its node was restarted: the state is lost, begin again",
	session.ReasonStateUnknown:    "what a statement did to its state is not known: the state is lost, begin again",
	session.ReasonStateMissing:    "its node has nothing of it any more: the state is lost, begin again",
	session.ReasonCommitUnknown:   "the commit may have happened or not; it is not repeated",
	session.ReasonIdle:            "it was idle for too long: rolled back",
	session.ReasonTooOld:          "it was open for too long: rolled back",
	session.ReasonClosed:          "it was closed by its client",
	session.ReasonTransactionDone: "the transaction was committed or rolled back already",
}

// CommitKnown tells whether it is sure that nothing of the session was committed by the statement that failed.
func (e *SessionError) CommitKnown() bool { return e.Reason != session.ReasonCommitUnknown }

// Statement is one statement of a session.
type Statement struct {
	Kind          session.Kind
	ReadOnly      bool
	Token         *StickySession // from the client's token; nil: it has none
	ID            string         // where it has none
	Tenant        int
	Name          string                          // of the table, for Make and Drop
	OutlivesState bool                            // the session outlives its state
	OnDraining    func(left time.Duration)        // told how long the node still takes its work, where that has an end
	Handle        func(v dispatch.Outcome) []byte // of Begin: what the node calls the transaction
}

// Execute hands a statement of a session over and waits for its final answer. A Begin that was served returns the pin.
func (s *Sessions) Execute(ctx context.Context, c Call, u Statement) (v dispatch.Outcome, pin *StickySession, err error) {
	id := u.ID
	if u.Token != nil {
		id = u.Token.ID
	}
	tenant := s.desk.Tenant(c)
	s.mu.Lock()
	if t := u.Token; t != nil {
		tenant = t.Tenant
		if since := s.clock.Now() - time.Since(t.Since).Microseconds(); s.known(id) == session.Free {
			s.step(session.Resumed{ID: id, Tenant: t.Tenant, Node: t.Node, Started: t.Started, Since: since, InTransaction: true})
		}
		if s.known(id) == session.Sticky && s.handles[id] == nil {
			s.handles[id] = t.Handle
		}
	}
	s.serial++
	serial := s.serial
	var run *session.Run
	for _, a := range s.step(session.StatementReceived{ID: id, Serial: serial, Tenant: tenant, Kind: u.Kind, Name: u.Name, ReadOnly: u.ReadOnly, HasToken: u.Token != nil, OutlivesState: u.OutlivesState}) {
		switch a := a.(type) {
		case session.Run:
			run = &a
		case session.Reject:
			if a.Serial == serial {
				s.mu.Unlock()
				return v, nil, &SessionError{Reason: a.Reason, State: a.State, RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond}
			}
		}
	}
	stop := make(chan session.Cancel, 1)
	s.running[serial] = stop
	s.mu.Unlock()
	if run.DrainsIn > 0 && u.OnDraining != nil {
		u.OnDraining(time.Duration(run.DrainsIn) * time.Microsecond)
	}
	if c.StickyTo = run.StickyTo; u.Token != nil {
		c.StickyTo = u.Token.Node // never elsewhere, whatever the books say
	}
	asked, err := s.desk.Submit(c)
	var stopped *session.Cancel
	if err == nil {
		select {
		case v = <-asked.Done:
		case <-ctx.Done():
			asked.Disconnect()
			v = <-asked.Done
		case st := <-stop:
			stopped = &st
			asked.Disconnect()
			v = <-asked.Done
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, serial)
	done := session.StatementEnded{ID: id, Serial: serial, Node: v.Node, Started: s.nodes[v.Node], Outcome: outcomeOf(v, err)}
	if u.Handle != nil && done.Outcome == session.OK && s.known(id) != session.Lost {
		s.handles[id] = u.Handle(v)
	}
	for _, a := range s.step(done) {
		if p, ok := a.(session.Stick); ok && p.ID == id {
			pin = &StickySession{ID: id, Tenant: tenant, Node: p.Node, Started: p.Started, Since: time.Now(), Handle: s.handles[id]}
		}
	}
	if err != nil {
		return v, nil, err
	}
	state, why := s.module.State(id)
	switch {
	case stopped != nil:
		return v, nil, &SessionError{Reason: stopped.Reason, State: session.Lost, RetryAfter: time.Duration(stopped.RetryAfter) * time.Microsecond, Stopped: true}
	case v.Kind != dispatch.Served && (state == session.Lost || state == session.Ending) && why != session.ReasonTransactionDone,
		u.Kind == session.Begin && pin == nil && v.Kind == dispatch.Served:
		return v, nil, &SessionError{Reason: why, State: session.Lost, Stopped: true}
	}
	return v, pin, nil
}

// outcomeOf reads a final answer, with care for what may have run.
func outcomeOf(v dispatch.Outcome, err error) session.Outcome {
	switch {
	case err != nil || v.Attempts == 0 || v.Kind == dispatch.Shed:
		return session.NotRun
	case errors.Is(v.Cause, session.ErrStateMissing):
		return session.StateMissing
	case v.Kind == dispatch.Served:
		return session.OK
	case v.Reason == dispatch.ReasonStatement:
		return session.NodeError
	}
	return session.Unknown
}

// Close ends a session by its client's word.
func (s *Sessions) Close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(session.ClientClosed{ID: id})
}

// SetNodes takes the node list in force.
func (s *Sessions) SetNodes(list []nodelist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.nodes)
	var ev session.NodeListUpdated
	for _, n := range list {
		if n.State == policy.Removed {
			continue
		}
		started := n.Started
		if !started.IsZero() { // as tokens have it
			started = time.UnixMicro(started.UnixMicro())
		}
		s.nodes[n.ID] = started
		ev.Nodes = append(ev.Nodes, session.Node{ID: n.ID, Draining: n.State == policy.Draining, Started: started,
			DrainsIn: drainsIn(n.DrainAt)})
	}
	s.step(ev)
}

// drainsIn is how long until an announced drain; 0 where there is none.
func drainsIn(at time.Time) session.Micros {
	if at.IsZero() {
		return 0
	}
	return max(time.Until(at).Microseconds(), 1)
}

// Status counts the sessions known, those with state, and these by node.
func (s *Sessions) Status() (known, held int, byNode map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Status()
}

func (s *Sessions) known(id string) session.State {
	state, _ := s.module.State(id)
	return state
}

// step plays an event and carries out what does not answer it; mu is held.
func (s *Sessions) step(ev session.Event) []session.Action {
	acts := s.module.Step(s.clock.Now(), ev)
	for _, a := range acts {
		switch a := a.(type) {
		case session.Cancel:
			if stop := s.running[a.Serial]; stop != nil {
				stop <- a // there is room: a statement is stopped once
			}
		case session.Unstick:
			delete(s.handles, a.ID)
		case session.Release:
			id := a.ID
			s.release.Release(a.Node, id, s.handles[id], func(ok bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.step(session.Released{ID: id, OK: ok})
			})
		}
	}
	if len(s.handles) > 2*s.module.WithState()+100 { // those of sessions that ended without a word of their node
		for id := range s.handles {
			if state := s.known(id); state != session.Sticky && state != session.Ending {
				delete(s.handles, id)
			}
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return acts
}

// Run lets time pass for the sessions until ctx ends.
func (s *Sessions) Run(ctx context.Context) error {
	for {
		s.mu.Lock()
		at, ok := s.module.Next()
		s.mu.Unlock()
		var due <-chan time.Time
		var stop func() bool
		if ok {
			due, stop = s.clock.Timer(at)
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-due:
			s.mu.Lock()
			s.step(session.TimerFired{})
			s.mu.Unlock()
		}
		if stop != nil {
			stop()
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}
