package server

import (
	"time"

	"thistlequay/timeunit"
)

// clockSetThreshold: a smaller difference between the two clocks comes from reading them one after the other.
const clockSetThreshold timeunit.Ticks = 10

// clock is the server's own time in ticks. It begins at the system's Unix time and goes on evenly when the system's
// clock is set: if it followed a clock set back, every answer would be held until the clock had caught up, and one set
// forward would end every wait.
type clock struct {
	readSystem   func() (system time.Time, elapsed time.Duration) // the system's clock, and the time since the start
	startedAt    timeunit.Ticks
	systemOffset timeunit.Ticks // by which the system's clock is ahead of this one
}

func newClock() clock {
	start := time.Now()
	return clock{
		startedAt: timeunit.UnixTicks(start),
		readSystem: func() (time.Time, time.Duration) {
			now := time.Now()
			return now, now.Sub(start)
		},
	}
}

// now returns the time and takes notice of a system clock that was set.
func (c *clock) now() timeunit.Ticks {
	system, elapsed := c.readSystem()
	now := c.startedAt + timeunit.TicksOf(elapsed)
	change := timeunit.UnixTicks(system) - now - c.systemOffset
	if change > clockSetThreshold || change < -clockSetThreshold {
		c.systemOffset += change
	}
	return now
}
