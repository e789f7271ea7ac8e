package admission

import "thistlequay/timeunit"

// startCalls makes the downstream calls that requests need, within this server's part of what the dependency
// survives. The others go on waiting, in the same order.
func (s *Server) startCalls() {
	waiting := s.downstream.waiting[:0]
	for _, r := range s.downstream.waiting {
		if r.state != stateWaitingToCall || r.isDone() {
			continue
		}
		if s.callIsTooLate(r) || s.onlyDegradedIsInTime(r, len(waiting)) {
			s.continueWithoutCall(r)
			continue
		}
		if r.retryCallAt > s.now || s.coresAreFull() || !s.startCall(r) {
			waiting = append(waiting, r)
		}
	}
	s.downstream.waiting = waiting
}

// startCall makes the call of the request if the dependency may be called now.
func (s *Server) startCall(r *Request) bool {
	d := &s.downstream
	isIdempotent := r.category.Idempotency == Idempotent
	allowedUntil := d.allowedUntil(s.now, !isIdempotent)
	if allowedUntil <= s.now {
		return false
	}
	until := min(r.valuableUntil(), allowedUntil)
	if isIdempotent && d.quickTimes.total >= minSamples {
		// Its reply may be lost and would keep a call in flight for long. It can be called again.
		lostAfter := lostCallFactor * max(d.recentTime, float64(d.quickTimes.quantile(lostCallQuantile)))
		until = min(until, s.now+timeunit.Ticks(lostAfter))
	}
	r.state = stateCalling
	d.inFlight++
	s.host.StartCall(r, until)
	return true
}

// continueWithoutCall has the run go on to a degraded answer where that has a value, and aborts the request
// elsewhere.
func (s *Server) continueWithoutCall(r *Request) {
	if r.category.DegradedValue == 0 || r.isDone() || s.coresAreFull() {
		s.abort(r)
		return
	}
	r.state = stateRunning
	s.cores.runsAtCalls--
	s.host.SkipCall(r)
}

// onlyDegradedIsInTime says that an answer with the call would miss the soft deadline, with so many calls to
// wait for, and that a degraded answer is worth more than a late one.
func (s *Server) onlyDegradedIsInTime(r *Request, callsAhead int) bool {
	d := &s.downstream
	takes := d.recentTime*(1+float64(callsAhead)/max(1, d.limit)) + r.category.typicalRunTime()/2
	isTooLate := float64(r.softDeadline-s.now) < takes
	return r.category.DegradedValue > r.category.LateValue && isTooLate && !s.coresAreFull()
}
