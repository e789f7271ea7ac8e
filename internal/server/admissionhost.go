package server

import (
	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// This file implements admission.Host for requestTable. Admission calls these methods to have its decisions carried
// out. They may write to connections and set timers, but must not call back into admission.

// lookup returns the request that belongs to a handle. It also stores the handle in the request, because Enqueue may
// call the host before it has returned the handle.
func (t *requestTable) lookup(handle *admission.Request) *request {
	found := t.slots[handle.ID]
	found.handle = handle
	return found
}

// Run implements admission.Host: it sends the request to the interpreter to be run.
func (t *requestTable) Run(handle *admission.Request) {
	started := t.lookup(handle)
	t.server.checkInvariant(!started.runStarted && !started.sharesResult, "a request is run twice")
	started.runStarted = true
	started.reservation.Start(t.server.now)
	if started.entry != nil {
		t.server.checkInvariant(!started.entry.ran, "a request with the same idempotency key is run twice")
		started.entry.ran = true
	}
	t.server.interpreter.run(started)
}

// ShareResult implements admission.Host: the request is answered with the result of the attempt that it repeats, at
// once if that attempt has ended, otherwise when it ends.
func (t *requestTable) ShareResult(handle *admission.Request) {
	sharer := t.lookup(handle)
	sharer.sharesResult = true
	sharer.reservation.Release(t.server.now) // the shared run has its own reservation and is accounted only once
	entry := sharer.entry
	if entry.ended || entry.owner == nil {
		t.dueSharers = append(t.dueSharers, sharer)
	} else {
		entry.sharers = append(entry.sharers, sharer)
	}
}

// Reject implements admission.Host: it answers the request with statusRejected and a time to stay away. During a
// shutdown the fair scheduler does not adjust that time.
func (t *requestTable) Reject(handle *admission.Request, retryAfter timeunit.Ticks, isFinal bool) {
	rejected := t.lookup(handle)
	isOpen := !rejected.runStarted && rejected.router != nil
	t.server.checkInvariant(isOpen, "a request is rejected after it was run or answered")
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

// Abort implements admission.Host: it answers a request whose deadline has passed. The run may still be in progress.
func (t *requestTable) Abort(handle *admission.Request) {
	aborted := t.lookup(handle)
	t.server.checkInvariant(aborted.router != nil, "a request is aborted after it was answered")
	aborted.respond(statusAborted, "", nil)
}

// StopRun implements admission.Host: it tells the interpreter to stop the run.
func (t *requestTable) StopRun(handle *admission.Request) {
	t.server.interpreter.stop(t.lookup(handle))
}

// SkipCall implements admission.Host. Admission never calls it here, because a run cannot continue without its
// downstream call in this deployment; see socketDeployment.
func (t *requestTable) SkipCall(*admission.Request) {
	t.server.checkInvariant(false, "admission skipped a downstream call")
}

// StartCall implements admission.Host: it makes the downstream call that the run waits for.
func (t *requestTable) StartCall(handle *admission.Request, deadline timeunit.Ticks) {
	t.server.index.makeCall(t.lookup(handle), deadline)
}

// KeepEntry implements admission.Host: it keeps the idempotency entry of the request for at least span from now.
func (t *requestTable) KeepEntry(handle *admission.Request, span timeunit.Ticks) {
	owner := t.lookup(handle)
	entry := owner.entry
	// The deduplication window starts at Received-At, even if that is ahead of this server's clock. Admission counts
	// the window from when the request was read, and accounts for the entry as long as it is kept.
	category := t.server.config.Settings.Categories[owner.category]
	entry.matchUntil = owner.receivedAt + category.DeduplicationWindow + t.windowMargin()
	t.server.setTimer(&entry.expiryTimer, max(t.server.now+span, owner.receivedAt+retention(category)))
}

// DropEntry implements admission.Host: it removes the idempotency entry of a request that did not run, if the request
// still owns the entry.
func (t *requestTable) DropEntry(handle *admission.Request) {
	owner := t.lookup(handle)
	if owner.entry != nil && owner.entry.owner == owner {
		t.server.checkInvariant(!owner.entry.ran, "the idempotency entry of a request that ran is dropped")
		t.removeEntry(owner.entry)
	}
}

// Release implements admission.Host: it removes a request that has been answered or cancelled and whose run, if any,
// has ended.
func (t *requestTable) Release(handle *admission.Request) {
	released := t.lookup(handle)
	released.closed = true
	released.reservation.Release(t.server.now)
	if released.runStarted {
		t.server.recovery.conclude(released, recovery.KindCompletion, false, nil) // the run may have had its effect
	} else {
		t.server.recovery.conclude(released, recovery.KindCancellation, false, nil)
	}
	t.server.checkInvariant(released.router == nil, "a request is released before it was answered")
	t.disownEntry(released)
	t.server.index.cancel(released)
	t.slots[released.slot] = nil
	t.freeSlots = append(t.freeSlots, released.slot)
	t.remove(released)
	released.body = nil
}

// disownEntry removes the request as the owner of its idempotency entry. The entry is deleted if its request never ran
// or if it has expired.
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

// ReportLoad implements admission.Host: it sets the load report that is sent to routers with every response.
func (t *requestTable) ReportLoad(value float64) { t.server.routers.setLoadReport(value) }

// SetHealth implements admission.Host: it sets the health that is reported to health checks and to the directory.
func (t *requestTable) SetHealth(isHealthy, _ bool) { t.server.routers.admissionHealthy = isHealthy }

// CloseIdleConnections implements admission.Host: router connections are closed once they have been idle for the time
// after.
func (t *requestTable) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		t.server.routers.idleTimeout = after
		t.server.routers.closeIdle() // connections that are already idle
	}
}

// SetTimer implements admission.Host: it schedules a wakeup of admission when the time after has passed. A new wakeup
// replaces the pending one. None is lost that way, because admission schedules the next wakeup at each one.
func (t *requestTable) SetTimer(after timeunit.Ticks) {
	t.server.setTimer(&t.wakeupTimer, t.server.now+after)
}
