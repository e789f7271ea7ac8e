package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Ratios and counts of our own.
const (
	fleetWideServers       = 2    // from so many servers' part of the fleet on, rejections speak for all servers
	invitedFraction        = 0.25 // part of the waiting that budgets allow which routers are invited to fill
	routersPerCoreKept     = 8    // routers for each core whose idle connections are worth keeping
	reportSteps            = 8    // load reports are multiples of an eighth: they change seldom
	minReportedLimit       = 1.0 / reportSteps
	rejectedShareSmoothing = smoothing / 8
)

// routerFeedback is what routers are notified of: the load report, how long to stay away, and whether a rejected
// request may be tried on another server.
type routerFeedback struct {
	mode           LoadReportMode
	maxRetryAfter  timeunit.Ticks
	reported       float64 // the load that was reported last, -1 for none
	rejectedShare  float64 // share of rejections among what was decided of late
	slowdown       float64 // running mean of run times, as multiples of quiet ones
	fleetWideShare float64 // from this share on, rejections and retries are so on all servers
}

func newRouterFeedback(config *Config) routerFeedback {
	return routerFeedback{
		mode:           config.LoadReportMode,
		maxRetryAfter:  config.MaxRetryAfter,
		reported:       -1,
		slowdown:       1,
		fleetWideShare: fleetWideServers / float64(max(1, config.Servers)),
	}
}

func (f *routerFeedback) countStart()     { smooth(&f.rejectedShare, 0, rejectedShareSmoothing) }
func (f *routerFeedback) countRejection() { smooth(&f.rejectedShare, 1, rejectedShareSmoothing) }

// measureSlowdown compares the time of a run with the usual one on quiet cores, 0 if none is known.
func (f *routerFeedback) measureSlowdown(took, usual timeunit.Ticks) {
	if usual > 0 {
		smooth(&f.slowdown, float64(took)/float64(usual), smoothing)
	}
}

// overloadIsFleetWide says whether other servers seem to reject requests too: many retries come, or much is
// rejected though runs are quick. Then rejected requests should not be tried on another server. This guards
// against retries that walk through a large fleet. It does harm where only this server is short of capacity.
func (s *Server) overloadIsFleetWide() bool {
	return max(s.retries.retryShare, s.feedback.rejectedShare) > s.feedback.slowdown*s.feedback.fleetWideShare
}

// reportLoad tells routers how much more this server can take: as the rank below which they should send
// nothing, as the probability with which to choose it, or as the number of requests that each may have in
// flight.
func (s *Server) reportLoad() {
	f := &s.feedback
	load := f.rejectedShare
	if s.drain.draining {
		load = 1
	}
	value := load
	switch {
	case f.mode == ReportProbability, f.mode == ReportLimit && s.drain.draining:
		value = 1 - load
	case f.mode == ReportLimit:
		value = max(minReportedLimit, s.invitedRequests()*s.retries.evenShare())
	}
	value = math.Round(value*reportSteps) / reportSteps
	if value != f.reported && f.mode != ReportNothing {
		f.reported = value
		s.host.ReportLoad(value)
	}
}

// invitedRequests is how many requests routers are invited to have in flight here: the limit and a part of
// what may wait for it. The longer answers take, the fewer.
func (s *Server) invitedRequests() float64 {
	limiter := &s.limiter
	return limiter.limit * (1 + invitedFraction*max(0, s.reading.softDeadline/limiter.roundTrip-1))
}

// idleConnectionTime is how long routers' idle connections are kept. Of hundreds of routers hardly one comes
// back before its connection lapses, and open connections take a part of the cores; each that is closed too
// early costs a new one.
func idleConnectionTime(config *Config) timeunit.Ticks {
	perCore := min(1, routersPerCoreKept*float64(config.Cores)/float64(max(1, config.Routers)))
	return timeunit.Ticks(math.Ceil(perCore * perCore * float64(config.MaxIdleTime)))
}
