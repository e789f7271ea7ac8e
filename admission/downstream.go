package admission

import (
	"math"
	"slices"

	"thistlequay/timeunit"
)

// Ratios of the downstream limit and of call times.
const (
	downstreamMargin  = 0.9  // part of the downstream limit that is used
	slowCallFactor    = 4    // calls are slow when their mean time is this multiple of a quick call's time
	quickCallQuantile = 0.25 // quantile of quick call times to which slowCallFactor applies
	lostCallFactor    = 8    // a call counts as lost when it takes this multiple of the time of nearly all recent calls
	lostCallQuantile  = 0.9  // quantile of quick call times to which lostCallFactor applies
)

// downstream limits the calls to the dependency to this server's part of what the dependency can sustain, and measures
// how long calls take. It keeps the mean number of calls in flight within the limit. Abandoned calls count as long as
// the dependency still works on them.
type downstream struct {
	isShared      bool           // all servers call one dependency; otherwise calls are not limited
	limit         float64        // largest allowed mean number of calls in flight
	window        float64        // time over which the mean is taken, in ticks
	credit        float64        // unused part of the limit, in calls times ticks; spent by calls
	updatedAt     timeunit.Ticks // when credit was last updated
	inFlight      int
	abandonedTime timeunit.Ticks   // how long an abandoned call counts as in flight
	abandoned     []timeunit.Ticks // when each abandoned call stops counting, in ascending order
	waiting       []*Request       // requests whose calls are not started yet

	quickTimes histogram // times of calls, measured while calls were not slow
	recentTime float64   // running mean of call times, in ticks
	turns      turns
}

func newDownstream(config *Config, now, shortestSoftDeadline, longestDeadline timeunit.Ticks) downstream {
	return downstream{
		isShared:      config.SharedDependency,
		limit:         config.DownstreamLimit * downstreamMargin,
		window:        float64(config.DownstreamWindow),
		updatedAt:     now,
		abandonedTime: config.AbandonedCallTime,
		quickTimes:    newHistogram(longestDeadline / binsPerScale),
		turns:         newTurns(config, shortestSoftDeadline),
	}
}

// isSlow reports whether recent calls take much longer than quick ones.
func (d *downstream) isSlow() bool {
	return d.recentTime > slowCallFactor*float64(d.quickTimes.quantile(quickCallQuantile))
}

// recordTime records the time of a call that ended. While calls are slow their times are left out of quickTimes.
func (d *downstream) recordTime(elapsed timeunit.Ticks) {
	if d.quickTimes.total < minSamples || !d.isSlow() {
		d.quickTimes.add(elapsed)
	}
	updateMean(&d.recentTime, float64(elapsed), smoothingFactor)
}

// allowedUntil updates the credit and returns the time until which another call may be in flight; now or earlier means
// that no call may be made. hasSideEffects states that the call must not be abandoned.
func (d *downstream) allowedUntil(now timeunit.Ticks, hasSideEffects bool) timeunit.Ticks {
	d.abandoned = d.abandoned[len(d.abandoned)-d.countAbandoned(now):]
	inFlight := float64(d.inFlight + len(d.abandoned))
	d.credit = min(d.credit+(d.limit-inFlight)*float64(now-d.updatedAt), d.limit*d.window*smoothingFactor/2)
	d.updatedAt = now
	switch {
	case !d.isShared || d.credit > 0 && inFlight < math.Floor(d.limit):
		return noDeadline
	case d.credit <= 0 || inFlight >= math.Ceil(d.limit):
		return now
	}
	// The limit is not an integer, and only its fractional part is left.
	return d.turns.allowedUntil(now, d, hasSideEffects)
}

// countAbandoned returns the number of abandoned calls that still count as in flight.
func (d *downstream) countAbandoned(now timeunit.Ticks) int {
	expired, _ := slices.BinarySearch(d.abandoned, now+1)
	return len(d.abandoned) - expired
}

// removeInFlight removes a call from those in flight. An abandoned call still counts for abandonedTime.
func (d *downstream) removeInFlight(now timeunit.Ticks, isAbandoned bool) {
	d.allowedUntil(now, false) // updates the credit: the call was in flight up to now
	d.inFlight--
	if isAbandoned {
		d.abandoned = append(d.abandoned, now+d.abandonedTime)
	}
}

// endCall processes the end of a call with its outcome and the time that it took.
func (d *downstream) endCall(now timeunit.Ticks, outcome Outcome, elapsed timeunit.Ticks) {
	d.removeInFlight(now, outcome == Indeterminate)
	if outcome != Indeterminate || float64(elapsed) > d.recentTime {
		d.recordTime(elapsed) // an abandoned call that took less is left out: its full time is unknown
	}
	d.turns.updateConfidence(outcome == Succeeded)
}

// SetDownstreamLimit sets the limit of the mean number of calls that this server may have in flight. It has no effect
// unless the dependency is shared.
func (s *Server) SetDownstreamLimit(limit float64) { s.downstream.limit = limit }

// DownstreamCalls returns the number of calls that the dependency works on, abandoned ones included, and the number of
// requests that wait to call it.
//
// Abandoned calls stop counting with time even if the server makes no further calls. Otherwise its quota would stay
// leased for calls that ended long ago.
func (s *Server) DownstreamCalls() (inFlight, waiting int) {
	return s.downstream.inFlight + s.downstream.countAbandoned(s.now), len(s.downstream.waiting)
}
