package server

import "time"

// pauseThreshold is the timer lateness above which the machine or the process is assumed to have been paused.
const pauseThreshold = second / 50

// pauseState is the progress of the event loop in resuming after a pause of the machine or the process. endBatch
// returns it to pauseNone.
type pauseState int

const (
	pauseNone            pauseState = iota
	pauseAwaitingSockets            // timers and dispatch wait until the sockets have been read once more
	pauseReadingSockets             // they wait until no input is unread, but not for long
	pauseSocketsRead                // the sockets have been read; late timers may fire
)

// maxPauseReading is how long timers and dispatch wait until input that arrived during a pause has been read.
const maxPauseReading = second / 50

// routerTolerance is how long after the grace period a request may still run, as routers measure it.
const routerTolerance = second / 20

// pendingNoticeTime is how long after a pause a shutdown notice that was sent during the pause may still be on its way
// to the event loop: from the signal handler through two goroutines.
const pendingNoticeTime = second / 50

// deferAfterPause reports whether timers and dispatch must wait until the sockets have been read once more. It detects
// a pause, begins the wait and schedules resumeAfterPause, which ends the wait. The next endBatch then sets the state
// back to pauseNone; until it does, no further pause is detected.
//
// Input that arrived during a pause, such as a result or a router's abort, must be handled before the late timers. The
// loop may be paused between two batches or within one, so both fireTimers and endBatch call this method before they
// act.
func (s *Server) deferAfterPause() bool {
	if s.pauseState == pauseNone {
		switch {
		case s.noticeMayBePending():
			s.awaitSockets(pendingNoticeTime.Duration())
		case s.isTimerLate():
			s.awaitSockets(0)
		}
	}
	return s.pauseState == pauseAwaitingSockets || s.pauseState == pauseReadingSockets
}

// isTimerLate reports whether the earliest timer is so late that there must have been a pause.
func (s *Server) isTimerLate() bool {
	return len(s.deadlines) > 0 && s.now-s.deadlines[0].deadline > pauseThreshold
}

// noticeMayBePending reports whether the process has just resumed from a pause that may have been longer than the grace
// period and routerTolerance. Requests that must not run may then be read before the shutdown notice.
func (s *Server) noticeMayBePending() bool {
	if s.phase >= phaseDraining {
		return false
	}
	shortestPause := s.config.Settings.DrainGrace + routerTolerance - pauseMonitorInterval
	return s.pauseMonitor.pauseJustEnded(s.now, pendingNoticeTime) > shortestPause
}

// awaitSockets begins the wait for the sockets, which lasts at least for delay.
func (s *Server) awaitSockets(delay time.Duration) {
	s.pauseState = pauseAwaitingSockets
	// The task is submitted from outside the loop, so the loop polls the sockets before it runs the task.
	time.AfterFunc(delay, func() { s.submit(s.resumeAfterPause) })
}

// resumeAfterPause fires the late timers after the sockets have been read once. If there is more to read, it leaves
// that to continueReading.
func (s *Server) resumeAfterPause() {
	if s.hasUnreadConnection() {
		s.pauseState = pauseReadingSockets
		s.pauseReadUntil = s.now + maxPauseReading
		return
	}
	s.finishPause()
}

// continueReading is called at the end of a batch that read the sockets after a pause. It fires the late timers if
// there is nothing more to read, or if that takes too long.
func (s *Server) continueReading() {
	if s.now >= s.pauseReadUntil || !s.hasUnreadConnection() {
		s.finishPause()
	}
}

func (s *Server) finishPause() {
	s.pauseState = pauseSocketsRead
	s.fireTimers()
}

// hasUnreadConnection reports whether the interpreter or a router has sent input that has not been read.
func (s *Server) hasUnreadConnection() bool {
	if s.interpreter.conn != nil && hasUnreadInput(s.interpreter.conn) {
		return true
	}
	for element := s.routers.connections.Front(); element != nil; element = element.Next() {
		if conn := element.Value.(*routerConnection).conn; conn != nil && hasUnreadInput(conn) {
			return true
		}
	}
	return false
}
