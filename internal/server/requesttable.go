package server

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
)

// requestTable holds the requests in hand and the idempotency table. It implements admission.Host: it carries out what
// admission decides, see admissionhost.go. By itself it answers only the end of a run, and what never reaches
// admission; it must never answer twice, and never decide what is run or rejected.
type requestTable struct {
	server    *Server
	slots     []*request // by admission.Request.ID
	freeSlots []uint64
	byID      map[string]*request // by the router's ID; the interpreter and the index know no other

	entries map[string]*idempotencyEntry // the idempotency table, see idempotency.go

	dueSharers   []*request // that share a result which is there, or will not come
	doubtfulRuns []*request // answered, and whether they run is in doubt

	wakeupTimer timer // admission's
	invalid     int   // requests that could not be accepted
}

func (t *requestTable) init(server *Server) {
	t.server = server
	t.byID = map[string]*request{}
	t.entries = map[string]*idempotencyEntry{}
	t.wakeupTimer.fire = server.interpreter.onWakeup
}

// count returns how many requests are in hand.
func (t *requestTable) count() int { return len(t.byID) }

// accept takes a complete request. One that cannot be accepted is answered with a status that says why.
func (t *requestTable) accept(router *routerConnection, stream *fastcgi.Request) {
	accepted, err := t.parse(router, stream)
	if err != nil {
		t.respondInvalid(router, stream, err)
		return
	}
	if t.server.admission == nil {
		router.respond(stream, statusStarting, "", nil)
		return
	}
	accepted.server = t.server
	accepted.router = router
	accepted.stream = stream
	accepted.acceptedAt = t.server.now
	accepted.body = bytes.Clone(stream.Body) // the parser's buffer is much larger
	stream.Owner = accepted
	t.byID[accepted.id] = accepted
	t.server.plugins.attach(accepted)
	if t.server.plugins.appliesTo(accepted) {
		t.evaluate(accepted)
	} else {
		t.admitOnceDurable(accepted, accepted.tenant)
	}
	if stream.Body != nil {
		router.ReleaseBuffer(stream.Body)
		stream.Body = nil
	}
}

// respondInvalid answers a request that cannot be accepted.
func (t *requestTable) respondInvalid(router *routerConnection, stream *fastcgi.Request, reason error) {
	var invalid *statusError
	if !errors.As(reason, &invalid) {
		t.server.checkInvariant(false, "a request was refused without a status")
		return
	}
	t.logInvalid(invalid.status)
	router.respond(stream, invalid.status, "", nil)
}

func (t *requestTable) logInvalid(status string) {
	if countAndSample(&t.invalid) {
		t.server.log.Event("invalid_request").Str("status", status).Int("count", t.invalid).Send()
	}
}

// evaluate shows a request to the plug-ins. Its memory counts meanwhile.
func (t *requestTable) evaluate(shown *request) {
	shown.key = bytes.Clone(shown.key) // the parser's buffer is used again
	shown.tenant = bytes.Clone(shown.tenant)
	t.server.admission.ReserveMemory(shown.arrival.QueuedKB)
	t.server.plugins.evaluateRequest(shown, func(evaluation *chain.Evaluation) { t.pluginsDone(shown, evaluation) })
}

// pluginsDone is called when the plug-ins are through with a request. What they rejected is answered, unless it repeats
// what is queued or ran: that is not rejected, whatever they say.
func (t *requestTable) pluginsDone(shown *request, evaluation *chain.Evaluation) {
	t.server.admission.ReserveMemory(-shown.arrival.QueuedKB)
	if shown.router == nil {
		t.remove(shown)
		return
	}
	shown.arrival.Category = evaluation.Category
	shown.tag = evaluation.Tag
	tenant := shown.tenant
	if evaluation.Tag != "" {
		tenant = []byte(evaluation.Tag)
	}
	existing := t.existingEntry(shown)
	if evaluation.Rejected && existing == nil {
		t.remove(shown)
		shown.respond(strconv.Itoa(evaluation.Status)+statusRejectedByPlugin, "", nil)
		return
	}
	t.admitOnceDurable(shown, tenant)
}

