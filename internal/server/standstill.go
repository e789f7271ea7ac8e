package server

import (
	"time"
)

const (
	standstillThreshold = second / 50 // where an alarm is later than this, the machine stood still
)

// Rounds after a standstill.
const (
	noStandstill   = iota
	readingSockets // the sockets are being read
	socketsRead    // and have been
)

// awaitingSockets says that decisions wait until the sockets have been read once more. Where the machine stood
// still, in whatever the loop was doing, what came in meanwhile (an answer, a caller's leave) goes before late alarms.
func (a *Server) awaitingSockets() bool {
	if a.standstill == noStandstill && len(a.deadlines) > 0 && a.now-a.deadlines[0].deadline > standstillThreshold {
		a.standstill = readingSockets
		time.AfterFunc(0, func() { a.submit(a.resumeAfterStandstill) }) // from outside the loop: it polls before it takes this up
	}
	return a.standstill == readingSockets
}

func (a *Server) resumeAfterStandstill() {
	a.standstill = socketsRead
	a.fireTimers()
}
