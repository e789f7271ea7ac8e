package server

import (
	"time"

	"thistlequay/timeunit"
)

// The platform measures the time to the kill from when it sends the shutdown notice, but this process learns of the
// notice only when it handles it. The shutdown therefore ends early by a reserve for the delay of the notice, limited
// to a fraction of the shutdown timeout.
const (
	// maxUnseenNoticeDelay is the assumed maximum delay of a notice that the process cannot measure, for example
	// because a busy platform sends the notice late.
	maxUnseenNoticeDelay = 3 * second / 10

	// processExitTime is the time reserved for the process to exit after its last response. A quarter of it is for the
	// recovery log to become durable and for the last bytes to be sent; the rest is for late timers.
	processExitTime = second / 5

	// noticeReserveDivisor limits each reserve to 1/noticeReserveDivisor of the shutdown timeout.
	noticeReserveDivisor = 4

	// graceReserveDivisor limits the part of the grace period that the delay of the notice may use up to
	// 1/graceReserveDivisor, so that requests sent before routers learned of the shutdown still run.
	graceReserveDivisor = 2
)

// phase is the phase of the process's life cycle. It only moves forward. It determines the response to health checks
// and how connections are handled.
type phase int

const (
	phaseStarting phase = iota // the interpreter is not up yet
	phaseReady
	phaseDraining // the shutdown notice was received; requests that arrive within the grace period still run
	phaseClosing  // well after the grace period; connections are closed as soon as they are idle
	phaseStopped  // all requests that were read have been answered; all connections are closed
)

// advancePhase sets the phase unless the current one is later.
func (s *Server) advancePhase(to phase) { s.phase = max(s.phase, to) }

// isHealthy reports the health that health checks and the directory see.
func (s *Server) isHealthy() bool { return s.phase < phaseDraining && s.routers.admissionHealthy }

// beginShutdown starts the graceful shutdown: it notifies the subsystems, admission and the directory, and sets the
// timers that end the process before the kill. Further calls have no effect.
func (s *Server) beginShutdown() {
	if s.shutdownDeadline < noDeadline {
		return
	}
	timeout := s.config.ShutdownTimeout
	noticeDelay := s.measuredNoticeDelay()
	reserve := min(maxUnseenNoticeDelay+processExitTime, timeout/noticeReserveDivisor)
	timeLeft := max(0, timeout-noticeDelay-reserve)
	s.log.Event("shutting_down").Str("name", s.config.Name).Int64("within_ms", timeLeft.Milliseconds()).
		Int("requests", s.requests.count()).Int64("notice_late_ms", noticeDelay.Milliseconds()).Send()
	s.killAt = s.now + timeout - noticeDelay
	s.noticeSentAt = s.now - noticeDelay - min(maxUnseenNoticeDelay, s.config.Settings.DrainGrace/graceReserveDivisor)
	s.shutdownDeadline = s.now + timeLeft
	s.advancePhase(phaseDraining)
	for _, optional := range s.enabledSubsystems { // before admission rejects requests because of the shutdown
		optional.drain()
	}
	s.notifyAdmissionOfDrain()
	s.directory.report()
	s.scheduleStop(timeLeft)
}

// gracePeriodEnd returns the end of the grace period of the shutdown that has begun.
func (s *Server) gracePeriodEnd() timeunit.Ticks {
	return s.noticeSentAt + s.config.Settings.DrainGrace
}

// isAfterGracePeriod reports whether a request that this server has read at the given time arrived after the end of the
// grace period of a shutdown, so that it must not run.
func (s *Server) isAfterGracePeriod(acceptedAt timeunit.Ticks) bool {
	return s.shutdownDeadline < noDeadline && acceptedAt > s.gracePeriodEnd()
}

// measuredNoticeDelay returns how long ago the shutdown notice may have been sent, judging by the lateness of timers,
// by the pause monitor and by when the signal was not yet delivered. If a timer is overdue now or was late recently,
// the process was stopped or delayed, and the notice may have waited for as long.
func (s *Server) measuredNoticeDelay() timeunit.Ticks {
	delay := max(s.peakLateness.peak(s.now), s.pauseMonitor.longestPause(s.now), s.shutdownSignal.maxAge(s.now))
	if len(s.deadlines) > 0 {
		delay = max(delay, s.now-s.deadlines[0].deadline)
	}
	return min(delay, s.config.ShutdownTimeout/noticeReserveDivisor)
}

// scheduleStop sets the timers that start the last two phases.
func (s *Server) scheduleStop(timeLeft timeunit.Ticks) {
	// The second half of the time after the grace period is reserved for closing connections.
	afterGrace := max(timeLeft-s.config.Settings.DrainGrace, timeLeft/4)
	closeIdle := func() {
		s.advancePhase(phaseClosing)
		s.acceptor.close()
		s.refuseNewConnections()
		s.routers.closeAllIdle()
	}
	s.setTimer(&timer{fire: closeIdle}, s.shutdownDeadline-afterGrace/2)
	s.readBeforeCloseUntil = s.shutdownDeadline - afterGrace/4
	// The server stops one batch after the shutdown deadline. If the loop is late, the batch of the deadline still
	// answers the requests that are due.
	stop := func() { s.stop(min(processExitTime, s.config.ShutdownTimeout/noticeReserveDivisor) / 4) }
	s.setTimer(&timer{fire: func() { s.setTimer(&timer{fire: stop}, s.now+1) }}, s.shutdownDeadline)
}

// notifyAdmissionOfDrain starts the drain in admission, if a shutdown has begun and the interpreter is up. It is also
// called when the interpreter comes up. The grace period counts from the notice even then, because otherwise requests
// that arrived after its end would run.
func (s *Server) notifyAdmissionOfDrain() {
	if s.admission != nil && s.shutdownDeadline < noDeadline {
		s.admission.DrainSince(s.now-s.noticeSentAt, max(0, s.shutdownDeadline-s.now))
	}
}

// stop closes all connections. The recovery log has up to timeout to become durable. The loop stops another half of
// timeout later, so that the last bytes can be sent.
func (s *Server) stop(timeout timeunit.Ticks) {
	s.advancePhase(phaseStopped)
	s.routers.closeAll()
	s.index.closeIdle()
	s.interpreter.close()
	s.directory.close()
	s.recovery.close(timeout, func() { s.setTimer(&timer{fire: s.stopLoop}, s.now+timeout/2) })
}

// TimeToKill returns the time that is left before the process is killed. It may be called once Run has returned.
// Without a shutdown notice there is no kill, and it returns the whole shutdown timeout.
func (s *Server) TimeToKill() time.Duration {
	if s.shutdownDeadline == noDeadline {
		return s.config.ShutdownTimeout.Duration()
	}
	return (s.killAt - s.clock.now() - processExitTime).Duration()
}

// stopLoop logs the end of the server and stops the event loop.
func (s *Server) stopLoop() {
	s.log.Event("ended").Str("name", s.config.Name).Int("requests", s.requests.count()).
		Int("broken_invariants", s.brokenInvariants).Int64("before_kill_ms", (s.killAt - s.now).Milliseconds()).Send()
	s.mustEndLoop = true
}
