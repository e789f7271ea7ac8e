package server

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"thistlequay/admission"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
)

type requestTable struct {
	server       *Server
	slots        []*request // by the module's mark
	freeSlots    []uint64
	byID         map[string]*request // for the interpreter and the index, which know ids only
	entries      map[string]*idempotencyEntry
	dueSharers   []*request // that share a result which is there, or will not come
	doubtfulRuns []*request // answered, and their runs in doubt
	wakeupTimer  timer      // the module's
	invalid      int        // requests that could not be taken
}

func (t *requestTable) start(a *Server) {
	t.server, t.byID, t.entries = a, map[string]*request{}, map[string]*idempotencyEntry{}
	t.wakeupTimer.fire = a.interpreter.onWakeup
}

func (t *requestTable) count() int { return len(t.byID) }

// accept reads a whole request. One that cannot be a work item is answered with a status that says why.
func (t *requestTable) accept(c *routerConnection, s *fastcgi.Request) {
	a := t.server
	it, status := t.parse(c, s)
	if status == "" && a.admission == nil {
		c.respond(s, "503 Starting", "", nil)
		return
	}
	if status != "" {
		t.logInvalid(status)
		c.respond(s, status, "", nil)
		return
	}
	it.server, it.router, it.stream, it.acceptedAt = a, c, s, a.now
	it.body, s.Owner = bytes.Clone(s.Body), it // a buffer is much larger
	t.byID[it.id] = it
	a.plugins.attach(it)
	if !a.plugins.evaluateRequest(it, func() {
		it.key, it.tenant = bytes.Clone(it.key), bytes.Clone(it.tenant) // a buffer is used again
		a.admission.ReserveMemory(it.arrival.QueuedKB)
	}, func(w *chain.Evaluation) { t.pluginsDone(it, w) }) {
		t.proceed(it, it.tenant)
	}
	if s.Body != nil {
		c.ReleaseBuffer(s.Body)
		s.Body = nil
	}
}

func (t *requestTable) logInvalid(status string) {
	if countAndSample(&t.invalid) {
		t.server.log.Event("invalid_request").Str("status", status).Int("count", t.invalid).Send()
	}
}

// pluginsDone: its walk past the plug-ins is over. What they declined is answered, unless it repeats what is held or ran: that
// is not declined, whatever they say.
func (t *requestTable) pluginsDone(it *request, w *chain.Evaluation) {
	t.server.admission.ReserveMemory(-it.arrival.QueuedKB)
	if it.router == nil {
		t.remove(it)
		return
	}
	it.arrival.Category, it.tag = w.Category, w.Tag
	tenant := it.tenant
	if w.Tag != "" {
		tenant = []byte(w.Tag)
	}
	if before := t.existingEntry(it); w.Rejected && before == nil {
		t.remove(it)
		it.respond(strconv.Itoa(w.Status)+" Declined by a plug-in", "", nil)
		return
	}
	t.proceed(it, tenant)
}

// remove: it will never be the module's.
func (t *requestTable) remove(it *request) {
	delete(t.byID, it.id)
	t.server.plugins.detach(it)
}

// proceed hands a work item to the module, once what must be written before has been.
func (t *requestTable) proceed(it *request, tenant []byte) {
	if !t.server.recovery.writeIntent(it, tenant) {
		t.admit(it, tenant)
	}
}

// admit hands a work item to the module.
func (t *requestTable) admit(it *request, tenant []byte) {
	a, arrival := t.server, it.arrival
	key, before := t.idempotencyKey(it), (*idempotencyEntry)(nil)
	var print [sha256.Size]byte
	if key != "" {
		print = sha256.Sum256(it.body)
		if before = t.existingEntry(it); before != nil && before.bodyHash != print {
			status := "422 Once-Key with another body" // neither shares the result nor takes the place of the true one
			t.logInvalid(status)
			t.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
			t.remove(it)
			it.respond(status, "", nil)
			return
		}
	}
	arrival.UnreadTime = max(0, a.now-it.receivedAt)
	arrival.TimeLeft = max(1, it.deadline-a.now) // told, however little
	if a.fairScheduler != nil {
		it.reservation = a.fairScheduler.Reserve(tenant, it.category, a.admission.VirtualTime(), a.now)
		arrival.StartTag, arrival.ExpectedDelay = it.reservation.StartTag, it.reservation.ExpectedDelay
	}
	it.key, it.tenant, it.recoveryKey = nil, nil, key
	if n := len(t.freeSlots); n > 0 {
		it.slot, t.freeSlots = t.freeSlots[n-1], t.freeSlots[:n-1]
		t.slots[it.slot] = it
	} else {
		it.slot = uint64(len(t.slots))
		t.slots = append(t.slots, it)
	}
	arrival.ID = it.slot
	if before != nil {
		arrival.IsRepeat, it.entry = true, before
		if before.owner != nil {
			arrival.RepeatOf = before.owner.handle
		}
	}
	it.handle = a.admission.Enqueue(arrival)
	if key != "" && !it.sharesResult && !it.closed && it.router != nil {
		if before := t.entries[key]; before != nil { // the module had it take the place of the one held
			a.checkInvariant(!before.ran, "a stamp that ran is replaced")
			t.removeEntry(before)
		}
		m := &idempotencyEntry{key: key, bodyHash: print, owner: it, matchUntil: noDeadline}
		m.expiryTimer.fire = func() {
			if m.expired = true; m.owner == nil {
				t.removeEntry(m)
			}
		}
		it.entry, t.entries[key] = m, m
	}
}

func (t *requestTable) unsettled() bool { return len(t.dueSharers)+len(t.doubtfulRuns) > 0 }

// settle answers those that share a result, once the try that they share is over, and closes the books on runs
// that nobody waits for and that may never have begun: else they would hold their place for ever.
func (t *requestTable) settle() {
	for _, it := range t.doubtfulRuns {
		if !it.closed && !it.runConfirmed {
			it.runEnded(admission.Aborted, 0, nil)
		}
	}
	t.doubtfulRuns = t.doubtfulRuns[:0]
	due := t.dueSharers
	t.dueSharers = nil
	for _, it := range due {
		if it.closed {
			continue
		}
		how := admission.Failed
		if it.entry.ended && it.entry.succeeded {
			how = admission.Succeeded
			it.respond("200 OK", "", it.entry.result)
		} else {
			it.respond("500 The other try failed", "", nil)
		}
		it.handle.RunEnded(how, t.server.now-it.acceptedAt)
	}
}
