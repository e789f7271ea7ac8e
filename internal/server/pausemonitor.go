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

	// Times are durations since startedAt. nextTickAt is stored after the pause that the last tick measured, and read
	// before it, so that a reader sees the pause either as recorded or as the lateness of the next tick.
	nextTickAt     atomic.Int64 // latest time at which the next tick is due; 0 before run
	longestPause   atomic.Int64 // longest of the recent pauses
	longestPauseAt atomic.Int64 // when it ended
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

// record records a pause that ended now, unless a longer one is still remembered. A negative length is no pause.
func (m *pauseMonitor) record(now, length time.Duration) {
	if length <= m.remembered(now) {
		return
	}
	m.longestPause.Store(int64(length))
	m.longestPauseAt.Store(int64(now))
}

// remembered returns the length of the recorded pause if it ended within pauseMemory before now, otherwise 0.
func (m *pauseMonitor) remembered(now time.Duration) time.Duration {
	if now-time.Duration(m.longestPauseAt.Load()) > pauseMemory {
		return 0
	}
	return time.Duration(m.longestPause.Load())
}

// recentPause returns the length of the longest recent pause, or 0 if there was none. It is at most
// pauseMonitorInterval too short, and counts a pause that the monitor itself has not noticed yet.
func (m *pauseMonitor) recentPause() timeunit.Ticks {
	nextTickAt := time.Duration(m.nextTickAt.Load())
	if nextTickAt == 0 {
		return 0
	}
	now := time.Since(m.startedAt)
	return timeunit.TicksOf(max(now-nextTickAt, m.remembered(now), 0))
}
