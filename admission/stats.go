package admission

import "thistlequay/timeunit"

// Stats are figures of a server for logs and tests. Nothing is decided by them.
type Stats struct {
	// Queued is the number of requests that wait for a start.
	Queued int

	// Running is the number of requests in flight, and WaitingAtCalls that of those which stand at a downstream
	// call, made or not.
	Running, WaitingAtCalls int

	// CallsInFlight is the number of downstream calls out, and AbandonedCalls that of abandoned ones
	// and on which the dependency may still work.
	CallsInFlight, AbandonedCalls int

	// Entries is the number of idempotency entries.
	Entries int

	// Limit is the concurrency limit.
	Limit float64

	// DownstreamLimit is how many calls may be in flight in the mean, and DownstreamCredit what is left of that,
	// in calls times ticks.
	DownstreamLimit, DownstreamCredit float64

	// RunnableRequests is the running mean of the gauge of that name.
	RunnableRequests float64

	// UnreadTime and RoundTrip are running means: how long requests lie unread, and from their arrival to the
	// answer.
	UnreadTime, RoundTrip timeunit.Ticks

	// CallTime is the running mean of the time of a downstream call, and QuickCallTime the lower quartile of
	// calls while they were not slow.
	CallTime, QuickCallTime timeunit.Ticks

	// MemoryKB is the memory that the package answers for, in kilobytes.
	MemoryKB float64
}

// Stats returns the present figures.
func (s *Server) Stats() Stats {
	return Stats{
		Queued:           s.queue.length,
		Running:          s.limiter.inFlight,
		WaitingAtCalls:   s.cores.runsAtCalls,
		CallsInFlight:    s.downstream.inFlight,
		AbandonedCalls:   s.downstream.countAbandoned(s.now),
		Entries:          s.entries.count,
		Limit:            s.limiter.limit,
		DownstreamLimit:  s.downstream.limit,
		DownstreamCredit: s.downstream.credit,
		RunnableRequests: s.cores.runnable,
		UnreadTime:       timeunit.Ticks(s.reading.mean),
		RoundTrip:        timeunit.Ticks(s.limiter.roundTrip),
		CallTime:         timeunit.Ticks(s.downstream.recentTime),
		QuickCallTime:    s.downstream.quickTimes.quantile(quickCallQuantile),
		MemoryKB:         s.memory.usedKB,
	}
}
