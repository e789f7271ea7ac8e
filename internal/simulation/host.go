package simulation

import (
	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// host implements admission.Host. It carries out the decisions of the admission server on emulated cores.
type host struct {
	config          Config
	server          *admission.Server
	fairQueue       *fairqueue.Scheduler // nil if Config.FairQueue is nil
	cores           *emulator.Cores
	load            *emulator.Load
	statsByTenant   *emulator.StatsByTenant
	requests        map[uint64]*request // by ID; removed by Release
	requestsByJob   map[*emulator.Job]*request
	lastID          uint64
	now             float64    // seconds
	nextHookSecond  int        // the next full second at which callHooks calls the hooks
	timerDue        float64    // when OnTimer is due, in seconds; +Inf if no timer is set
	stoppedRequests []*request // stopped runs whose end the next batch reports to the admission server
	isDraining      bool
	result          Result
}

// request is the state of an attempt from its arrival until the admission server releases it.
type request struct {
	attempt      *emulator.Attempt
	handle       *admission.Request
	reservation  fairqueue.Reservation
	job          *emulator.Job // the run; nil before Run
	softDeadline float64       // seconds
	deadline     float64       // seconds
	hasResponse  bool
}

// ticks returns the current time in ticks.
func (h *host) ticks() timeunit.Ticks { return ticks(h.now) }

// enqueue enqueues an attempt at the admission server.
func (h *host) enqueue(attempt *emulator.Attempt) {
	h.statsByTenant.RecordSent(attempt)
	h.lastID++
	category := &h.config.Categories[attempt.Stream.Category]
	r := &request{
		attempt:      attempt,
		softDeadline: attempt.At + seconds(category.SoftDeadline),
		deadline:     h.now + seconds(category.Deadline),
	}
	h.requests[h.lastID] = r
	arrival := admission.Arrival{
		Category: attempt.Stream.Category,
		Router:   attempt.Router % routerCount,
		QueuedKB: requestMemoryKB,
		ID:       h.lastID,
		TimeLeft: category.Deadline,
	}
	if h.config.UniqueRouterPerRequest {
		arrival.Router = int(h.lastID)
	}
	if h.fairQueue != nil {
		r.reservation = h.fairQueue.Reserve([]byte(attempt.Tenant), attempt.Stream.Category, h.server.VirtualTime(),
			h.ticks())
		arrival.StartTag = r.reservation.ExpectedStartTag
		arrival.Turn = &r.reservation
		arrival.ExpectedDelay = r.reservation.ExpectedDelay
	}
	r.handle = h.server.Enqueue(arrival)
}

// completeRun ends a run whose work is complete and records its response, unless the request already had a response.
func (h *host) completeRun(job *emulator.Job) {
	request := h.requestsByJob[job]
	delete(h.requestsByJob, job)
	if !request.hasResponse {
		h.recordResponse(request)
		stats := h.statsByTenant.ForAttempt(request.attempt)
		if h.now <= request.softDeadline {
			stats.OnTime++
			stats.DeliveredValue += request.attempt.Stream.PriorityWeight
		} else {
			stats.Late++
		}
	}
	request.handle.RunEnded(admission.Succeeded, ticks(h.now-job.StartedAt))
}

// recordResponse records that the client got its response now.
func (h *host) recordResponse(request *request) {
	request.hasResponse = true
	if h.now > request.deadline {
		h.result.AnsweredPastDeadline++
	}
}

// Run starts the run of an admitted request on the cores.
func (h *host) Run(admitted *admission.Request) {
	request := h.requests[admitted.ID]
	request.reservation.Start(h.ticks())
	if request.attempt.Retries > 0 {
		h.statsByTenant.ForAttempt(request.attempt).RetriesAdmitted++
	}
	request.job = h.cores.Start("", request.attempt.CoreSeconds)
	h.requestsByJob[request.job] = request
}

// Reject records a rejection with its Retry-After, and schedules a retry if the attempt has retries left.
func (h *host) Reject(admitted *admission.Request, retryAfter timeunit.Ticks, _ bool) {
	request := h.requests[admitted.ID]
	h.recordResponse(request)
	if h.fairQueue != nil {
		retryAfter = request.reservation.RetryAfter(retryAfter, h.config.MaxRetryAfter, h.ticks())
	}
	attempt := request.attempt
	advised := AdvisedRetry{Tenant: attempt.Tenant, RetryAfterSeconds: seconds(retryAfter)}
	advised.DueSeconds = h.now + advised.RetryAfterSeconds
	h.result.AdvisedRetries = append(h.result.AdvisedRetries, advised)
	h.statsByTenant.ForAttempt(attempt).Rejected++
	if attempt.Retries < attempt.Stream.MaxRetries && advised.RetryAfterSeconds > 0 {
		h.load.Retry(attempt, advised.DueSeconds)
	}
}

// Abort records the error response to a request that failed or reached its deadline.
func (h *host) Abort(admitted *admission.Request) {
	request := h.requests[admitted.ID]
	h.recordResponse(request)
	h.statsByTenant.ForAttempt(request.attempt).Aborted++
}

// StopRun removes a run from the cores. The next batch reports its end to the admission server.
func (h *host) StopRun(admitted *admission.Request) {
	request := h.requests[admitted.ID]
	h.cores.Abort(request.job)
	delete(h.requestsByJob, request.job)
	h.stoppedRequests = append(h.stoppedRequests, request)
}

// Release removes a request that the admission server no longer needs.
func (h *host) Release(admitted *admission.Request) {
	request := h.requests[admitted.ID]
	request.reservation.Release(h.ticks())
	delete(h.requests, admitted.ID)
}

// SetTimer schedules OnTimer after a time, unless OnTimer is already due at or before that time.
func (h *host) SetTimer(after timeunit.Ticks) { h.timerDue = min(h.timerDue, h.now+seconds(after)) }

// ShareResult does nothing: no request has an idempotency key.
func (h *host) ShareResult(*admission.Request) {}

// SkipCall does nothing: runs make no downstream calls.
func (h *host) SkipCall(*admission.Request) {}

// StartCall does nothing: runs make no downstream calls.
func (h *host) StartCall(*admission.Request, timeunit.Ticks) {}

// KeepEntry does nothing: no request has an idempotency key.
func (h *host) KeepEntry(*admission.Request, timeunit.Ticks) {}

// DropEntry does nothing: no request has an idempotency key.
func (h *host) DropEntry(*admission.Request) {}

// ReportLoad does nothing: there is only one server that routers could select.
func (h *host) ReportLoad(float64) {}

// SetHealth does nothing: the simulation has no health checks.
func (h *host) SetHealth(bool, bool) {}

// CloseIdleConnections does nothing: there are no connections.
func (h *host) CloseIdleConnections(timeunit.Ticks) {}
