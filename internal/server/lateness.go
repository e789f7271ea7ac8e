package server

import "thistlequay/timeunit"

// latenessInterval is how long a measured lateness counts at least; it counts for up to twice as long.
const latenessInterval = 1 * second

// peakLateness is the largest recent lateness: how long the event loop was kept from its timers, by a slow core or a
// process that was stopped. The zero value has measured nothing.
type peakLateness struct {
	intervalEnd timeunit.Ticks
	current     timeunit.Ticks // the largest of this interval
	previous    timeunit.Ticks // of the one before
}

// add records that a timer fired this much after its deadline.
func (p *peakLateness) add(now, lateness timeunit.Ticks) {
	p.advance(now)
	p.current = max(p.current, lateness)
}

// peak returns the largest lateness of the last one to two intervals.
func (p *peakLateness) peak(now timeunit.Ticks) timeunit.Ticks {
	p.advance(now)
	return max(p.current, p.previous)
}

func (p *peakLateness) advance(now timeunit.Ticks) {
	if now < p.intervalEnd {
		return
	}
	p.previous = p.current
	if now >= p.intervalEnd+latenessInterval { // nothing was measured in the last interval
		p.previous = 0
	}
	p.current = 0
	p.intervalEnd = now + latenessInterval
}
