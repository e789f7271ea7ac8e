package server

import (
	"slices"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// request is a request from a router. It exists from when it has been read until admission releases it.
type request struct {
	server   *Server
	id       string // assigned by the router; also identifies the request to the interpreter and the index
	number   uint64 // the number that id represents
	category int
	body     []byte

	// Recipient of the response. Both are nil once the request is answered or the router no longer waits.
	router *routerConnection
	stream *fastcgi.Request

	// Parsed fields. key and tenant point into the parser's buffer until they are copied or the request is handed to
	// admission.
	arrival    admission.Arrival
	key        []byte         // idempotency key
	tenant     []byte         // from the account or the address
	receivedAt timeunit.Ticks // when the request reached the router's machine
	acceptedAt timeunit.Ticks // when this server had read the request
	deadline   timeunit.Ticks // when the client stops waiting for a response

	// Admission.
	handle      *admission.Request
	slot        uint64 // index into requestTable.slots
	isReleased  bool   // whether admission has released the request
	reservation fairqueue.Reservation

	// Idempotency.
	entry        *idempotencyEntry // its own, or the one whose result it shares; nil if there is none
	sharesResult bool

	// Intent record in the recovery log.
	intentWindowEnd timeunit.Ticks // end of the window in the intent record; zero if no completion record is due
	attempt         uint64         // attempt number in the log
	intentTimer     timer          // set while the intent record is being written
	recoveryKey     string         // key in the log; set once the request is handed to admission

	// Plug-ins.
	pluginTenant     string // tenant that plug-ins see
	tag              string // tag that a plug-in assigned
	pluginConnection *pluginConnection

	// State of the run, also as known to the interpreter. A request is run at most once.
	runStarted        bool // admission has started the run
	runPending        bool // the run command has yet to be sent to the interpreter
	runSent           bool // the run command was sent, on this link or an earlier one
	runSentAt         timeunit.Ticks
	runConfirmed      bool // the interpreter has sent a notice about the run
	isRunStartUnknown bool // the link broke before such a notice: the run may never have started
	runDone           bool // the run is known to have ended
	stopPending       bool // the stop command has yet to be sent to the interpreter
	stopSent          bool // the stop command was sent

	// Downstream call that the run waits for, and the reply to it.
	callBody           []byte
	call               *indexCall          // nil if no call is in flight or waiting
	callConnections    []*pooledConnection // open connections that carried one of its calls
	pendingReply       []byte              // reply that has yet to be written to the interpreter
	isReplyUnconfirmed bool                // a reply was written, and no notice of the run has come since
}

// addCallConnection records that a connection carries a call of the request.
func (r *request) addCallConnection(connection *pooledConnection) {
	isClosed := func(other *pooledConnection) bool { return other.state == pooledClosed }
	r.callConnections = append(slices.DeleteFunc(r.callConnections, isClosed), connection)
}

// hasCalledOn reports whether a connection carried an earlier call of the request. A second copy of the reply to that
// call may still come on it, and replies name only the request.
func (r *request) hasCalledOn(connection *pooledConnection) bool {
	return slices.Contains(r.callConnections, connection)
}

// respond writes the response if a router still waits for it.
func (r *request) respond(status, headers string, body []byte) {
	if r.router == nil {
		return
	}
	r.server.checkInvariant(r.stream.Owner == r, "a request is answered twice")
	r.server.countIfLate(r)
	router := r.router
	stream := r.stream
	r.detachRouter()
	router.respond(stream, status, headers, body)
}

// respondSharedResult answers a repeat with the result of the entry's run, or with a failure if there is none, and
// returns which.
func (r *request) respondSharedResult(entry *idempotencyEntry) admission.Outcome {
	if entry.hasEnded && entry.succeeded {
		r.respond(statusOK, "", entry.result)
		return admission.Succeeded
	}
	r.respond(statusSharedRunFailed, "", nil)
	return admission.Failed
}

// detachRouter clears the recipient of the response. If it is in doubt whether the run ever started, it also schedules
// the run to be ended, because nobody waits for it any more.
func (r *request) detachRouter() {
	r.router = nil
	r.stream = nil
	if r.isRunStartUnknown {
		r.server.requests.unconfirmedRuns = append(r.server.requests.unconfirmedRuns, r)
	}
}

// cancelByRouter cancels the request because its router has disconnected or aborted it.
func (r *request) cancelByRouter() {
	r.detachRouter()
	if r.handle != nil { // otherwise it waits for plug-ins or the recovery log, which then find that router is nil
		r.handle.Cancel()
	}
}

// endUnstartedRun ends a run that provably never started, and frees its idempotency entry for another attempt. If the
// interpreter has sent a notice about the run, that proof does not hold: the run ends as aborted and the entry stays.
func (r *request) endUnstartedRun() {
	if r.runConfirmed {
		r.handleRunEnd(admission.Aborted, 0, nil)
		return
	}
	if r.entry != nil && r.entry.owner == r && !r.runDone {
		r.entry.hasStarted = false
	}
	r.server.requests.recentRuns.remove(r.number)
	r.reservation.UndoStart(r.server.now)
	r.handleRunEnd(admission.NeverStarted, 0, nil)
}

// handleRunEnd handles the end of the run. A successful result is first passed to the plug-ins.
func (r *request) handleRunEnd(outcome admission.Outcome, duration timeunit.Ticks, result []byte) {
	if r.runDone || !r.runStarted || r.isReleased {
		return
	}
	r.runDone = true
	r.server.index.cancel(r)
	r.reservation.Suspend(r.server.now) // the run no longer uses a core, even if plug-ins still evaluate its result
	if outcome == admission.Succeeded {
		finish := func(evaluation *chain.Evaluation) { r.finishRun(outcome, duration, evaluation.Body) }
		if r.server.plugins.evaluateResult(r, result, finish) {
			return
		}
	}
	r.finishRun(outcome, duration, result)
}

// finishRun answers the request according to the outcome of its run, and reports the outcome to the idempotency table,
// the recovery log and admission.
func (r *request) finishRun(outcome admission.Outcome, duration timeunit.Ticks, result []byte) {
	switch outcome {
	case admission.Succeeded:
		r.respond(statusOK, "", result)
	case admission.Failed:
		r.respond(statusRunFailed, "", nil)
	}
	if r.entry != nil {
		r.recordOutcome(outcome, result)
	}
	r.handle.RunEnded(outcome, duration)
}

// recordOutcome stores the outcome of the run in its idempotency entry and concludes its intent in the recovery log. A
// result longer than deployment.MaxResultBytes is not stored; repeats of the request are then answered as failed.
func (r *request) recordOutcome(outcome admission.Outcome, result []byte) {
	entry := r.entry
	entry.hasEnded = true
	entry.succeeded = outcome == admission.Succeeded && len(result) <= deployment.MaxResultBytes
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
