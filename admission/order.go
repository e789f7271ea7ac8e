package admission

import "thistlequay/timeunit"

// almostOne caps a quantile so that rounding does not carry it beyond the last sample.
const almostOne = 1 - 1e-9

// The queue is ordered by value: the weight of an answer, scaled by the fraction of recent runs that would still be in
// time, per tick of run time of the category. Among equal values the older request goes first. The paper's queue is
// first come, first served.

// nextToStart returns the eligible request to start next, or nil if none is queued. A request whose result others wait
// for goes first, and the most valuable one after that.
func (s *Server) nextToStart() *Request {
	s.queue.advanceVirtualTime()
	for len(s.queue.awaited) > 0 {
		if s.queue.awaited[0].state == stateQueued {
			return s.queue.awaited[0]
		}
		s.queue.awaited = s.queue.awaited[1:]
	}
	var best *Request
	bestValue := 0.0
	for i, tree := range s.queue.eligibleByCategory {
		latest, found := tree.Max()
		if !found {
			continue
		}
		// Within a category, a later soft deadline gives at least as much value. Among equal values the earliest goes
		// first.
		from := s.now + s.categories[i].runTimes.earliestEquivalent(latest.softDeadline-s.now)
		request := s.queue.firstFrom(tree, from, anyRequest)
		value := request.value()
		if best == nil || value > bestValue || value == bestValue && request.sequence < best.sequence {
			best = request
			bestValue = value
		}
	}
	return best
}

// queueingDelay returns the delay of the queue ahead of the request: the longest time that any request which would
// start before it has waited.
func (s *Server) queueingDelay(request *Request) timeunit.Ticks {
	var delay timeunit.Ticks
	value := request.value()
	for i, tree := range s.queue.eligibleByCategory {
		from, exists := s.softDeadlineAhead(request, value, s.categories[i])
		if !exists {
			continue
		}
		if first := s.queue.firstFrom(tree, from, passedBudgetCheck); first != nil {
			delay = max(delay, s.now-first.arrivedAt)
		}
	}
	if request.isEligible {
		return delay
	}
	next, found := s.queue.flows.next()
	if found && passedBudgetCheck(next.first()) && next.startTag <= request.startTag {
		delay = max(delay, s.now-next.first().arrivedAt)
	}
	return delay
}

// softDeadlineAhead returns the earliest soft deadline with which an eligible request of the category would start
// before request, whose value is given. It returns false if no request of the category would.
func (s *Server) softDeadlineAhead(request *Request, value float64, category *categoryState) (timeunit.Ticks, bool) {
	if !request.isEligible {
		return -noDeadline, true // every eligible request goes first
	}
	if category == request.category {
		return s.now + category.runTimes.earliestEquivalent(request.softDeadline-s.now), true
	}
	// The fraction of runs that must be in time for the same value, solved from categoryState.valueAt.
	fractionInTime := (value*category.typicalRunTime()/category.Weight - category.LateValue) / (1 - category.LateValue)
	if fractionInTime > 1 {
		return 0, false
	}
	if fractionInTime > 0 && category.runTimes.total > 0 {
		return s.now + category.runTimes.quantile(min(fractionInTime, almostOne)), true
	}
	return -noDeadline, true
}
