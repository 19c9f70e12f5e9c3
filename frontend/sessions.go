package frontend

import (
	"context"
	"sync"
	"time"

	"embershunt/dispatch"
	"embershunt/nodelist"
	"embershunt/policy"
	"embershunt/session"
)

// Sessions runs the statements of sessions as the session machine decides: one lock guards the machine, and statements wait for
// their answers outside of it. All frontends of a dispatcher share one. It is safe for concurrent use.
type Sessions struct {
	intake   *Intake
	clock    dispatch.Clock
	releaser Releaser

	mu      sync.Mutex
	machine *session.Machine
	serial  uint64
	running map[uint64]chan session.Cancel // by serial of the statement
	handles map[string][]byte              // the nodes' own names of transactions, by session
	nodes   map[string]time.Time           // start times of the listed nodes

	wake chan struct{} // holds a token when the machine's next timer may have changed
}

// Releaser asks a node to release what it holds of a session; handle is the node's own name of the transaction, nil where it is
// not known. It does not block; done is called once.
type Releaser interface {
	Release(node, session string, handle []byte, done func(ok bool))
}

// NewSessions returns sessions with their limits.
func NewSessions(i *Intake, clock dispatch.Clock, l session.Limits, r Releaser) *Sessions {
	return &Sessions{
		intake:   i,
		clock:    clock,
		releaser: r,
		machine:  session.New(l),
		running:  map[uint64]chan session.Cancel{},
		handles:  map[string][]byte{},
		nodes:    map[string]time.Time{},
		wake:     make(chan struct{}, 1),
	}
}

// Close ends a session on behalf of its client.
func (s *Sessions) Close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(session.ClientClosed{ID: id})
}

// SetNodes puts a node list in force.
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
		if !started.IsZero() { // in the resolution of tokens
			started = time.UnixMicro(started.UnixMicro())
		}
		s.nodes[n.ID] = started
		ev.Nodes = append(ev.Nodes, session.Node{ID: n.ID, Draining: n.State == policy.Draining, Started: started,
			DrainsIn: drainsIn(n.DrainAt)})
	}
	s.step(ev)
}

// drainsIn is the time until an announced drain, at least 1; 0 where there is none.
func drainsIn(at time.Time) session.Micros {
	if at.IsZero() {
		return 0
	}
	return max(time.Until(at).Microseconds(), 1)
}

// Status counts the sessions known, those with state, and these by node.
func (s *Sessions) Status() (known, withState int, byNode map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Status()
}

// stateOf is the state of a session; mu is held.
func (s *Sessions) stateOf(id string) session.State {
	state, _ := s.machine.State(id)
	return state
}

// step steps the machine, carries out the actions that concern no caller, and returns all; mu is held.
func (s *Sessions) step(ev session.Event) []session.Action {
	actions := s.machine.Step(s.clock.Now(), ev)
	for _, a := range actions {
		switch a := a.(type) {
		case session.Cancel:
			if cancel := s.running[a.Serial]; cancel != nil {
				cancel <- a // does not block: a statement is cancelled once
			}
		case session.Unstick:
			delete(s.handles, a.ID)
		case session.Release:
			id := a.ID
			s.releaser.Release(a.Node, id, s.handles[id], func(ok bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.step(session.Released{ID: id, OK: ok})
			})
		}
	}
	s.pruneHandles()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return actions
}

// pruneHandles drops the handles of sessions that ended without an Unstick, once there are many of them.
func (s *Sessions) pruneHandles() {
	if len(s.handles) <= 2*s.machine.WithState()+100 {
		return
	}
	for id := range s.handles {
		if state := s.stateOf(id); state != session.Sticky && state != session.Ending {
			delete(s.handles, id)
		}
	}
}

// Run fires the machine's timers until ctx ends.
func (s *Sessions) Run(ctx context.Context) error {
	for {
		s.awaitTimer(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// awaitTimer waits for the machine's next timer and fires it; it returns early when that may have changed or ctx ends.
func (s *Sessions) awaitTimer(ctx context.Context) {
	s.mu.Lock()
	at, ok := s.machine.Next()
	s.mu.Unlock()
	var due <-chan time.Time
	if ok {
		timer, stop := s.clock.Timer(at)
		defer stop()
		due = timer
	}
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-due:
		s.mu.Lock()
		s.step(session.TimerFired{})
		s.mu.Unlock()
	}
}
