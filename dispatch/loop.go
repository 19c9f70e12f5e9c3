package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Clock is the time a Loop lives in.
type Clock interface {
	// Now is monotonic and above 0.
	Now() Micros
	// Timer returns a channel that gets a value at a time or after it, and a function that lets go of it.
	Timer(at Micros) (<-chan time.Time, func() bool)
}

// clockStart is where the clock begins: far enough from 0 that the start of a node, which lies in the past, is a
// time of its own too. Nodes that started longer ago than this count as old.
const clockStart = Micros(3600 * 1e6)

// wallClock is monotonic real time.
type wallClock struct{ start time.Time }

// NewClock returns a clock of monotonic real time.
func NewClock() Clock { return wallClock{time.Now()} }

func (c wallClock) Now() Micros { return clockStart + time.Since(c.start).Microseconds() }

func (c wallClock) Timer(at Micros) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(at-c.Now()) * time.Microsecond)
	return t.C, t.Stop
}

// ErrStopped tells that the loop takes no queries any more.
var ErrStopped = errors.New("dispatch: the loop has ended")

// Loop owns a Core: one goroutine steps it with all that has come in since the last step.
type Loop struct {
	core  *Core
	clock Clock

	mu      sync.Mutex
	pending []Event
	takes   int // queries among pending
	most    int // of them
	stopped bool
	drain   bool
	signal  chan struct{} // holds one token while pending is not empty or a drain was asked for
	spare   []Event       // the loop's own
}

// intakeMost bounds the queries that wait for the next step where settings do not bound those held.
const intakeMost = 1 << 16

// NewLoop returns a loop; nothing happens before Run.
func NewLoop(core *Core, clock Clock) *Loop {
	most := core.most
	if most == 0 {
		most = intakeMost
	}
	return &Loop{core: core, clock: clock, most: most, signal: make(chan struct{}, 1)}
}

// Post hands an event over. It does not block. A query that finds the intake full or the loop ended is
// refused at once; other events are never turned away while the loop runs.
func (l *Loop) Post(ev Event) {
	taken, isTaken := ev.(QueryReceived)
	l.mu.Lock()
	if l.stopped || isTaken && l.takes >= l.most {
		why := ReasonFull
		if l.stopped {
			why = ReasonDraining
		}
		l.mu.Unlock()
		if isTaken {
			taken.Query.Client.Answer(Outcome{Kind: Shed, Reason: why})
		}
		return
	}
	if isTaken {
		l.takes++
	}
	l.pending = append(l.pending, ev)
	l.mu.Unlock()
	l.ring()
}

func (l *Loop) ring() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Drain makes the loop refuse new queries and end once every query on the books has its answer and its attempts have
// ended.
func (l *Loop) Drain() {
	l.mu.Lock()
	l.drain = true
	l.mu.Unlock()
	l.ring()
}

// Run steps the core until it has drained, the context ends or the module panics (a *PanicError). What is held when
// the context ends is failed at once.
func (l *Loop) Run(ctx context.Context) error {
	err := l.run(ctx)
	l.mu.Lock()
	l.stopped = true
	rest := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, ev := range rest {
		if t, ok := ev.(QueryReceived); ok {
			t.Query.Client.Answer(Outcome{Kind: Shed, Reason: ReasonDraining})
		}
	}
	return err
}

func (l *Loop) run(ctx context.Context) error {
	if err := l.core.Step(l.clock.Now(), nil); err != nil {
		return err
	}
	for {
		at, ok := l.core.Next()
		if !l.waitFor(ctx, at, ok) {
			l.core.FailAll(l.clock.Now(), ReasonStopped)
			return ctx.Err()
		}
		events, drain := l.collect()
		if drain {
			l.core.Drain()
		}
		begin := l.clock.Now()
		if err := l.core.Step(begin, events); err != nil {
			return err
		}
		if slices.ContainsFunc(events, func(ev Event) bool { _, ok := ev.(Change); return ok }) {
			l.core.observe.Paused(l.clock.Now() - begin)
		}
		clear(events)
		l.spare = events[:0]
		if drain && l.core.Tracked() == 0 && !l.waiting() {
			return nil
		}
	}
}

// waitFor waits for something to do; false where the context ended first.
func (l *Loop) waitFor(ctx context.Context, at Micros, timed bool) bool {
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
	case <-l.signal:
	case <-due:
	}
	return ctx.Err() == nil
}

func (l *Loop) collect() ([]Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.pending
	l.pending, l.takes = l.spare, 0
	return events, l.drain
}

func (l *Loop) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}
