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
	pauseSocketsRead                // the sockets have been read; late timers may fire
)

// deferAfterPause reports whether timers and dispatch must wait until the sockets have been read once more. If the
// earliest timer is late by more than pauseThreshold, it assumes that there was a pause, begins the wait and schedules
// resumeAfterPause, which ends the wait. The next endBatch then sets the state back to pauseNone; until it does, no
// further pause is detected.
//
// Input that arrived during a pause, such as a result or a router's abort, must be handled before the late timers. The
// loop may be paused between two batches or within one, so both fireTimers and endBatch call this method before they
// act.
func (s *Server) deferAfterPause() bool {
	isLate := len(s.deadlines) > 0 && s.now-s.deadlines[0].deadline > pauseThreshold
	if s.pauseState == pauseNone && isLate {
		s.pauseState = pauseAwaitingSockets
		// The task is submitted from outside the loop, so the loop polls the sockets before it runs the task.
		time.AfterFunc(0, func() { s.submit(s.resumeAfterPause) })
	}
	return s.pauseState == pauseAwaitingSockets
}

// resumeAfterPause fires the late timers after the sockets have been read.
func (s *Server) resumeAfterPause() {
	s.pauseState = pauseSocketsRead
	s.fireTimers()
}
