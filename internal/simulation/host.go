package simulation

import (
	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// host is the admission server's host in the simulation (admission.Host): it carries out decisions on emulated cores.
type host struct {
	day           Day
	server        *admission.Server
	fairQueue     *fairqueue.Scheduler // nil without one
	cores         *emulator.Cores
	load          *emulator.Load
	statsByTenant *emulator.StatsByTenant
	requests      map[uint64]*request // by ID, until Release
	requestsByJob map[*emulator.Job]*request
	lastID        uint64
	now           float64    // seconds
	second        int        // the next one to call the day's hooks for
	timer         float64    // when OnTimer is due, in seconds; infinite for never
	stopped       []*request // whose end the admission server is to be told in the next batch
	draining      bool
	outcome       Outcome
}

// request is one attempt that the server has not forgotten.
type request struct {
	attempt      *emulator.Attempt
	handle       *admission.Request
	reservation  fairqueue.Reservation
	job          *emulator.Job // nil before Run
	softDeadline float64       // seconds; counted from the arrival, as the deadline
	deadline     float64
	answered     bool
}

// ticks is the time as the admission server counts it.
func (h *host) ticks() timeunit.Ticks { return ticks(h.now) }

// arrive hands an attempt to the admission server.
func (h *host) arrive(a *emulator.Attempt) {
	h.statsByTenant.RecordSent(a)
	h.lastID++
	category := &h.day.Categories[a.Stream.Category]
	r := &request{
		attempt:      a,
		softDeadline: a.At + seconds(category.SoftDeadline),
		deadline:     h.now + seconds(category.Deadline),
	}
	h.requests[h.lastID] = r
	arrival := admission.Arrival{
		Category: a.Stream.Category,
		Router:   a.Router % routers,
		QueuedKB: requestMemoryKB,
		ID:       h.lastID,
		TimeLeft: category.Deadline,
	}
	if h.day.NewRouterEachRequest {
		arrival.Router = int(h.lastID)
	}
	if h.fairQueue != nil {
		r.reservation = h.fairQueue.Reserve([]byte(a.Tenant), a.Stream.Category, h.server.VirtualTime(), h.ticks())
		arrival.StartTag = r.reservation.StartTag
		arrival.ExpectedDelay = r.reservation.ExpectedDelay
	}
	r.handle = h.server.Enqueue(arrival)
}

// completed ends a run. Where the request had its response before, the result is of no use.
func (h *host) completed(j *emulator.Job) {
	r := h.requestsByJob[j]
	delete(h.requestsByJob, j)
	if !r.answered {
		h.answer(r)
		stats := h.statsByTenant.ForAttempt(r.attempt)
		if h.now <= r.softDeadline {
			stats.OnTime++
			stats.DeliveredValue += r.attempt.Stream.PriorityWeight
		} else {
			stats.Late++
		}
	}
	r.handle.RunEnded(admission.Succeeded, ticks(h.now-j.StartedAt))
}

// answer marks that the client has its response.
func (h *host) answer(r *request) {
	r.answered = true
	if h.now > r.deadline {
		h.outcome.AnsweredPastDeadline++
	}
}

// Run starts a request on the cores.
func (h *host) Run(w *admission.Request) {
	r := h.requests[w.ID]
	r.reservation.Start(h.ticks())
	if r.attempt.Retries > 0 {
		h.statsByTenant.ForAttempt(r.attempt).RetriesAdmitted++
	}
	r.job = h.cores.Start("", r.attempt.CoreSeconds)
	h.requestsByJob[r.job] = r
}

// Reject tells the client when to come back, and has it do so while it has retries left.
func (h *host) Reject(w *admission.Request, retryAfter timeunit.Ticks, _ bool) {
	r := h.requests[w.ID]
	h.answer(r)
	if h.fairQueue != nil {
		retryAfter = r.reservation.RetryAfter(retryAfter, h.day.MaxRetryAfter, h.ticks())
	}
	a := r.attempt
	advised := AdvisedRetry{Tenant: a.Tenant, RetryAfter: seconds(retryAfter)}
	advised.At = h.now + advised.RetryAfter
	h.outcome.AdvisedRetries = append(h.outcome.AdvisedRetries, advised)
	h.statsByTenant.ForAttempt(a).Rejected++
	if a.Retries < a.Stream.MaxRetries && advised.RetryAfter > 0 {
		h.load.Retry(a, advised.At)
	}
}

// Abort answers a request that failed or has reached its deadline.
func (h *host) Abort(w *admission.Request) {
	r := h.requests[w.ID]
	h.answer(r)
	h.statsByTenant.ForAttempt(r.attempt).Aborted++
}

// StopRun takes a run off the cores. The admission server is told in the batch to come.
func (h *host) StopRun(w *admission.Request) {
	r := h.requests[w.ID]
	h.cores.Abort(r.job)
	delete(h.requestsByJob, r.job)
	h.stopped = append(h.stopped, r)
}

// Release forgets a request.
func (h *host) Release(w *admission.Request) {
	r := h.requests[w.ID]
	r.reservation.Release(h.ticks())
	delete(h.requests, w.ID)
}

// SetTimer has OnTimer called after so long, or before where it was set so.
func (h *host) SetTimer(after timeunit.Ticks) { h.timer = min(h.timer, h.now+seconds(after)) }

// ShareResult does nothing: no request has an idempotency key.
func (h *host) ShareResult(*admission.Request) {}

// SkipCall does nothing: runs make no calls.
func (h *host) SkipCall(*admission.Request) {}

// StartCall does nothing: runs make no calls.
func (h *host) StartCall(*admission.Request, timeunit.Ticks) {}

// KeepEntry does nothing: no request has an idempotency key.
func (h *host) KeepEntry(*admission.Request, timeunit.Ticks) {}

// DropEntry does nothing: no request has an idempotency key.
func (h *host) DropEntry(*admission.Request) {}

// ReportLoad does nothing: routers send all their load to the one server.
func (h *host) ReportLoad(float64) {}

// SetHealth does nothing: nobody checks the server's health.
func (h *host) SetHealth(bool, bool) {}

// CloseIdleConnections does nothing: there are no connections.
func (h *host) CloseIdleConnections(timeunit.Ticks) {}
