package server

import (
	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// The methods by which requestTable implements admission.Host: admission calls them with what it decided. They may
// write to connections and set timers, but never call admission back.

// lookup returns the request that a handle of admission stands for. Enqueue may call the host before it returns the
// handle, so the handle is set here.
func (t *requestTable) lookup(handle *admission.Request) *request {
	found := t.slots[handle.ID]
	found.handle = handle
	return found
}

// Run has the interpreter run a request.
func (t *requestTable) Run(handle *admission.Request) {
	started := t.lookup(handle)
	t.server.checkInvariant(!started.runStarted && !started.sharesResult, "a request runs twice")
	started.runStarted = true
	started.reservation.Start(t.server.now)
	if started.entry != nil {
		t.server.checkInvariant(!started.entry.ran, "an idempotency key runs twice")
		started.entry.ran = true
	}
	t.server.interpreter.run(started)
}

// ShareResult has a repeat answered with the result of the attempt that it repeats.
func (t *requestTable) ShareResult(handle *admission.Request) {
	sharer := t.lookup(handle)
	sharer.sharesResult = true
	sharer.reservation.Release(t.server.now) // the run whose result it shares is accounted, and once
	entry := sharer.entry
	if entry.ended || entry.owner == nil {
		t.dueSharers = append(t.dueSharers, sharer)
	} else {
		entry.sharers = append(entry.sharers, sharer)
	}
}

// Reject answers a request that is not to be run.
func (t *requestTable) Reject(handle *admission.Request, retryAfter timeunit.Ticks, isFinal bool) {
	rejected := t.lookup(handle)
	isOpen := !rejected.runStarted && rejected.router != nil
	t.server.checkInvariant(isOpen, "a request is rejected after its run or its answer")
	if t.server.shutdownDeadline == noDeadline {
		maxRetryAfter := t.server.config.Settings.MaxRetryAfter
		retryAfter = rejected.reservation.RetryAfter(retryAfter, maxRetryAfter, t.server.now)
	}
	headers := retryAfterHeader(retryAfter)
	if isFinal {
		headers += finalRejectionHeader
	}
	rejected.respond(statusRejected, headers, nil)
}

// Abort answers a request whose deadline has passed.
func (t *requestTable) Abort(handle *admission.Request) {
	aborted := t.lookup(handle)
	t.server.checkInvariant(aborted.router != nil, "a request is aborted after its answer")
	aborted.respond(statusAborted, "", nil)
}

// StopRun has the interpreter stop a run.
func (t *requestTable) StopRun(handle *admission.Request) {
	t.server.interpreter.stop(t.lookup(handle))
}

// SkipCall never comes: on sockets no run can go on without its call, see socketDeployment.
func (t *requestTable) SkipCall(*admission.Request) {
	t.server.checkInvariant(false, "a run goes on without its call")
}

// StartCall makes the call that a run waits for.
func (t *requestTable) StartCall(handle *admission.Request, deadline timeunit.Ticks) {
	t.server.index.makeCall(t.lookup(handle), deadline)
}

// KeepEntry keeps the idempotency entry of a request that ran for so long.
func (t *requestTable) KeepEntry(handle *admission.Request, span timeunit.Ticks) {
	owner := t.lookup(handle)
	entry := owner.entry
	// The window counts from Received-At, also where that is ahead of this clock. Admission, which counts from when the
	// request was read, has the entry on its books for as long as it is kept.
	category := t.server.config.Settings.Categories[owner.category]
	entry.matchUntil = owner.receivedAt + category.DeduplicationWindow + t.windowMargin()
	t.server.setTimer(&entry.expiryTimer, max(t.server.now+span, owner.receivedAt+entryRetention(category)))
}

// DropEntry forgets the idempotency entry of a request that did not run.
func (t *requestTable) DropEntry(handle *admission.Request) {
	owner := t.lookup(handle)
	if owner.entry != nil && owner.entry.owner == owner {
		t.server.checkInvariant(!owner.entry.ran, "the entry of an idempotency key that ran is dropped")
		t.removeEntry(owner.entry)
	}
}

// Release ends a request: it is answered, and its run, if there was one, is over.
func (t *requestTable) Release(handle *admission.Request) {
	released := t.lookup(handle)
	released.closed = true
	released.reservation.Release(t.server.now)
	if released.runStarted {
		t.server.recovery.concludeIntent(released, recovery.KindCompletion, false, nil) // it may have run
	} else {
		t.server.recovery.concludeIntent(released, recovery.KindCancellation, false, nil)
	}
	t.server.checkInvariant(released.router == nil, "a request is released without an answer")
	t.disownEntry(released)
	t.server.index.cancel(released)
	t.slots[released.slot] = nil
	t.freeSlots = append(t.freeSlots, released.slot)
	t.remove(released)
	released.body = nil
}

// disownEntry leaves a request's entry without an owner. An entry that never ran, or is past its time, goes.
func (t *requestTable) disownEntry(released *request) {
	entry := released.entry
	if entry == nil || entry.owner != released {
		return
	}
	entry.owner = nil
	if !entry.ran || entry.expired {
		t.removeEntry(entry)
	}
}

// ReportLoad sets the load report that routers get with every answer.
func (t *requestTable) ReportLoad(value float64) { t.server.routers.setLoadReport(value) }

// SetHealth sets what health checks and the directory hear.
func (t *requestTable) SetHealth(isHealthy, _ bool) { t.server.routers.admissionHealthy = isHealthy }

// CloseIdleConnections has routers' connections closed that are idle for so long.
func (t *requestTable) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		t.server.routers.idleTimeout = after
		t.server.routers.closeIdle() // those that were idle before
	}
}

// SetTimer has admission woken after a span. There is one wakeup: admission sets the next at each, so one that an
// earlier one overtook would tell it nothing.
func (t *requestTable) SetTimer(after timeunit.Ticks) {
	t.server.setTimer(&t.wakeupTimer, t.server.now+after)
}
