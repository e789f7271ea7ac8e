package server

import (
	"thistlequay/timeunit"
)

const (
	shutdownMargin = second / 10 // of the time to the stop, what the end of the process itself may take
)

// phase is where the process is in its life. It only moves on.
type phase int

const (
	phaseStarting phase = iota // the interpreter is not there yet
	phaseReady
	phaseDraining // it was told to leave; what came within the grace is run
	phaseClosing  // the grace is over by far: connections end as soon as they carry nothing
	phaseStopped  // all that was read is answered; every connection ends
)

func (a *Server) advancePhase(p phase) { a.phase = max(a.phase, p) }

// isHealthy is what health checks and the directory hear.
func (a *Server) isHealthy() bool { return a.phase < phaseDraining && a.routers.admissionHealthy }

// beginShutdown tells the module how long there is, and ends the program in time.
func (a *Server) beginShutdown() {
	if a.shutdownDeadline < noDeadline {
		return
	}
	left := max(0, a.config.ShutdownTimeout-min(shutdownMargin, a.config.ShutdownTimeout/4))
	a.log.Event("shutting_down").Str("name", a.config.Name).Int64("within_ms", int64(left/10)).Int("requests", a.requests.count()).Send()
	a.shutdownDeadline = a.now + left
	a.advancePhase(phaseDraining)
	a.publishState() // before anything is declined for it
	a.recovery.onDrain()
	a.recovery.saveWarmStart()
	a.notifyAdmissionOfDrain()
	a.directory.report()
	late := max(left-a.config.Settings.DrainGrace, left/4) // what is after the grace; half of it goes to connections' ends
	a.setTimer(&timer{fire: func() {
		a.advancePhase(phaseClosing)
		a.routers.drainIdle()
	}}, a.shutdownDeadline-late/2)
	// The batch in which the stop comes is decided before anything ends: where the loop is late, that answers what is due.
	a.setTimer(&timer{fire: func() {
		a.setTimer(&timer{fire: func() { a.closeConnections((a.config.ShutdownTimeout - left) / 2) }}, a.now+1)
	}}, a.shutdownDeadline)
}

func (a *Server) notifyAdmissionOfDrain() {
	if a.admission != nil && a.shutdownDeadline < noDeadline {
		a.admission.Drain(max(0, a.shutdownDeadline-a.now))
	}
}

// closeConnections ends every connection, and the process after the time given.
func (a *Server) closeConnections(in timeunit.Ticks) {
	a.advancePhase(phaseStopped)
	a.routers.closeAll()
	a.index.closeIdle()
	a.interpreter.close()
	a.directory.close()
	a.recovery.close(in, func() { a.setTimer(&timer{fire: a.stopLoop}, a.now+in/2) })
}

func (a *Server) stopLoop() {
	a.log.Event("ended").Str("name", a.config.Name).Int("requests", a.requests.count()).Int("broken_invariants", a.brokenInvariants).Send()
	a.ended = true
}
