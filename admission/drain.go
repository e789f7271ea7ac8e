package admission

import (
	"container/heap"
	"slices"

	"thistlequay/timeunit"
)

// drainState holds the progress of the graceful shutdown of the server.
type drainState struct {
	draining bool
	grace    timeunit.Ticks // time after the notice during which arriving requests still run
	graceEnd timeunit.Ticks // valid while draining
	stopAt   timeunit.Ticks // every request is answered before this time; noDeadline before the notice
}

// hasEndedFor reports whether a request that arrived at arrivedAt came after the grace period and must not run.
func (d *drainState) hasEndedFor(arrivedAt timeunit.Ticks) bool {
	return d.draining && arrivedAt >= d.graceEnd
}

// Drain starts the graceful shutdown; the process will be stopped after stopIn. Requests that arrive within the grace
// period (Config.DrainGrace) still run, later ones are rejected, and all are answered before the stop. Routers are
// notified through health checks and load reports. Further calls have no effect.
func (s *Server) Drain(stopIn timeunit.Ticks) { s.DrainSince(0, stopIn) }

// DrainSince is like Drain for a notice that was given age ago, for example before the Server was created. The grace
// period counts from the notice.
func (s *Server) DrainSince(age, stopIn timeunit.Ticks) {
	d := &s.drain
	if d.draining {
		return
	}
	d.draining = true
	d.stopAt = s.now + stopIn
	d.graceEnd = s.now - age + d.grace
	for _, request := range slices.Concat(s.queue.arrivals, s.timers.heap) {
		request.deadline = min(request.deadline, d.stopAt-s.answerMargin)
		if request.state != stateFinished {
			request.checkAt = min(request.checkAt, request.deadline)
		}
	}
	heap.Init(&s.timers.heap)
	s.host.SetHealth(false, true)
}
