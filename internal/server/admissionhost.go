package server

import (
	"strconv"
	"thistlequay/admission"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

func (t *requestTable) lookup(w *admission.Request) *request {
	it := t.slots[w.ID]
	it.handle = w
	return it
}

func (t *requestTable) Run(w *admission.Request) {
	it := t.lookup(w)
	t.server.checkInvariant(!it.runStarted && !it.sharesResult, "run twice")
	it.runStarted = true
	it.reservation.Start(t.server.now)
	if it.entry != nil {
		t.server.checkInvariant(!it.entry.ran, "a stamp runs twice")
		it.entry.ran = true
	}
	t.server.interpreter.run(it)
}

func (t *requestTable) ShareResult(w *admission.Request) {
	it := t.lookup(w)
	it.sharesResult = true
	it.reservation.Release(t.server.now) // the run that it shares is charged, and once
	if m := it.entry; m.ended || m.owner == nil {
		t.dueSharers = append(t.dueSharers, it)
	} else {
		m.sharers = append(m.sharers, it)
	}
}

func (t *requestTable) Reject(w *admission.Request, stayAway timeunit.Ticks, nowhereElse bool) {
	it := t.lookup(w)
	t.server.checkInvariant(!it.runStarted && it.router != nil, "declined after its run or its answer")
	if t.server.shutdownDeadline == noDeadline {
		stayAway = it.reservation.RetryAfter(stayAway, t.server.config.Settings.MaxRetryAfter, t.server.now)
	}
	headers := backOffFor(stayAway)
	if nowhereElse {
		headers += "Final-Refusal: 1\r\n"
	}
	it.respond("503 Declined", headers, nil)
}

// backOffFor is the header that tells how long to stay away, empty for not at all.
func backOffFor(away timeunit.Ticks) string {
	if away <= 0 {
		return ""
	}
	return "Back-Off-Ms: " + strconv.FormatInt(int64((away+9)/10), 10) + "\r\n"
}

func (t *requestTable) Abort(w *admission.Request) {
	it := t.lookup(w)
	t.server.checkInvariant(it.router != nil, "broken off after its answer")
	it.respond("500 Broken off", "", nil)
}

func (t *requestTable) StopRun(w *admission.Request) { t.server.interpreter.stop(t.lookup(w)) }

func (t *requestTable) SkipCall(*admission.Request) {
	t.server.checkInvariant(false, "went on without a call")
}

func (t *requestTable) StartCall(w *admission.Request, until timeunit.Ticks) {
	t.server.index.makeCall(t.lookup(w), until)
}

func (t *requestTable) KeepEntry(w *admission.Request, span timeunit.Ticks) {
	it := t.lookup(w)
	m := it.entry
	// The window counts from Received-At, also where that is ahead of this clock; the module, which counts from when it was
	// read, has the stamp in its books for as long as it is kept.
	c := t.server.config.Settings.Categories[it.category]
	m.matchUntil = it.receivedAt + c.DeduplicationWindow + t.windowMargin()
	t.server.setTimer(&m.expiryTimer, max(t.server.now+span, it.receivedAt+retention(c)))
}

func (t *requestTable) DropEntry(w *admission.Request) {
	if it := t.lookup(w); it.entry != nil && it.entry.owner == it {
		t.server.checkInvariant(!it.entry.ran, "a stamp that ran is forgotten")
		t.removeEntry(it.entry)
	}
}

func (t *requestTable) Release(w *admission.Request) {
	it := t.lookup(w)
	it.closed = true
	it.reservation.Release(t.server.now)
	if !it.runStarted {
		t.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
	} else {
		t.server.recovery.conclude(it, recovery.KindCompletion, false, nil) // it may have run
	}
	t.server.checkInvariant(it.router == nil, "over without an answer")
	if m := it.entry; m != nil && m.owner == it {
		if m.owner = nil; !m.ran || m.expired {
			t.removeEntry(m)
		}
	}
	t.server.index.cancel(it)
	t.slots[it.slot] = nil
	t.freeSlots = append(t.freeSlots, it.slot)
	t.remove(it)
	it.body = nil
}

func (t *requestTable) ReportLoad(value float64) { t.server.routers.setLoadReport(value) }

func (t *requestTable) SetHealth(good, fromStore bool) { t.server.routers.admissionHealthy = good }

func (t *requestTable) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		t.server.routers.idleTimeout = after
		t.server.routers.closeIdle() // those that came before this was said
	}
}

// SetTimer leaves one wake: the module sets the next at each, so one that an earlier one overtook tells it nothing.
func (t *requestTable) SetTimer(after timeunit.Ticks) {
	t.server.setTimer(&t.wakeupTimer, t.server.now+after)
}
