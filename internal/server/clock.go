package server

import (
	"thistlequay/timeunit"
	"time"
)

// clock is the app's own time. It begins as the system's Unix clock and goes on evenly where that is set: a clock set back
// would hold every answer until it had caught up, one set forward would end every wait.
type clock struct {
	readSystem   func() (set time.Time, even time.Duration) // the system's clock, and what has passed since the start
	startedAt    timeunit.Ticks
	systemOffset timeunit.Ticks // that the system's clock is ahead of it by now
}

const clockSetThreshold = timeunit.Ticks(10) // less between the two is how they were read

func newClock() clock {
	began := time.Now()
	return clock{startedAt: timeunit.Ticks(began.UnixMicro() / 100), readSystem: func() (time.Time, time.Duration) {
		t := time.Now()
		return t, t.Sub(began)
	}}
}

func (c *clock) now() timeunit.Ticks {
	set, even := c.readSystem()
	now := c.startedAt + timeunit.Ticks(even/(time.Millisecond/10))
	if by := timeunit.Ticks(set.UnixMicro()/100) - now - c.systemOffset; by > clockSetThreshold || by < -clockSetThreshold {
		c.systemOffset += by
	}
	return now
}
