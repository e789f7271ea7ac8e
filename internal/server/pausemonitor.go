package server

import (
	"sync/atomic"
	"time"

	"thistlequay/timeunit"
)

const (
	// pauseMonitorInterval is the period of the pause monitor. A pause is measured to within this time, which must stay
	// below the 50 ms that routers tolerate around the end of the grace period.
	pauseMonitorInterval = 40 * time.Millisecond

	// pauseMemory is how long the pause monitor remembers a pause. A shutdown notice that was sent during the pause is
	// handled well within this time after it.
	pauseMemory = 2 * time.Second
)

// pauseMonitor measures pauses of the whole process, for example by SIGSTOP or because the machine runs nothing of it.
// It has a tick due at all times, so it also measures a pause in which no timer of the event loop is due: an idle server
// could not tell otherwise how old a shutdown notice is that it finds when it resumes.
//
// The zero value has seen no pause. run belongs to one goroutine; the other methods may be called from any.
type pauseMonitor struct {
	startedAt time.Time

	// nextTickAt is the latest time at which the next tick is due, since startedAt; 0 before run. It is stored after the
	// pause that the last tick measured, and read before it, so that a reader sees the pause either as recorded or as
	// the lateness of the next tick.
	nextTickAt atomic.Int64
	longest    recordedPause // longest pause within pauseMemory
	last       recordedPause
}

// recordedPause is the length of a pause and when it ended, since the start of the monitor. The zero value is no pause.
type recordedPause struct {
	length  atomic.Int64
	endedAt atomic.Int64
}

// store replaces the recorded pause.
func (p *recordedPause) store(now, length time.Duration) {
	p.length.Store(int64(length))
	p.endedAt.Store(int64(now))
}

// within returns the length of the pause if it ended within maxAge before now, otherwise 0.
func (p *recordedPause) within(now, maxAge time.Duration) time.Duration {
	if now-time.Duration(p.endedAt.Load()) > maxAge {
		return 0
	}
	return time.Duration(p.length.Load())
}

// start begins to monitor and returns a function that ends the monitor's goroutine.
func (m *pauseMonitor) start() (stop func()) {
	m.startedAt = time.Now()
	m.nextTickAt.Store(int64(pauseMonitorInterval))
	stopped := make(chan struct{})
	go m.run(stopped)
	return func() { close(stopped) }
}

// run records the lateness of its ticks until stopped is closed.
func (m *pauseMonitor) run(stopped <-chan struct{}) {
	ticker := time.NewTicker(pauseMonitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			now := time.Since(m.startedAt)
			m.record(now, now-time.Duration(m.nextTickAt.Load()))
			m.nextTickAt.Store(int64(now + pauseMonitorInterval))
		}
	}
}

// record records that a tick was late, which means that a pause of this length ends now. A negative length is no pause.
func (m *pauseMonitor) record(now, length time.Duration) {
	if length <= 0 {
		return
	}
	m.last.store(now, length)
	if length > m.longest.within(now, pauseMemory) {
		m.longest.store(now, length)
	}
}

// longestPause returns the length of the longest pause within pauseMemory, or 0 if there was none. It is at most
// pauseMonitorInterval too short, and counts a pause that the monitor itself has not noticed yet.
func (m *pauseMonitor) longestPause() timeunit.Ticks { return m.pauseIn(&m.longest, pauseMemory) }

// pauseJustEnded returns the length of a pause that ended within maxAge, or 0 if there was none. It is as precise as
// longestPause.
func (m *pauseMonitor) pauseJustEnded(maxAge time.Duration) timeunit.Ticks {
	return m.pauseIn(&m.last, maxAge)
}

// pauseIn returns the length of the recorded pause or, if that is longer, of one that the next tick will record.
func (m *pauseMonitor) pauseIn(recorded *recordedPause, maxAge time.Duration) timeunit.Ticks {
	nextTickAt := time.Duration(m.nextTickAt.Load())
	if nextTickAt == 0 {
		return 0
	}
	now := time.Since(m.startedAt)
	return timeunit.TicksOf(max(now-nextTickAt, recorded.within(now, maxAge), 0))
}
