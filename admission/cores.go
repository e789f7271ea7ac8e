package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Ratios of our own, found on simulated days (docs/design.md), and margins to limits that the settings tell.
const (
	idleUtilization = 0.9       // below this utilization the cores read idle
	reliefThreshold = 1.5       // with more runnable requests for each core the limit gives way
	overloadMargin  = 0.9       // part of the survivable number of runnable requests that may be reached
	unreadFraction  = 1.0 / 6.0 // part of the shortest soft deadline that may pass unread before runs give way
)

// coreLoad watches what wants the cores. It moves the limit in the two cases where the gauges say all that an
// experiment would, and holds the hard limit of runnable requests that the server survives.
type coreLoad struct {
	cores             float64
	runnable          float64 // running mean of Gauges.RunnableRequests
	reliefAt          timeunit.Ticks
	runsAtCalls       int     // requests in flight that stand at a downstream call, made or not: off the cores
	overloadThreshold float64 // runnable requests for each core that a warm server survives
}

// isQuiet says that no more requests want the cores than there are.
func (c *coreLoad) isQuiet() bool { return c.runnable <= c.cores }

// growIntoIdleCores raises the limit at once while the cores read idle, the limit is full and requests wait:
// experiments are slow, and idle cores say all.
func (c *coreLoad) growIntoIdleCores(limiter *limiter, gauges Gauges, waiting int) {
	idle := c.cores - gauges.RunnableRequests
	if waiting > 0 && idle >= 1 && gauges.CoreUtilization < idleUtilization {
		limiter.limit += math.Floor(min(idle, float64(waiting)))
	}
}

// relieve lowers the limit by the excess of runnable requests, once a round trip and never below the cores.
// What exceeds the cores adds nothing to throughput. This guards against load that piles up faster than
// experiments see it (slow cores, bursts of reading). It does harm where the gauge counts requests that do
// not compete for the cores.
func (c *coreLoad) relieve(limiter *limiter, now timeunit.Ticks) {
	over := c.runnable - reliefThreshold*c.cores
	if over > 0 && now >= c.reliefAt {
		limiter.limit = max(c.cores, min(limiter.limit, float64(limiter.inFlight))-math.Ceil(over))
		c.reliefAt = now + timeunit.Ticks(limiter.roundTrip)
	}
}

// limitAt is the hard limit of runnable requests at this speed, from 0 to 1 of a warm server's
// (slowStart.speed).
func (c *coreLoad) limitAt(speed float64) float64 {
	return c.cores * (1 + (c.overloadThreshold-1)*speed) * overloadMargin
}

// readingDelay watches how long requests lie unread. Reading takes cores too, and runs can starve it.
type readingDelay struct {
	mean         float64 // running mean of Arrival.UnreadTime, in ticks
	softDeadline float64 // the shortest of all categories, in ticks
}

func (d *readingDelay) isLong() bool { return d.mean > d.softDeadline*unreadFraction }

// concurrencyLimit is the limiter's limit, or half the cores and the requests at calls while a large part of
// the soft deadline passes unread: the only case below the limiter's floor. This guards against retries that
// arrive faster than they can be read. It does harm where reading does not wait for the cores.
func (s *Server) concurrencyLimit() int {
	limit := int(s.limiter.limit)
	if s.reading.isLong() {
		return min(limit, int(s.cores.cores/2)+s.cores.runsAtCalls)
	}
	return limit
}

// overloadLimit is the hard limit of runnable requests now.
func (s *Server) overloadLimit() float64 { return s.cores.limitAt(s.slowStart.speed(s.now)) }

// coresAreFull says that no more may come onto the cores. Requests that wait for the disk, those whose calls
// are in flight and those that wait for a result to share can all become runnable at once, so they count.
func (s *Server) coresAreFull() bool {
	limit := s.overloadLimit()
	runnable := float64(s.limiter.inFlight - s.cores.runsAtCalls + s.downstream.inFlight)
	return runnable+min(float64(s.entries.sharing), limit/2) >= limit-1
}

// OnTimer takes the gauges that were read when the timer that the server asked for (Host.SetTimer) was due.
// Stale readings move nothing: the limit would grow again by cores that read idle some time ago.
func (s *Server) OnTimer(gauges Gauges) {
	s.timers.next = noDeadline
	if gauges.IsStale {
		return
	}
	smooth(&s.cores.runnable, gauges.RunnableRequests, smoothing)
	if s.limiter.inFlight >= s.concurrencyLimit() {
		s.cores.growIntoIdleCores(&s.limiter, gauges, s.queue.length)
	}
	s.cores.relieve(&s.limiter, s.now)
}
