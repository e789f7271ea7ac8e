package admission

import (
	"container/heap"
	"slices"

	"thistlequay/timeunit"
)

// drainState is the graceful shutdown of the server.
type drainState struct {
	draining bool
	grace    timeunit.Ticks // from the notice on, in which arriving requests are still run
	graceEnd timeunit.Ticks // valid while draining
	stopAt   timeunit.Ticks // all is answered before; noDeadline until the notice
}

// hasEndedFor says that a request which arrived at this time came too late to be run.
func (d *drainState) hasEndedFor(arrivedAt timeunit.Ticks) bool {
	return d.draining && arrivedAt >= d.graceEnd
}

// Drain is the notice that the process will be stopped after this time. Requests that arrive within the grace
// (Config.DrainGrace) still run, later ones are rejected, and all get their answers before the stop. Routers
// are notified through health checks and load reports. A second notice does nothing.
func (s *Server) Drain(stopIn timeunit.Ticks) { s.DrainSince(0, stopIn) }

// DrainSince is Drain for a notice that was given age ago, as when it came before the server could be made. The grace
// counts from then.
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
