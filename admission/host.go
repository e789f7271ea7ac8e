package admission

import "thistlequay/timeunit"

// Outcome is how a run, a shared answer or a downstream call ended.
type Outcome int

// The zero value is Succeeded.
const (
	Succeeded     Outcome = iota
	Failed                // it failed and may have had its effect
	NotExecuted           // a call that was rejected or could not connect: it provably never ran
	Indeterminate         // a call that was abandoned or whose connection broke: it may have had its effect
	Aborted               // the run was stopped, or ended where it needed a call
	NeverStarted          // nothing was started, the request was already over
)

// Arrival is what the host knows of a request when it has read it.
type Arrival struct {
	// ID is the host's own identifier of the request. The package keeps it and never reads it.
	ID uint64

	// Category is an index of Config.Categories; one outside counts as the nearest inside.
	Category int

	// Router says which router sent the request. Any numbering will do.
	Router int

	// QueuedKB is the memory that the request takes while it is queued, in kilobytes.
	QueuedKB float64

	// UnreadTime is the time from when the request reached the machine until it was read.
	UnreadTime timeunit.Ticks

	// TimeLeft is how long its client still waits; 0 where that is not known.
	TimeLeft timeunit.Ticks

	// IsRetry says that the router marked the request as a retry.
	IsRetry bool

	// IsRepeat says that the host keeps an idempotency entry (Host.KeepEntry) for the request: another attempt
	// of the same Keyed request, or another read of the same data.
	IsRepeat bool

	// RepeatOf is the request that owns that entry, or nil where the host has no handle of it any more.
	RepeatOf *Request

	// Cacheable says that the result may answer other requests for a while (Config.ResultTTL).
	Cacheable bool

	// StartTag is the virtual time at which the request becomes eligible (Server.VirtualTime): until then it
	// waits while others are eligible. 0 waits for nobody.
	StartTag float64

	// ExpectedDelay is how long the requests of its own tenant that are ahead of it will take; 0 where not known.
	ExpectedDelay timeunit.Ticks
}

// Gauges are readings of the server's own meters.
type Gauges struct {
	// CoreUtilization is the share of the cores that was busy over the last half second, from 0 to 1.
	CoreUtilization float64

	// RunnableRequests is the number of requests that run on a core or want one now.
	RunnableRequests float64

	// IsStale says that the meters could not be read now and these readings are those of an earlier time.
	IsStale bool
}

// Host is the server that embeds the package and carries its decisions out. No method may call back into the
// package. Every request gets exactly one answer, by the end of its run or shared result (Run, ShareResult),
// by Reject or by Abort, unless it is cancelled before. Release comes last.
type Host interface {
	// Run starts the request. Its end is reported by Request.RunEnded.
	Run(request *Request)

	// ShareResult answers the request with the result of the attempt that it repeats, now or when that has
	// ended. That this is done is reported by Request.RunEnded, as Succeeded, or as Failed where there is no result.
	ShareResult(request *Request)

	// Reject answers a request that never ran here. The client should stay away for retryAfter (0: not given),
	// and where finalRejection is set it should not try another server either.
	Reject(request *Request, retryAfter timeunit.Ticks, finalRejection bool)

	// Abort answers a request that was started: it failed. Its run may go on until RunEnded.
	Abort(request *Request)

	// StopRun stops a run that nobody waits for. It is called only with Config.CanStopRuns.
	StopRun(request *Request)

	// StartCall makes the downstream call that the request needs, and gives it up at the time until. Its end is
	// reported by Request.CallEnded.
	StartCall(request *Request, until timeunit.Ticks)

	// SkipCall has the run go on without its call, to a degraded answer. Only requests of categories with a
	// DegradedValue are notified of it.
	SkipCall(request *Request)

	// KeepEntry keeps the idempotency entry of the request for this time from now: requests that repeat it
	// arrive with IsRepeat. A later call replaces the time.
	KeepEntry(request *Request, lifetime timeunit.Ticks)

	// DropEntry drops the idempotency entry of the request, if it still owns it.
	DropEntry(request *Request)

	// ReportLoad sets the value that is sent to routers with each answer (Config.LoadReportMode).
	ReportLoad(value float64)

	// SetHealth sets the answer to health checks. With fromStore it is given without asking the server again.
	SetHealth(healthy, fromStore bool)

	// CloseIdleConnections has routers' connections closed that carried nothing for so long.
	CloseIdleConnections(after timeunit.Ticks)

	// SetTimer asks for a batch with OnTimer after this time. An earlier timer may be dropped.
	SetTimer(after timeunit.Ticks)

	// Release says that the handle is of no more use: the request is out of all accounts.
	Release(request *Request)
}
