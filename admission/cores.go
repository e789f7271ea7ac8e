package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Ratios found by simulating whole days (docs/design.md), and safety margins to configured limits.
const (
	idleUtilization     = 0.9       // core utilization below which the cores count as idle
	contentionThreshold = 1.5       // runnable requests per core above which the concurrency limit is lowered
	overloadMargin      = 0.9       // part of the sustainable number of runnable requests that is used
	maxUnreadFraction   = 1.0 / 6.0 // part of the shortest soft deadline that requests may stay unread
)

// coreLoad tracks the demand for the cores. It changes the concurrency limit in the two cases where the gauges alone
// show what an experiment would find, and enforces the hard limit on runnable requests that the server can sustain.
type coreLoad struct {
	coreCount         float64
	runnable          float64 // running mean of Gauges.RunnableRequests
	nextReductionAt   timeunit.Ticks
	runsAwaitingCalls int     // requests in flight that wait for a downstream call, started or not, and use no core
	overloadThreshold float64 // runnable requests per core that a warm server can sustain
}

// isQuiet reports whether there are no more runnable requests than cores.
func (c *coreLoad) isQuiet() bool { return c.runnable <= c.coreCount }

// raiseLimitOnIdleCores raises the concurrency limit by up to the number of idle cores while requests wait. The caller
// checks that the limit is reached. Experiments are slow, and idle cores already show that the limit is too low.
func (c *coreLoad) raiseLimitOnIdleCores(limiter *limiter, gauges Gauges, queued int) {
	idleCores := c.coreCount - gauges.RunnableRequests
	if queued > 0 && idleCores >= 1 && gauges.CoreUtilization < idleUtilization {
		limiter.limit += math.Floor(min(idleCores, float64(queued)))
	}
}

// lowerLimitOnContention lowers the limit if the mean of runnable requests exceeds contentionThreshold per core. It
// subtracts the excess, rounded up, from the limit or from the requests in flight, whichever is smaller. It does so at
// most once per round trip, and the limit never falls below the number of cores. Runnable requests beyond the number of
// cores add nothing to throughput. This protects against load that grows faster than experiments can detect (slow
// cores, bursts of reading). It reduces throughput where Gauges.RunnableRequests counts requests that do not compete
// for the cores.
func (c *coreLoad) lowerLimitOnContention(limiter *limiter, now timeunit.Ticks) {
	excess := c.runnable - contentionThreshold*c.coreCount
	if excess > 0 && now >= c.nextReductionAt {
		limiter.limit = max(c.coreCount, min(limiter.limit, float64(limiter.inFlight))-math.Ceil(excess))
		c.nextReductionAt = now + timeunit.Ticks(limiter.roundTrip)
	}
}

// overloadLimitAt returns the hard limit of runnable requests at the given speed (slowStart.speed), from 0 to 1 as a
// fraction of the speed of a warm server.
func (c *coreLoad) overloadLimitAt(speed float64) float64 {
	return c.coreCount * (1 + (c.overloadThreshold-1)*speed) * overloadMargin
}

// readingDelay tracks how long requests stay unread. Reading needs the cores too, and runs can starve it.
type readingDelay struct {
	mean         float64 // running mean of Arrival.UnreadTime, in ticks
	softDeadline float64 // the shortest of all categories, in ticks
}

// isTooLong reports whether requests stay unread for a large part of the soft deadline.
func (d *readingDelay) isTooLong() bool { return d.mean > d.softDeadline*maxUnreadFraction }

// concurrencyLimit returns the limit of the limiter. While requests stay unread for a large part of the soft deadline,
// it returns at most half the cores plus the requests that wait for calls, which is the only case below the floor of
// the limiter. This protects against retries that arrive faster than they can be read. It reduces throughput where
// reading does not wait for the cores.
func (s *Server) concurrencyLimit() int {
	limit := int(s.limiter.limit)
	if s.readingDelay.isTooLong() {
		return min(limit, int(s.cores.coreCount/2)+s.cores.runsAwaitingCalls)
	}
	return limit
}

// overloadLimit returns the current hard limit of runnable requests.
func (s *Server) overloadLimit() float64 { return s.cores.overloadLimitAt(s.slowStart.speed(s.now)) }

// coresAreFull reports whether no more requests may become runnable. Requests that wait for the disk, for a call in
// flight or for a result to share can all become runnable at once, so they count.
func (s *Server) coresAreFull() bool {
	limit := s.overloadLimit()
	runnable := float64(s.limiter.inFlight - s.cores.runsAwaitingCalls + s.downstream.inFlight)
	return runnable+min(float64(s.entries.sharingCount), limit/2) >= limit-1
}

// OnTimer processes the gauges that were read when the timer that the server requested (Host.SetTimer) fired. Stale
// readings are ignored: the limit would grow again for cores that were idle some time ago.
func (s *Server) OnTimer(gauges Gauges) {
	s.timers.hostTimerAt = noDeadline
	if gauges.IsStale {
		return
	}
	updateMean(&s.cores.runnable, gauges.RunnableRequests, smoothingFactor)
	if s.limiter.inFlight >= s.concurrencyLimit() {
		s.cores.raiseLimitOnIdleCores(&s.limiter, gauges, s.queue.length)
	}
	s.cores.lowerLimitOnContention(&s.limiter, s.now)
}
