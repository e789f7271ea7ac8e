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
	req := t.slots[handle.ID]
	req.handle = handle
	return req
}

// Run implements admission.Host: it sends the request to the interpreter to be run.
func (t *requestTable) Run(handle *admission.Request) {
	req := t.lookup(handle)
	t.server.checkInvariant(!req.runStarted && !req.sharesResult, "a request is run twice")
	req.runStarted = true
	req.reservation.Start(t.server.now)
	if req.entry != nil {
		t.server.checkInvariant(!req.entry.hasStarted, "two requests with the same idempotency key are run")
		req.entry.hasStarted = true
	}
	retention := entryRetention(t.server.config.Settings.Categories[req.category])
	t.recentRuns.add(req.number, t.server.now, max(t.server.now, req.receivedAt)+retention)
	t.server.interpreter.run(req)
}

// ShareResult implements admission.Host: the request is answered with the result of the attempt that it repeats, at
// once if that attempt has ended, otherwise when it ends.
func (t *requestTable) ShareResult(handle *admission.Request) {
	sharer := t.lookup(handle)
	sharer.sharesResult = true
	sharer.reservation.Release(t.server.now) // the shared run has its own reservation and is accounted only once
	entry := sharer.entry
	if entry.hasEnded || entry.owner == nil {
		t.readySharers = append(t.readySharers, sharer)
	} else {
		entry.sharers = append(entry.sharers, sharer)
	}
}

// Reject implements admission.Host: it answers the request with statusRejected and a time to stay away. During a
// shutdown the fair scheduler does not adjust that time.
func (t *requestTable) Reject(handle *admission.Request, retryAfter timeunit.Ticks, isFinal bool) {
	req := t.lookup(handle)
	isOpen := !req.runStarted && req.router != nil
	t.server.checkInvariant(isOpen, "a request is rejected after it was run or answered")
	if t.server.shutdownDeadline == noDeadline {
		maxRetryAfter := t.server.config.Settings.MaxRetryAfter
		retryAfter = req.reservation.RetryAfter(retryAfter, maxRetryAfter, t.server.now)
	}
	headers := retryAfterHeader(retryAfter)
	if isFinal {
		headers += finalRejectionHeader
	}
	req.respond(statusRejected, headers, nil)
}

// Abort implements admission.Host: it answers a request whose deadline has passed. The run may still be in progress.
func (t *requestTable) Abort(handle *admission.Request) {
	req := t.lookup(handle)
	t.server.checkInvariant(req.router != nil, "a request is aborted after it was answered")
	req.respond(statusAborted, "", nil)
}

// StopRun implements admission.Host: it tells the interpreter to stop the run.
func (t *requestTable) StopRun(handle *admission.Request) {
	t.server.interpreter.stop(t.lookup(handle))
}

// SkipCall implements admission.Host. Admission never calls it here, because a run cannot continue without its
// downstream call in this deployment; see socketAdmissionConfig.
func (t *requestTable) SkipCall(*admission.Request) {
	t.server.checkInvariant(false, "admission skipped a downstream call")
}

// StartCall implements admission.Host: it makes the downstream call that the run waits for.
func (t *requestTable) StartCall(handle *admission.Request, deadline timeunit.Ticks) {
	t.server.index.makeCall(t.lookup(handle), deadline)
}

// KeepEntry implements admission.Host: it keeps the idempotency entry of the request for at least lifetime from now.
func (t *requestTable) KeepEntry(handle *admission.Request, lifetime timeunit.Ticks) {
	owner := t.lookup(handle)
	entry := owner.entry
	// The deduplication window starts at Received-At, even if that is ahead of this server's clock. Admission counts
	// the window from when the request was read, and accounts for the entry as long as it is kept.
	category := t.server.config.Settings.Categories[owner.category]
	entry.matchUntil = owner.receivedAt + category.DeduplicationWindow + t.minWindowMargin()
	t.server.setTimer(&entry.expiryTimer, max(t.server.now+lifetime, owner.receivedAt+entryRetention(category)))
}

// DropEntry implements admission.Host: it removes the idempotency entry of a request that did not run, if the request
// still owns the entry.
func (t *requestTable) DropEntry(handle *admission.Request) {
	owner := t.lookup(handle)
	if owner.entry != nil && owner.entry.owner == owner {
		t.server.checkInvariant(!owner.entry.hasStarted, "the idempotency entry of a request that ran is dropped")
		t.removeEntry(owner.entry)
	}
}

// Release implements admission.Host: it removes a request that has been answered or cancelled and whose run, if any,
// has ended.
func (t *requestTable) Release(handle *admission.Request) {
	req := t.lookup(handle)
	req.isReleased = true
	req.reservation.Release(t.server.now)
	if req.runStarted {
		t.server.recovery.concludeIntent(req, recovery.KindCompletion, false, nil) // the run may have had its effect
	} else {
		t.server.recovery.concludeIntent(req, recovery.KindCancellation, false, nil)
	}
	t.server.checkInvariant(req.router == nil, "a request is released before it was answered")
	t.disownEntry(req)
	t.server.index.cancel(req)
	t.slots[req.slot] = nil
	t.freeSlots = append(t.freeSlots, req.slot)
	t.remove(req)
	req.body = nil
}

// disownEntry removes the request as the owner of its idempotency entry. The entry is deleted if its request never ran
// or if it has expired.
func (t *requestTable) disownEntry(req *request) {
	entry := req.entry
	if entry == nil || entry.owner != req {
		return
	}
	entry.owner = nil
	if !entry.hasStarted || entry.isExpired {
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
