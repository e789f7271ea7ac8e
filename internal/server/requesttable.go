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

// requestTable holds the requests in progress and the idempotency table. It implements admission.Host (see
// admissionhost.go) and carries out admission's decisions. On its own it answers only requests whose run has ended and
// requests that never reach admission. It must not answer a request twice, nor decide which requests are run or
// rejected.
type requestTable struct {
	server    *Server
	slots     []*request // indexed by admission.Request.ID
	freeSlots []uint64
	byID      map[string]*request // by the ID from the router, which the interpreter and the index use as well

	entries map[string]*idempotencyEntry // idempotency table, see idempotency.go

	dueSharers   []*request // requests whose shared result is available or will never be
	doubtfulRuns []*request // requests without a recipient whose run may never have started

	wakeupTimer timer // fires the wakeup that admission has scheduled
	invalid     int   // number of requests answered with a statusError
}

func (t *requestTable) init(server *Server) {
	t.server = server
	t.byID = map[string]*request{}
	t.entries = map[string]*idempotencyEntry{}
	t.wakeupTimer.fire = server.interpreter.onWakeup
}

// count returns the number of requests in progress.
func (t *requestTable) count() int { return len(t.byID) }

// accept handles a complete request: it parses the request and passes it to the plug-ins or on to admission. An invalid
// request is answered with a status that states the reason.
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
	accepted.body = bytes.Clone(stream.Body) // a copy, because the parser's buffer is much larger
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

// respondInvalid answers an invalid request with the status of reason, which must be a statusError.
func (t *requestTable) respondInvalid(router *routerConnection, stream *fastcgi.Request, reason error) {
	var invalid *statusError
	if !errors.As(reason, &invalid) {
		t.server.checkInvariant(false, "an invalid request has no status")
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

// evaluate passes a request to the plug-ins. Its memory is reserved with admission until they are done.
func (t *requestTable) evaluate(shown *request) {
	shown.key = bytes.Clone(shown.key) // the parser's buffer will be reused
	shown.tenant = bytes.Clone(shown.tenant)
	t.server.admission.ReserveMemory(shown.arrival.QueuedKB)
	t.server.plugins.evaluateRequest(shown, func(evaluation *chain.Evaluation) { t.pluginsDone(shown, evaluation) })
}

// pluginsDone handles the plug-ins' evaluation of a request. A rejected request is answered with the plug-in's status.
// A repeat of a request that is queued or has run is never rejected, whatever the evaluation says.
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

// remove removes a request that admission has released or that will never be handed to admission.
func (t *requestTable) remove(removed *request) {
	delete(t.byID, removed.id)
	t.server.plugins.detach(removed)
}

// admitOnceDurable hands a request to admission, after its intent record is durable if it needs one.
func (t *requestTable) admitOnceDurable(accepted *request, tenant []byte) {
	if !t.server.recovery.deferForIntent(accepted, tenant) {
		t.handToAdmission(accepted, tenant)
	}
}

// handToAdmission hands a request to admission, which may run, queue or reject it before this method returns.
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
	// Admission also decides on a request whose deadline has passed. A TimeLeft of 0 would mean that it is not known.
	arrival.TimeLeft = max(1, admitted.deadline-t.server.now)
	t.server.fairQueue.reserve(admitted, tenant, &arrival)
	admitted.key = nil // the parser's buffer will be reused
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

// respondKeyReused answers a request whose idempotency key was used before with another body. The request neither
// shares the result of the earlier request nor replaces it.
func (t *requestTable) respondKeyReused(refused *request) {
	t.logInvalid(errKeyReused.status)
	t.server.recovery.conclude(refused, recovery.KindCancellation, false, nil)
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

// unsettled reports whether settle has work to do.
func (t *requestTable) unsettled() bool { return len(t.dueSharers)+len(t.doubtfulRuns) > 0 }

// settle answers requests that share a result once the shared run has ended. It also ends runs that nobody waits for
// and that may never have started; otherwise they would count as running forever.
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
