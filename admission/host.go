package admission

import "thistlequay/timeunit"

// Outcome states how a run, a shared answer or a downstream call ended.
type Outcome int

// The zero value is Succeeded.
const (
	Succeeded     Outcome = iota
	Failed                // it failed and may have had its effect
	NotExecuted           // a call that was rejected or could not connect: it provably never ran
	Indeterminate         // a call that was abandoned or whose connection broke: it may have had its effect
	Aborted               // the run was stopped, or ended where it needed a call
	NeverStarted          // nothing was started because the request had already ended
)

// Arrival describes a request that the host has read.
type Arrival struct {
	// ID is the host's own identifier of the request. The package stores it and never interprets it.
	ID uint64

	// Category is an index into Config.Categories; an index out of range counts as the nearest valid one.
	Category int

	// IsIdempotent reports whether the request can run any number of times whatever its category states. The host sets
	// it for a request that is treated as one of a category that is not its own. Such a request has no idempotency
	// entry.
	IsIdempotent bool

	// Router identifies the router that sent the request. Any numbering is valid.
	Router int

	// QueuedKB is the memory that the request uses while it is queued, in kilobytes.
	QueuedKB float64

	// UnreadTime is the time from when the request reached the machine until it was read.
	UnreadTime timeunit.Ticks

	// TimeLeft is how long the client still waits for the answer; 0 if not known.
	TimeLeft timeunit.Ticks

	// IsRetry reports whether the router marked the request as a retry.
	IsRetry bool

	// IsRepeat reports whether the host keeps an idempotency entry (Host.KeepEntry) for the request: it is another
	// attempt of the same Keyed request, or another read of the same data.
	IsRepeat bool

	// RepeatOf is the request that owns the idempotency entry, or nil if the host has no handle of it any more.
	RepeatOf *Request

	// Cacheable reports whether the result may be shared with other requests for a while (Config.ResultTTL).
	Cacheable bool

	// StartTag is the virtual time at which the request is expected to become eligible (Server.VirtualTime). Until then
	// it waits while other requests are eligible. With 0 the request is eligible at once.
	StartTag float64

	// Turn decides when the request becomes eligible if it has to wait; nil means at StartTag.
	Turn Turn

	// ExpectedDelay is the time that the requests of the same tenant ahead of this one will take; 0 if not known.
	ExpectedDelay timeunit.Ticks
}

// Gauges holds readings of the server's utilization.
type Gauges struct {
	// CoreUtilization is the fraction of the cores that was busy over the last half second, from 0 to 1.
	CoreUtilization float64

	// RunnableRequests is the number of requests that run on a core or wait for one.
	RunnableRequests float64

	// IsStale reports whether the gauges could not be read now and the values are earlier readings.
	IsStale bool
}

// Host is the server that embeds the package and carries out its decisions. No method may call back into the package.
// Every request gets exactly one answer unless it is cancelled before: at the end of its run or shared result (Run,
// ShareResult), by Reject or by Abort. Release is the last call for a request.
type Host interface {
	// Run starts the request. The host reports the end of the run with Request.RunEnded.
	Run(request *Request)

	// ShareResult answers the request with the result of the attempt that it repeats, at once or when that attempt
	// ends. The host reports it with Request.RunEnded, as Succeeded, or as Failed if there is no result.
	ShareResult(request *Request)

	// Reject answers a request that never ran here. The client should not retry before retryAfter (0: not specified),
	// and with finalRejection it should not try another server either.
	Reject(request *Request, retryAfter timeunit.Ticks, finalRejection bool)

	// Abort answers a request that was started as failed. Its run may continue until RunEnded.
	Abort(request *Request)

	// StopRun stops a run whose answer nobody waits for. It is called only with Config.CanStopRuns.
	StopRun(request *Request)

	// StartCall makes the downstream call that the request needs, and abandons it at the time until. The host reports
	// the end of the call with Request.CallEnded.
	StartCall(request *Request, until timeunit.Ticks)

	// SkipCall continues the run without its downstream call, towards a degraded answer. It is called only for requests
	// of categories with a DegradedValue.
	SkipCall(request *Request)

	// KeepEntry keeps the idempotency entry of the request for lifetime from now, so that requests that repeat it
	// arrive with IsRepeat. A later call replaces the lifetime.
	KeepEntry(request *Request, lifetime timeunit.Ticks)

	// DropEntry drops the idempotency entry of the request if the request still owns it.
	DropEntry(request *Request)

	// ReportLoad sets the value that is sent to routers with each answer (Config.LoadReportMode).
	ReportLoad(value float64)

	// SetHealth sets the answer to health checks. With cacheable, the host may give it without asking the server again.
	SetHealth(healthy, cacheable bool)

	// CloseIdleConnections closes connections of routers once they have been idle for the time after.
	CloseIdleConnections(after timeunit.Ticks)

	// SetTimer requests a batch with OnTimer when the time after has passed. The host may let it replace a timer that
	// is still pending; for such a host, the pending timer is always due later than the new one.
	SetTimer(after timeunit.Ticks)

	// Release ends the use of the handle: the package no longer counts the request.
	Release(request *Request)
}
