package frontend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"embershunt/dispatch"
	"embershunt/session"
)

// NewSessionID returns an id that no other session has, of any dispatcher.
func NewSessionID() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// StickySession is where the state of a session is: all that another dispatcher needs to continue it, as its token holds it.
type StickySession struct {
	ID      string
	Tenant  string
	Node    string
	Started time.Time // of the node
	Since   time.Time // when the state was created
	Handle  []byte    // the node's own name of the transaction
}

// Statement is one statement of a session.
type Statement struct {
	Kind          session.Kind
	ReadOnly      bool
	Token         *StickySession // from the client's token; nil: it has none
	ID            string         // of the session, where Token is nil
	Tenant        int
	Name          string // of the table, for session.CreateState and DropState
	OutlivesState bool   // the session goes on without its state
	// OnDraining is called with the time for which the session's node still accepts its statements, where it is to drain.
	OnDraining func(remaining time.Duration)
	// Handle reads the node's own name of the transaction out of the answer to a session.Begin.
	Handle func(outcome dispatch.Outcome) []byte
}

// execution is one statement under way.
type execution struct {
	statement Statement
	sessionID string
	tenant    string
	serial    uint64
	run       session.Run
	cancel    chan session.Cancel // receives one value when the session ends meanwhile
}

// Execute runs a statement of a session and waits for its final answer. The answer to the statement that creates the first state
// comes with where that state is. The error is a *SessionError or classify's.
func (s *Sessions) Execute(ctx context.Context, c Call, st Statement) (dispatch.Outcome, *StickySession, error) {
	e, err := s.begin(c, st)
	if err != nil {
		return dispatch.Outcome{}, nil, err
	}
	if e.run.DrainsIn > 0 && st.OnDraining != nil {
		st.OnDraining(time.Duration(e.run.DrainsIn) * time.Microsecond)
	}
	if c.StickyTo = e.run.StickyTo; st.Token != nil {
		c.StickyTo = st.Token.Node // never elsewhere, whatever the machine knows
	}
	query, err := s.intake.Submit(c)
	if err != nil {
		_, _ = s.end(e, dispatch.Outcome{}, err) // nothing was sent: the error of the call is the answer
		return dispatch.Outcome{}, nil, err
	}
	outcome, cancelled := e.await(ctx, query)
	sticky, err := s.end(e, outcome, nil)
	if cancelled != nil {
		return outcome, nil, &SessionError{Reason: cancelled.Reason, State: session.Lost,
			RetryAfter: time.Duration(cancelled.RetryAfter) * time.Microsecond, Stopped: true}
	}
	return outcome, sticky, err
}

// begin asks the machine whether a statement may run; the error is a *SessionError.
func (s *Sessions) begin(c Call, st Statement) (*execution, error) {
	e := &execution{statement: st, sessionID: st.ID, tenant: s.intake.Tenant(c), cancel: make(chan session.Cancel, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Token != nil {
		e.sessionID, e.tenant = st.Token.ID, st.Token.Tenant
		s.resume(st.Token)
	}
	s.serial++
	e.serial = s.serial
	for _, a := range s.step(session.StatementReceived{ID: e.sessionID, Serial: e.serial, Tenant: e.tenant, Kind: st.Kind, Name: st.Name,
		ReadOnly: st.ReadOnly, HasToken: st.Token != nil, OutlivesState: st.OutlivesState}) {
		switch a := a.(type) {
		case session.Run:
			e.run = a
		case session.Reject:
			if a.Serial == e.serial {
				return nil, &SessionError{Reason: a.Reason, State: a.State, RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond}
			}
		}
	}
	s.running[e.serial] = e.cancel
	return e, nil
}

// resume makes the session of a token known to the machine, where it is not; mu is held.
func (s *Sessions) resume(token *StickySession) {
	if s.stateOf(token.ID) == session.Free {
		since := s.clock.Now() - time.Since(token.Since).Microseconds()
		s.step(session.Resumed{ID: token.ID, Tenant: token.Tenant, Node: token.Node, Started: token.Started, Since: since, InTransaction: true})
	}
	if s.stateOf(token.ID) == session.Sticky && s.handles[token.ID] == nil {
		s.handles[token.ID] = token.Handle
	}
}

// await waits for the final answer of a statement's query. The query counts as disconnected, and is answered at once, when ctx ends
// or when the session ends meanwhile; await returns the machine's action in the latter case.
func (e *execution) await(ctx context.Context, q *PendingQuery) (dispatch.Outcome, *session.Cancel) {
	select {
	case outcome := <-q.Done:
		return outcome, nil
	case <-ctx.Done():
		q.Disconnect()
		return <-q.Done, nil
	case cancelled := <-e.cancel:
		q.Disconnect()
		return <-q.Done, &cancelled
	}
}

// end tells the machine of a statement's end. It returns where the session's state is from now on, if the statement created its
// first, and a *SessionError where the session ended with it.
func (s *Sessions) end(e *execution, outcome dispatch.Outcome, submitErr error) (*StickySession, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, e.serial)
	ended := session.StatementEnded{ID: e.sessionID, Serial: e.serial, Node: outcome.Node, Started: s.nodes[outcome.Node],
		Outcome: outcomeOf(outcome, submitErr)}
	if e.statement.Handle != nil && ended.Outcome == session.OK && s.stateOf(e.sessionID) != session.Lost {
		s.handles[e.sessionID] = e.statement.Handle(outcome)
	}
	var sticky *StickySession
	for _, a := range s.step(ended) {
		if st, ok := a.(session.Stick); ok && st.ID == e.sessionID {
			sticky = &StickySession{ID: st.ID, Tenant: e.tenant, Node: st.Node, Started: st.Started, Since: time.Now(), Handle: s.handles[st.ID]}
		}
	}
	state, reason := s.machine.State(e.sessionID)
	served := outcome.Kind == dispatch.Served
	lost := (state == session.Lost || state == session.Ending) && reason != session.ReasonTransactionDone
	if !served && lost || served && e.statement.Kind == session.Begin && sticky == nil {
		return nil, &SessionError{Reason: reason, State: session.Lost, Stopped: true}
	}
	return sticky, nil
}

// outcomeOf is the outcome of a statement for the machine: Unknown unless it is certain what the statement did.
func outcomeOf(outcome dispatch.Outcome, submitErr error) session.Outcome {
	switch {
	case submitErr != nil || outcome.Attempts == 0 || outcome.Kind == dispatch.Shed:
		return session.NotRun
	case errors.Is(outcome.Cause, session.ErrStateMissing):
		return session.StateMissing
	case outcome.Kind == dispatch.Served:
		return session.OK
	case outcome.Reason == dispatch.ReasonStatement:
		return session.NodeError
	}
	return session.Unknown
}
