package server

import "time"

// standstillThreshold is the timer lateness above which the process is assumed to have had a standstill, that is, the
// machine or the process was paused.
const standstillThreshold = second / 50

// standstillState is the progress of the event loop in resuming after a standstill.
type standstillState int

const (
	standstillNone            standstillState = iota
	standstillAwaitingSockets                 // timers and dispatch wait until the sockets have been read once more
	standstillSocketsRead                     // the sockets have been read; late timers may fire
)

// awaitingSockets reports whether timers and dispatch must wait until the sockets have been read once more. It detects
// standstills by late timers. Input that arrived during a standstill, such as a result or a router's abort, must be
// handled before the late timers, at whatever point the loop was paused.
func (s *Server) awaitingSockets() bool {
	isLate := len(s.deadlines) > 0 && s.now-s.deadlines[0].deadline > standstillThreshold
	if s.standstill == standstillNone && isLate {
		s.standstill = standstillAwaitingSockets
		// The task is submitted from outside the loop, so the loop polls the sockets before it runs the task.
		time.AfterFunc(0, func() { s.submit(s.resumeAfterStandstill) })
	}
	return s.standstill == standstillAwaitingSockets
}

// resumeAfterStandstill fires the late timers after the sockets have been read.
func (s *Server) resumeAfterStandstill() {
	s.standstill = standstillSocketsRead
	s.fireTimers()
}
