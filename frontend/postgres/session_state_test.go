package postgres

import (
	"testing"
	"time"
)

// The transitions of a session's phases are those of the table at sessionState.
func TestSessionTransitions(t *testing.T) {
	type state struct {
		phase     phase
		receiving bool
	}
	now := time.Now()
	for _, c := range []struct {
		from     state
		event    event
		accepted bool
		to       state
	}{
		{state{starting, false}, messageStarted, true, state{starting, true}},
		{state{working, false}, messageStarted, true, state{working, true}},
		{state{closing, false}, messageStarted, false, state{closing, false}},
		{state{idle, true}, messageEnded, true, state{idle, false}},
		{state{idle, true}, commandReceived, true, state{working, true}},
		{state{working, true}, commandReceived, true, state{working, true}},
		{state{closing, true}, commandReceived, false, state{closing, true}},
		{state{working, true}, queueEmptied, true, state{idle, true}},
		{state{starting, false}, waitTimedOut, true, state{closing, false}},
		{state{working, false}, waitTimedOut, false, state{working, false}},
		{state{closing, false}, waitTimedOut, true, state{closing, false}},
		{state{idle, false}, evicted, true, state{closing, false}},
		{state{idle, true}, evicted, false, state{idle, true}},
		{state{working, false}, evicted, false, state{working, false}},
		{state{closing, false}, evicted, false, state{closing, false}},
		{state{idle, true}, evictedReceiving, true, state{closing, true}},
		{state{working, true}, evictedReceiving, false, state{working, true}},
		{state{idle, true}, dispatcherEnds, true, state{closing, true}},
		{state{working, false}, dispatcherEnds, false, state{working, false}},
		{state{working, true}, sendingEnded, true, state{closing, true}},
	} {
		s := sessionState{phase: c.from.phase, receiving: c.from.receiving, startedAt: now.Add(-time.Second)}
		accepted := s.apply(c.event, now)
		if to := (state{s.phase, s.receiving}); accepted != c.accepted || to != c.to {
			t.Errorf("event %d in %+v: accepted %v, %+v; want %v, %+v", c.event, c.from, accepted, to, c.accepted, c.to)
		}
	}
}

// A session with pending answers closes after the last of them if the dispatcher ends, but not because of an eviction.
func TestSessionClosesAfterItsAnswers(t *testing.T) {
	for ev, want := range map[event]phase{dispatcherEnds: closing, evicted: idle, evictedReceiving: idle} {
		s := sessionState{}
		now := time.Now()
		s.apply(commandReceived, now)
		if s.apply(ev, now) || s.phase != working {
			t.Errorf("event %d: closed with a pending answer", ev)
		}
		if s.apply(queueEmptied, now); s.phase != want {
			t.Errorf("event %d: phase %d after the last answer, want %d", ev, s.phase, want)
		}
	}
}

// The wait for a message times out only after the deadline that applies to the session.
func TestWaitTimesOutAtItsDeadline(t *testing.T) {
	now := time.Now()
	limits := waitLimits{begin: time.Second, idle: time.Minute}
	for name, c := range map[string]struct {
		state sessionState
		want  bool
	}{
		"before its first query":          {sessionState{startedAt: now.Add(-2 * time.Second), limits: limits}, true},
		"just connected":                  {sessionState{startedAt: now, limits: limits}, false},
		"idle for long":                   {sessionState{queried: true, lastActivity: now.Add(-time.Hour), limits: limits}, true},
		"idle for a while":                {sessionState{queried: true, lastActivity: now.Add(-time.Second), limits: limits}, false},
		"over capacity":                   {sessionState{overCapacity: true, startedAt: now.Add(-time.Second), limits: limits}, true},
		"over capacity and just accepted": {sessionState{overCapacity: true, startedAt: now, limits: limits}, false},
	} {
		if got := c.state.apply(waitTimedOut, now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
