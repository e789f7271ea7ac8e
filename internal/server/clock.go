package server

import (
	"time"

	"thistlequay/timeunit"
)

// clockSetThreshold is the largest difference between two clock readings that is ignored. The system clock and the
// monotonic clock are read one after the other, which alone causes small differences.
const clockSetThreshold timeunit.Ticks = 10

// clock is the server's monotonic clock, in ticks. It starts at the Unix time of the system clock and does not follow
// later changes of the system clock. If it did, setting the system clock back would delay every response until the
// clock had caught up, and setting it forward would end every wait at once.
type clock struct {
	readClocks   func() (system time.Time, elapsed time.Duration) // system clock, monotonic time since the start
	startedAt    timeunit.Ticks
	systemOffset timeunit.Ticks // how far the system clock is ahead of this clock
}

func newClock() clock {
	start := time.Now()
	return clock{
		startedAt: timeunit.UnixTicks(start),
		readClocks: func() (time.Time, time.Duration) {
			now := time.Now()
			return now, now.Sub(start)
		},
	}
}

// elapsed returns the current time like now, but may be called from any goroutine and does not look for changes of the
// system clock.
func (c *clock) elapsed() timeunit.Ticks {
	_, elapsed := c.readClocks()
	return c.startedAt + timeunit.TicksOf(elapsed)
}

// now returns the current time. It updates systemOffset if the system clock was set since the last call.
func (c *clock) now() timeunit.Ticks {
	system, elapsed := c.readClocks()
	now := c.startedAt + timeunit.TicksOf(elapsed)
	change := timeunit.UnixTicks(system) - now - c.systemOffset
	if change > clockSetThreshold || change < -clockSetThreshold {
		c.systemOffset += change
	}
	return now
}
