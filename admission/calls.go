package admission

import "thistlequay/timeunit"

// startCalls makes the downstream calls that requests need, within this server's part of the calls that the dependency
// can sustain. The other requests keep waiting in the same order.
func (s *Server) startCalls() {
	waiting := s.downstream.waiting[:0]
	for _, request := range s.downstream.waiting {
		if request.state != stateWaitingToCall || request.isResolved() {
			continue
		}
		if s.callWouldBeTooLate(request) || s.prefersDegradedAnswer(request, len(waiting)) {
			s.continueWithoutCall(request)
			continue
		}
		if request.nextCallAt > s.now || s.coresAreFull() || !s.startCall(request) {
			waiting = append(waiting, request)
		}
	}
	s.downstream.waiting = waiting
}

// startCall makes the downstream call of the request and reports whether the dependency may be called now.
func (s *Server) startCall(request *Request) bool {
	downstream := &s.downstream
	isIdempotent := request.idempotency == Idempotent
	allowedUntil := downstream.allowedUntil(s.now, !isIdempotent)
	if allowedUntil <= s.now {
		return false
	}
	until := min(request.valuableUntil(), allowedUntil)
	if isIdempotent && downstream.quickTimes.total >= minSamples {
		// A lost reply would keep the call in flight until the deadline. An idempotent call is given up before and made
		// again.
		lossTimeout := lostCallFactor * max(downstream.recentTime,
			float64(downstream.quickTimes.quantile(lostCallQuantile)))
		until = min(until, s.now+timeunit.Ticks(lossTimeout))
	}
	request.state = stateCalling
	downstream.inFlight++
	s.host.StartCall(request, until)
	return true
}

// continueWithoutCall continues the run towards a degraded answer if that has a value and the cores have room.
// Otherwise it aborts the request.
func (s *Server) continueWithoutCall(request *Request) {
	if request.category.DegradedValue == 0 || request.isResolved() || s.coresAreFull() {
		s.abort(request)
		return
	}
	request.state = stateRunning
	s.cores.runsAwaitingCalls--
	s.host.SkipCall(request)
}

// prefersDegradedAnswer reports whether an answer with the call would miss the soft deadline, with callsAhead calls to
// wait for, while a degraded answer is worth more than a late one and the cores have room for it.
func (s *Server) prefersDegradedAnswer(request *Request, callsAhead int) bool {
	downstream := &s.downstream
	expectedTime := downstream.recentTime*(1+float64(callsAhead)/max(1, downstream.limit)) +
		request.category.typicalRunTime()/2
	missesSoftDeadline := float64(request.softDeadline-s.now) < expectedTime
	return request.category.DegradedValue > request.category.LateValue && missesSoftDeadline && !s.coresAreFull()
}
