package admission

import (
	"container/list"

	"thistlequay/timeunit"
)

// requestState is the stage of processing that a request has reached.
type requestState int

const (
	stateQueued        requestState = iota // not started
	stateRunning                           // started; on a core or waiting for one
	stateWaitingToCall                     // started; its downstream call is not in flight yet
	stateCalling                           // started; its downstream call is in flight
	stateSharing                           // receives the result of the request that it repeats
	stateFinished                          // no longer accounted for, except for its idempotency entry
)

// Request is the handle of one request. The host reports events of the request to the server with its methods.
type Request struct {
	// ID is Arrival.ID, the host's own identifier.
	ID uint64

	server      *Server
	category    *categoryState
	idempotency Idempotency // of its category, unless Arrival.IsIdempotent is set
	state       requestState

	arrivedAt    timeunit.Ticks // at the machine, before it was read
	softDeadline timeunit.Ticks
	deadline     timeunit.Ticks // it must be answered by then
	timerAt      timeunit.Ticks // when its timer fires
	heapIndex    int            // index in the deadline heap, or notInHeap
	startedAt    timeunit.Ticks // when its run started
	nextCallAt   timeunit.Ticks // a failed call is not made again before then
	entryUntil   timeunit.Ticks // until when it owns an idempotency entry; 0 if it owns none

	queuedKB      float64
	startTag      float64        // Arrival.StartTag
	turn          Turn           // Arrival.Turn
	flow          *flowQueue     // queue that holds it while it is not eligible
	flowElement   *list.Element  // its element there
	expectedDelay timeunit.Ticks // Arrival.ExpectedDelay
	sequence      uint64         // order of arrival

	isEligible          bool // virtual time has reached its start tag
	isCacheable         bool // its result may be shared with other requests
	isAwaited           bool // other requests wait for its result
	startedOnQuietCores bool // the cores were quiet when its run started
	isAnswered          bool
	isCancelled         bool // its client no longer waits
}

// isResolved reports whether the request needs no answer any more.
func (r *Request) isResolved() bool { return r.isAnswered || r.isCancelled }

// currentStartTag returns the virtual time at which the request becomes eligible if it is the next one of its flow.
func (r *Request) currentStartTag() float64 {
	if r.turn == nil {
		return r.startTag
	}
	return r.turn.StartTag()
}

// beginTurn makes the request eligible.
func (r *Request) beginTurn(virtualTime float64) {
	r.isEligible = true
	if r.turn != nil {
		r.turn.Begin(virtualTime)
	}
}

// value returns the priority of the request in the queue: the value of starting it now, per tick of run time.
func (r *Request) value() float64 { return r.category.valueAt(r.softDeadline - r.server.now) }

// NeedsCall reports that the run cannot continue without a downstream call. It has no effect unless the request runs.
func (r *Request) NeedsCall() {
	if r.state != stateRunning {
		return
	}
	r.state = stateWaitingToCall
	r.server.cores.runsAwaitingCalls++
	r.server.downstream.waiting = append(r.server.downstream.waiting, r)
}

// CallEnded reports that the downstream call of the request (Host.StartCall) ended, and how long it took. The call is
// made again if it is safe to repeat it.
func (r *Request) CallEnded(outcome Outcome, elapsed timeunit.Ticks) {
	s := r.server
	if r.state != stateCalling {
		return
	}
	s.downstream.endCall(s.now, outcome, elapsed)
	r.state = stateWaitingToCall
	switch {
	case outcome == Succeeded:
		s.cores.runsAwaitingCalls--
		r.state = stateRunning
	case outcome == NotExecuted || r.idempotency == Idempotent && !r.isResolved():
		// The backoff grows with the age of the run.
		r.nextCallAt = s.now + max(s.timers.gaugeInterval, (s.now-r.startedAt)/2)
		s.downstream.waiting = append(s.downstream.waiting, r)
	default:
		s.continueWithoutCall(r)
	}
}

