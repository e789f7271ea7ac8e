package server

import (
	"time"

	"thistlequay/timeunit"
)

// The platform counts the time to the kill from when it sends the notice, this process from when it handles it. What
// can lie between is set aside, within a part of the whole.
const (
	// maxUnseenNoticeDelay is how late a notice may come that nothing in the process shows: a busy platform sends it
	// late.
	maxUnseenNoticeDelay = 3 * second / 10

	// processEndTime is what the end of the process itself may take, after the last answer.
	processEndTime = second / 10

	// setAsideDivisor: what is set aside for a delay takes at most one part in so many of the time it is taken from.
	setAsideDivisor = 4

	// graceDivisor is the same for the grace period: requests that cross the notice still run.
	graceDivisor = 2
)

// phase is where the process is in its life. It only moves forward. What health checks hear and what becomes of
// connections goes by it.
type phase int

const (
	phaseStarting phase = iota // the interpreter is not there yet
	phaseReady
	phaseDraining // the notice to shut down has come; requests that come within the grace period are still run
	phaseClosing  // the grace period is long over: connections end as soon as they carry nothing
	phaseStopped  // everything that was read is answered; every connection ends
)

func (s *Server) advancePhase(to phase) { s.phase = max(s.phase, to) }

// isHealthy is what health checks and the directory hear.
func (s *Server) isHealthy() bool { return s.phase < phaseDraining && s.routers.admissionHealthy }

// beginShutdown tells admission how long there is, and ends the process in time.
func (s *Server) beginShutdown() {
	if s.shutdownDeadline < noDeadline {
		return
	}
	timeout := s.config.ShutdownTimeout
	late := s.measuredNoticeDelay()
	unseen := min(maxUnseenNoticeDelay+processEndTime, timeout/setAsideDivisor)
	timeLeft := max(0, timeout-late-unseen)
	s.log.Event("shutting_down").Str("name", s.config.Name).Int64("within_ms", timeLeft.Milliseconds()).
		Int("requests", s.requests.count()).Int64("notice_late_ms", late.Milliseconds()).Send()
	s.killedAt = s.now + timeout - late
	s.noticedAt = s.now - late - min(maxUnseenNoticeDelay, s.config.Settings.DrainGrace/graceDivisor)
	s.shutdownDeadline = s.now + timeLeft
	s.advancePhase(phaseDraining)
	for _, optional := range s.parts { // before anything is rejected for it
		optional.drain()
	}
	s.notifyAdmissionOfDrain()
	s.directory.report()
	s.scheduleEnd(timeLeft)
}

// measuredNoticeDelay returns how late the notice may be by what the process has measured of its own lateness: a timer
// that is overdue at this moment, or was late just before, shows that the process stood still or was kept waiting, and
// the notice may have waited as long.
func (s *Server) measuredNoticeDelay() timeunit.Ticks {
	late := s.lateness.peak(s.now)
	if len(s.deadlines) > 0 {
		late = max(late, s.now-s.deadlines[0].deadline)
	}
	return min(late, s.config.ShutdownTimeout/setAsideDivisor)
}

// scheduleEnd sets the timers for the last two phases.
func (s *Server) scheduleEnd(timeLeft timeunit.Ticks) {
	// What is after the grace period; half of it goes to the ends of connections.
	afterGrace := max(timeLeft-s.config.Settings.DrainGrace, timeLeft/4)
	closeIdle := func() {
		s.advancePhase(phaseClosing)
		s.refuseNewConnections()
		s.routers.closeAllIdle()
	}
	s.setTimer(&timer{fire: closeIdle}, s.shutdownDeadline-afterGrace/2)
	// The batch in which the deadline comes is dispatched before anything ends: when the loop is late, that answers
	// what is due.
	stop := func() { s.stop(min(processEndTime, s.config.ShutdownTimeout/setAsideDivisor) / 2) }
	s.setTimer(&timer{fire: func() { s.setTimer(&timer{fire: stop}, s.now+1) }}, s.shutdownDeadline)
}

// notifyAdmissionOfDrain passes the notice on, at once or when the interpreter comes up. The grace counts from the
// notice also then: otherwise requests would be run that arrived after its end.
func (s *Server) notifyAdmissionOfDrain() {
	if s.admission != nil && s.shutdownDeadline < noDeadline {
		s.admission.DrainSince(s.now-s.noticedAt, max(0, s.shutdownDeadline-s.now))
	}
}

// stop ends every connection. The recovery log has timeout to become durable, then half of that passes for
// the last bytes to leave, then the loop stops.
func (s *Server) stop(timeout timeunit.Ticks) {
	s.advancePhase(phaseStopped)
	s.routers.closeAll()
	s.index.closeIdle()
	s.interpreter.close()
	s.directory.close()
	s.recovery.close(timeout, func() { s.setTimer(&timer{fire: s.stopLoop}, s.now+timeout/2) })
}

// TimeToKill returns how long the end of the process may still take before the kill, once Run has returned: the whole
// time for a shutdown where there was no notice, as no kill is to come.
func (s *Server) TimeToKill() time.Duration {
	if s.shutdownDeadline == noDeadline {
		return s.config.ShutdownTimeout.Duration()
	}
	return (s.killedAt - s.clock.now() - processEndTime).Duration()
}

func (s *Server) stopLoop() {
	s.log.Event("ended").Str("name", s.config.Name).Int("requests", s.requests.count()).
		Int("broken_invariants", s.brokenInvariants).Int64("before_kill_ms", (s.killedAt - s.now).Milliseconds()).Send()
	s.ended = true
}