// remove forgets a request that admission has released, or that will never be admission's.
func (t *requestTable) remove(removed *request) {
	delete(t.byID, removed.id)
	t.server.plugins.detach(removed)
}

// admitOnceDurable hands a request to admission, once what must be written before that has been.
func (t *requestTable) admitOnceDurable(accepted *request, tenant []byte) {
	if !t.server.recovery.deferForIntent(accepted, tenant) {
		t.handToAdmission(accepted, tenant)
	}
}

// handToAdmission hands a request to admission, which may run, queue or reject it within this call.
func (t *requestTable) handToAdmission(admitted *request, tenant []byte) {
	key := t.idempotencyKey(admitted)
	var existing *idempotencyEntry
	var bodyHash [sha256.Size]byte
	if key != "" {
		bodyHash = sha256.Sum256(admitted.body)
		existing = t.existingEntry(admitted)
		if existing != nil && existing.bodyHash != bodyHash {
			t.respondKeyReused(admitted)
			return
		}
	}
	arrival := admitted.arrival
	arrival.UnreadTime = max(0, t.server.now-admitted.receivedAt)
	arrival.TimeLeft = max(1, admitted.deadline-t.server.now) // admission decides, however little is left
	t.server.fairQueue.reserve(admitted, tenant, &arrival)
	admitted.key = nil // the parser's buffer is used again
	admitted.tenant = nil
	admitted.recoveryKey = key
	t.assignSlot(admitted)
	arrival.ID = admitted.slot
	if existing != nil {
		admitted.entry = existing
		arrival.IsRepeat = true
		if existing.owner != nil {
			arrival.RepeatOf = existing.owner.handle
		}
	}
	admitted.handle = t.server.admission.Enqueue(arrival)
	if key != "" && !admitted.sharesResult && !admitted.closed && admitted.router != nil {
		t.addEntry(admitted, key, bodyHash)
	}
}

// respondKeyReused answers a request whose key came before with another body. It neither shares the result nor takes
// the place of the request that the key is of.
func (t *requestTable) respondKeyReused(refused *request) {
	t.logInvalid(errKeyReused.status)
	t.server.recovery.concludeIntent(refused, recovery.KindCancellation, false, nil)
	t.remove(refused)
	refused.respond(errKeyReused.status, "", nil)
}

func (t *requestTable) assignSlot(admitted *request) {
	if last := len(t.freeSlots) - 1; last >= 0 {
		admitted.slot = t.freeSlots[last]
		t.freeSlots = t.freeSlots[:last]
		t.slots[admitted.slot] = admitted
		return
	}
	admitted.slot = uint64(len(t.slots))
	t.slots = append(t.slots, admitted)
}

// unsettled reports whether settle has something to do.
func (t *requestTable) unsettled() bool { return len(t.dueSharers)+len(t.doubtfulRuns) > 0 }

// settle answers the requests that share a result, once the run that they share is over, and ends runs that nobody
// waits for and that may never have begun: else they would hold their place for ever.
func (t *requestTable) settle() {
	for _, doubtful := range t.doubtfulRuns {
		if !doubtful.closed && !doubtful.runConfirmed {
			doubtful.runEnded(admission.Aborted, 0, nil)
		}
	}
	t.doubtfulRuns = t.doubtfulRuns[:0]
	due := t.dueSharers
	t.dueSharers = nil
	for _, sharer := range due {
		if !sharer.closed {
			t.settleSharer(sharer)
		}
	}
}

func (t *requestTable) settleSharer(sharer *request) {
	outcome := admission.Failed
	if sharer.entry.ended && sharer.entry.succeeded {
		outcome = admission.Succeeded
		sharer.respond(statusOK, "", sharer.entry.result)
	} else {
		sharer.respond(statusSharedRunFailed, "", nil)
	}
	sharer.handle.RunEnded(outcome, t.server.now-sharer.acceptedAt)
}
