package admission

import (
	"container/heap"
	"slices"

	"thistlequay/timeunit"
)

// drainState holds the progress of the graceful shutdown of the server.
type drainState struct {
	isDraining  bool
	gracePeriod timeunit.Ticks // time after the notice during which arriving requests still run
	graceEndsAt timeunit.Ticks // valid while draining
	stopAt      timeunit.Ticks // every request is answered before this time; noDeadline before the notice
}

// isAfterGracePeriod reports whether a request that arrived at arrivedAt came after the grace period and must not run.
func (d *drainState) isAfterGracePeriod(arrivedAt timeunit.Ticks) bool {
	return d.isDraining && arrivedAt >= d.graceEndsAt
}

// Drain starts the graceful shutdown; the process will be stopped after stopIn. Requests that arrive within the grace
// period (Config.DrainGrace) still run, later ones are rejected, and all are answered before the stop. Routers are
// notified through health checks and load reports. Further calls have no effect.
func (s *Server) Drain(stopIn timeunit.Ticks) { s.DrainSince(0, stopIn) }

// DrainSince is like Drain for a notice that was given age ago, for example before the Server was created. The grace
// period counts from the notice.
func (s *Server) DrainSince(age, stopIn timeunit.Ticks) {
	d := &s.drain
	if d.isDraining {
		return
	}
	d.isDraining = true
	d.stopAt = s.now + stopIn
	d.graceEndsAt = s.now - age + d.gracePeriod
	for _, request := range slices.Concat(s.queue.arrivals, s.timers.heap) {
		request.deadline = min(request.deadline, d.stopAt-s.answerMargin)
		if request.state != stateFinished {
			request.timerAt = min(request.timerAt, request.deadline)
		}
	}
	heap.Init(&s.timers.heap)
	s.host.SetHealth(false, true)
	s.rejectQueuedAfterGracePeriod()
}

// rejectQueuedAfterGracePeriod rejects the queued requests that arrived after the grace period. There are some if the
// notice was given longer ago than the grace period lasts.
func (s *Server) rejectQueuedAfterGracePeriod() {
	for _, request := range slices.Concat(s.queue.arrivals, s.timers.heap) {
		if request.state == stateQueued && s.drain.isAfterGracePeriod(request.arrivedAt) {
			s.reject(request, noDeadline, false)
		}
	}
}
