package server

import "thistlequay/timeunit"

// latenessInterval is the length of an interval of peakLateness, and the minimum time for which it remembers a
// lateness. The next interval starts at the first call of add or peak after the end of the current one. That call may
// come almost one latenessInterval late, so a lateness may be remembered for almost three times as long. If it comes
// later still, it forgets the lateness.
const latenessInterval = 1 * second

// peakLateness tracks the largest recent timer lateness, the time by which timers fired after their deadlines. Timers
// are late if the core is overloaded or the process was stopped. The zero value is ready to use.
type peakLateness struct {
	intervalEnd timeunit.Ticks
	currentMax  timeunit.Ticks // maximum in the current interval
	previousMax timeunit.Ticks // maximum in the previous interval
}

// add records the lateness of a timer that has fired.
func (p *peakLateness) add(now, lateness timeunit.Ticks) {
	p.advance(now)
	p.currentMax = max(p.currentMax, lateness)
}

// peak returns the largest lateness recorded in the current and the previous interval.
func (p *peakLateness) peak(now timeunit.Ticks) timeunit.Ticks {
	p.advance(now)
	return max(p.currentMax, p.previousMax)
}

// advance starts a new interval if the current one has ended.
func (p *peakLateness) advance(now timeunit.Ticks) {
	if now < p.intervalEnd {
		return
	}
	p.previousMax = p.currentMax
	if now >= p.intervalEnd+latenessInterval { // no call for a whole interval: the maximum is too old
		p.previousMax = 0
	}
	p.currentMax = 0
	p.intervalEnd = now + latenessInterval
}

// countIfLate counts and samples a response that is sent after the time limit of its request and routerTolerance. The
// event shows whether the process did not get its core: then a recent pause or late timer is about as long.
func (s *Server) countIfLate(r *request) {
	lateness := s.now - r.deadline
	if lateness <= routerTolerance || !countAndSample(&s.lateResponses) {
		return
	}
	s.log.Event("late_response").Str("request", r.id).Int("count", s.lateResponses).
		Int64("late_ms", lateness.Milliseconds()).Int64("paused_ms", s.pauseMonitor.longestPause(s.now).Milliseconds()).
		Int64("timer_late_ms", s.peakLateness.peak(s.now).Milliseconds()).Send()
}
