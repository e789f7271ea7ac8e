package server

import (
	"sync/atomic"

	"thistlequay/timeunit"
)

// ShutdownSignal tells whether the operating system has delivered a shutdown signal to the process. Server.Shutdown
// follows through a thread and several goroutines. On a busy machine these may get a core later than the event loop,
// which must not run requests of after the grace period meanwhile.
type ShutdownSignal interface {
	// IsDelivered is called by every batch, and from other goroutines. It must not block.
	IsDelivered() bool
}

// WatchShutdownSignal sets the shutdown signal that the event loop looks for. It must be called before Run.
func (s *Server) WatchShutdownSignal(signal ShutdownSignal) { s.shutdownSignal.signal = signal }

// checkShutdownSignal begins the shutdown if its signal has been delivered.
func (s *Server) checkShutdownSignal() {
	if s.shutdownDeadline == noDeadline && s.shutdownSignal.check(s.now) {
		s.beginShutdown()
	}
}

// signalWatch looks for a shutdown signal and limits its age. The zero value has no signal to look for.
type signalWatch struct {
	signal        ShutdownSignal
	undeliveredAt atomic.Int64 // latest time, in ticks, at which check found that the signal was not delivered
}

// check reports whether the signal has been delivered. now must have been read before the call, on the server's clock.
// It may be called from any goroutine.
func (w *signalWatch) check(now timeunit.Ticks) bool {
	if w.signal == nil {
		return false
	}
	if w.signal.IsDelivered() {
		return true
	}
	w.undeliveredAt.Store(int64(now))
	return false
}

// observe checks the signal so that maxAge knows when it was not yet delivered. It may be called from any goroutine.
func (w *signalWatch) observe(now timeunit.Ticks) { w.check(now) }

// maxAge returns the longest time for which the signal may have been delivered, or 0 if it was not or if it already was
// at the first check.
func (w *signalWatch) maxAge(now timeunit.Ticks) timeunit.Ticks {
	undeliveredAt := timeunit.Ticks(w.undeliveredAt.Load())
	if undeliveredAt == 0 || !w.check(now) {
		return 0
	}
	return max(0, now-undeliveredAt)
}
