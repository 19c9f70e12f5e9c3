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

// Sessions runs the statements of sessions as the session machine decides. One lock guards the machine; it is not held while a
// statement waits for its answer. All frontends of a dispatcher share one. It is safe for concurrent use.
type Sessions struct {
	intake   *Intake
	clock    dispatch.Clock
	releaser Releaser

	mu      sync.Mutex
	machine *session.Machine
	serial  uint64                         // of the last statement
	running map[uint64]chan session.Cancel // by serial of the statement
	handles map[string][]byte              // the nodes' handles of transactions, by session
	nodes   map[string]time.Time           // start times of the listed nodes, by node

	wake chan struct{} // of capacity 1: signals Run that the machine's next timer may have changed
}

// Releaser asks a node to release the state that it holds of a session. handle is the node's handle of the transaction, nil where
// it is not known. Release does not block; it calls done once, on another goroutine, with whether the node released the state. If
// the releaser is closed before that, done is not called.
type Releaser interface {
	Release(node, session string, handle []byte, done func(ok bool))
}

// NewSessions returns sessions that are bounded by the limits l.
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

// SetNodes applies a node list. Removed nodes count as not listed.
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
		if !started.IsZero() { // rounded like the start times in tokens, so that the two compare equal
			started = time.UnixMicro(started.UnixMicro())
		}
		s.nodes[n.ID] = started
		ev.Nodes = append(ev.Nodes, session.Node{ID: n.ID, Draining: n.State == policy.Draining, Started: started,
			DrainsIn: drainsIn(n.DrainAt)})
	}
	s.step(ev)
}

// drainsIn returns the time until an announced drain, at least 1 µs; 0 where no drain is announced.
func drainsIn(at time.Time) session.Micros {
	if at.IsZero() {
		return 0
	}
	return max(time.Until(at).Microseconds(), 1)
}

// Status returns the number of known sessions, of sessions with state, and of the latter by node.
func (s *Sessions) Status() (known, withState int, byNode map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Status()
}

// stateOf returns the state of a session; the caller holds mu.
func (s *Sessions) stateOf(id string) session.State {
	state, _ := s.machine.State(id)
	return state
}

// step applies an event to the machine, carries out its Cancel, Unstick and Release actions, and returns all actions. The caller
// holds mu.
func (s *Sessions) step(ev session.Event) []session.Action {
	actions := s.machine.Step(s.clock.Now(), ev)
	for _, a := range actions {
		switch a := a.(type) {
		case session.Cancel:
			if cancel := s.running[a.Serial]; cancel != nil {
				cancel <- a // does not block: the channel holds one value, and a statement is cancelled once
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

// pruneHandles drops the handles of sessions that ended without an Unstick. It runs only once the handles outnumber twice the
// sessions with state by more than 100, since it reads all of them. The caller holds mu.
func (s *Sessions) pruneHandles() {
	if len(s.handles) <= 2*s.machine.Reserved()+100 {
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

// awaitTimer waits for the machine's next timer and fires it. It returns early when the next timer may have changed or ctx ends.
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
