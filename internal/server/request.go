package server

import (
	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// request is one request, from its reading until admission has released it.
type request struct {
	server   *Server
	id       string // as the router gave it; the interpreter and the index know the request by it
	category int
	body     []byte

	// Who waits for the answer. Both are nil once it is answered or the router has gone.
	router *routerConnection
	stream *fastcgi.Request

	// As it came. key and tenant lie in the parser's buffer until the request is admitted, or copied.
	arrival    admission.Arrival
	key        []byte         // for idempotency
	tenant     []byte         // by account or address
	receivedAt timeunit.Ticks // that it reached the router's machine
	acceptedAt timeunit.Ticks // that it was read here
	deadline   timeunit.Ticks // after which nobody waits for an answer

	// With admission.
	handle      *admission.Request
	slot        uint64 // in requestTable.slots
	closed      bool   // admission has released it
	reservation fairqueue.Reservation

	// Idempotency.
	entry        *idempotencyEntry // its own, or the one whose result it shares; nil for none
	sharesResult bool

	// The intent record in the recovery log.
	intentUntil timeunit.Ticks // the end of its window as it was written; zero where nothing is to be concluded
	attempt     uint64         // its number in the log
	intentTimer timer          // while it is being written
	recoveryKey string         // its key in the log, once it is admitted

	// Plug-ins.
	pluginTenant     string // its tenant
	tag              string // that a plug-in gave it
	pluginConnection *pluginConnection

	// Its run, and what the interpreter knows of it. A request is run at most once.
	runStarted   bool // admission had it run
	runPending   bool // the interpreter has yet to be notified
	runSent      bool // the interpreter was notified, on some link
	runSentAt    timeunit.Ticks
	runConfirmed bool // the interpreter has spoken of the run
	runInDoubt   bool // a link broke before it did: the run may never have begun
	runDone      bool // the run's end is known
	stopPending  bool // the interpreter has yet to be notified to stop it
	stopSent     bool // it was notified

	// The call that its run waits for, and the reply to it.
	callBody     []byte
	call         *indexCall // nil while none is out
	pendingReply []byte     // to be passed on to the run
	lastReply    []byte     // the last one passed on, until the run is heard of again
	lastReplyAt  timeunit.Ticks
}

// respond writes the answer, where somebody waits for it.
func (r *request) respond(status, headers string, body []byte) {
	if r.router == nil {
		return
	}
	r.server.checkInvariant(r.stream.Owner == r, "a request is answered twice")
	router := r.router
	stream := r.stream
	r.detachRouter()
	router.respond(stream, status, headers, body)
}

// detachRouter: no answer is owed any more.
func (r *request) detachRouter() {
	r.router = nil
	r.stream = nil
	if r.runInDoubt {
		r.server.requests.doubtfulRuns = append(r.server.requests.doubtfulRuns, r)
	}
}

// routerGone: the router has gone, or wants no answer any more.
func (r *request) routerGone() {
	r.detachRouter()
	if r.handle != nil { // else it is with the plug-ins or the recovery log, which end by themselves
		r.handle.Cancel()
	}
}

// neverBegun is called when it is proven that nothing of its run happened, so that its idempotency entry is free for
// another attempt. Where the run has been heard of such word proves nothing, and the entry stays.
func (r *request) neverBegun() {
	if r.runConfirmed {
		r.runEnded(admission.Aborted, 0, nil)
		return
	}
	if r.entry != nil && r.entry.owner == r && !r.runDone {
		r.entry.ran = false
	}
	r.reservation.UndoStart(r.server.now)
	r.runEnded(admission.NeverStarted, 0, nil)
}

// runEnded is called when the interpreter tells the end of its run, which took so long. A result is shown to plug-ins
// first.
func (r *request) runEnded(outcome admission.Outcome, took timeunit.Ticks, result []byte) {
	if r.runDone || !r.runStarted || r.closed {
		return
	}
	r.runDone = true
	r.server.index.cancel(r)
	r.reservation.Suspend(r.server.now) // off the cores, whatever is done with its result
	if outcome == admission.Succeeded {
		finish := func(evaluation *chain.Evaluation) { r.finishRun(outcome, took, evaluation.Body) }
		if r.server.plugins.evaluateResult(r, result, finish) {
			return
		}
	}
	r.finishRun(outcome, took, result)
}

// finishRun answers with the end of its run and tells admission, the idempotency table and the recovery log of it.
func (r *request) finishRun(outcome admission.Outcome, took timeunit.Ticks, result []byte) {
	switch outcome {
	case admission.Succeeded:
		r.respond(statusOK, "", result)
	case admission.Failed:
		r.respond(statusRunFailed, "", nil)
	}
	if r.entry != nil {
		r.recordOutcome(outcome, result)
	}
	r.handle.RunEnded(outcome, took)
}

// recordOutcome puts the end of its run into its idempotency entry. A result beyond the bound is not kept: repeats are
// notified that the run failed.
func (r *request) recordOutcome(outcome admission.Outcome, result []byte) {
	entry := r.entry
	entry.ended = true
	entry.succeeded = outcome == admission.Succeeded && len(result) <= maxResultBytes
	if entry.succeeded {
		entry.result = result
	}
	r.server.requests.releaseSharers(entry)
	if outcome == admission.NeverStarted {
		r.server.recovery.concludeIntent(r, recovery.KindCancellation, false, nil)
	} else if entry.owner == r {
		r.server.recovery.concludeIntent(r, recovery.KindCompletion, entry.succeeded, entry.result)
	}
}
