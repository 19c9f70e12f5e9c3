package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"embershunt/dispatch"
	"embershunt/internal/flightwire"
	"embershunt/internal/lineproto"
	"embershunt/internal/native"
	"embershunt/policy"
	"embershunt/session"
)

// Errors of attempts in any protocol. Errors that a node returns have types of their own in each protocol.
var (
	errNotConnected  = errors.New("no connection to the node in time")
	errUnknownNode   = errors.New("the node is not in the list")
	errWrongProtocol = errors.New("the node does not speak the query's protocol")
	errCancelled     = errors.New("called off")
	errTimedOut      = errors.New("no answer in time")
	errNeverSent     = errors.New("over before anything was sent")
)

// attempt is one attempt in flight in any protocol. Send creates it, ForwardResponse lets its response go to the client, and its
// node, its deadline or Cancel ends it. Its end is reported with exactly one dispatch.AttemptEnded.
type attempt struct {
	fleet     *Fleet
	spec      dispatch.Attempt
	startedAt time.Time
	ctx       context.Context // ends with the attempt
	cancel    context.CancelCauseFunc
	forward   chan struct{} // closed when the response may be forwarded
	timer     *time.Timer   // fires at the attempt's own deadline
	load      *policy.Load  // latest load report of the node; nil: none was received
	notRun    bool          // the node reported that nothing ran
	unsent    bool          // nothing that the node could run has been written yet

	cancelledAt atomic.Int64 // when the attempt was cancelled or its client disconnected, by the dispatcher's clock; 0: neither
	workMicros  int64        // CPU time that the node reports
	neededMB    float64      // peak memory that the node reports

	protocol protocolAttempt
}

// protocolAttempt carries out an attempt in one protocol.
type protocolAttempt interface {
	// run carries out the attempt and returns when it has ended; result is the part of the response that was not streamed.
	run(ctx context.Context, n *node) (result any, err error)
	// classify maps an error that is neither a timeout nor a cancellation to an outcome. rejected means that the node rejected the
	// statement itself. It is conservative: unless it is proved that nothing ran, the query may have run.
	classify(err error) (code policy.Code, rejected bool)
	// cleanUp removes state that the attempt left on the node. It runs after the attempt's end was reported.
	cleanUp()
}

var (
	_ protocolAttempt = (*flightAttempt)(nil)
	_ protocolAttempt = (*nativeAttempt)(nil)
	_ protocolAttempt = (*platformAttempt)(nil)
)

// newProtocolAttempt returns the implementation for the protocol of the attempt's query.
func (t *attempt) newProtocolAttempt() protocolAttempt {
	switch call := t.spec.Query.Payload.(type) {
	case *flightwire.Call:
		return &flightAttempt{attempt: t, call: call}
	case *native.Call:
		return &nativeAttempt{attempt: t, call: call}
	case *lineproto.Request:
		return &platformAttempt{attempt: t, call: call, changed: make(chan struct{}, 1)}
	}
	panic(fmt.Sprintf("backend: work of an unknown kind %T", t.spec.Query.Payload))
}

// Send implements dispatch.Fleet.
func (f *Fleet) Send(a dispatch.Attempt) {
	f.drainDelays.recordSend(a.Node)
	ctx, cancel := context.WithCancelCause(f.ctx)
	t := &attempt{fleet: f, spec: a, startedAt: time.Now(), ctx: ctx, cancel: cancel, forward: make(chan struct{})}
	remaining := time.Duration(a.Deadline-f.clock.Now()) * time.Microsecond
	t.timer = time.AfterFunc(remaining, func() { cancel(errTimedOut) })
	t.protocol = t.newProtocolAttempt()
	f.mu.Lock()
	f.attempts[a.Query.ID] = append(f.attempts[a.Query.ID], t)
	f.mu.Unlock()
	f.group.Go(func() error {
		ended := t.execute(ctx)
		t.timer.Stop()
		cancel(nil)
		f.removeAttempt(t)
		f.post.Post(ended)
		t.protocol.cleanUp()
		return nil
	})
}

