package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Loop owns a Core: one goroutine steps it with all events that have come in since the last step.
type Loop struct {
	core  *Core
	clock Clock

	mu                sync.Mutex
	inbox             []Event
	pendingQueries    int // QueryReceived events among pending
	maxPendingQueries int
	stopped           bool
	draining          bool

	wake  chan struct{} // holds one token while pending is not empty or draining was set
	spare []Event       // buffer that becomes pending next; used by the loop's goroutine alone
}

// defaultMaxPendingQueries bounds the queries that wait for the next step where settings do not bound the pending ones.
const defaultMaxPendingQueries = 1 << 16

// NewLoop returns a loop; nothing happens before Run.
func NewLoop(core *Core, clock Clock) *Loop {
	limit := core.maxInFlight
	if limit == 0 {
		limit = defaultMaxPendingQueries
	}
	return &Loop{core: core, clock: clock, maxPendingQueries: limit, wake: make(chan struct{}, 1)}
}

// Post passes an event to the loop. It does not block. A query is rejected at once when too many wait for the next step or the
// loop has ended; other events are dropped only after its end.
func (l *Loop) Post(ev Event) {
	received, isQuery := ev.(QueryReceived)
	l.mu.Lock()
	if l.stopped || isQuery && l.pendingQueries >= l.maxPendingQueries {
		reason := ReasonFull
		if l.stopped {
			reason = ReasonDraining
		}
		l.mu.Unlock()
		if isQuery {
			received.Query.Client.Answer(Outcome{Kind: Shed, Reason: reason})
		}
		return
	}
	if isQuery {
		l.pendingQueries++
	}
	l.inbox = append(l.inbox, ev)
	l.mu.Unlock()
	l.notify()
}

// notify wakes the loop.
func (l *Loop) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Drain makes the loop reject new queries and end once every query has its answer and its attempts have ended.
func (l *Loop) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.notify()
}

// Run steps the core until it has drained, the context ends or the gateway panics (a *PanicError). When the context ends, the
// pending queries are failed at once.
func (l *Loop) Run(ctx context.Context) error {
	err := l.stepUntilDone(ctx)
	l.mu.Lock()
	l.stopped = true
	rest := l.inbox
	l.inbox = nil
	l.mu.Unlock()
	for _, ev := range rest {
		if received, ok := ev.(QueryReceived); ok {
			received.Query.Client.Answer(Outcome{Kind: Shed, Reason: ReasonDraining})
		}
	}
	return err
}

// stepUntilDone is the loop itself; it ends for the reasons that Run states.
func (l *Loop) stepUntilDone(ctx context.Context) error {
	if err := l.core.Step(l.clock.Now(), nil); err != nil {
		return err
	}
	for {
		at, ok := l.core.Next()
		if !l.waitForEvent(ctx, at, ok) {
			l.core.FailAll(l.clock.Now(), ReasonStopped)
			return ctx.Err()
		}
		events, draining := l.collect()
		if draining {
			l.core.Drain()
		}
		begin := l.clock.Now()
		if err := l.core.Step(begin, events); err != nil {
			return err
		}
		if slices.ContainsFunc(events, isChange) {
			l.core.observer.Paused(l.clock.Now() - begin)
		}
		clear(events)
		l.spare = events[:0]
		if draining && l.core.Tracked() == 0 && !l.hasPending() {
			return nil
		}
	}
}

func isChange(ev Event) bool {
	_, ok := ev.(Change)
	return ok
}

// waitForEvent waits for an event or, where timed, for the time at; false where the context ended first.
func (l *Loop) waitForEvent(ctx context.Context, at Micros, timed bool) bool {
	var due <-chan time.Time
	if timed && at <= l.clock.Now() {
		return ctx.Err() == nil
	}
	if timed {
		c, stop := l.clock.Timer(at)
		defer stop()
		due = c
	}
	select {
	case <-ctx.Done():
		return false
	case <-l.wake:
	case <-due:
	}
	return ctx.Err() == nil
}

// collect takes the events that came in since the last step and says whether the loop is draining.
func (l *Loop) collect() ([]Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.inbox
	l.inbox, l.pendingQueries = l.spare, 0
	return events, l.draining
}

func (l *Loop) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inbox) > 0
}
