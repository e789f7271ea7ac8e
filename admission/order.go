package admission

import "thistlequay/timeunit"

// almostOne is a quantile that rounding does not carry over the top.
const almostOne = 1 - 1e-9

// The order of the queue: by value, which is the weight of an answer, by the share of recent runs that would
// still be in time, for the time that runs of the category take; among equals the older first. The paper's
// queue is first come, first served.

// mostValuable is the eligible request to start next: one that others wait for, or else the most valuable. It
// is nil where none waits.
func (s *Server) mostValuable() *Request {
	s.queue.advance()
	for len(s.queue.awaited) > 0 {
		if s.queue.awaited[0].state == stateQueued {
			return s.queue.awaited[0]
		}
		s.queue.awaited = s.queue.awaited[1:]
	}
	var best *Request
	bestValue := 0.0
	for i, tree := range s.queue.eligible {
		last, found := tree.Max()
		if !found {
			continue
		}
		// Within a category later soft deadlines are worth more, or as much: then the first of those is taken.
		from := s.now + s.categories[i].runTimes.earliestEquivalent(last.softDeadline-s.now)
		request := s.queue.firstFrom(tree, from, anyRequest)
		value := request.value()
		if best == nil || value > bestValue || value == bestValue && request.sequence < best.sequence {
			best = request
			bestValue = value
		}
	}
	return best
}

// queueingDelay is the delay of the queue ahead of the request: how long the oldest has waited of those that
// would start before it.
func (s *Server) queueingDelay(request *Request) timeunit.Ticks {
	var delay timeunit.Ticks
	value := request.value()
	for i, tree := range s.queue.eligible {
		from, some := s.softDeadlineAhead(request, value, s.categories[i])
		if !some {
			continue
		}
		if first := s.queue.firstFrom(tree, from, hasJoined); first != nil {
			delay = max(delay, s.now-first.arrivedAt)
		}
	}
	if request.eligible {
		return delay
	}
	first, found := s.queue.byStartTag.Min()
	if found && hasJoined(first) && first.startTag <= request.startTag {
		delay = max(delay, s.now-first.arrivedAt)
	}
	return delay
}

// softDeadlineAhead is the soft deadline from which on eligible requests of category c would start before r,
// whose value this is. It returns false where none of them would.
func (s *Server) softDeadlineAhead(request *Request, value float64, category *categoryState) (timeunit.Ticks, bool) {
	if !request.eligible {
		return -noDeadline, true // all that is eligible goes first
	}
	if category == request.category {
		return s.now + category.runTimes.earliestEquivalent(request.softDeadline-s.now), true
	}
	// The share of runs that must be in time for as much value, solved from categoryState.valueAt.
	fits := (value*category.typicalRunTime()/category.Weight - category.LateValue) / (1 - category.LateValue)
	if fits > 1 {
		return 0, false
	}
	if fits > 0 && category.runTimes.total > 0 {
		return s.now + category.runTimes.quantile(min(fits, almostOne)), true
	}
	return -noDeadline, true
}
