package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Loop runs a Core in real time: one goroutine steps it with all events posted since the last step. Post and Drain are safe for
// concurrent use.
type Loop struct {
	core  *Core
	clock Clock

	mu              sync.Mutex
	inbox           []Event
	inboxQueries    int // QueryReceived events in inbox
	maxInboxQueries int
	stopped         bool
	draining        bool

	wake  chan struct{} // receives a token when an event is posted or draining is set
	spare []Event       // buffer that becomes inbox next; used by the loop's goroutine alone
}

// defaultMaxInboxQueries limits the queries that wait for the next step if the settings do not limit pending queries.
const defaultMaxInboxQueries = 1 << 16

// NewLoop returns a loop that collects events but does not step the core before Run.
func NewLoop(core *Core, clock Clock) *Loop {
	limit := core.maxInFlight
	if limit == 0 {
		limit = defaultMaxInboxQueries
	}
	return &Loop{core: core, clock: clock, maxInboxQueries: limit, wake: make(chan struct{}, 1)}
}

// Post passes an event to the loop. It does not block. A query is rejected immediately if too many queries wait for the next
// step or the loop has ended. Other events are dropped only if the loop has ended.
func (l *Loop) Post(ev Event) {
	received, isQuery := ev.(QueryReceived)
	l.mu.Lock()
	if l.stopped || isQuery && l.inboxQueries >= l.maxInboxQueries {
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
		l.inboxQueries++
	}
	l.inbox = append(l.inbox, ev)
	l.mu.Unlock()
	l.notify()
}

// notify wakes the loop's goroutine.
func (l *Loop) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Drain makes the loop reject new queries, and end as soon as all queries have their final answer and no attempt is in flight.
func (l *Loop) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.notify()
}

// Run steps the core until the loop has drained (nil), the context ends (its error) or the gateway panics (a *PanicError). When
// the context ends, pending queries are failed immediately. Queries that wait for the next step are rejected.
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

// stepUntilDone runs steps until one of the conditions listed at Run ends the loop, and returns the error of Run.
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
			l.core.observer.SettingsChangeDuration(l.clock.Now() - begin)
		}
		clear(events)
		l.spare = events[:0]
		if draining && l.core.Tracked() == 0 && !l.inboxNotEmpty() {
			return nil
		}
	}
}

func isChange(ev Event) bool {
	_, ok := ev.(SettingsChange)
	return ok
}

// waitForEvent waits for an event or, if timed, until the time at. It returns false if the context has ended.
func (l *Loop) waitForEvent(ctx context.Context, at Micros, timed bool) bool {
	var timer <-chan time.Time
	if timed && at <= l.clock.Now() {
		return ctx.Err() == nil
	}
	if timed {
		c, stop := l.clock.Timer(at)
		defer stop()
		timer = c
	}
	select {
	case <-ctx.Done():
		return false
	case <-l.wake:
	case <-timer:
	}
	return ctx.Err() == nil
}

// collect empties the inbox. It returns the events and whether the loop is draining.
func (l *Loop) collect() ([]Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.inbox
	l.inbox, l.inboxQueries = l.spare, 0
	return events, l.draining
}

func (l *Loop) inboxNotEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inbox) > 0
}
