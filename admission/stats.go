package admission

import "thistlequay/timeunit"

// Stats holds figures of a server for logs and tests. No decision depends on them.
type Stats struct {
	// Queued is the number of requests that wait to start.
	Queued int

	// Running is the number of requests in flight. WaitingAtCalls is the number of those that wait for a downstream
	// call, started or not.
	Running, WaitingAtCalls int

	// CallsInFlight is the number of downstream calls that the server waits for. AbandonedCalls is the number of
	// abandoned calls on which the dependency may still work.
	CallsInFlight, AbandonedCalls int

	// Entries is the number of idempotency entries.
	Entries int

	// Limit is the concurrency limit.
	Limit float64

	// DownstreamLimit is the limit of the mean number of calls in flight. DownstreamCredit is the unused part of it, in
	// calls times ticks.
	DownstreamLimit, DownstreamCredit float64

	// RunnableRequests is the running mean of Gauges.RunnableRequests.
	RunnableRequests float64

	// UnreadTime and RoundTrip are running means of the time that requests stay unread and of the time from their
	// arrival to the answer.
	UnreadTime, RoundTrip timeunit.Ticks

	// CallTime is the running mean of downstream call times. QuickCallTime is the lower quartile of call times,
	// measured while calls were not slow.
	CallTime, QuickCallTime timeunit.Ticks

	// MemoryKB is the memory of queued requests, runs and idempotency entries, in kilobytes.
	MemoryKB float64
}

// Stats returns the current figures.
func (s *Server) Stats() Stats {
	return Stats{
		Queued:           s.queue.length,
		Running:          s.limiter.inFlight,
		WaitingAtCalls:   s.cores.runsAwaitingCalls,
		CallsInFlight:    s.downstream.inFlight,
		AbandonedCalls:   s.downstream.countAbandoned(s.now),
		Entries:          s.entries.count,
		Limit:            s.limiter.limit,
		DownstreamLimit:  s.downstream.limit,
		DownstreamCredit: s.downstream.credit,
		RunnableRequests: s.cores.runnable,
		UnreadTime:       timeunit.Ticks(s.readingDelay.mean),
		RoundTrip:        timeunit.Ticks(s.limiter.roundTrip),
		CallTime:         timeunit.Ticks(s.downstream.recentTime),
		QuickCallTime:    s.downstream.quickTimes.quantile(quickCallQuantile),
		MemoryKB:         s.memory.usedKB,
	}
}
