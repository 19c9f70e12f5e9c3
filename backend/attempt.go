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

// Errors of attempts; nodes' own words come as their protocol's errors.
var (
	errNotConnected  = errors.New("no connection to the node in time")
	errUnknownNode   = errors.New("the node is not in the list")
	errWrongProtocol = errors.New("the node does not speak the query's protocol")
	errCancelled     = errors.New("called off")
	errTimedOut      = errors.New("no answer in time")
	errNoSchema      = errors.New("the answer ended before its schema")
	errEndpointCount = errors.New("the node answers from several endpoints or from none, which is not supported")
)

// attempt is one send that is out, whatever its protocol.
type attempt struct {
	fleet     *Fleet
	spec      dispatch.Attempt
	startedAt time.Time
	cancel    context.CancelCauseFunc
	forward   chan struct{} // closed when the answer may flow
	timer     *time.Timer
	load      *policy.Load
	notRun    bool // the node proved that nothing ran
	unsent    bool // nothing that could run has been written yet

	cancelledAt atomic.Int64 // when the query's client left or it was called off, by the dispatcher's clock; 0: neither
	workMicros  int64
	neededMB    float64

	protocol protocolAttempt
}

// protocolAttempt makes an attempt in one protocol.
type protocolAttempt interface {
	// run runs it to its end; a result is what is not streamed.
	run(ctx context.Context, n *node) (result any, err error)
	// classify tells how an error that came neither from a time-out nor from a cancel is to be read, with care for what may
	// have run.
	classify(err error) (code policy.Code, rejected bool)
	// cleanUp cleans up what the attempt left on the node; its end has been told by then.
	cleanUp()
}

// newProtocolAttempt makes the carrier for a query's work.
func (t *attempt) newProtocolAttempt() protocolAttempt {
	switch call := t.spec.Query.Work.(type) {
	case *flightwire.Call:
		return &flightAttempt{attempt: t, call: call}
	case *native.Call:
		return &nativeAttempt{attempt: t, call: call}
	case *lineproto.Request:
		return &platformAttempt{attempt: t, call: call, changed: make(chan struct{}, 1)}
	}
	panic(fmt.Sprintf("backend: work of an unknown kind %T", t.spec.Query.Work))
}

// Send implements dispatch.Fleet.
func (f *Fleet) Send(a dispatch.Attempt) {
	f.drainDelays.recordSend(a.Node)
	ctx, cancel := context.WithCancelCause(f.ctx)
	t := &attempt{fleet: f, spec: a, startedAt: time.Now(), cancel: cancel, forward: make(chan struct{})}
	wait := time.Duration(a.Deadline-f.clock.Now()) * time.Microsecond
	t.timer = time.AfterFunc(wait, func() { cancel(errTimedOut) })
	t.protocol = t.newProtocolAttempt()
	f.mu.Lock()
	f.attempts[a.Query.ID] = append(f.attempts[a.Query.ID], t)
	f.mu.Unlock()
	f.group.Go(func() error {
		c := t.protocol
		ev := t.execute(ctx, c)
		t.timer.Stop()
		cancel(nil)
		f.forget(t)
		f.post.Post(ev)
		c.cleanUp()
		return nil
	})
}

func (f *Fleet) attempt(id string, n int) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.attempts[id] {
		if t.spec.Number == n {
			return t
		}
	}
	return nil
}

func (f *Fleet) forget(t *attempt) {
	id := t.spec.Query.ID
	f.mu.Lock()
	defer f.mu.Unlock()
	if left := slices.DeleteFunc(f.attempts[id], func(o *attempt) bool { return o == t }); len(left) > 0 {
		f.attempts[id] = left
	} else {
		delete(f.attempts, id)
	}
}

// ForwardResponse implements dispatch.Fleet: from now on the query's deadline alone counts, which the ledger keeps.
func (f *Fleet) ForwardResponse(id string, n int) {
	if t := f.attempt(id, n); t != nil {
		t.timer.Stop()
		close(t.forward)
	}
}

// Cancel implements dispatch.Fleet.
func (f *Fleet) Cancel(id string, n int) {
	if t := f.attempt(id, n); t != nil {
		t.cancelledAt.CompareAndSwap(0, f.clock.Now())
		t.cancel(errCancelled)
	}
}

// execute makes the attempt and tells how it ended.
func (t *attempt) execute(ctx context.Context, c protocolAttempt) dispatch.AttemptEnded {
	result, err := t.runOnNode(ctx, c)
	ev := dispatch.AttemptEnded{ID: t.spec.Query.ID, Number: t.spec.Number, Latency: time.Since(t.startedAt).Microseconds(), Load: t.load,
		WorkMicros: t.workMicros, NeededMB: t.neededMB, Result: result, Err: err}
	ev.Code, ev.Rejected = t.outcome(ctx, c, err)
	return ev
}

func (t *attempt) runOnNode(ctx context.Context, c protocolAttempt) (any, error) {
	n := t.fleet.acquire(t.spec.Node)
	if n == nil {
		return nil, errUnknownNode
	}
	defer t.fleet.release(n)
	return c.run(ctx, n)
}

// outcome tells how an attempt ended, with care for what may have run: only a connection that was never up, a request that
// was never written and a node's explicit word prove that nothing ran.
func (t *attempt) outcome(ctx context.Context, c protocolAttempt, err error) (code policy.Code, rejected bool) {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return policy.OK, false
	case t.notRun:
		return policy.Rejected, false
	case errors.Is(err, session.ErrStateMissing): // the node's word, as it were: another one has nothing of it either
		return policy.Failed, true
	case errors.Is(err, errNotConnected), errors.Is(err, errUnknownNode), errors.Is(err, errWrongProtocol):
		return policy.ConnectionRefused, false
	case errors.Is(err, errNeverSent), errors.Is(err, errLocalDial): // whatever ended it: it proves nothing of the node
		return policy.NeverSent, false
	case errors.Is(cause, errTimedOut) && t.unsent:
		return policy.ConnectionRefused, false
	case errors.Is(cause, errTimedOut):
		return policy.TimedOut, false
	case cause != nil: // called off, or the fleet closes
		return policy.Cancelled, false
	}
	return c.classify(err)
}

// awaitForward asks the loop to let the answer through, and waits for its word.
func (t *attempt) awaitForward(ctx context.Context) error {
	t.fleet.post.Post(dispatch.ResponseReady{ID: t.spec.Query.ID, Number: t.spec.Number})
	select {
	case <-t.forward:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
