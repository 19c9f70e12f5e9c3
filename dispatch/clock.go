package dispatch

import "time"

// Clock is the clock of a Loop.
type Clock interface {
	// Now is monotonic and above 0.
	Now() Micros
	// Timer returns a channel that receives a value at a time or after it, and a function that stops the timer.
	Timer(at Micros) (<-chan time.Time, func() bool)
}

// clockStart is the first value of the clock, an hour: large enough that the start time of a node, which lies in the past, is
// above 0 as well. A node that started longer ago counts as old.
const clockStart = Micros(3600 * 1e6)

var _ Clock = wallClock{}

// wallClock is monotonic real time.
type wallClock struct{ start time.Time }

// NewClock returns a clock of monotonic real time.
func NewClock() Clock { return wallClock{time.Now()} }

// Now implements Clock.
func (c wallClock) Now() Micros { return clockStart + time.Since(c.start).Microseconds() }

// Timer implements Clock.
func (c wallClock) Timer(at Micros) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(at-c.Now()) * time.Microsecond)
	return t.C, t.Stop
}
