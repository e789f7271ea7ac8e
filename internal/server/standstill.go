package server

import "time"

// standstillThreshold is how late a timer must be for the machine to have stood still.
const standstillThreshold = second / 50

// standstillState is how far the loop is in going on after a standstill.
type standstillState int

const (
	standstillNone           standstillState = iota
	standstillReadingSockets                 // nothing is decided until the sockets have been read once more
	standstillSocketsRead                    // they have been; late timers may fire
)

// awaitingSockets reports whether decisions wait until the sockets have been read once more. When the machine stood
// still, wherever the loop was, what came in meanwhile (an answer, a router's abort) goes before the late timers.
func (s *Server) awaitingSockets() bool {
	isLate := len(s.deadlines) > 0 && s.now-s.deadlines[0].deadline > standstillThreshold
	if s.standstill == standstillNone && isLate {
		s.standstill = standstillReadingSockets
		// Submitted from outside the loop, which polls the sockets before it takes the task up.
		time.AfterFunc(0, func() { s.submit(s.resumeAfterStandstill) })
	}
	return s.standstill == standstillReadingSockets
}

func (s *Server) resumeAfterStandstill() {
	s.standstill = standstillSocketsRead
	s.fireTimers()
}