// attempt returns an attempt in flight by its query's id and its number; nil if there is none.
func (f *Fleet) attempt(id string, number int) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.attempts[id] {
		if t.spec.Number == number {
			return t
		}
	}
	return nil
}

// removeAttempt removes an attempt that has ended from those in flight.
func (f *Fleet) removeAttempt(t *attempt) {
	id := t.spec.Query.ID
	f.mu.Lock()
	defer f.mu.Unlock()
	if remaining := slices.DeleteFunc(f.attempts[id], func(o *attempt) bool { return o == t }); len(remaining) > 0 {
		f.attempts[id] = remaining
	} else {
		delete(f.attempts, id)
	}
}

// ForwardResponse implements dispatch.Fleet. It stops the timer of the attempt's own deadline: from now on only the query's deadline
// applies, which the ledger enforces.
func (f *Fleet) ForwardResponse(id string, number int) {
	if t := f.attempt(id, number); t != nil {
		t.timer.Stop()
		close(t.forward)
	}
}

// Cancel implements dispatch.Fleet.
func (f *Fleet) Cancel(id string, number int) {
	if t := f.attempt(id, number); t != nil {
		t.cancelledAt.CompareAndSwap(0, f.clock.Now())
		t.cancel(errCancelled)
	}
}

// execute carries out the attempt and returns the event that reports its end.
func (t *attempt) execute(ctx context.Context) dispatch.AttemptEnded {
	result, err := t.runOnNode(ctx)
	ended := dispatch.AttemptEnded{ID: t.spec.Query.ID, Number: t.spec.Number, Latency: time.Since(t.startedAt).Microseconds(),
		Load: t.load, WorkMicros: t.workMicros, NeededMB: t.neededMB, Result: result, Err: err}
	ended.Code, ended.StatementRejected = t.classifyOutcome(ctx, err)
	return ended
}

// runOnNode runs the attempt on its node, which is not closed before the attempt has ended.
func (t *attempt) runOnNode(ctx context.Context) (any, error) {
	n := t.fleet.acquire(t.spec.Node)
	if n == nil {
		return nil, errUnknownNode
	}
	defer t.fleet.release(n)
	return t.protocol.run(ctx, n)
}

// classifyOutcome maps the end of an attempt to its outcome. It is conservative about what may have run: only a connection that
// was never established, a request that was never written and an explicit answer of the node prove that nothing ran. rejected means
// that the node rejected the statement itself, so that no other node is tried.
func (t *attempt) classifyOutcome(ctx context.Context, err error) (code policy.Code, rejected bool) {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return policy.OK, false
	case t.notRun:
		return policy.Rejected, false
	case errors.Is(err, session.ErrStateMissing): // counts as a rejected statement: no other node has the session's state either
		return policy.Failed, true
	case errors.Is(err, errNotConnected), errors.Is(err, errUnknownNode), errors.Is(err, errWrongProtocol):
		return policy.ConnectionRefused, false
	case errors.Is(err, errNeverSent), errors.Is(err, errLocalDial): // even after a timeout: it says nothing about the node
		return policy.NeverSent, false
	case errors.Is(cause, errTimedOut) && t.unsent:
		return policy.ConnectionRefused, false
	case errors.Is(cause, errTimedOut):
		return policy.TimedOut, false
	case cause != nil: // cancelled, or the fleet is closing
		return policy.Cancelled, false
	}
	return t.protocol.classify(err)
}

// awaitForward reports to the dispatch loop that a response is ready, and waits until it may be forwarded to the client.
func (t *attempt) awaitForward(ctx context.Context) error {
	t.fleet.post.Post(dispatch.ResponseReady{ID: t.spec.Query.ID, Number: t.spec.Number})
	select {
	case <-t.forward:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
