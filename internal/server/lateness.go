package server

import "thistlequay/timeunit"

// latenessInterval is the minimum time for which peakLateness remembers a lateness. The maximum is twice as long.
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
	if now >= p.intervalEnd+latenessInterval { // a whole interval has passed without a measurement
		p.previousMax = 0
	}
	p.currentMax = 0
	p.intervalEnd = now + latenessInterval
}
