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

// NewSessionID returns a random id of 128 bits, unique among the sessions of all dispatchers.
func NewSessionID() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// StickySession says which node holds the state of a session. It is the content of the session's token, with which any dispatcher
// can continue the session.
type StickySession struct {
	ID      string    // of the session
	Tenant  string    // by name
	Node    string    // id of the node that holds the state
	Started time.Time // start time of the node when the state was created
	Since   time.Time // when the state was created
	Handle  []byte    // the node's handle of the transaction
}

// Statement is one statement of a session.
type Statement struct {
	Kind          session.Kind
	ReadOnly      bool
	Token         *StickySession // from the client's token; nil: it has none
	ID            string         // of the session, where Token is nil
	Tenant        int
	Name          string // of the table or option, for session.CreateState and DropState
	OutlivesState bool   // the session goes on without its state, as a connection does
	// OnDraining is called before the statement is sent if the session's node drains or is about to, with the time for which the
	// node still accepts the session's statements; may be nil.
	OnDraining func(remaining time.Duration)
	// Handle extracts the node's handle of the transaction from the answer to a session.Begin; may be nil.
	Handle func(outcome dispatch.Outcome) []byte
}

// execution is a statement that the machine has admitted and that is running.
type execution struct {
	statement Statement
	sessionID string
	tenant    string
	serial    uint64
	run       session.Run         // the machine's action
	cancel    chan session.Cancel // receives one value if the session ends while the statement runs
}

// Execute runs a statement of a session and waits for its final answer. If the statement creates the session's first state, Execute
// also returns where that state is. The error is a *SessionError or a *classify.BadHintError.
func (s *Sessions) Execute(ctx context.Context, c Call, statement Statement) (dispatch.Outcome, *StickySession, error) {
	e, err := s.begin(c, statement)
	if err != nil {
		return dispatch.Outcome{}, nil, err
	}
	if e.run.DrainsIn > 0 && statement.OnDraining != nil {
		statement.OnDraining(time.Duration(e.run.DrainsIn) * time.Microsecond)
	}
	if c.StickyTo = e.run.StickyTo; statement.Token != nil {
		c.StickyTo = statement.Token.Node // no other node has the state, whatever the machine says
	}
	query, err := s.intake.Submit(c)
	if err != nil {
		_, _ = s.end(e, dispatch.Outcome{}, err) // nothing was sent, so the answer is the error of Submit
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

// begin asks the machine whether a statement may run. The error is a *SessionError.
func (s *Sessions) begin(c Call, statement Statement) (*execution, error) {
	e := &execution{statement: statement, sessionID: statement.ID, tenant: s.intake.Tenant(c), cancel: make(chan session.Cancel, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if statement.Token != nil {
		e.sessionID, e.tenant = statement.Token.ID, statement.Token.Tenant
		s.resume(statement.Token)
	}
	s.serial++
	e.serial = s.serial
	for _, a := range s.step(session.StatementReceived{ID: e.sessionID, Serial: e.serial, Tenant: e.tenant, Kind: statement.Kind,
		Name: statement.Name, ReadOnly: statement.ReadOnly, HasToken: statement.Token != nil,
		OutlivesState: statement.OutlivesState}) {
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

// resume adds the session of a token to the machine, and the handle of its transaction, where they are not known. The caller holds
// mu.
func (s *Sessions) resume(token *StickySession) {
	if s.stateOf(token.ID) == session.Free {
		since := s.clock.Now() - time.Since(token.Since).Microseconds()
		s.step(session.Resumed{ID: token.ID, Tenant: token.Tenant, Node: token.Node, Started: token.Started, Since: since, InTransaction: true})
	}
	if s.stateOf(token.ID) == session.Sticky && s.handles[token.ID] == nil {
		s.handles[token.ID] = token.Handle
	}
}

// await waits for the final answer of a statement's query. When ctx or the session ends, the client counts as disconnected and the
// answer comes at once. If the session ended, await also returns the machine's Cancel.
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

// end tells the machine how a statement ended. If the statement created the session's first state, end returns where that state is.
// If the session ended with the statement, end returns a *SessionError.
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
		if stick, ok := a.(session.Stick); ok && stick.ID == e.sessionID {
			sticky = &StickySession{ID: stick.ID, Tenant: e.tenant, Node: stick.Node, Started: stick.Started, Since: time.Now(),
				Handle: s.handles[stick.ID]}
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

// outcomeOf returns the outcome of a statement for the machine: session.Unknown unless it is certain what the statement did.
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
