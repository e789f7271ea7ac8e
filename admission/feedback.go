package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Ratios and counts of the feedback to routers.
const (
	fleetWideServers       = 2    // rejections count as fleet-wide above the load share of this many servers
	invitedWaitFraction    = 0.25 // part of the waiting allowed by queueing budgets that routers are invited to use
	keptRoutersPerCore     = 8    // routers per core whose idle connections are kept open
	loadReportSteps        = 8    // load reports are rounded to multiples of 1/8, so that they rarely change
	minReportedLimit       = 1.0 / loadReportSteps
	rejectedShareSmoothing = smoothingFactor / 8
)

// routerFeedback holds what routers are told: the load report, the Retry-After of rejected requests, and whether a
// rejected request may be retried on another server.
type routerFeedback struct {
	mode             LoadReportMode
	maxRetryAfter    timeunit.Ticks
	lastReportedLoad float64 // last load report, -1 before the first
	rejectedShare    float64 // fraction of rejections among recent decisions
	slowdown         float64 // running mean of run times as multiples of quiet ones
	fleetWideShare   float64 // share of rejections or retries above which overload counts as fleet-wide
}

func newRouterFeedback(config *Config) routerFeedback {
	return routerFeedback{
		mode:             config.LoadReportMode,
		maxRetryAfter:    config.MaxRetryAfter,
		lastReportedLoad: -1,
		slowdown:         1,
		fleetWideShare:   fleetWideServers / float64(max(1, config.Servers)),
	}
}

// countStart and countRejection update the fraction of rejections.
func (f *routerFeedback) countStart()     { updateMean(&f.rejectedShare, 0, rejectedShareSmoothing) }
func (f *routerFeedback) countRejection() { updateMean(&f.rejectedShare, 1, rejectedShareSmoothing) }

// measureSlowdown compares the time of a run with the usual time on quiet cores; 0 means that none is known.
func (f *routerFeedback) measureSlowdown(elapsed, usual timeunit.Ticks) {
	if usual > 0 {
		updateMean(&f.slowdown, float64(elapsed)/float64(usual), smoothingFactor)
	}
}

// overloadIsFleetWide reports whether other servers seem to reject requests too: many requests are retries, or many are
// rejected though runs are quick. Rejected requests should then not be retried on another server. This protects against
// retries that visit server after server in a large fleet. It loses requests where only this server is short of
// capacity.
func (s *Server) overloadIsFleetWide() bool {
	return max(s.retries.retryShare, s.feedback.rejectedShare) > s.feedback.slowdown*s.feedback.fleetWideShare
}

// reportLoad tells routers how much more load this server can take. Depending on the mode, the value is the rank below
// which routers send no requests, the probability with which they select this server, or the number of requests that
// each router may have in flight here.
func (s *Server) reportLoad() {
	f := &s.feedback
	load := f.rejectedShare
	if s.drain.isDraining {
		load = 1
	}
	value := load
	switch {
	case f.mode == ReportProbability, f.mode == ReportLimit && s.drain.isDraining:
		value = 1 - load
	case f.mode == ReportLimit:
		value = max(minReportedLimit, s.invitedRequests()*s.retries.routerShare())
	}
	value = math.Round(value*loadReportSteps) / loadReportSteps
	if value != f.lastReportedLoad && f.mode != ReportNothing {
		f.lastReportedLoad = value
		s.host.ReportLoad(value)
	}
}

// invitedRequests returns the number of requests that routers are invited to have in flight here: the concurrency limit
// and part of the requests that may wait for it. It falls as round trips get longer.
func (s *Server) invitedRequests() float64 {
	limiter := &s.limiter
	return limiter.limit * (1 + invitedWaitFraction*max(0, s.readingDelay.softDeadline/limiter.roundTrip-1))
}

// idleConnectionTime returns how long idle connections of routers are kept. With hundreds of routers, hardly any router
// returns before its connection expires, and open connections use a part of the cores. A connection that is closed too
// early costs a new one.
func idleConnectionTime(config *Config) timeunit.Ticks {
	keptFraction := min(1, keptRoutersPerCore*float64(config.Cores)/float64(max(1, config.Routers)))
	return timeunit.Ticks(math.Ceil(keptFraction * keptFraction * float64(config.MaxIdleTime)))
}
