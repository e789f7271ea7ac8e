package admission

import (
	"math"
	"slices"

	"thistlequay/timeunit"
)

// Ratios of our own.
const (
	downstreamMargin  = 0.9  // part of the downstream limit that is used
	slowCallFactor    = 4    // calls are slow that take so many times what quick ones take
	quickCallQuantile = 0.25 // quantile of quick call times that slowCallFactor counts of
	lostCallFactor    = 8    // a call is lost that takes so many times what nearly all of late take
	lostCallQuantile  = 0.9  // quantile of quick call times that lostCallFactor counts of
)

// downstream holds the calls to the dependency within this server's part of what that survives, and measures
// how long calls take. The mean number in flight stays within the limit; abandoned calls count while
// the dependency still works on them.
type downstream struct {
	isShared      bool    // all servers call one dependency; elsewhere nothing is limited
	limit         float64 // of the mean number of calls in flight
	window        float64 // of that mean, in ticks
	credit        float64 // calls times ticks that the mean leaves: what was not used piles up, calls use it
	updatedAt     timeunit.Ticks
	inFlight      int
	abandonedTime timeunit.Ticks   // an abandoned call counts for so long
	abandoned     []timeunit.Ticks // when abandoned calls no longer count, in order
	waiting       []*Request       // whose calls are not made yet

	quickTimes histogram // times of calls while they were not slow
	recentTime float64   // running mean of the time of a call, in ticks
	turns      turns
}

func newDownstream(config *Config, now, shortest, longest timeunit.Ticks) downstream {
	return downstream{
		isShared:      config.SharedDependency,
		limit:         config.DownstreamLimit * downstreamMargin,
		window:        float64(config.DownstreamWindow),
		updatedAt:     now,
		abandonedTime: config.AbandonedCallTime,
		quickTimes:    newHistogram(longest / binsPerScale),
		turns:         newTurns(config, shortest),
	}
}

// isSlow says that calls take much longer of late than quick ones do.
func (d *downstream) isSlow() bool {
	return d.recentTime > slowCallFactor*float64(d.quickTimes.quantile(quickCallQuantile))
}

// measure takes the time of a call that ended. A jam does not teach what is quick.
func (d *downstream) measure(took timeunit.Ticks) {
	if d.quickTimes.total < minSamples || !d.isSlow() {
		d.quickTimes.add(took)
	}
	smooth(&d.recentTime, float64(took), smoothing)
}

// allowedUntil is until when another call may be in flight; now or earlier means not at all. withEffects says
// that the call must not be abandoned. It brings the credit up to date.
func (d *downstream) allowedUntil(now timeunit.Ticks, withEffects bool) timeunit.Ticks {
	d.abandoned = d.abandoned[len(d.abandoned)-d.countAbandoned(now):]
	inFlight := float64(d.inFlight + len(d.abandoned))
	d.credit = min(d.credit+(d.limit-inFlight)*float64(now-d.updatedAt), d.limit*d.window*smoothing/2)
	d.updatedAt = now
	switch {
	case !d.isShared || d.credit > 0 && inFlight < math.Floor(d.limit):
		return noDeadline
	case d.credit <= 0 || inFlight >= math.Ceil(d.limit):
		return now
	}
	// The last call of a limit that is no whole number.
	return d.turns.until(now, d, withEffects)
}

// countAbandoned is the number of abandoned calls that still count.
func (d *downstream) countAbandoned(now timeunit.Ticks) int {
	ended, _ := slices.BinarySearch(d.abandoned, now+1)
	return len(d.abandoned) - ended
}

// finish takes a call out of those in flight. An abandoned one still counts for a while.
func (d *downstream) finish(now timeunit.Ticks, abandoned bool) {
	d.allowedUntil(now, false) // for the credit: up to now the call was in flight
	d.inFlight--
	if abandoned {
		d.abandoned = append(d.abandoned, now+d.abandonedTime)
	}
}

// endCall books a call that ended with this outcome after this time.
func (d *downstream) endCall(now timeunit.Ticks, outcome Outcome, took timeunit.Ticks) {
	d.finish(now, outcome == Indeterminate)
	if outcome != Indeterminate || float64(took) > d.recentTime {
		d.measure(took) // else it would have taken longer: by how much nobody knows
	}
	d.turns.gainConfidence(outcome == Succeeded)
}

// SetDownstreamLimit sets how many calls this server may have in flight in the mean, where the dependency is
// shared.
func (s *Server) SetDownstreamLimit(limit float64) { s.downstream.limit = limit }

// DownstreamCalls is the number of calls that the dependency works on, abandoned ones included, and
// the number of requests that wait to call it.
//
// A server that makes no calls any more must not go on counting those that it abandoned: its quota would stay leased
// for calls that ended long ago.
func (s *Server) DownstreamCalls() (inFlight, waiting int) {
	return s.downstream.inFlight + s.downstream.countAbandoned(s.now), len(s.downstream.waiting)
}
