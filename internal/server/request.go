package server

import (
	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/fastcgi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// request is one work item, from its reading until the module is through with it.
type request struct {
	server           *Server
	handle           *admission.Request
	slot             uint64
	id               string
	category         int
	router           *routerConnection // nil once it is answered or its caller is gone
	stream           *fastcgi.Request
	key              []byte // as it came, good until it is admitted, as the next three
	tenant           []byte
	arrival          admission.Arrival
	receivedAt       timeunit.Ticks // the machine
	deadline         timeunit.Ticks // its caller waits
	intentUntil      timeunit.Ticks // the end of its window as it was written, 0 where nothing is to be concluded
	attempt          uint64         // and its number
	intentTimer      timer          // while it is being written
	recoveryKey      string
	pluginTenant     string            // its tenant, where plug-ins are there
	tag              string            // that one of them gave it
	pluginConnection *pluginConnection // the process that it began with
	body             []byte
	acceptedAt       timeunit.Ticks
	reservation      fairqueue.Reservation
	entry            *idempotencyEntry // its own, or the one it shares
	sharesResult     bool
	runStarted       bool // the module had it run
	runPending       bool // the interpreter has yet to be told so
	runSent          bool // it was told, on some link
	runSentAt        timeunit.Ticks
	stopPending      bool
	stopSent         bool   // the interpreter was told to stop it
	pendingReply     []byte // with this reply
	lastReply        []byte // the last one passed on, until the run is heard of again
	lastReplyAt      timeunit.Ticks
	runConfirmed     bool       // the interpreter has spoken of the run
	runInDoubt       bool       // a link broke before it did: the run may never have begun
	runDone          bool       // and has told its end
	callBody         []byte     // the body of the call that the run waits for
	call             *indexCall // its call, while that is out
	closed           bool
}

func (it *request) respond(status, headers string, body []byte) {
	if it.router == nil {
		return
	}
	it.server.checkInvariant(it.stream.Owner == it, "answered twice")
	conn, stream := it.router, it.stream
	it.detachRouter()
	conn.respond(stream, status, headers, body)
}

// detachRouter: no answer is owed any more.
func (it *request) detachRouter() {
	it.router, it.stream = nil, nil
	if it.runInDoubt {
		it.server.requests.doubtfulRuns = append(it.server.requests.doubtfulRuns, it)
	}
}

// routerGone: nobody waits for it any more.
func (it *request) routerGone() {
	it.detachRouter()
	if it.handle != nil { // else it is on its walk past the plug-ins, which ends by itself
		it.handle.Cancel()
	}
}

// neverBegun: it is proven that nothing of it ran, so its stamp is free for another try. Where the run has been heard
// of, such word proves nothing: the stamp stays.
func (it *request) neverBegun() {
	if it.runConfirmed {
		it.runEnded(admission.Aborted, 0, nil)
		return
	}
	if m := it.entry; m != nil && m.owner == it && !it.runDone {
		m.ran = false
	}
	it.reservation.UndoStart(it.server.now)
	it.runEnded(admission.NeverStarted, 0, nil)
}

// runEnded: the interpreter tells the end of its run.
func (it *request) runEnded(how admission.Outcome, took timeunit.Ticks, result []byte) {
	if it.runDone || !it.runStarted || it.closed {
		return
	}
	it.runDone = true
	it.server.index.cancel(it)
	it.reservation.Suspend(it.server.now) // off the cores, whatever is done with its result
	if how != admission.Succeeded || !it.server.plugins.evaluateResult(it, result, func(w *chain.Evaluation) { it.finishRun(how, took, w.Body) }) {
		it.finishRun(how, took, result)
	}
}

// finishRun answers with the end of its run and closes the books on it.
func (it *request) finishRun(how admission.Outcome, took timeunit.Ticks, result []byte) {
	switch how {
	case admission.Succeeded:
		it.respond("200 OK", "", result)
	case admission.Failed:
		it.respond("500 The run failed", "", nil)
	}
	if m := it.entry; m != nil {
		if m.ended, m.succeeded = true, how == admission.Succeeded && len(result) <= maxResultBytes; m.succeeded {
			m.result = result
		}
		it.server.requests.releaseSharers(m)
		if how == admission.NeverStarted {
			it.server.recovery.conclude(it, recovery.KindCancellation, false, nil)
		} else if m.owner == it {
			it.server.recovery.conclude(it, recovery.KindCompletion, m.succeeded, m.result)
		}
	}
	it.handle.RunEnded(how, took)
}
