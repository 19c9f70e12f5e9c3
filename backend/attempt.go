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
	errNotConnected = errors.New("no connection to the node in time")
	errUnknownNode  = errors.New("the node is not in the list")
	errOtherWork    = errors.New("the node does not speak the query's protocol")
	errCancelled    = errors.New("called off")
	errTimedOut     = errors.New("no answer in time")
	errNoSchema     = errors.New("the answer ended before its schema")
	errPlaces       = errors.New("the node answers from several endpoints or from none, which is not supported")
)

// attempt is one send that is out, whatever its protocol.
type attempt struct {
	f      *Fleet
	a      dispatch.Attempt
	begun  time.Time
	cancel context.CancelCauseFunc
	open   chan struct{} // closed when the answer may flow
	timer  *time.Timer
	load   *policy.Load
	notRun bool // the node proved that nothing ran
	unsent bool // nothing that could run has been written yet

	cancelledAt atomic.Int64 // when the query's client left or it was called off, by the dispatcher's clock; 0: neither
	workUs      int64
	needMB      float64

	carrier carrier
}

// carrier makes an attempt in one protocol.
type carrier interface {
	// try runs it to its end; a result is what is not streamed.
	try(ctx context.Context, n *node) (result any, err error)
	// ended tells how an error that came neither from a time-out nor from a cancel is to be read, with care for what may
	// have run.
	ended(err error) (code policy.Code, rejected bool)
	// after cleans up what the attempt left on the node; its end has been told by then.
	after()
}

// carrierOf makes the carrier for a query's work.
func (t *attempt) carrierOf() carrier {
	switch call := t.a.Query.Work.(type) {
	case *flightwire.Call:
		return &flightAttempt{attempt: t, call: call}
	case *native.Call:
		return &nativeAttempt{attempt: t, call: call}
	case *lineproto.Request:
		return &linesAttempt{attempt: t, call: call, signal: make(chan struct{}, 1)}
	}
	panic(fmt.Sprintf("backend: work of an unknown kind %T", t.a.Query.Work))
}

// Send implements dispatch.Fleet.
func (f *Fleet) Send(a dispatch.Attempt) {
	f.drains.sent(a.Node)
	ctx, cancel := context.WithCancelCause(f.ctx)
	t := &attempt{f: f, a: a, begun: time.Now(), cancel: cancel, open: make(chan struct{})}
	wait := time.Duration(a.Deadline-f.clock.Now()) * time.Microsecond
	t.timer = time.AfterFunc(wait, func() { cancel(errTimedOut) })
	t.carrier = t.carrierOf()
	f.mu.Lock()
	f.attempts[a.Query.ID] = append(f.attempts[a.Query.ID], t)
	f.mu.Unlock()
	f.group.Go(func() error {
		c := t.carrier
		ev := t.run(ctx, c)
		t.timer.Stop()
		cancel(nil)
		f.forget(t)
		f.post.Post(ev)
		c.after()
		return nil
	})
}

func (f *Fleet) attempt(id string, n int) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.attempts[id] {
		if t.a.Number == n {
			return t
		}
	}
	return nil
}

func (f *Fleet) forget(t *attempt) {
	id := t.a.Query.ID
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
		close(t.open)
	}
}

// Cancel implements dispatch.Fleet.
func (f *Fleet) Cancel(id string, n int) {
	if t := f.attempt(id, n); t != nil {
		t.cancelledAt.CompareAndSwap(0, f.clock.Now())
		t.cancel(errCancelled)
	}
}

// run makes the attempt and tells how it ended.
func (t *attempt) run(ctx context.Context, c carrier) dispatch.AttemptEnded {
	result, err := t.use(ctx, c)
	ev := dispatch.AttemptEnded{ID: t.a.Query.ID, Number: t.a.Number, Latency: time.Since(t.begun).Microseconds(), Load: t.load,
		WorkMicros: t.workUs, NeededMB: t.needMB, Result: result, Err: err}
	ev.Code, ev.Rejected = t.code(ctx, c, err)
	return ev
}

func (t *attempt) use(ctx context.Context, c carrier) (any, error) {
	n := t.f.use(t.a.Node)
	if n == nil {
		return nil, errUnknownNode
	}
	defer t.f.release(n)
	return c.try(ctx, n)
}

// code tells how an attempt ended, with care for what may have run: only a connection that was never up, a request that
// was never written and a node's explicit word prove that nothing ran.
func (t *attempt) code(ctx context.Context, c carrier, err error) (code policy.Code, rejected bool) {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return policy.OK, false
	case t.notRun:
		return policy.Rejected, false
	case errors.Is(err, session.ErrStateMissing): // the node's word, as it were: another one has nothing of it either
		return policy.Failed, true
	case errors.Is(err, errNotConnected), errors.Is(err, errUnknownNode), errors.Is(err, errOtherWork):
		return policy.ConnectionRefused, false
	case errors.Is(err, errUnsent), errors.Is(err, errLocal): // whatever ended it: it proves nothing of the node
		return policy.NeverSent, false
	case errors.Is(cause, errTimedOut) && t.unsent:
		return policy.ConnectionRefused, false
	case errors.Is(cause, errTimedOut):
		return policy.TimedOut, false
	case cause != nil: // called off, or the fleet closes
		return policy.Cancelled, false
	}
	return c.ended(err)
}

// mayFlow asks the loop to let the answer through, and waits for its word.
func (t *attempt) mayFlow(ctx context.Context) error {
	t.f.post.Post(dispatch.ResponseReady{ID: t.a.Query.ID, Number: t.a.Number})
	select {
	case <-t.open:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
