package server

import (
	"sync/atomic"
	"time"

	"thistlequay/timeunit"
)

const (
	// pauseMonitorInterval is the period of the pause monitor. A pause is measured to within this time, which must stay
	// below the 50 ms that routers tolerate around the end of the grace period.
	pauseMonitorInterval = second / 25

	// pauseMemory is how long the pause monitor remembers a pause. A shutdown notice that was sent during the pause is
	// handled well within this time after it.
	pauseMemory = 2 * second
)

// pauseMonitor measures pauses of the whole process, for example by SIGSTOP or because the machine runs nothing of it.
// It has a tick due at all times, so it also measures a pause in which no timer of the event loop is due: an idle
// server could not tell otherwise how old a shutdown notice is that it finds when it resumes.
//
// The zero value has seen no pause. run belongs to one goroutine; the other methods may be called from any.
type pauseMonitor struct {
	// nextTickAt is the latest time at which the next tick is due; 0 before start. It is stored after the pause that
	// the last tick measured, and read before it, so that a reader sees the pause either as recorded or as the lateness
	// of the next tick.
	nextTickAt atomic.Int64
	longest    recordedPause // longest pause within pauseMemory
	last       recordedPause
}

// recordedPause is the length of a pause, in ticks, and when it ended. The zero value is no pause.
type recordedPause struct {
	length  atomic.Int64
	endedAt atomic.Int64
}

// store replaces the recorded pause.
func (p *recordedPause) store(now, length timeunit.Ticks) {
	p.length.Store(int64(length))
	p.endedAt.Store(int64(now))
}

// within returns the length of the pause if it ended within maxAge before now, otherwise 0.
func (p *recordedPause) within(now, maxAge timeunit.Ticks) timeunit.Ticks {
	if now-timeunit.Ticks(p.endedAt.Load()) > maxAge {
		return 0
	}
	return timeunit.Ticks(p.length.Load())
}

// start begins to monitor and returns a function that ends the monitor's goroutine. clock returns the current time on
// the server's clock. The goroutine calls onTick at each tick. Both functions must be safe for concurrent use.
func (m *pauseMonitor) start(clock func() timeunit.Ticks, onTick func(now timeunit.Ticks)) (stop func()) {
	m.tick(clock())
	stopped := make(chan struct{})
	go m.run(clock, onTick, stopped)
	return func() { close(stopped) }
}

// run records the lateness of its ticks until stopped is closed.
func (m *pauseMonitor) run(clock func() timeunit.Ticks, onTick func(now timeunit.Ticks), stopped <-chan struct{}) {
	ticker := time.NewTicker(pauseMonitorInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			now := clock()
			m.tick(now)
			onTick(now)
		}
	}
}

// tick records by how much this tick is late, which means that a pause of this length ends now, and when the next tick
// is due.
func (m *pauseMonitor) tick(now timeunit.Ticks) {
	dueAt := timeunit.Ticks(m.nextTickAt.Load())
	if length := now - dueAt; dueAt > 0 && length > 0 {
		m.last.store(now, length)
		if length > m.longest.within(now, pauseMemory) {
			m.longest.store(now, length)
		}
	}
	m.nextTickAt.Store(int64(now + pauseMonitorInterval))
}

// longestPause returns the length of the longest pause within pauseMemory before now, or 0 if there was none. It is at
// most pauseMonitorInterval too short, and counts a pause that the monitor itself has not noticed yet.
func (m *pauseMonitor) longestPause(now timeunit.Ticks) timeunit.Ticks {
	return m.pauseIn(&m.longest, now, pauseMemory)
}

// pauseJustEnded returns the length of a pause that ended within maxAge before now, or 0 if there was none. It is as
// precise as longestPause.
func (m *pauseMonitor) pauseJustEnded(now, maxAge timeunit.Ticks) timeunit.Ticks {
	return m.pauseIn(&m.last, now, maxAge)
}

// pauseIn returns the length of the recorded pause or, if that is longer, of one that the next tick will record.
func (m *pauseMonitor) pauseIn(recorded *recordedPause, now, maxAge timeunit.Ticks) timeunit.Ticks {
	dueAt := timeunit.Ticks(m.nextTickAt.Load())
	if dueAt == 0 {
		return 0
	}
	return max(now-dueAt, recorded.within(now, maxAge), 0)
}