// RunEnded reports that the run of the request, or the answer that it shares, ended, and how long it took.
func (r *Request) RunEnded(outcome Outcome, elapsed timeunit.Ticks) {
	s := r.server
	if r.state == stateFinished || r.state == stateQueued {
		return
	}
	if r.state == stateCalling {
		s.downstream.removeInFlight(s.now, true)
	}
	if r.state == stateWaitingToCall || r.state == stateCalling {
		s.cores.runsAwaitingCalls--
	}
	if outcome == Succeeded && r.state != stateSharing {
		s.recordRunTime(r, elapsed)
	}
	if !r.isResolved() {
		s.countAnswer(r, outcome)
	}
	switch {
	case outcome == NeverStarted || r.isCacheable && outcome != Succeeded:
		s.dropEntry(r)
	case r.isCacheable && r.entryUntil > 0:
		s.keepEntry(r, s.now+s.entries.resultTTL)
	}
	s.finish(r)
}

// Cancel reports that no client waits for the request any more.
func (r *Request) Cancel() {
	if r.state == stateFinished || r.isCancelled {
		return
	}
	r.isCancelled = true
	if r.state == stateQueued || r.state == stateSharing {
		r.server.finish(r)
	}
	r.server.stopUnneededRun(r)
}

// recordRunTime records the time of a successful run in the histograms of its category.
func (s *Server) recordRunTime(request *Request, elapsed timeunit.Ticks) {
	category := request.category
	s.feedback.measureSlowdown(elapsed, category.quietRunTimes.quantile(0.5))
	category.runTimes.add(elapsed)
	if request.startedOnQuietCores && s.cores.isQuiet() {
		category.quietRunTimes.add(elapsed)
	}
}

// countAnswer processes the end of a run whose request had no answer before. The limiter counts only answers within the
// soft deadline to clients that still wait: runs for clients that have gone would raise the limit.
func (s *Server) countAnswer(request *Request, outcome Outcome) {
	if outcome == Aborted || outcome == NeverStarted {
		s.abort(request)
	} else {
		s.limiter.measureRoundTrip(s.now - request.arrivedAt)
	}
	if outcome == Succeeded && s.now <= request.softDeadline {
		s.limiter.current.answered++
	}
}

// stopUnneededRun stops a run whose answer nobody waits for and that can safely run again.
func (s *Server) stopUnneededRun(request *Request) {
	if request.state == stateRunning && s.canStopRuns && request.idempotency == Idempotent &&
		!request.isAwaited {
		s.host.StopRun(request)
	}
}

// reject answers a request that never ran here.
func (s *Server) reject(request *Request, retryAfter timeunit.Ticks, finalRejection bool) {
	request.isAnswered = true
	s.feedback.countRejection()
	s.host.Reject(request, min(retryAfter, s.feedback.maxRetryAfter), finalRejection || s.overloadIsFleetWide())
	s.finish(request)
}

// abort answers a request that was started as failed. A run that continues stays in flight until it ends.
func (s *Server) abort(request *Request) {
	if request.isResolved() {
		return
	}
	request.isAnswered = true
	s.limiter.current.dropped++
	s.host.Abort(request)
	if request.state == stateSharing {
		s.finish(request)
	} else {
		request.category.runTimes.add(s.now - request.startedAt)
	}
}

// finish ends the accounting of the request. Its idempotency entry is dropped only if the request never ran.
func (s *Server) finish(request *Request) {
	s.memory.usedKB -= request.queuedKB
	switch request.state {
	case stateQueued:
		s.queue.remove(request)
		s.dropEntry(request)
	case stateSharing:
		s.entries.sharingCount--
	default:
		s.limiter.inFlight--
		s.memory.usedKB -= s.memory.extraKB(request.queuedKB)
	}
	request.state = stateFinished
	flow := s.queue.flows.of(request)
	s.host.Release(request)
	if flow != nil {
		s.queue.flows.update(flow) // the request may have cost less than expected
	}
	if request.entryUntil > 0 {
		s.timers.set(request, request.entryUntil) // when the memory of the entry is released
	} else {
		s.timers.stop(request)
	}
}
