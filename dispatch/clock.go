package dispatch

import "time"

// Clock is the time source of a Loop.
type Clock interface {
	// Now returns the current time, which is monotonic and above 0.
	Now() Micros
	// Timer returns a channel that receives a value at or after the given time, and a function that stops the timer.
	Timer(at Micros) (<-chan time.Time, func() bool)
}

// clockStart is the first value of the clock: one hour. The start times of nodes lie in the past and have to be above 0 too,
// since 0 means that a node started long ago. That is how a node counts that started more than an hour before the dispatcher.
const clockStart = Micros(3600 * 1e6)

var _ Clock = wallClock{}

// wallClock is a Clock of monotonic real time.
type wallClock struct{ start time.Time }

// NewClock returns a Clock of monotonic real time that begins at one hour.
func NewClock() Clock { return wallClock{time.Now()} }

// Now implements Clock.
func (c wallClock) Now() Micros { return clockStart + time.Since(c.start).Microseconds() }

// Timer implements Clock.
func (c wallClock) Timer(at Micros) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(at-c.Now()) * time.Microsecond)
	return t.C, t.Stop
}
