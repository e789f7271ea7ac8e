package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Quantiles of run times. The paper has the first; the others are ours.
const (
	budgetQuantile     = 0.99 // of quiet run times: a queueing budget leaves room for it
	hopelessQuantile   = 0.1  // of quiet run times: it must fit for a request to be queued at all
	fairChanceQuantile = 0.9  // of recent run times: it must fit for a request to stay queued
)

// valuableUntil is the last moment at which an answer has some value. For a request beyond its tenant's part
// that is the soft deadline: its queue goes by start tags, not by value, and would fill with late ones.
func (r *Request) valuableUntil() timeunit.Ticks {
	if r.category.LateValue > 0 && (r.eligible || r.state != stateQueued) {
		return r.deadline
	}
	return min(r.deadline, r.softDeadline)
}

// queueingBudget is how long the request may wait, from its arrival on (the paper's section 3.4): the time in
// which its answer has some value, less the time that nearly all runs take on quiet cores. Never less than 0.
func (r *Request) queueingBudget() timeunit.Ticks {
	return max(0, r.valuableUntil()-r.arrivedAt-r.category.quietRunTimes.quantile(budgetQuantile))
}

// isHopeless says that the answer would come too late from any server: not even a short run on quiet cores
// would be in time.
func (r *Request) isHopeless() bool {
	return r.server.now+r.category.quietRunTimes.quantile(hopelessQuantile) >= r.valuableUntil()
}

// joinQueueOrReject is the paper's check where a queue is joined, for a request that could not start at once: it is
// rejected if the time that it has waited and the delay of the queue ahead of it exceed its budget. A queue's
// delay is what its oldest request has waited, or what the requests of the same tenant ahead of it will take.
func (s *Server) joinQueueOrReject(request *Request) {
	waits := s.now - request.arrivedAt + max(s.queueingDelay(request), request.expectedDelay)
	if waits > request.queueingBudget() {
		s.reject(request, waits, false)
		return
	}
	// When nine in ten runs no longer fit it has no fair chance any more and is answered at once.
	chanceUntil := request.valuableUntil() - request.category.runTimes.quantile(fairChanceQuantile)
	s.timers.set(request, max(s.now+1, min(request.deadline, chanceUntil)))
}

// callIsTooLate is the same check where a request needs a downstream call: whether the call's answer would
// come after the request's own has any value. One call is always let through, to learn that the dependency
// has recovered.
func (s *Server) callIsTooLate(request *Request) bool {
	// The median, if times are spread exponentially about their mean.
	median := timeunit.Ticks(s.downstream.recentTime * math.Ln2)
	return s.now+median > request.valuableUntil() && s.downstream.inFlight > 0
}
