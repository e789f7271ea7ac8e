package admission

import "thistlequay/timeunit"

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

	server   *Server
	category *categoryState
	state    requestState

	arrivedAt    timeunit.Ticks // at the machine, before it was read
	softDeadline timeunit.Ticks
	deadline     timeunit.Ticks // it must be answered by then
	checkAt      timeunit.Ticks // when its timer fires
	heapIndex    int            // index in the deadline heap, or notInHeap
	startedAt    timeunit.Ticks // when its run started
	retryCallAt  timeunit.Ticks // a failed call is not made again before then
	entryUntil   timeunit.Ticks // until when it owns an idempotency entry; 0 if it owns none

	queuedKB      float64
	startTag      float64        // virtual time at which it becomes eligible
	expectedDelay timeunit.Ticks // Arrival.ExpectedDelay
	sequence      uint64         // order of arrival

	eligible     bool // virtual time has reached its start tag
	cacheable    bool // its result may be shared with other requests
	awaited      bool // other requests wait for its result
	startedQuiet bool // the cores were quiet when its run started
	answered     bool
	cancelled    bool // its client no longer waits
}

// isDone reports whether the request needs no answer any more.
func (r *Request) isDone() bool { return r.answered || r.cancelled }

// value returns the priority of the request in the queue: the value of starting it now, per tick of run time.
func (r *Request) value() float64 { return r.category.valueAt(r.softDeadline - r.server.now) }

// NeedsCall reports that the run cannot continue without a downstream call. It has no effect unless the request runs.
func (r *Request) NeedsCall() {
	if r.state != stateRunning {
		return
	}
	r.state = stateWaitingToCall
	r.server.cores.runsAtCalls++
	r.server.downstream.waiting = append(r.server.downstream.waiting, r)
}

// CallEnded reports that the downstream call of the request (Host.StartCall) ended, and how long it took. The call is
// made again if it is safe to repeat it.
func (r *Request) CallEnded(outcome Outcome, took timeunit.Ticks) {
	s := r.server
	if r.state != stateCalling {
		return
	}
	s.downstream.endCall(s.now, outcome, took)
	r.state = stateWaitingToCall
	switch {
	case outcome == Succeeded:
		s.cores.runsAtCalls--
		r.state = stateRunning
	case outcome == NotExecuted || r.category.Idempotency == Idempotent && !r.isDone():
		r.retryCallAt = s.now + max(s.timers.tick, (s.now-r.startedAt)/2) // the backoff grows with the age of the run
		s.downstream.waiting = append(s.downstream.waiting, r)
	default:
		s.continueWithoutCall(r)
	}
}

// RunEnded reports that the run of the request, or the answer that it shares, ended, and how long it took.
func (r *Request) RunEnded(outcome Outcome, took timeunit.Ticks) {
	s := r.server
	if r.state == stateFinished || r.state == stateQueued {
		return
	}
	if r.state == stateCalling {
		s.downstream.finish(s.now, true)
	}
	if r.state == stateWaitingToCall || r.state == stateCalling {
		s.cores.runsAtCalls--
	}
	if outcome == Succeeded && r.state != stateSharing {
		s.measureRun(r, took)
	}
	if !r.isDone() {
		s.countAnswer(r, outcome)
	}
	switch {
	case outcome == NeverStarted || r.cacheable && outcome != Succeeded:
		s.dropEntry(r)
	case r.cacheable && r.entryUntil > 0:
		s.keepEntry(r, s.now+s.entries.resultTTL)
	}
	s.finish(r)
}

// Cancel reports that no client waits for the request any more.
func (r *Request) Cancel() {
	if r.state == stateFinished || r.cancelled {
		return
	}
	r.cancelled = true
	if r.state == stateQueued || r.state == stateSharing {
		r.server.finish(r)
	}
	r.server.stopUnwanted(r)
}

// measureRun records the time of a successful run in the histograms of its category.
func (s *Server) measureRun(request *Request, took timeunit.Ticks) {
	category := request.category
	s.feedback.measureSlowdown(took, category.quietRunTimes.quantile(0.5))
	category.runTimes.add(took)
	if request.startedQuiet && s.cores.isQuiet() {
		category.quietRunTimes.add(took)
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

// stopUnwanted stops a run whose answer nobody waits for and that can safely run again.
func (s *Server) stopUnwanted(request *Request) {
	if request.state == stateRunning && s.canStopRuns && request.category.Idempotency == Idempotent &&
		!request.awaited {
		s.host.StopRun(request)
	}
}

// reject answers a request that never ran here.
func (s *Server) reject(request *Request, retryAfter timeunit.Ticks, finalRejection bool) {
	request.answered = true
	s.feedback.countRejection()
	s.host.Reject(request, min(retryAfter, s.feedback.maxRetryAfter), finalRejection || s.overloadIsFleetWide())
	s.finish(request)
}

// abort answers a request that was started as failed. A run that continues stays in flight until it ends.
func (s *Server) abort(request *Request) {
	if request.isDone() {
		return
	}
	request.answered = true
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
		s.entries.sharing--
	default:
		s.limiter.inFlight--
		s.memory.usedKB -= s.memory.runExtra(request.queuedKB)
	}
	request.state = stateFinished
	s.host.Release(request)
	if request.entryUntil > 0 {
		s.timers.set(request, request.entryUntil) // when the memory of the entry is released
	} else {
		s.timers.stop(request)
	}
}
