package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Quantiles of run times. Only budgetQuantile comes from the paper.
const (
	budgetQuantile     = 0.99 // of quiet run times: a queueing budget leaves this much time for the run
	enqueueQuantile    = 0.1  // of quiet run times: must fit into the time left, or an arriving request is rejected
	stayQueuedQuantile = 0.9  // of recent run times: must fit into the time left, or a queued request is rejected
)

// valuableUntil returns the last time at which an answer has some value. For a queued request beyond its tenant's fair
// share that is the soft deadline even if late answers have a value: such requests are ordered by start tag instead of
// value, so the queue would fill with late ones.
func (r *Request) valuableUntil() timeunit.Ticks {
	if r.category.LateValue > 0 && (r.isEligible || r.state != stateQueued) {
		return r.deadline
	}
	return min(r.deadline, r.softDeadline)
}

// queueingBudget returns how long the request may wait after its arrival (section 3.4 of the paper): the time in which
// its answer has some value, less the time that nearly all runs take on quiet cores. It is at least 0.
func (r *Request) queueingBudget() timeunit.Ticks {
	return max(0, r.valuableUntil()-r.arrivedAt-r.category.quietRunTimes.quantile(budgetQuantile))
}

// cannotFinishInTime reports whether the answer would come too late from any server, because not even a short run on
// quiet cores would finish in time.
func (r *Request) cannotFinishInTime() bool {
	return r.server.now+r.category.quietRunTimes.quantile(enqueueQuantile) >= r.valuableUntil()
}

// joinQueueOrReject applies the paper's check to a request that could not start at once and has to join a queue. It
// rejects the request if the time already waited plus the delay of the queue ahead exceeds its queueing budget. The
// delay of the queue is the time that the oldest request ahead has waited or, if longer, the time that the requests of
// the same tenant ahead will take.
func (s *Server) joinQueueOrReject(request *Request) {
	totalDelay := s.now - request.arrivedAt + max(s.queueingDelay(request), request.expectedDelay)
	if totalDelay > request.queueingBudget() {
		s.reject(request, totalDelay, false)
		return
	}
	// Once nine in ten runs no longer fit into the time left, the request is rejected early.
	latestStart := request.valuableUntil() - request.category.runTimes.quantile(stayQueuedQuantile)
	s.timers.set(request, max(s.now+1, min(request.deadline, latestStart)))
}

// callWouldBeTooLate applies the check before a downstream call. It reports whether the result of the call would come
// after the answer has lost its value. While no call is in flight it returns false, so that one call can detect that
// the dependency has recovered.
func (s *Server) callWouldBeTooLate(request *Request) bool {
	// The median of call times that are exponentially distributed around their mean.
	median := timeunit.Ticks(s.downstream.recentTime * math.Ln2)
	return s.now+median > request.valuableUntil() && s.downstream.inFlight > 0
}
