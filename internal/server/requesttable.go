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

	entries    map[string]*idempotencyEntry // idempotency table, see idempotency.go
	recentRuns recentRuns

	readySharers    []*request // requests whose shared result is available or will never be
	unconfirmedRuns []*request // requests without a recipient whose run may never have started

	wakeupTimer  timer // fires the wakeup that admission has scheduled
	invalidCount int   // number of requests answered with a statusError
}

func (t *requestTable) init(server *Server) {
	t.server = server
	t.byID = map[string]*request{}
	t.entries = map[string]*idempotencyEntry{}
	t.recentRuns.init(server.config.MemoryBytes)
	t.wakeupTimer.fire = server.interpreter.onWakeup
}

// count returns the number of requests in progress.
func (t *requestTable) count() int { return len(t.byID) }

// accept handles a complete request: it parses the request and passes it to the plug-ins or on to admission. An invalid
// request is answered with a status that states the reason.
func (t *requestTable) accept(router *routerConnection, stream *fastcgi.Request) {
	req, err := t.parse(router, stream)
	if err != nil {
		t.respondInvalid(router, stream, err)
		return
	}
	if t.server.admission == nil {
		router.respond(stream, statusStarting, "", nil)
		return
	}
	req.server = t.server
	req.router = router
	req.stream = stream
	req.acceptedAt = t.server.now
	if t.wouldRunAgain(req) {
		t.respondInvalid(router, stream, errRequestIDInUse)
		return
	}
	req.body = bytes.Clone(stream.Body) // a copy, because the parser's buffer is much larger
	stream.Owner = req
	t.byID[req.id] = req
	t.server.plugins.attachRequest(req)
	if t.server.plugins.appliesTo(req) {
		t.evaluate(req)
	} else {
		t.admitOnceDurable(req, req.tenant)
	}
	if stream.Body != nil {
		router.ReleaseBuffer(stream.Body)
		stream.Body = nil
	}
}

// wouldRunAgain reports whether a request came under an identifier that ran recently and has no result to share.
// Identifiers are new with every attempt, so it is the same attempt again.
func (t *requestTable) wouldRunAgain(req *request) bool {
	return t.recentRuns.contains(req.number, t.server.now) && t.findStartedEntry(req) == nil
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
	if countAndSample(&t.invalidCount) {
		t.server.log.Event("invalid_request").Str("status", status).Int("count", t.invalidCount).Send()
	}
}

// evaluate passes a request to the plug-ins. Its memory is reserved with admission until they are done.
func (t *requestTable) evaluate(req *request) {
	req.key = bytes.Clone(req.key) // the parser's buffer will be reused
	req.tenant = bytes.Clone(req.tenant)
	t.server.admission.ReserveMemory(req.arrival.QueuedKB)
	t.server.plugins.evaluateRequest(req, func(evaluation *chain.Evaluation) { t.handleEvaluation(req, evaluation) })
}

// handleEvaluation handles the plug-ins' evaluation of a request. A rejected request is answered with the plug-in's
// status. A repeat of a request that is queued or has run is never rejected, whatever the evaluation says.
func (t *requestTable) handleEvaluation(req *request, evaluation *chain.Evaluation) {
	t.server.admission.ReserveMemory(-req.arrival.QueuedKB)
	if req.router == nil {
		t.remove(req)
		return
	}
	req.arrival.Category = evaluation.Category
	req.tag = evaluation.Tag
	tenant := req.tenant
	if evaluation.Tag != "" {
		tenant = []byte(evaluation.Tag)
	}
	existing := t.findEntry(req)
	if evaluation.Rejected && existing == nil {
		t.remove(req)
		req.respond(strconv.Itoa(evaluation.Status)+statusRejectedByPlugin, "", nil)
		return
	}
	t.admitOnceDurable(req, tenant)
}

// remove removes a request that admission has released or that will never be handed to admission.
func (t *requestTable) remove(req *request) {
	delete(t.byID, req.id)
	t.server.plugins.detachRequest(req)
}

// admitOnceDurable hands a request to admission, after its intent record is durable if it needs one.
func (t *requestTable) admitOnceDurable(req *request, tenant []byte) {
	if !t.server.recovery.deferForIntent(req, tenant) {
		t.handToAdmission(req, tenant)
	}
}

// handToAdmission hands a request to admission, which may run, queue or reject it before this method returns.
func (t *requestTable) handToAdmission(req *request, tenant []byte) {
	key := t.idempotencyKey(req)
	var existing *idempotencyEntry
	var bodyHash [sha256.Size]byte
	if key != "" {
		bodyHash = sha256.Sum256(req.body)
		existing = t.findEntry(req)
		if existing != nil && existing.bodyHash != bodyHash {
			t.respondKeyReused(req)
			return
		}
	}
	arrival := req.arrival
	// A plug-in may have the request treated as one of another category, which changes neither what runs nor whether
	// it may run again.
	arrival.IsIdempotent = t.isIdempotent(req)
	arrival.UnreadTime = max(0, t.server.now-req.receivedAt)
	// Admission also decides on a request whose deadline has passed. A TimeLeft of 0 would mean that it is not known.
	arrival.TimeLeft = max(1, req.deadline-t.server.now)
	t.server.fairQueue.reserve(req, tenant, &arrival)
	req.key = nil // the parser's buffer will be reused
	req.tenant = nil
	req.recoveryKey = key
	t.assignSlot(req)
	arrival.ID = req.slot
	if existing != nil {
		req.entry = existing
		arrival.IsRepeat = true
		if existing.owner != nil {
			arrival.RepeatOf = existing.owner.handle
		}
	}
	req.handle = t.server.admission.Enqueue(arrival)
	if key != "" && !req.sharesResult && !req.isReleased && req.router != nil {
		t.addEntry(req, key, bodyHash)
	}
}

// respondKeyReused answers a request whose idempotency key was used before with another body. The request neither
// shares the result of the earlier request nor replaces it.
func (t *requestTable) respondKeyReused(req *request) {
	t.logInvalid(errKeyReused.status)
	t.server.recovery.concludeIntent(req, recovery.KindCancellation, false, nil)
	t.remove(req)
	req.respond(errKeyReused.status, "", nil)
}

func (t *requestTable) assignSlot(req *request) {
	if lastIndex := len(t.freeSlots) - 1; lastIndex >= 0 {
		req.slot = t.freeSlots[lastIndex]
		t.freeSlots = t.freeSlots[:lastIndex]
		t.slots[req.slot] = req
		return
	}
	req.slot = uint64(len(t.slots))
	t.slots = append(t.slots, req)
}

// hasDeferredWork reports whether processDeferredWork has anything to do.
func (t *requestTable) hasDeferredWork() bool { return len(t.readySharers)+len(t.unconfirmedRuns) > 0 }

// processDeferredWork answers requests that share a result once the shared run has ended. It also ends runs that nobody
// waits for and that may never have started; otherwise they would count as running forever.
func (t *requestTable) processDeferredWork() {
	for _, req := range t.unconfirmedRuns {
		if !req.isReleased && !req.runConfirmed {
			req.handleRunEnd(admission.Aborted, 0, nil)
		}
	}
	t.unconfirmedRuns = t.unconfirmedRuns[:0]
	sharers := t.readySharers
	t.readySharers = nil
	for _, sharer := range sharers {
		if !sharer.isReleased {
			t.respondSharer(sharer)
		}
	}
}

func (t *requestTable) respondSharer(sharer *request) {
	outcome := sharer.respondSharedResult(sharer.entry)
	sharer.handle.RunEnded(outcome, t.server.now-sharer.acceptedAt)
}
